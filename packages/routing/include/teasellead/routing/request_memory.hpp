#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/ordered_mutex.hpp"
#include "teasellead/kernel/verdict.hpp"
#include "teasellead/routing/final_response.hpp"
#include "teasellead/routing/request_id.hpp"

namespace teasellead
{

/// receives the response to a request that was still running when a repeat of it arrived
using response_listener = std::function<void(const final_response&)>;

/// the id is used for the first time: the caller must run the request and complete it
struct request_admitted
{
    friend constexpr bool operator==(const request_admitted&, const request_admitted&) noexcept = default;
};

/// the request is already running; the listener will receive its response
struct request_running
{
    friend constexpr bool operator==(const request_running&, const request_running&) noexcept = default;
};

/// the request has ended and its response is stored
class request_ended
{
  public:
    explicit request_ended(std::shared_ptr<const final_response> response) : m_response(std::move(response))
    {
    }

    /// the response, the same for every repeat
    [[nodiscard]] const final_response& response() const noexcept
    {
        return *m_response;
    }

    friend bool operator==(const request_ended& lhs, const request_ended& rhs)
    {
        return *lhs.m_response == *rhs.m_response;
    }

  private:
    std::shared_ptr<const final_response> m_response;
};

/// the request has ended and its response is too large to be stored
class answer_dropped
{
  public:
    explicit constexpr answer_dropped(enum verdict effect) noexcept : m_verdict(effect)
    {
    }

    [[nodiscard]] constexpr enum verdict verdict() const noexcept
    {
        return m_verdict;
    }

    friend constexpr bool operator==(const answer_dropped&, const answer_dropped&) noexcept = default;

  private:
    enum verdict m_verdict;
};

/// why a request isn't admitted
enum class admission_error
{
    expired,         ///< the id expired between its validation and its admission
    other_request,   ///< the id was used for a request with another fingerprint
    memory_full,     ///< the largest number of requests is recorded
    too_many_waiters ///< the request is running and too many repeats of it wait for its response
};

/*!
@brief name of an error as used in responses, logs and traces

@exceptionsafety never throws
*/
[[nodiscard]] std::string_view to_string(admission_error error) noexcept;

/// the request isn't admitted
class admission_refused
{
  public:
    /*!
    @brief creates a refusal

    @param[in] error   why the request isn't admitted
    @param[in] effect  @ref verdict::not_run only if the request has never run and never will with this id
    */
    constexpr admission_refused(admission_error error, enum verdict effect) noexcept
        : m_error(error), m_verdict(effect)
    {
    }

    [[nodiscard]] constexpr admission_error error() const noexcept
    {
        return m_error;
    }

    [[nodiscard]] constexpr enum verdict verdict() const noexcept
    {
        return m_verdict;
    }

    friend constexpr bool operator==(const admission_refused&, const admission_refused&) noexcept = default;

  private:
    admission_error m_error;
    enum verdict m_verdict;
};

/// outcome of the admission of a request id
using request_admission =
    std::variant<request_admitted, request_running, request_ended, answer_dropped, admission_refused>;

/// size limits of @ref request_memory
class request_memory_settings
{
  public:
    /*!
    @brief creates settings

    @param[in] max_requests   largest number of requests that run, ran or may have run
    @param[in] max_refusals   largest number of requests that ended with @ref verdict::not_run
    @param[in] max_body_size  size in bytes of the largest response body that is stored
    @param[in] max_waiters    largest number of repeats that wait for the response to one request
    */
    constexpr request_memory_settings(std::size_t max_requests, std::size_t max_refusals,
                                      std::size_t max_body_size, std::size_t max_waiters) noexcept
        : m_max_requests(max_requests), m_max_refusals(max_refusals), m_max_body_size(max_body_size),
          m_max_waiters(max_waiters)
    {
    }

    [[nodiscard]] constexpr std::size_t max_requests() const noexcept
    {
        return m_max_requests;
    }

    [[nodiscard]] constexpr std::size_t max_refusals() const noexcept
    {
        return m_max_refusals;
    }

    [[nodiscard]] constexpr std::size_t max_body_size() const noexcept
    {
        return m_max_body_size;
    }

    [[nodiscard]] constexpr std::size_t max_waiters() const noexcept
    {
        return m_max_waiters;
    }

    friend constexpr bool operator==(const request_memory_settings&,
                                     const request_memory_settings&) noexcept = default;

  private:
    std::size_t m_max_requests;
    std::size_t m_max_refusals;
    std::size_t m_max_body_size;
    std::size_t m_max_waiters;
};

/*!
@brief deduplicates non-idempotent requests: the used request ids of this incarnation of this host, with the
responses to their requests

An id admits one request. A refusal with @ref verdict::not_run is recorded too, so that a copy of the request
that arrives later can't run after the caller has received the refusal. An entry is removed when its id has
expired and its request has ended; an expired id is never admitted.

Safe for use by several threads. Listeners are called without the lock.
*/
class request_memory
{
  public:
    explicit request_memory(request_memory_settings settings);

    /*!
    @brief admits a request, or returns the state of the earlier request with its id

    @param[in] id           a valid id of this host
    @param[in] fingerprint  fingerprint of the request
    @param[in] on_response  called once with the response if the outcome is @ref request_running; may be empty
    @param[in] now          current time

    @return what to do with the request

    @complexity logarithmic in the number of entries, plus the removal of expired entries
    */
    [[nodiscard]] request_admission admit(const own_request_id& id, std::string_view fingerprint,
                                          response_listener on_response, time_point now);

    /*!
    @brief records the end of an admitted request and passes the response to the repeats that wait for it

    A second call, for a late reply of an upstream, replaces a response with @ref verdict::may_have_run by one
    with @ref verdict::ran; other second calls are ignored.

    @param[in] id        id of the request
    @param[in] response  response to the caller
    */
    void complete(const own_request_id& id, final_response response);

    /// number of requests that run, ran or may have run
    [[nodiscard]] std::size_t requests() const;

    /// number of recorded requests that ended with @ref verdict::not_run
    [[nodiscard]] std::size_t refusals() const;

  private:
    struct entry
    {
        std::string m_fingerprint;
        std::shared_ptr<const final_response>
            m_response; ///< null while the request runs and if the table was full
        bool m_body_dropped{false};
        bool m_refusal{false};
        bool m_expired{false};
        std::vector<response_listener> m_waiters;
    };

    using entries = std::unordered_map<request_sequence, entry>;

    [[nodiscard]] static bool was_refused_at_capacity(const entry& known);
    [[nodiscard]] static bool is_running(const entry& known);
    [[nodiscard]] request_admission admit_repeat(entry& known, std::string_view fingerprint,
                                                 response_listener on_response);
    [[nodiscard]] request_admission refuse_at_capacity(const own_request_id& id);
    void remove_expired(time_point now);
    void remove(entries::iterator position);
    void store_response(entry& ended, final_response response);

    using mutex = ordered_mutex<lock_level::used_request_ids>;

    const request_memory_settings m_settings;
    mutable mutex m_mutex;
    time_point m_latest_time; ///< latest time that was passed in
    entries m_entries;
    std::set<std::pair<time_point, request_sequence>> m_expiries;
    std::size_t m_requests{0};
    std::size_t m_refusals{0};
};

} // namespace teasellead
