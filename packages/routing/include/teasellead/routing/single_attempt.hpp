#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/configuration.hpp"
#include "teasellead/kernel/random.hpp"
#include "teasellead/kernel/verdict.hpp"
#include "teasellead/routing/attempt.hpp"
#include "teasellead/routing/coverage.hpp"
#include "teasellead/routing/query_plan.hpp"
#include "teasellead/routing/upstream_table.hpp"

namespace teasellead
{

/*!
@brief action: the driver must send the request to an upstream before @ref send_by()

The driver reads the clock again before it sends the first byte: from @ref send_by() on, it sends nothing and
calls @ref single_attempt::on_not_sent. It must prevent the HTTP library from resending the request by itself.
*/
class single_send
{
  public:
    /*!
    @brief creates the action

    @param[in] attempt  number of the attempt within the request
    @param[in] chosen   the replica
    @param[in] send_by  time from which the request may no longer be sent
    */
    constexpr single_send(attempt_id attempt, chosen_replica chosen, time_point send_by) noexcept
        : m_attempt(attempt), m_chosen(chosen), m_send_by(send_by)
    {
    }

    [[nodiscard]] constexpr attempt_id attempt() const noexcept
    {
        return m_attempt;
    }

    [[nodiscard]] constexpr const chosen_replica& chosen() const noexcept
    {
        return m_chosen;
    }

    [[nodiscard]] constexpr time_point send_by() const noexcept
    {
        return m_send_by;
    }

    friend constexpr bool operator==(const single_send&, const single_send&) noexcept = default;

  private:
    attempt_id m_attempt;
    chosen_replica m_chosen;
    time_point m_send_by;
};

/// an upstream ran the request and replied
class single_completed
{
  public:
    explicit single_completed(std::string body) : m_body(std::move(body))
    {
    }

    [[nodiscard]] const std::string& body() const noexcept
    {
        return m_body;
    }

    friend bool operator==(const single_completed&, const single_completed&) = default;

  private:
    std::string m_body;
};

/// no upstream ran the request, and none will
class single_refused
{
  public:
    /*!
    @brief creates a refusal

    @param[in] reason       why no upstream ran the request
    @param[in] retry_after  delay after which a new request, with a new id, may succeed
    */
    constexpr single_refused(missing_reason reason, std::chrono::milliseconds retry_after) noexcept
        : m_reason(reason), m_retry_after(retry_after)
    {
    }

    [[nodiscard]] constexpr missing_reason reason() const noexcept
    {
        return m_reason;
    }

    [[nodiscard]] constexpr std::chrono::milliseconds retry_after() const noexcept
    {
        return m_retry_after;
    }

    friend constexpr bool operator==(const single_refused&, const single_refused&) noexcept = default;

  private:
    missing_reason m_reason;
    std::chrono::milliseconds m_retry_after;
};

/// the request was sent to an upstream and its outcome is unknown
class single_unknown
{
  public:
    explicit constexpr single_unknown(attempt_failure failure) noexcept : m_failure(failure)
    {
    }

    [[nodiscard]] constexpr attempt_failure failure() const noexcept
    {
        return m_failure;
    }

    friend constexpr bool operator==(const single_unknown&, const single_unknown&) noexcept = default;

  private:
    attempt_failure m_failure;
};

/// outcome of a non-idempotent request
using single_result = std::variant<single_completed, single_refused, single_unknown>;

/// whether a request with this outcome may have run
[[nodiscard]] verdict verdict_of(const single_result& result);

/// description of a non-idempotent request
class single_request
{
  public:
    /*!
    @brief creates a request

    @param[in] request_id         id that the reply must echo
    @param[in] plan               shards, snapshot and shard map
    @param[in] target             position in the plan of the one shard that runs the request
    @param[in] send_by            time from which the request may no longer be sent to an upstream
    @param[in] response_deadline  time at which the outcome must be known
    */
    single_request(std::string request_id, shared_plan plan, std::size_t target, time_point send_by,
                   time_point response_deadline)
        : m_request_id(std::move(request_id)), m_plan(std::move(plan)), m_target(target), m_send_by(send_by),
          m_response_deadline(response_deadline)
    {
    }

    [[nodiscard]] const std::string& request_id() const noexcept
    {
        return m_request_id;
    }

    [[nodiscard]] const query_plan& plan() const noexcept
    {
        return *m_plan;
    }

    [[nodiscard]] std::size_t target() const noexcept
    {
        return m_target;
    }

    [[nodiscard]] time_point send_by() const noexcept
    {
        return m_send_by;
    }

    [[nodiscard]] time_point response_deadline() const noexcept
    {
        return m_response_deadline;
    }

  private:
    std::string m_request_id;
    shared_plan m_plan;
    std::size_t m_target;
    time_point m_send_by;
    time_point m_response_deadline;
};

/*!
@brief one non-idempotent request as a state machine without I/O

At most one upstream runs the request. The request is sent to another replica only after a failure that rules
out that it ran: no connection, or a refusal in which the upstream confirms that it didn't run the request.
After any other failure the outcome is unknown, and only a late reply can still resolve it. The driver
executes the actions, reports replies, failures and the passing of time, and cancels an attempt that is still
running when there is an outcome. Not safe for use by several threads.
*/
class single_attempt
{
  public:
    /*!
    @brief creates a request; the referenced objects must outlive it

    @param[in] request    the request
    @param[in] upstreams  state of the upstreams
    @param[in] random     source of randomness

    @throw state_error 612 if the plan has no such target, or `response_deadline` is earlier than `send_by`
    */
    single_attempt(single_request request, upstream_table& upstreams, random_source& random);

    /*!
    @brief starts the request

    @param[in] current  current configuration
    @param[in] now      current time

    @return the upstream to send the request to; none if it waits for capacity or is refused
    */
    [[nodiscard]] std::optional<single_send> start(const configuration& current, time_point now);

    /*!
    @brief handles a reply

    @param[in] attempt  attempt that the reply belongs to; replies to earlier attempts are ignored
    @param[in] reply    the reply
    @param[in] now      current time
    */
    void on_reply(attempt_id attempt, const upstream_reply& reply, time_point now);

    /*!
    @brief handles a failure

    @param[in] attempt  attempt that failed; failures of ended attempts are ignored
    @param[in] failure  how the attempt failed
    @param[in] current  current configuration
    @param[in] now      current time

    @return another upstream to send the request to, if it didn't run
    */
    [[nodiscard]] std::optional<single_send> on_failure(attempt_id attempt, attempt_failure failure,
                                                        const configuration& current, time_point now);

    /// records that the driver sent nothing because @ref single_send::send_by() had passed
    void on_not_sent(attempt_id attempt, time_point now);

    /// retries to find a replica, and ends the request at its deadline; returns as @ref on_failure does
    [[nodiscard]] std::optional<single_send> on_timer(const configuration& current, time_point now);

    /// time at which @ref on_timer must be called next
    [[nodiscard]] time_point next_wakeup() const;

    /// whether there is an outcome
    [[nodiscard]] bool finished() const noexcept
    {
        return m_result.has_value();
    }

    /*!
    @brief the outcome

    @pre @ref finished()
    */
    [[nodiscard]] const single_result& result() const;

  private:
    struct sent_attempt
    {
        attempt_id m_attempt;
        endpoint m_upstream;
        time_point m_started;
    };

    [[nodiscard]] std::optional<single_send> try_send(const configuration& current, time_point now);
    [[nodiscard]] bool matches(const upstream_reply& reply) const;
    [[nodiscard]] bool is_active(attempt_id attempt) const noexcept;
    [[nodiscard]] missing_reason reason_without_replica() const noexcept;
    void handle_failure(attempt_failure failure, time_point now);
    void wait_for_replica(missing_reason reason, time_point now);
    void refuse(missing_reason reason);

    single_request m_request;
    upstream_table* m_upstreams;
    random_source* m_random;
    std::vector<endpoint> m_tried;
    std::optional<sent_attempt> m_active;             ///< passed to the driver and not ended yet
    std::optional<sent_attempt> m_timed_out;          ///< timed out; a late reply still resolves the outcome
    std::optional<attempt_failure> m_not_run_failure; ///< last failure that rules out that the request ran
    std::optional<single_result> m_result;
    missing_reason m_wait_reason{missing_reason::at_capacity}; ///< why no replica was available last
    time_point m_next_check;
};

} // namespace teasellead
