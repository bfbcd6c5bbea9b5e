#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>

#include "teasellead/entry/http_client.hpp"
#include "teasellead/fleet/platform_read_schedule.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/configuration.hpp"
#include "teasellead/kernel/endpoint.hpp"

namespace teasellead
{

/// a value read from the platform, with its revision
struct platform_value
{
    revision_number m_revision{0};
    std::string m_text;

    friend bool operator==(const platform_value&, const platform_value&) = default;
};

/// the platform has no newer revision than the one that the reader already has
struct platform_unchanged
{
    friend bool operator==(const platform_unchanged&, const platform_unchanged&) = default;
};

/// the platform couldn't be reached or responded with an error
struct platform_failure
{
    friend bool operator==(const platform_failure&, const platform_failure&) = default;
};

/// result of a read
struct platform_read_result
{
    std::uint64_t m_id{0}; ///< id of the read
    std::variant<platform_value, platform_unchanged, platform_failure> m_result;
    time_point m_requested_at; ///< when the request was sent

    friend bool operator==(const platform_read_result&, const platform_read_result&) = default;
};

/*!
@brief reads one value of the platform on demand, on a dedicated thread

It never writes to the platform. Safe for use by several threads.
*/
class platform_reader
{
  public:
    /// receives the result of each read that wasn't superseded, on the reader's thread
    using result_handler = std::function<void(const platform_read_result&)>;

    /*!
    @brief starts the thread

    @param[in] platform   address of the platform
    @param[in] path       path of the value
    @param[in] clock      source of time; must outlive the reader
    @param[in] on_result  receives results
    */
    platform_reader(const endpoint& platform, std::string path, const monotonic_clock& clock,
                    result_handler on_result);
    platform_reader(const platform_reader&) = delete;
    platform_reader& operator=(const platform_reader&) = delete;
    ~platform_reader();

    /// starts a read; one in progress is cancelled and its result isn't reported
    void start(const platform_read& requested);

  private:
    void run();
    [[nodiscard]] std::optional<platform_read> wait_for_read();
    [[nodiscard]] bool is_superseded();
    [[nodiscard]] platform_read_result read(const platform_read& requested);

    const monotonic_clock& m_clock;
    std::string m_path;
    result_handler m_on_result;
    http_client m_client;
    std::mutex m_mutex; // no other mutex is locked while this one is held
    std::condition_variable m_changed;
    std::optional<platform_read> m_pending_read;
    bool m_stopping{false};
    std::thread m_thread;
};

} // namespace teasellead
