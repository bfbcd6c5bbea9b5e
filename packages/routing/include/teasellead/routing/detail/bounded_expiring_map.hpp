#pragma once

#include <cstddef>
#include <iterator>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::detail
{

/*!
@brief a map from strings to values that expire, with a maximum size

Inserting into a full map evicts the value that expires first. Operations are logarithmic in the size.

@tparam Value  a copyable type
*/
template <class Value>
class bounded_expiring_map
{
  public:
    /*!
    @brief creates an empty map

    @param[in] capacity  largest number of values, at least 1
    */
    explicit bounded_expiring_map(std::size_t capacity) : m_capacity(capacity)
    {
    }

    /// the value of a key, or null; expired values are found until they are removed
    [[nodiscard]] Value* find(const std::string& key)
    {
        const auto position = m_values.find(key);
        return position == m_values.end() ? nullptr : &position->second.first;
    }

    /// time at which a key expires, which must be present
    [[nodiscard]] time_point expires(const std::string& key) const
    {
        return m_values.at(key).second;
    }

    /// sets the value of a key and the time at which it expires
    void put(const std::string& key, Value value, time_point expires)
    {
        erase(key);
        if (m_values.size() >= m_capacity)
        {
            erase(std::string{m_expiries.begin()->second});
        }
        m_values.emplace(key, std::pair{std::move(value), expires});
        m_expiries.emplace(expires, key);
    }

    /// removes a key if it is present
    void erase(const std::string& key)
    {
        const auto position = m_values.find(key);
        if (position != m_values.end())
        {
            m_expiries.erase({position->second.second, key});
            m_values.erase(position);
        }
    }

    /*!
    @brief removes the values that have expired

    @param[in] now         current time
    @param[in] on_expired  called with key, value and time of expiry of each
    */
    template <class Function>
    void remove_expired(time_point now, Function on_expired)
    {
        while (!m_expiries.empty() && m_expiries.begin()->first <= now)
        {
            const auto [expires, key] = *m_expiries.begin();
            const Value value = m_values.at(key).first;
            erase(key);
            on_expired(key, value, expires);
        }
    }

    /// calls a function with each key, value and time of expiry, in the order of expiry
    template <class Function>
    void for_each(Function function)
    {
        for (const auto& [expires, key] : m_expiries)
        {
            function(key, m_values.at(key).first, expires);
        }
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_values.size();
    }

  private:
    std::size_t m_capacity;
    std::unordered_map<std::string, std::pair<Value, time_point>> m_values;
    std::set<std::pair<time_point, std::string>> m_expiries;
};

} // namespace teasellead::detail
