#pragma once

#include <functional>
#include <memory>
#include <set>

#include "teasellead/fleet/publication_follower.hpp"
#include "teasellead/fleet/publication_log.hpp"
#include "teasellead/forwarding/freshness.hpp"
#include "teasellead/forwarding/upstream_directory.hpp"
#include "teasellead/runtime/deployment.hpp"
#include "teasellead/runtime/request_log.hpp"

namespace teasellead::runtime
{

/*!
@brief brings what the deployment publishes into force, from its source or from a peer, and passes it on
*/
class publication_agent final : public publication_sink
{
  public:
    /*!
    @brief creates an agent; the referenced objects must outlive it

    @param[in] platform        decodes items and makes the source
    @param[in] loop            event loop
    @param[in] clock           time
    @param[in] self            address of this node for its peers
    @param[in] fresh           receives the proofs
    @param[in] directory       receives the upstreams
    @param[in] log             decisions
    @param[in] on_declarations called with each newer revision of the declarations
    */
    publication_agent(const deployment& platform, asio::io_context& loop, const monotonic_clock& clock,
                      const endpoint& self, forwarding::freshness& fresh,
                      forwarding::upstream_directory& directory, request_log& log,
                      std::function<void(forwarding::declarations)> on_declarations);

    /// whether everything that is published has been heard once
    [[nodiscard]] bool is_complete() const noexcept
    {
        return m_known.as_of() > 0;
    }

    /// calls made to the source
    [[nodiscard]] std::uint64_t calls() const noexcept
    {
        return m_source->calls();
    }

    /// takes the nodes that may pass news on
    void on_members(std::vector<endpoint> local, std::vector<endpoint> others);

    /// reads or stops reading the source, and asks a peer if it is time; messages to send
    [[nodiscard]] std::vector<outgoing_message> on_tick();

    /// answers a peer
    [[nodiscard]] outgoing_message answer(const endpoint& sender, const publication_request& request) const;

    /// takes a peer's answer
    void on_reply(const endpoint& sender, const publication_reply& reply);

    void on_listing(const std::vector<published_item>& items, std::uint64_t as_of,
                    time_point asked_at) override;
    void on_changes(const std::vector<published_item>& items, std::uint64_t as_of,
                    time_point asked_at) override;
    void on_source(bool is_reachable, const std::string& reason) override;

  private:
    void apply_all(const std::vector<published_item>& news, std::string_view origin);
    void apply(const published_item& item);
    void prove(time_point proved_at);
    void keep_lapsed_until(time_point until);
    [[nodiscard]] bool keeps_lapsed() const;

    const deployment& m_platform;
    const monotonic_clock& m_clock;
    forwarding::freshness& m_freshness;
    forwarding::upstream_directory& m_directory;
    request_log& m_log;
    std::function<void(forwarding::declarations)> m_on_declarations;
    publication_log m_known;
    publication_follower m_follower;
    std::unique_ptr<publication_source> m_source;
    std::set<std::string> m_evacuated;
    time_point m_lapse_until{}; ///< entries that are missing may have lapsed only
    bool m_has_lapsed{false};
    bool m_has_unreadable{false}; ///< whether the newest declarations can't be read
    bool m_reads_source{false};
};

} // namespace teasellead::runtime
