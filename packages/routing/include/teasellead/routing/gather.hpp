#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/random.hpp"
#include "teasellead/kernel/verdict.hpp"
#include "teasellead/routing/attempt.hpp"
#include "teasellead/routing/coverage.hpp"
#include "teasellead/routing/hedge_policy.hpp"
#include "teasellead/routing/query_plan.hpp"
#include "teasellead/routing/upstream_table.hpp"

namespace teasellead
{

/// action: an attempt must be sent to an upstream
class send_attempt
{
  public:
    /*!
    @brief creates the action

    @param[in] attempt         number of the attempt within the request
    @param[in] target          position of the shard in the plan
    @param[in] chosen          the replica
    @param[in] kind            why the attempt is made
    @param[in] reply_deadline  time from which a reply is no longer used
    */
    send_attempt(attempt_id attempt, std::size_t target, chosen_replica chosen, attempt_kind kind,
                 time_point reply_deadline)
        : m_attempt(attempt), m_target(target), m_chosen(chosen), m_kind(kind),
          m_reply_deadline(reply_deadline)
    {
    }

    [[nodiscard]] attempt_id attempt() const noexcept
    {
        return m_attempt;
    }

    [[nodiscard]] std::size_t target() const noexcept
    {
        return m_target;
    }

    [[nodiscard]] const chosen_replica& chosen() const noexcept
    {
        return m_chosen;
    }

    [[nodiscard]] attempt_kind kind() const noexcept
    {
        return m_kind;
    }

    [[nodiscard]] time_point reply_deadline() const noexcept
    {
        return m_reply_deadline;
    }

    friend bool operator==(const send_attempt&, const send_attempt&) = default;

  private:
    attempt_id m_attempt;
    std::size_t m_target;
    chosen_replica m_chosen;
    attempt_kind m_kind;
    time_point m_reply_deadline;
};

/// action: an attempt must be cancelled; its reply is no longer used
class cancel_attempt
{
  public:
    explicit cancel_attempt(attempt_id attempt) : m_attempt(attempt)
    {
    }

    [[nodiscard]] attempt_id attempt() const noexcept
    {
        return m_attempt;
    }

    friend bool operator==(const cancel_attempt&, const cancel_attempt&) = default;

  private:
    attempt_id m_attempt;
};

/// what the driver of a search must do
using gather_action = std::variant<send_attempt, cancel_attempt>;

/// result of a search
class gather_result
{
  public:
    gather_result(snapshot_id snapshot, class coverage coverage, std::vector<std::string> bodies,
                  verdict effect)
        : m_snapshot(snapshot), m_coverage(std::move(coverage)), m_bodies(std::move(bodies)),
          m_verdict(effect)
    {
    }

    [[nodiscard]] snapshot_id snapshot() const noexcept
    {
        return m_snapshot;
    }

    [[nodiscard]] const class coverage& coverage() const noexcept
    {
        return m_coverage;
    }

    /// reply bodies of the shards that replied, in the order of the plan
    [[nodiscard]] const std::vector<std::string>& bodies() const noexcept
    {
        return m_bodies;
    }

    [[nodiscard]] enum verdict verdict() const noexcept
    {
        return m_verdict;
    }

    friend bool operator==(const gather_result&, const gather_result&) = default;

  private:
    snapshot_id m_snapshot;
    class coverage m_coverage;
    std::vector<std::string> m_bodies;
    enum verdict m_verdict;
};

/// objects that a search uses together with the other searches of the host
class gather_context
{
  public:
    /*!
    @brief creates a context; the referenced objects must outlive it

    @param[in] upstreams  state of the upstreams
    @param[in] hedging    hedges, retries and their budget
    @param[in] random     source of randomness of this search
    */
    gather_context(upstream_table& upstreams, hedge_policy& hedging, random_source& random)
        : m_upstreams(&upstreams), m_hedging(&hedging), m_random(&random)
    {
    }

    [[nodiscard]] upstream_table& upstreams() const noexcept
    {
        return *m_upstreams;
    }

    [[nodiscard]] hedge_policy& hedging() const noexcept
    {
        return *m_hedging;
    }

    [[nodiscard]] random_source& random() const noexcept
    {
        return *m_random;
    }

  private:
    upstream_table* m_upstreams;
    hedge_policy* m_hedging;
    random_source* m_random;
};

/*!
@brief one idempotent search over many shards (scatter-gather) as a state machine without I/O

The driver executes the actions that each event returns and reports replies, failures and the passing of time.
All shard replies of the result are based on the plan's snapshot; a reply is accepted only if it echoes
request id, shard, shard map and snapshot. Not safe for use by several threads.
*/
class gather
{
  public:
    /*!
    @brief creates a search

    @param[in] request_id         id that each reply must echo
    @param[in] plan               shards, snapshot and shard map
    @param[in] context            upstreams, hedging and randomness
    @param[in] response_deadline  time at which the response must be sent, complete or partial
    */
    gather(std::string request_id, shared_plan plan, gather_context context, time_point response_deadline);

    /*!
    @brief starts the search

    @param[in] current  current configuration
    @param[in] now      current time

    @return attempts to send
    */
    [[nodiscard]] std::vector<gather_action> start(const configuration& current, time_point now);

    /*!
    @brief handles a reply

    @param[in] attempt  attempt that the reply belongs to; replies to ended attempts are ignored
    @param[in] reply    the reply
    @param[in] current  current configuration
    @param[in] now      current time

    @return attempts to send and to cancel
    */
    [[nodiscard]] std::vector<gather_action> on_reply(attempt_id attempt, const upstream_reply& reply,
                                                      const configuration& current, time_point now);

    /// handles a failure of an attempt; see @ref on_reply
    [[nodiscard]] std::vector<gather_action> on_failure(attempt_id attempt, attempt_failure failure,
                                                        const configuration& current, time_point now);

    /// makes hedges and deferred attempts that are due, and ends the search at its deadline
    [[nodiscard]] std::vector<gather_action> on_timer(const configuration& current, time_point now);

    /*!
    @brief ends the search because nobody waits for its response

    @param[in] now  current time

    @return attempts to cancel
    */
    [[nodiscard]] std::vector<gather_action> cancel(time_point now);

    /// time at which @ref on_timer must be called next
    [[nodiscard]] time_point next_wakeup() const;

    /// whether every shard has replied or is missing
    [[nodiscard]] bool finished() const noexcept
    {
        return m_open_targets == 0;
    }

    /// number of attempts that were made
    [[nodiscard]] std::size_t attempts() const noexcept
    {
        return m_attempts.size();
    }

    /*!
    @brief the result

    @pre @ref finished()
    */
    [[nodiscard]] gather_result result() const;

  private:
    enum class target_state
    {
        open,
        answered,
        missing
    };

    struct target_progress
    {
        target_state m_state{target_state::open};
        missing_reason m_reason{missing_reason::deadline};
        std::vector<endpoint> m_tried;
        std::uint32_t m_active{0};
        std::optional<attempt_id> m_last_attempt;
        bool m_hedged{false};
        std::uint32_t m_covered_keys{0};
        std::string m_body;
        time_point m_next_check;
    };

    struct attempt_progress
    {
        std::size_t m_target;
        endpoint m_upstream;
        attempt_kind m_kind;
        time_point m_started;
        bool m_active;
        std::optional<attempt_id> m_previous; ///< previous attempt on the same shard
    };

    /// why a reply isn't accepted for a shard, or nothing
    [[nodiscard]] std::optional<attempt_failure> mismatch_of(const shard_target& target,
                                                             const upstream_reply& reply) const;
    void try_send(std::size_t target, attempt_kind kind, const configuration& current, time_point now,
                  std::vector<gather_action>& actions);
    void on_no_replica(std::size_t target, missing_reason reason, time_point now, bool may_wait);
    void end_attempt(attempt_progress& attempt) noexcept;
    void cancel_others(std::size_t target, time_point now, std::vector<gather_action>& actions);
    void cancel_one(attempt_id cancelled, time_point now, std::vector<gather_action>& actions);
    void close(std::size_t target, target_state state, missing_reason reason);
    void handle_failure(attempt_id attempt, attempt_failure failure, verdict effect,
                        const configuration& current, time_point now, std::vector<gather_action>& actions);
    void hedge(std::size_t target, const configuration& current, time_point now,
               std::vector<gather_action>& actions);
    void close_open_targets(time_point now, std::vector<gather_action>& actions);
    void end_at_deadline(time_point now, std::vector<gather_action>& actions);

    std::string m_request_id;
    shared_plan m_plan;
    gather_context m_context;
    time_point m_response_deadline;
    time_point m_cold_wait_until;
    std::vector<target_progress> m_targets;
    std::vector<attempt_progress> m_attempts;
    std::size_t m_open_targets;
    verdict m_verdict{verdict::not_run};
};

} // namespace teasellead
