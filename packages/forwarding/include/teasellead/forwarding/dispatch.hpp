#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teasellead/forwarding/capacity_forecast.hpp"
#include "teasellead/forwarding/dispatch_context.hpp"
#include "teasellead/forwarding/dispatch_result.hpp"
#include "teasellead/forwarding/route.hpp"
#include "teasellead/forwarding/scatter_progress.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/verdict.hpp"

namespace teasellead::forwarding
{

/// index of an attempt within its request
using attempt_number = std::size_t;

/// instructs the driver to send an attempt to an upstream
struct send_attempt
{
    attempt_number m_attempt{0};
    shared_upstream m_upstream;

    friend bool operator==(const send_attempt&, const send_attempt&) = default;
};

/// tells the driver that the reply to an attempt isn't needed any more
struct release_attempt
{
    attempt_number m_attempt{0};

    friend bool operator==(const release_attempt&, const release_attempt&) = default;
};

/// an action that the driver of a request must execute
using dispatch_action = std::variant<send_attempt, release_attempt>;

/// parameters of one request
struct dispatch_request
{
    std::string m_route;         ///< name of the route
    std::string m_fingerprint;   ///< digest that is the same for equal requests of one account
    std::size_t m_body_bytes{0}; ///< size of the caller's body
    std::string m_account;       ///< empty if the route needs no key
    std::uint32_t m_priority{0}; ///< the account's, or else the route's; 0 is the most urgent
    repeatability m_repeatability{repeatability::non_idempotent};
    std::vector<std::string> m_services; ///< one, or the shards of a scatter
    std::optional<scatter> m_scatter;
    std::uint32_t m_max_attempts{1};
    duration m_objective{duration::zero()};
    time_point m_arrived;           ///< when the caller's request was complete; the objective starts here
    time_point m_response_deadline; ///< time by which the response must be sent
};

/*!
@brief forwards one request, from its admission to its result, as a state machine without I/O

The driver executes the actions that each event returns and passes in replies, failures and time. A request to
one service has one sub-request, a scatter has one for each shard. A sub-request makes one or more attempts;
retries and hedges count against the attempt budget. Not safe for concurrent use by several threads.
*/
class dispatch
{
  public:
    dispatch(dispatch_request request, dispatch_context& context, time_point now);

    /// starts the request and returns its first attempts
    [[nodiscard]] std::vector<dispatch_action> start(time_point now);

    /*!
    @brief starts the time of an attempt again, since the node has just begun its connection or sent its bytes

    The node's own delay before doesn't count as the upstream's time: neither in what is learned of it nor for
    hedges.
    */
    void on_handed_over(attempt_number attempt, time_point now);

    /// applies what the upstream of an attempt has announced; called before its reply or failure
    void on_notice(attempt_number attempt, const upstream_notice& notice, time_point now);

    /// handles a complete reply of an upstream that ran the request
    [[nodiscard]] std::vector<dispatch_action> on_reply(attempt_number attempt, upstream_reply reply,
                                                        time_point now);

    /// handles the failure of an attempt
    [[nodiscard]] std::vector<dispatch_action> on_failure(attempt_number attempt, attempt_failure failure,
                                                          time_point now);

    /// handles the end of a released attempt without a reply; counts as a failure of the upstream if the
    /// attempt lasted much longer than expected
    void on_abandoned(attempt_number attempt, time_point now);

    /*!
    @brief makes the hedges and delayed attempts that are due, and ends the request at its deadline

    @param[in] now         current time
    @param[in] input_read  time up to which all input that had arrived has been handled; an attempt is hedged
    only if it was late by then, since its reply may be among the rest

    @return the actions to execute
    */
    [[nodiscard]] std::vector<dispatch_action> on_timer(time_point now, time_point input_read);

    /// the same for a caller that handles its input without delay
    [[nodiscard]] std::vector<dispatch_action> on_timer(time_point now)
    {
        return on_timer(now, now);
    }

    /// ends the request before its deadline, with what its upstreams have replied so far
    [[nodiscard]] std::vector<dispatch_action> end_early(failure_reason reason, time_point now);

    /// cancels the request because the caller has disconnected; releases its attempts and sets no result
    [[nodiscard]] std::vector<dispatch_action> cancel();

    /// next time at which @ref on_timer must be called
    [[nodiscard]] time_point next_wakeup() const;

    [[nodiscard]] bool is_finished() const noexcept
    {
        return m_result.has_value();
    }

    /// the result; @pre @ref is_finished
    [[nodiscard]] const dispatch_result& result() const
    {
        return *m_result;
    }

    /// whether the reply to an attempt isn't needed any more
    [[nodiscard]] bool is_released(attempt_number attempt) const
    {
        return m_result ||
               m_sub_requests.at(m_attempts.at(attempt).m_sub_request).m_state != sub_request_state::pending;
    }

    /// the upstream of an attempt
    [[nodiscard]] const upstream& upstream_of(attempt_number attempt) const
    {
        return *m_attempts.at(attempt).m_upstream;
    }

    /// number of attempts made so far
    [[nodiscard]] std::size_t attempts() const noexcept
    {
        return m_attempts.size();
    }

    /// number of these that are hedges
    [[nodiscard]] std::size_t hedges() const noexcept
    {
        return m_hedges;
    }

    /// longest time from the plan of an attempt until it was handed to the network
    [[nodiscard]] duration longest_hand_over() const noexcept
    {
        return m_longest_hand_over;
    }

  private:
    enum class sub_request_state
    {
        pending,
        answered,
        missing
    };

    /// the part of the request that goes to one service
    struct sub_request
    {
        sub_request_state m_state{sub_request_state::pending};
        std::vector<shared_upstream> m_tried;
        std::uint32_t m_sent{0};      ///< number of attempts that may have reached an upstream
        std::uint32_t m_in_flight{0}; ///< number of attempts in flight
        bool m_is_hedged{false};
        bool m_is_waiting{false};                     ///< whether it waits for capacity or for a trial
        std::optional<capacity_queue::place> m_place; ///< present while it waits for capacity
        failure_reason m_reason{failure_reason::no_upstream};
        std::optional<upstream_reply> m_reply; ///< the successful reply, or the latest error reply
        time_point m_next_check{};             ///< time of the hedge, or of the next check while it waits
    };

    struct attempt_state
    {
        std::size_t m_sub_request{0};
        shared_upstream m_upstream;
        time_point m_planned;
        time_point m_began; ///< when it was handed over; until then, when it was planned
        work_estimate m_work;
        completion_estimate m_expected;
        bool m_is_trial{false};
        bool m_is_active{true};
        verdict m_verdict{verdict::may_have_run};
    };

    /// whether the crash guard lets an attempt be made
    enum class guard_decision
    {
        allowed, ///< without restriction
        trial,   ///< as a trial
        wait,    ///< not yet: the reply to a request for a trial, or another attempt, is outstanding
        denied   ///< not at all for now, see @ref m_denied
    };

    using actions = std::vector<dispatch_action>;

    void try_send(sub_request& target, std::size_t index, time_point now, actions& result);
    void send(std::size_t index, const upstream_choice& choice, bool is_trial, time_point now,
              actions& result);
    [[nodiscard]] guard_decision check_crash_guard(const std::string& service, time_point now);
    [[nodiscard]] guard_decision on_trial_granted(const std::string& service);
    [[nodiscard]] guard_decision on_trial_pending(time_point now);
    [[nodiscard]] std::string select_trial_service(const std::string& service) const;
    void wait_or_end(sub_request& target, guard_decision decision, time_point now);
    void wait(sub_request& target, time_point until, time_point now);
    [[nodiscard]] capacity_waiter waiter_of(const sub_request& target, time_point now) const;
    [[nodiscard]] bool may_take(const sub_request& target, const std::string& service, const upstream& free,
                                time_point now) const;
    [[nodiscard]] bool has_capacity(const upstream& candidate, time_point now) const;
    [[nodiscard]] bool is_busy(const sub_request& target, const std::string& service, time_point now) const;
    [[nodiscard]] bool is_capacity_expected(const sub_request& target, const std::string& service,
                                            time_point now) const;
    [[nodiscard]] bool may_wait_for_capacity(sub_request& target, const std::string& service, time_point now);
    /// whether another attempt could be sent to an upstream if it had capacity
    [[nodiscard]] bool is_usable_for(const sub_request& target, const upstream& candidate,
                                     time_point now) const;
    /// the upstreams of a service that another attempt could be sent to if they had capacity
    [[nodiscard]] std::vector<shared_upstream> usable_for(const sub_request& target,
                                                          const std::string& service, time_point now) const;
    [[nodiscard]] duration expected_wait(time_point now) const;
    [[nodiscard]] bool try_spend(const sub_request& target, const std::string& service, time_point now);
    [[nodiscard]] priority_standing standing_at(const std::string& service, time_point now) const;
    void report_to_crash_guard(const attempt_state& failed, attempt_failure failure, time_point now);
    void record_failure(attempt_state& failed, attempt_failure failure, time_point now);
    void on_no_upstream(sub_request& target, const std::string& service, no_upstream reason, time_point now);
    void retry_or_end(std::size_t index, failure_reason reason, time_point now, actions& result);
    void end_sub_request(sub_request& target, sub_request_state state, failure_reason reason);
    void end_pending(failure_reason reason);
    void release_sub_request(std::size_t index, actions& result);
    [[nodiscard]] std::optional<failure_reason> reason_not_to_search(time_point now) const;
    [[nodiscard]] double chance_of_shard(std::size_t index, time_point now) const;
    [[nodiscard]] scatter_progress progress() const;
    void check(std::size_t index, time_point now, time_point input_read, actions& result);
    /// ends the request if it can end; a search without its slow shards only when all input that had arrived
    /// by then has been handled
    void conclude(time_point now, time_point input_read, actions& result);
    void set_next_check(sub_request& target, time_point at);
    void find_next_check();
    void conclude_single(time_point now, actions& result);
    void conclude_scatter(time_point now, time_point input_read, actions& result);
    [[nodiscard]] gathered gather_replies(const scatter_progress& current);
    void finish(dispatch_result outcome, actions& result);
    [[nodiscard]] verdict current_verdict() const noexcept;
    [[nodiscard]] std::string describe_missing() const;
    [[nodiscard]] unanswered no_answer(failure_reason reason, time_point now) const;
    [[nodiscard]] std::chrono::milliseconds until_end_of_pause(time_point now) const;
    [[nodiscard]] duration hedge_delay(const upstream_choice& choice) const;
    [[nodiscard]] bool is_overdue(const attempt_state& attempt, time_point now) const noexcept;
    void learn_work(const attempt_state& answered, time_point now);
    [[nodiscard]] bool may_repeat() const noexcept
    {
        return m_request.m_repeatability == repeatability::idempotent;
    }

    dispatch_request m_request;
    request_profile m_profile;
    dispatch_context* m_context;
    time_point m_partial_from;      ///< time from which a scatter ends as soon as its coverage is sufficient
    time_point m_input_read{};      ///< at the last call of @ref on_timer
    time_point m_capacity_wait_end; ///< until then, attempts may wait for capacity
    trial_id m_trial_id{0};         ///< 0 until a trial is needed
    std::string m_trial_service;    ///< service at which the trial is made
    time_point m_trial_wait_end{};  ///< until then, attempts wait for the reply to the request for a trial
    bool m_is_trial_active{false};  ///< whether the trial is in flight
    bool m_is_trial_used{false};    ///< whether the trial was made and may have run
    attempt_denied m_denied;        ///< the latest denial by the crash guard
    std::vector<sub_request> m_sub_requests;
    std::size_t m_answered{0};                  ///< number of sub-requests in this state
    std::size_t m_pending;                      ///< number of sub-requests in this state
    time_point m_next_check{time_point::max()}; ///< not after the next check of any pending sub-request
    std::vector<attempt_state> m_attempts;
    std::size_t m_hedges{0};
    duration m_longest_hand_over{duration::zero()};
    std::optional<dispatch_result> m_result;
};

} // namespace teasellead::forwarding
