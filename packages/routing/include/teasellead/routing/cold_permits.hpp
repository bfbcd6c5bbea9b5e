#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/routing/upstream_table.hpp"

namespace teasellead
{

/// message to the owner of a cold-start allowance: requests a lease, or returns it early with a term of zero
struct permit_request
{
    endpoint m_receiver; ///< peer address of the owner
    endpoint m_upstream;
    std::uint64_t m_lease{0};
    std::chrono::milliseconds m_term{0};

    friend bool operator==(const permit_request&, const permit_request&) = default;
};

/// reply to a @ref permit_request; zero requests if the lease isn't granted
struct permit_grant
{
    endpoint m_receiver; ///< peer address of the borrower
    endpoint m_upstream;
    std::uint64_t m_lease{0};
    std::uint32_t m_requests{0};
    std::optional<upstream_evidence> m_evidence; ///< must be sent before the grant; the borrower lacks it

    friend bool operator==(const permit_grant&, const permit_grant&) = default;
};

/// time settings of @ref cold_permits
struct cold_permit_settings
{
    std::chrono::milliseconds m_term{200};                  ///< term of a requested lease
    std::chrono::milliseconds m_max_term{1000};             ///< longest term that is granted
    duration m_retry{std::chrono::milliseconds{20}};        ///< delay until a refused request is repeated
    duration m_cancel_delay{std::chrono::milliseconds{20}}; ///< until an upstream stops an abandoned request

    friend bool operator==(const cold_permit_settings&, const cold_permit_settings&) = default;
};

/*!
@brief grants and requests leases on the cold-start allowances of upstreams

The owner stops using the leased slot at once; its lease expires one term after it received the request. The
borrower's lease expires one term after it sent that request, which is earlier. Clocks of different hosts are
never compared, and a lost message only leaves the slot unused for one term. A state machine without I/O; not
safe for use by several threads.
*/
class cold_permits
{
  public:
    /*!
    @brief creates a state machine

    @param[in] upstreams    the host's table, which must outlive this object
    @param[in] first_lease  number of the first lease; must differ from all lease numbers of earlier
                            incarnations of this host
    @param[in] settings     time settings
    */
    cold_permits(upstream_table& upstreams, std::uint64_t first_lease, cold_permit_settings settings = {});

    /// messages to send: requests for leases that waiting callers need, and early returns of used leases
    [[nodiscard]] std::vector<permit_request> on_tick(time_point now);

    /*!
    @brief handles a borrower's message: grants a lease, or ends it if the term is zero

    @param[in] sender     peer address of the borrower
    @param[in] requested  the message
    @param[in] now        time of receipt

    @return the reply to send; empty if the term is zero
    */
    [[nodiscard]] std::vector<permit_grant> on_request(const endpoint& sender,
                                                       const permit_request& requested, time_point now);

    /// handles a grant; ignored if it is late or its sender isn't the owner to which the request was sent
    void on_grant(const endpoint& sender, const permit_grant& granted, time_point now);

  private:
    struct pending_request
    {
        endpoint m_owner;
        std::uint64_t m_lease;
        time_point m_sent;
        time_point m_retry_at;
        bool m_granted;
    };

    void return_finished_leases(time_point now, std::vector<permit_request>& result);

    upstream_table* m_upstreams;
    std::uint64_t m_next_lease;
    cold_permit_settings m_settings;
    std::map<endpoint, pending_request> m_pending;
};

} // namespace teasellead
