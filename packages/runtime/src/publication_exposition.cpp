#include <sstream>

#include "publication_agent.hpp"

namespace teasellead::runtime
{

namespace
{

/// a counter by kind of what was passed over because something later is known
std::string outdated_exposition(const outdated_counts& counts)
{
    std::ostringstream text;
    text << "# HELP teasellead_publications_outdated_total Published items, listings of all items and "
            "upstreams' "
            "entries that were passed over because later ones are known.\n"
            "# TYPE teasellead_publications_outdated_total counter\n";
    constexpr std::string_view name = "teasellead_publications_outdated_total{kind=\"";
    text << name << "item\"} " << counts.m_items << '\n'
         << name << "listing\"} " << counts.m_listings << '\n'
         << name << "entry\"} " << counts.m_entries << '\n';
    return text.str();
}

/// counters of the requests to peers
std::string requests_exposition(const follower_counts& counts)
{
    std::ostringstream text;
    text << "# HELP teasellead_publication_requests_total Requests for published items to peers, by result.\n"
            "# TYPE teasellead_publication_requests_total counter\n";
    constexpr std::string_view name = "teasellead_publication_requests_total{result=\"";
    text << name << "reader\"} " << counts.m_from_readers << '\n'
         << name << "not_reader\"} " << counts.m_from_others << '\n'
         << name << "unanswered\"} " << counts.m_unanswered << '\n'
         << name << "late\"} " << counts.m_late << '\n';
    return text.str();
}

} // namespace

std::string publication_agent::exposition() const
{
    const follower_counts& counts = m_follower.counts();
    return requests_exposition(counts) +
           exposition_line("teasellead_publication_epoch", "gauge", m_items.as_of().epoch()) +
           exposition_line("teasellead_publication_revision", "gauge", m_items.as_of().revision()) +
           exposition_line("teasellead_publication_older_epoch_replies_total", "counter",
                           counts.m_from_older_epochs) +
           exposition_line("teasellead_publication_full_replies_total", "counter", counts.m_full_replies) +
           exposition_line("teasellead_publication_deferred_replies_total", "counter", counts.m_deferred) +
           exposition_line("teasellead_publication_relayed_bytes_total", "counter", counts.m_relayed_bytes) +
           exposition_line("teasellead_publication_largest_reply_bytes", "gauge", counts.m_largest_reply) +
           exposition_line("teasellead_source_calls_total", "counter", calls()) +
           outdated_exposition(m_outdated);
}

} // namespace teasellead::runtime
