#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "teasellead/forwarding/crash_record.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/// number of a request that needs a trial, unique within the node; 0 for none
using trial_id = std::uint64_t;

/// the request isn't restricted
struct attempt_allowed
{
    friend bool operator==(const attempt_allowed&, const attempt_allowed&) = default;
};

/// the trial was granted: the request may make its single attempt in isolation
struct trial_allowed
{
    friend bool operator==(const trial_allowed&, const trial_allowed&) = default;
};

/// the trial was requested and the reply hasn't arrived
struct trial_pending
{
    friend bool operator==(const trial_pending&, const trial_pending&) = default;
};

/// no attempt may be made
struct attempt_denied
{
    bool m_is_refused{false}; ///< whether requests with the fingerprint are refused rather than isolated
    std::chrono::milliseconds m_retry_after{0};

    friend bool operator==(const attempt_denied&, const attempt_denied&) = default;
};

/// decision whether an attempt may be made
using crash_check = std::variant<attempt_allowed, trial_allowed, trial_pending, attempt_denied>;

/// a trial that a request needs
struct requested_trial
{
    trial_id m_trial_id{0};
    std::string m_fingerprint;
    std::string m_service; ///< service at which it will be made

    friend bool operator==(const requested_trial&, const requested_trial&) = default;
};

/// a change of the restriction of a fingerprint, for logs
struct restriction_change
{
    std::string m_fingerprint;
    request_restriction m_restriction{request_restriction::clear};
    std::size_t m_lost{0};            ///< number of lost upstreams
    std::size_t m_ended{0};           ///< number of those whose process ended
    std::size_t m_isolated{0};        ///< number of those lost in isolation
    duration m_age{duration::zero()}; ///< time since the first loss

    friend bool operator==(const restriction_change&, const restriction_change&) = default;
};

/*!
@brief detects requests that crash upstreams, and isolates or refuses them

Requests are identified by their fingerprint. The guard records lost connections and replies per fingerprint
and derives the restriction with @ref restriction_of. A reply of a service that has lost an upstream clears
the record, because a request that crashes upstreams never gets a reply. While a request is isolated, an
attempt needs a trial. The fleet grants one trial at a time for each service, so that a crash can't be
attributed to the wrong isolated request. The owner of this object transports the requests for trials and the
replies.

A state machine without I/O. Not safe for concurrent use by several threads.
*/
class crash_guard
{
  public:
    /*!
    @brief decides whether a request may make an attempt, and requests a trial if it needs one

    @param[in] fingerprint    fingerprint of the request
    @param[in] id             trial id of the request
    @param[in] trial_service  service at which a trial would be made
    @param[in] now            current time
    */
    [[nodiscard]] crash_check check(const std::string& fingerprint, trial_id id,
                                    const std::string& trial_service, time_point now);

    /// whether requests with a fingerprint are isolated or refused
    [[nodiscard]] bool is_restricted(const std::string& fingerprint) const;

    /// allocates a trial id for a request
    [[nodiscard]] trial_id next_trial_id() noexcept
    {
        return ++m_last_trial_id;
    }

    /// whether an upstream of the service was lost under the fingerprint
    [[nodiscard]] bool has_loss_at(const std::string& fingerprint, const std::string& service) const;

    /// records that the connection to an upstream was lost while it ran a request
    void on_lost(const std::string& fingerprint, const std::string& service, const upstream_process& process,
                 bool in_isolation, time_point now);

    /// records that the upstream ran the attempt started at `began` and replied
    void on_reply(const std::string& fingerprint, const std::string& service, const upstream_process& process,
                  time_point began, time_point now);

    /// records that a process was alive: it answered the attempt started at `began`, if only by rejecting it
    /// or with an unusable response
    void on_process_alive(const upstream_process& process, time_point began, time_point now);

    /// records that a process has ended without announcing it
    void on_ended(const upstream_process& process, time_point now);

    /// withdraws the request for a trial, or ends the trial
    void end_trial(trial_id id);

    /// removes records that have expired
    void on_tick(time_point now);

    /*!
    @brief clears the restricted fingerprints that begin with the given digits

    @return number of cleared fingerprints
    */
    std::size_t lift(std::string_view digits, time_point now);

    // ---- exchange with other nodes

    /// returns and clears the list of trials that requests need
    [[nodiscard]] std::vector<requested_trial> take_requested_trials();

    /// returns and clears the list of trials that were requested or granted and aren't needed any more
    [[nodiscard]] std::vector<requested_trial> take_ended_trials();

    /// whether one of these two lists has entries
    [[nodiscard]] bool has_trial_updates() const noexcept
    {
        return !m_requested.empty() || !m_ended_trials.empty();
    }

    /// applies the reply to the request for a trial
    void on_trial_reply(trial_id id, bool is_granted, std::chrono::milliseconds retry_after);

    /// earliest time of the next trial under a fingerprint; empty if no more trials are granted
    [[nodiscard]] std::optional<time_point> next_trial(const std::string& fingerprint) const;

    /// counts a granted trial if the fingerprint is refused
    void count_trial(const std::string& fingerprint, time_point now);

    /// merges a record received from another node
    void merge_record(const crash_record& record, time_point now);

    /// the record of a fingerprint; null if there is none
    [[nodiscard]] const crash_record* find(const std::string& fingerprint) const;

    /// returns and clears the list of fingerprints whose records changed by events on this node
    [[nodiscard]] std::vector<std::string> take_locally_changed();

    /// returns and clears the list of fingerprints whose records changed for any reason
    [[nodiscard]] std::vector<std::string> take_changed();

    /// marks a record as changed, so that it is sent to other nodes again
    void mark_changed(const std::string& fingerprint);

    /// fingerprints of all records
    [[nodiscard]] std::vector<std::string> fingerprints() const;

    /// records to be sent to a node that may have missed changes
    [[nodiscard]] std::vector<crash_record> shared_records() const;

    /// whether other nodes may restrict requests with the fingerprint
    [[nodiscard]] bool is_shared(const std::string& fingerprint) const;

    /// returns and clears the list of changed restrictions, for logs
    [[nodiscard]] std::vector<restriction_change> take_restriction_changes();

    /// number of fingerprints with a given restriction
    [[nodiscard]] std::size_t count(request_restriction restriction) const;

  private:
    struct known_request
    {
        crash_record m_record;
        request_restriction m_restriction{request_restriction::clear};
        bool m_was_shared{false}; ///< whether other nodes may restrict requests with the fingerprint
        time_point m_first_loss{};
        time_point m_changed{};
        time_point m_last_trial{}; ///< time of the latest loss in isolation, trial while refused, or refusal
        std::vector<time_point> m_lost_at; ///< time of each loss, in the order of the record
    };

    enum class trial_state
    {
        requested,
        granted,
        denied
    };

    struct trial
    {
        requested_trial m_request;
        trial_state m_state{trial_state::requested};
        std::chrono::milliseconds m_retry_after{0};
    };

    using known_requests = std::unordered_map<std::string, known_request>;

    known_request& find_or_insert(const std::string& fingerprint, time_point now);
    void on_change(known_request& request, std::size_t isolated_before, time_point now);
    void clear(known_request& request, time_point now);
    void update_restriction(known_request& request, time_point now);
    /// disregards, under other fingerprints, the losses of processes that were lost under a refused
    /// fingerprint
    void disregard_explained_losses(time_point now);
    [[nodiscard]] std::chrono::milliseconds until_next_trial(const known_request& request,
                                                             time_point now) const;
    [[nodiscard]] static std::optional<time_point> next_trial_of(const known_request& request);
    void evict_one();

    known_requests m_requests;
    time_point m_watched_until{}; ///< until then, a reply can show that a process has survived a loss
    std::unordered_map<trial_id, trial> m_trials;
    std::vector<requested_trial> m_requested;
    std::vector<requested_trial> m_ended_trials;
    std::vector<std::string> m_locally_changed; ///< fingerprints whose records changed by events on this node
    std::vector<std::string> m_changed;         ///< fingerprints whose records changed for any reason
    std::vector<restriction_change> m_restriction_changes;
    trial_id m_last_trial_id{0};
};

} // namespace teasellead::forwarding
