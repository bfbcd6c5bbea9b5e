#include "teasellead/fleet/revision_adopter.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "teasellead/fleet/text_delta.hpp"
#include "teasellead/kernel/configuration_parser.hpp"
#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

// largest number of queued records
constexpr std::size_t max_records = 256;
constexpr int too_large_id = 311;

/// rejects a text that is too large for peer messages, since only some nodes would adopt it
void check_size(const std::string& text)
{
    if (text.size() > max_services_text_bytes)
    {
        throw config_error(too_large_id, 0,
                           "the text has " + std::to_string(text.size()) + " bytes, more than " +
                               std::to_string(max_services_text_bytes));
    }
}

} // namespace

void relay_log::record(relay_record entry)
{
    if (m_records.size() < max_records)
    {
        m_records.push_back(std::move(entry));
    }
}

std::vector<relay_record> relay_log::take()
{
    return std::exchange(m_records, {});
}

revision_adopter::revision_adopter(current_revision& cell, relay_log& log, duration hold_time)
    : m_cell(cell), m_log(log), m_hold_time(hold_time)
{
}

bool revision_adopter::record_announced(revision_number number)
{
    const bool is_higher = number > m_highest_known;
    m_highest_known = std::max(m_highest_known, number);
    return is_higher;
}

bool revision_adopter::offer(revision_number number, const std::string& text,
                             const std::optional<endpoint>& peer, time_point now)
{
    const revision_number own = current_number();
    if (number == own && number != 0)
    {
        report_conflict(number, m_history.newest_digest(), digest_hex(text));
        return false;
    }
    if (number > own && number >= m_highest_known)
    {
        return adopt(number, text, peer);
    }
    ++m_log.m_counters.m_outdated;
    m_log.record(outdated_revision{number, m_highest_known});
    const bool is_better_than_held = !m_held || m_held->m_number < number;
    if (number > own && is_better_than_held)
    {
        const time_point until = m_held ? m_held->m_until : now + m_hold_time;
        m_held = held_text{number, text, peer, until};
    }
    return false;
}

bool revision_adopter::on_tick(time_point now)
{
    if (!m_held || now < m_held->m_until)
    {
        return false;
    }
    const held_text held = std::move(*m_held);
    m_held.reset();
    return held.m_number > current_number() && adopt(held.m_number, held.m_text, held.m_peer);
}

revision_number revision_adopter::current_number() const
{
    return m_cell.get()->number();
}

bool revision_adopter::is_wanted(revision_number number) const
{
    const bool is_rejected = m_rejection && m_rejection->m_number == number;
    return number > current_number() && !is_rejected;
}

bool revision_adopter::adopt(revision_number number, const std::string& text,
                             const std::optional<endpoint>& peer)
{
    if (m_rejection && m_rejection->m_number == number)
    {
        const std::string digest = digest_hex(text);
        if (digest == m_rejection->m_digest)
        {
            return false;
        }
        report_conflict(number, m_rejection->m_digest, digest);
    }
    const revision_number previous = current_number();
    try
    {
        check_size(text);
        auto declared = std::make_shared<const configuration>(parse_configuration(text));
        m_cell.advance(std::make_shared<const configuration_revision>(number, text, std::move(declared)));
    }
    catch (const config_error& error)
    {
        ++m_log.m_counters.m_rejected;
        m_rejection = rejected_revision{number, error.what(), digest_hex(text)};
        m_log.record(*m_rejection);
        return false;
    }
    m_history.add(number, text);
    record_announced(number);
    ++m_log.m_counters.m_adopted;
    m_log.record(adopted_revision{number, previous, peer});
    return true;
}

void revision_adopter::report_conflict(revision_number number, const std::string& kept,
                                       const std::string& other)
{
    if (kept == other)
    {
        return;
    }
    ++m_log.m_counters.m_conflicting;
    m_conflict = conflicting_revision{number, kept, other};
    m_log.record(*m_conflict);
}

} // namespace teasellead
