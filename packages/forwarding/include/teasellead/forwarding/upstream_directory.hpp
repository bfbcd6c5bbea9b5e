#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "teasellead/forwarding/expected_completion.hpp"
#include "teasellead/forwarding/network_distance.hpp"
#include "teasellead/forwarding/upstream.hpp"
#include "teasellead/forwarding/upstream_notice.hpp"
#include "teasellead/forwarding/work_estimator.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead::forwarding
{

/// an entry of the directory, or only its name if the entry is invalid
struct directory_item
{
    std::string m_instance;
    std::optional<upstream_entry> m_entry; ///< empty if the entry is invalid

    friend bool operator==(const directory_item&, const directory_item&) = default;
};

/// what became of an entry that was published
enum class entry_outcome
{
    listed,    ///< its upstream is listed with this entry
    outdated,  ///< passed over: a later report of the same upstream is known
    held_back, ///< from a backup, and its upstream was removed before: not listed yet
    removed    ///< it is invalid, so its upstream isn't listed any more
};

/// an upstream whose process has ended without announcing it
struct ended_upstream
{
    upstream_process m_process;
    std::string m_service;

    friend bool operator==(const ended_upstream&, const ended_upstream&) = default;
};

/// why no upstream of a service was selected for an attempt
enum class no_upstream
{
    none_known, ///< none is listed, or all are leaving, evacuated or ejected
    all_busy,   ///< at least one that could otherwise be selected has no free capacity
    all_paused, ///< at least one that could otherwise be selected has requested a pause, and none is busy
    all_tried   ///< the request has already been sent to all that could be selected
};

/// the upstream that was selected for an attempt, and why
struct upstream_choice
{
    shared_upstream m_upstream;
    work_estimate m_work;
    completion_estimate m_expected;
    bool m_is_rerouted{false}; ///< whether the estimate is clearly lower than at the nearest least loaded one

    friend bool operator==(const upstream_choice&, const upstream_choice&) = default;
};

/// whether an upstream could get a new attempt now, or why not
enum class candidate_state
{
    usable,
    leaving,    ///< its entry or its process says that it is draining
    evacuated,  ///< its data centre gets no new attempts
    ejected,    ///< its attempts failed
    paused,     ///< it has requested a pause
    ramping_up, ///< its pause has just ended
    full        ///< this node may not open another connection to it
};

/// the name of a state in operators' output
[[nodiscard]] std::string_view to_string(candidate_state state) noexcept;

/// an upstream as a request would find it
struct upstream_candidate
{
    shared_upstream m_upstream;
    candidate_state m_state{candidate_state::usable};
    completion_estimate m_expected;

    friend bool operator==(const upstream_candidate&, const upstream_candidate&) = default;
};

/*!
@brief the upstreams that are published in the deployment's store, by service

Entries may expire in the store only because the store was unavailable and upstreams couldn't renew them. Such
entries are kept until the owner of this object calls @ref remove_expired, some time after the store is
available again. Not safe for concurrent use by several threads.
*/
class upstream_directory
{
  public:
    /// @param[in] own_data_centre  data centre of this node, whose upstreams are preferred
    explicit upstream_directory(std::string own_data_centre) : m_distances(std::move(own_data_centre))
    {
    }

    /// applies a new or changed entry; an invalid entry is treated as a removal
    entry_outcome on_change(const directory_item& item, time_point now);

    /*!
    @brief applies an entry that the store holds after it came back from a backup

    An entry of an upstream that was removed before is held back until @ref release_held_back or a later
    report: the upstream may have ended, which the store doesn't know any more. Such an entry expires again.
    */
    entry_outcome on_restored(const directory_item& item, time_point now);

    /// lists the upstreams whose entries were held back and haven't expired since
    void release_held_back(time_point now);

    /*!
    @brief applies the removal of an entry

    @param[in] instance         instance name of the entry
    @param[in] keep_if_expired  whether the entry may have expired only because the store was unavailable; if
    so, it is kept until @ref remove_expired
    */
    void on_removed(const std::string& instance, bool keep_if_expired);

    /*!
    @brief applies what an upstream has announced in a response, and the load that it reported

    The announcement stays in force for the same process if its entry is removed and published again. A pause
    longer than @ref longest_pause is shortened to it.
    */
    void on_notice(upstream& from, const upstream_notice& notice, time_point now);

    /// longest pause that an upstream can request
    static constexpr std::chrono::milliseconds longest_pause = std::chrono::minutes{2};

    /// the earliest end of a pause among a service's upstreams; empty if none is paused
    [[nodiscard]] std::optional<time_point> end_of_pause(const std::string& service, time_point now) const;

    /// removes the entries that were kept after their expiry and haven't been published again
    void remove_expired();

    /// returns and clears the list of upstreams that have ended without announcing it
    [[nodiscard]] std::vector<ended_upstream> take_ended();

    /// sets the data centres whose upstreams get no new attempts
    void set_evacuated(std::set<std::string> data_centres);

    [[nodiscard]] const std::set<std::string>& evacuated() const noexcept
    {
        return m_evacuated;
    }

    /// whether an upstream is neither leaving nor in an evacuated data centre
    [[nodiscard]] bool may_receive(const upstream& candidate) const;

    /// returns whether there is capacity for another attempt at an upstream
    using capacity_check = std::function<bool(const upstream&)>;

    /*!
    @brief selects the upstream with the lowest expected completion time

    A random addition to each time spreads the load over upstreams that are about equal.

    @param[in] service       name of the service
    @param[in] work          expected work of the request
    @param[in] tried         upstreams that the request has already been sent to
    @param[in] has_capacity  whether an upstream has capacity for another attempt
    @param[in] random        source of the random additions
    @param[in] now           current time

    @return the choice, or the reason why none was made

    @complexity linear in the number of the service's upstreams and of this node's attempts at them
    */
    [[nodiscard]] std::variant<upstream_choice, no_upstream>
    choose(const std::string& service, const work_estimate& work, std::span<const shared_upstream> tried,
           const capacity_check& has_capacity, random_source& random, time_point now) const;

    /// listed upstreams of a service in no order, empty if there are none; valid until the next change
    [[nodiscard]] std::span<const shared_upstream> upstreams_of(const std::string& service) const;

    /// increases whenever the listed upstreams, their entries or the evacuated data centres may have changed
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    /// the same for the upstreams of one service; never 0
    [[nodiscard]] std::uint64_t version_of(const std::string& service) const;

    /*!
    @brief the lowest expected completion time of a request among the upstreams that may get it now

    @param[in] service  name of the service
    @param[in] work     expected work of the request
    @param[in] now      current time

    @return the estimate; empty if there is no such upstream
    */
    [[nodiscard]] std::optional<completion_estimate>
    expected_wait(const std::string& service, const work_estimate& work, time_point now) const;

    /*!
    @brief lists the upstreams of a service for a request, without sending it

    @return the usable ones first, ordered by their expected completion without the random addition

    @complexity as @ref choose, and for sorting
    */
    [[nodiscard]] std::vector<upstream_candidate> candidates(const std::string& service,
                                                             const work_estimate& work,
                                                             const capacity_check& has_capacity,
                                                             time_point now) const;

    /// learns the network distance from the latency of a successful attempt
    void on_latency(const upstream& from, duration latency)
    {
        m_distances.add(from.entry().m_service, from.entry().m_data_centre, latency);
    }

    /// sets how to find out whether this node has a share in an upstream's connections; the others are
    /// chosen only if none of those in which it has one can be, or if these are expected to take far longer
    void set_share_check(std::function<bool(const upstream&)> has_share)
    {
        m_has_share = std::move(has_share);
    }

    /// sets how to find out whether a connection to an upstream is open
    void set_connection_check(connection_check has_connection)
    {
        m_has_connection = std::move(has_connection);
    }

    /// whether an upstream may get attempts and is neither ejected nor paused
    [[nodiscard]] bool is_candidate(const upstream& each, time_point now) const;

    /// whether at least one upstream of a service may get attempts and is neither ejected nor paused
    [[nodiscard]] bool has_candidates(const std::string& service, time_point now) const;

    /// the listed upstream with an instance name, or null
    [[nodiscard]] shared_upstream find(const std::string& instance) const
    {
        const auto found = m_by_instance.find(instance);
        return found == m_by_instance.end() ? nullptr : found->second;
    }

    /// all listed upstreams by instance name
    [[nodiscard]] const std::unordered_map<std::string, shared_upstream>& upstreams() const noexcept
    {
        return m_by_instance;
    }

    /// number of listed upstreams
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_by_instance.size();
    }

  private:
    /// version of the latest entry of an instance, and what its process has announced
    struct instance_state
    {
        std::int64_t m_incarnation{0};
        std::uint64_t m_sequence{0};
        bool m_was_removed{false}; ///< whether its entry was removed and not published again
        bool m_has_announced_shutdown{false};
        time_point m_paused_until{};
    };

    [[nodiscard]] candidate_state state_of(const upstream& candidate, const capacity_check& has_capacity,
                                           time_point now) const;
    /// whether this node has a share in an upstream's connections
    [[nodiscard]] bool has_share(const upstream& candidate) const
    {
        return !m_has_share || m_has_share(candidate);
    }
    /// whether a later version of the entry has been applied
    [[nodiscard]] bool is_outdated(const upstream_entry& entry) const;
    void insert(const upstream_entry& entry, time_point now);
    void erase(const std::string& instance);
    /// erases an instance whose entry the store doesn't have any more
    void erase_removed(const std::string& instance);
    /// stores which instance uses an address; if an older instance used it and wasn't leaving, it has ended
    void record_address(const upstream_entry& entry);

    /// counts a change of a service's upstreams
    void count_change(const std::string& service);

    std::uint64_t m_version{1};
    std::uint64_t m_common_version{1}; ///< version of the latest change that concerns all services
    std::unordered_map<std::string, std::uint64_t> m_service_versions;
    network_distance m_distances;
    connection_check m_has_connection;
    std::function<bool(const upstream&)> m_has_share;
    std::set<std::string> m_evacuated;
    std::unordered_map<std::string, shared_upstream> m_by_instance;
    std::unordered_map<std::string, std::vector<shared_upstream>> m_by_service;
    std::unordered_map<endpoint, std::string> m_by_address; ///< instance names
    std::vector<ended_upstream> m_ended;
    std::set<std::string> m_expired;                             ///< instances whose expired entries are kept
    std::unordered_map<std::string, upstream_entry> m_held_back; ///< entries of a backup that aren't used yet
    std::unordered_map<std::string, instance_state>
        m_instance_states; ///< also of instances that were removed
};

} // namespace teasellead::forwarding
