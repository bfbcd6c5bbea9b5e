#pragma once

#include <functional>
#include <memory>

#include "evacuations.hpp"
#include "teasellead/fleet/publication_follower.hpp"
#include "teasellead/fleet/publication_log.hpp"
#include "teasellead/forwarding/configuration_lease.hpp"
#include "teasellead/forwarding/upstream_directory.hpp"
#include "teasellead/runtime/deployment.hpp"
#include "teasellead/runtime/request_log.hpp"

namespace teasellead::runtime
{

/// numbers of what was passed over because something later is known
struct outdated_counts
{
    std::uint64_t m_items{0};
    std::uint64_t m_listings{0};
    std::uint64_t m_entries{0}; ///< of upstreams

    friend bool operator==(const outdated_counts&, const outdated_counts&) = default;
};

/*!
@brief receives published items from the platform or from a peer, applies them, and relays them to peers
*/
class publication_agent final : public publication_sink
{
  public:
    /*!
    @brief creates an agent; the referenced objects must outlive it

    @param[in] platform        adapter to the platform; decodes items and creates their source
    @param[in] loop            event loop of the source
    @param[in] clock           clock of all decisions
    @param[in] self            address of this node for its peers
    @param[in] lease           renewed whenever the configuration is confirmed as current
    @param[in] directory       receives the upstreams
    @param[in] log             log for decisions and events
    @param[in] on_declarations called with each configuration that was received
    */
    publication_agent(const deployment& platform, asio::io_context& loop, const monotonic_clock& clock,
                      const endpoint& self, forwarding::configuration_lease& lease,
                      forwarding::upstream_directory& directory, request_log& log,
                      std::function<void(received_declarations)> on_declarations);

    /// whether a complete listing of the published items has been received
    [[nodiscard]] bool is_complete() const noexcept
    {
        return m_items.as_of().has_items();
    }

    /// number of calls that the source made to the platform
    [[nodiscard]] std::uint64_t calls() const noexcept
    {
        return m_source->calls();
    }

    /// counters of the requests to peers and of the bytes sent to them, in the text exposition format
    [[nodiscard]] std::string exposition() const;

    /// sets the nodes that may relay items: those of this node's data centre, and those of others
    void on_members(std::vector<endpoint> local, std::vector<endpoint> others);

    /// starts or stops reading the source; returns the requests to peers that are due
    [[nodiscard]] std::vector<outgoing_message> on_tick();

    /// creates the reply to a peer's request for items
    [[nodiscard]] outgoing_message on_request(const endpoint& sender, const publication_request& request);

    /// applies the items of a peer's reply
    void on_reply(const endpoint& sender, const publication_reply& reply);

    void on_listing(const std::vector<published_item>& items, const publication_position& as_of,
                    const confirmation_times& times) override;
    void on_changes(const std::vector<published_item>& items, const publication_position& as_of,
                    const confirmation_times& times) override;
    void on_source_lost(const std::string& reason, time_point unreachable_since) override;
    void on_source_regained(time_point last_failed_call) override;

  private:
    void confirm(const confirmation_times& times);
    /// applies changes of this node's copy, which was at a position before them
    void apply_changes(const publication_position& before, const std::vector<published_item>& items,
                       std::string_view origin);
    void apply_all(const std::vector<published_item>& items, std::string_view origin);
    void apply(const published_item& item, std::string_view origin);
    void apply_entry(const upstream_published& published, std::uint64_t revision, std::string_view origin);
    void apply_evacuation(const data_centre_evacuated& published, std::uint64_t revision,
                          std::string_view origin);
    /// ends the time in which the source may lack what was published before its return from a backup
    void end_restoration(time_point now);
    void apply_removal(const upstream_withdrawn& withdrawn, std::uint64_t revision, std::string_view origin);
    /// logs and counts what the copy of the items passed over
    void log_outdated(std::string_view origin);
    /// whether entries may have expired if the source was unreachable from a time until now
    [[nodiscard]] bool may_have_expired_entries(time_point since) const;
    void extend_expiry_grace(time_point until);
    [[nodiscard]] bool is_in_expiry_grace() const;

    const deployment& m_platform;
    const monotonic_clock& m_clock;
    forwarding::configuration_lease& m_configuration_lease;
    forwarding::upstream_directory& m_directory;
    request_log& m_log;
    std::function<void(received_declarations)> m_on_declarations;
    publication_log m_items;
    publication_follower m_follower;
    std::unique_ptr<publication_source> m_source;
    evacuations m_evacuations;
    time_point m_held_back_end{}; ///< until when restored entries are held back
    bool m_is_restoring{false};   ///< whether the items being applied are the listing of a restored source
    /// until then, removed entries are kept, since they may only have expired while the source was
    /// unreachable
    time_point m_expiry_grace_end{};
    time_point m_unreachable_since{};  ///< the earliest time since which the source may be
    bool m_has_expired_entries{false}; ///< whether the directory keeps removed entries
    bool m_has_invalid_item{false};    ///< whether an item was invalid since the latest valid configuration
    bool m_reads_source{false};
    outdated_counts m_outdated;
};

} // namespace teasellead::runtime
