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

#include "teasellead/forwarding/upstream.hpp"
#include "teasellead/forwarding/upstream_notice.hpp"
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
    explicit upstream_directory(std::string own_data_centre) : m_own_data_centre(std::move(own_data_centre))
    {
    }

    /// applies a new or changed entry; an invalid entry is treated as a removal
    void on_change(const directory_item& item, time_point now);

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
    @brief selects the upstream with the lowest expected latency

    Upstreams of other data centres get a penalty. A random addition to each latency spreads the load over
    upstreams that are about equal.

    @param[in] service       name of the service
    @param[in] tried         upstreams that the request has already been sent to
    @param[in] has_capacity  whether an upstream has capacity for another attempt
    @param[in] random        source of the random additions
    @param[in] now           current time

    @return the upstream, or the reason why none was selected

    @complexity linear in the number of the service's upstreams
    */
    [[nodiscard]] std::variant<shared_upstream, no_upstream>
    choose(const std::string& service, std::span<const shared_upstream> tried,
           const capacity_check& has_capacity, random_source& random, time_point now) const;

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
        bool m_has_announced_shutdown{false};
        time_point m_paused_until{};
    };

    /// whether a later version of the entry has been applied
    [[nodiscard]] bool is_outdated(const upstream_entry& entry) const;
    void insert(const upstream_entry& entry, time_point now);
    void erase(const std::string& instance);
    /// stores which instance uses an address; if an older instance used it and wasn't leaving, it has ended
    void record_address(const upstream_entry& entry);

    std::string m_own_data_centre;
    std::set<std::string> m_evacuated;
    std::unordered_map<std::string, shared_upstream> m_by_instance;
    std::unordered_map<std::string, std::vector<shared_upstream>> m_by_service;
    std::unordered_map<endpoint, std::string> m_by_address; ///< instance names
    std::vector<ended_upstream> m_ended;
    std::set<std::string> m_expired; ///< instances whose expired entries are kept
    std::unordered_map<std::string, instance_state>
        m_instance_states; ///< also of instances that were removed
};

} // namespace teasellead::forwarding
