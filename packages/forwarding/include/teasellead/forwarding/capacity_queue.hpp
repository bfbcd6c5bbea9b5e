#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "teasellead/forwarding/upstream.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/// an attempt that waits, or would have to wait, until an upstream of a service has free capacity
struct capacity_waiter
{
    std::uint32_t m_priority{0}; ///< 0 is the most urgent
    std::string m_account;       ///< empty if there is none
    time_point m_joined;
    time_point m_until;                     ///< when it stops waiting
    std::vector<shared_upstream> m_tried{}; ///< upstreams that it can't use

    friend bool operator==(const capacity_waiter&, const capacity_waiter&) = default;
};

/*!
@brief the order in which attempts get capacity that becomes free at a service's upstreams

Ordered by priority, then by how much the account was served recently, then by the end of the wait. One of
some attempts goes to those of lower priority that are near the end of their wait, so that they don't starve.
The queue decides about the order only: waiting attempts ask @ref may_take again and again. Not safe for
concurrent use by several threads.
*/
class capacity_queue
{
  public:
    class place;

    /// maximum number of attempts that wait for one service
    static constexpr std::size_t max_waiting = 64;

    capacity_queue();

    /*!
    @brief adds an attempt; if the queue of the service is full, the last in order loses its place

    @return the place, which ends with the object; empty if the queue is full and the attempt would be last

    @complexity linear in the number of attempts that wait for the service
    */
    [[nodiscard]] std::optional<place> join(const std::string& service, capacity_waiter waiter,
                                            time_point now);

    /*!
    @brief whether an attempt without a place may use an upstream's free capacity

    It gives way to all waiting attempts that can use the upstream and are at least as urgent.
    */
    [[nodiscard]] bool may_take(const std::string& service, const capacity_waiter& arrival,
                                const upstream& free, time_point now) const;

    /*!
    @brief counts an attempt that was made

    @param[in] service  its service
    @param[in] account  its account; may be empty
    @param[in] taken    its place in the queue; null if it didn't wait
    @param[in] now      current time
    */
    void on_sent(const std::string& service, const std::string& account, const place* taken, time_point now);

    /// number of attempts that wait for a service and would precede this one
    [[nodiscard]] std::size_t ahead_of(const std::string& service, const capacity_waiter& arrival,
                                       time_point now) const;

    /// number of attempts that wait for a service
    [[nodiscard]] std::size_t size(const std::string& service) const;

    /// number of waiting attempts by priority
    [[nodiscard]] std::map<std::uint32_t, std::size_t> count_by_priority() const;

    /// number of attempts that have lost their place, or got none, because the queue was full
    [[nodiscard]] std::uint64_t displaced() const noexcept;

  private:
    struct state;

    std::shared_ptr<state> m_state;
};

/// an attempt's place in a @ref capacity_queue, which it leaves when the object is destroyed; may outlive it
class capacity_queue::place
{
  public:
    place(place&&) noexcept = default;
    place& operator=(place&& other) noexcept
    {
        std::swap(m_queue, other.m_queue);
        std::swap(m_service, other.m_service);
        std::swap(m_id, other.m_id);
        return *this;
    }
    place(const place&) = delete;
    place& operator=(const place&) = delete;
    ~place();

    /// whether the attempt has lost its place to a more urgent one
    [[nodiscard]] bool is_lost() const;

    /// whether the attempt is the first that can use an upstream's free capacity
    [[nodiscard]] bool may_take(const upstream& free, time_point now) const;

    /// number of attempts that precede this one
    [[nodiscard]] std::size_t ahead(time_point now) const;

  private:
    friend class capacity_queue;

    place(std::weak_ptr<state> queue, std::string service, std::uint64_t id)
        : m_queue(std::move(queue)), m_service(std::move(service)), m_id(id)
    {
    }

    std::weak_ptr<state> m_queue;
    std::string m_service;
    std::uint64_t m_id;
};

} // namespace teasellead::forwarding
