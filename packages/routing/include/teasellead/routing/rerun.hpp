#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/routing/gather.hpp"
#include "teasellead/routing/hedge_policy.hpp"
#include "teasellead/routing/query_plan.hpp"

namespace teasellead
{

/// why a search isn't run a second time
enum class rerun_refusal
{
    complete,          ///< nothing is missing
    other_reasons,     ///< no shard is missing because of its snapshot
    second_run,        ///< the search has run twice already
    not_idempotent,    ///< the route's requests aren't idempotent and run at most once
    no_newer_snapshot, ///< the current configuration has no newer snapshot
    too_late,          ///< the second run would probably end after the deadline
    budget             ///< the budget of extra sub-requests doesn't allow it
};

/*!
@brief name of a refusal as used in logs and traces

@exceptionsafety never throws
*/
[[nodiscard]] std::string_view to_string(rerun_refusal refusal) noexcept;

/// the search isn't run again; its result is used
class keep_result
{
  public:
    explicit constexpr keep_result(rerun_refusal reason) noexcept : m_reason(reason)
    {
    }

    [[nodiscard]] constexpr rerun_refusal reason() const noexcept
    {
        return m_reason;
    }

    friend constexpr bool operator==(const keep_result&, const keep_result&) noexcept = default;

  private:
    rerun_refusal m_reason;
};

/// the search should run once more, on a newer snapshot
class run_again
{
  public:
    /*!
    @brief creates the outcome

    @param[in] plan  plan of the second run
    @param[in] cost  number of extra sub-requests that the second run is charged
    */
    run_again(shared_plan plan, std::uint32_t cost) : m_plan(std::move(plan)), m_cost(cost)
    {
    }

    [[nodiscard]] const shared_plan& plan() const noexcept
    {
        return m_plan;
    }

    [[nodiscard]] std::uint32_t cost() const noexcept
    {
        return m_cost;
    }

    friend bool operator==(const run_again&, const run_again&) = default;

  private:
    shared_plan m_plan;
    std::uint32_t m_cost;
};

/// whether a finished search runs once more
using rerun_decision = std::variant<run_again, keep_result>;

/// a finished run of a search
class finished_run
{
  public:
    /*!
    @brief creates the description of a run

    @param[in] plan               plan of the run
    @param[in] result             result of the run
    @param[in] is_second          whether the run is a second run
    @param[in] started            when the run started
    @param[in] ended              when the run ended
    @param[in] response_deadline  time by which the response must be sent to the caller
    */
    finished_run(shared_plan plan, gather_result result, bool is_second, time_point started, time_point ended,
                 time_point response_deadline)
        : m_plan(std::move(plan)), m_result(std::move(result)), m_is_second(is_second), m_started(started),
          m_ended(ended), m_response_deadline(response_deadline)
    {
    }

    [[nodiscard]] const shared_plan& plan() const noexcept
    {
        return m_plan;
    }

    [[nodiscard]] const gather_result& result() const noexcept
    {
        return m_result;
    }

    [[nodiscard]] bool is_second() const noexcept
    {
        return m_is_second;
    }

    /// duration of the run
    [[nodiscard]] duration elapsed() const noexcept
    {
        return m_ended - m_started;
    }

    /// time from the end of the run until the response must be sent
    [[nodiscard]] duration time_left() const noexcept
    {
        return m_response_deadline - m_ended;
    }

  private:
    shared_plan m_plan;
    gather_result m_result;
    bool m_is_second;
    time_point m_started;
    time_point m_ended;
    time_point m_response_deadline;
};

/*!
@brief decides whether a search should run once more on a newer snapshot, without charging a budget

@param[in] finished  the run
@param[in] current   current configuration

@return the second run with its cost, or the reason why there is none

@complexity linear in the number of shards
*/
[[nodiscard]] rerun_decision decide_rerun(const finished_run& finished, const shared_revision& current);

/*!
@brief decides as @ref decide_rerun does and charges the second run to a budget

@param[in]     finished  the run
@param[in]     current   current configuration
@param[in,out] budget    charged with the whole cost of the second run, or with nothing

@return the second run, already charged, or the reason why there is none
*/
[[nodiscard]] rerun_decision try_rerun(const finished_run& finished, const shared_revision& current,
                                       hedge_policy& budget);

/*!
@brief the result that covers more of the key space

@param[in] first   result of the first run
@param[in] second  result of the second run

@return @p second unless @p first covers a larger fraction; the two are never merged, since each is based on
        one snapshot. The verdict combines those of both runs.
*/
[[nodiscard]] gather_result better_of(const gather_result& first, const gather_result& second);

} // namespace teasellead
