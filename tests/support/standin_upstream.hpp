#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "teasellead/runtime/caller_server.hpp"
#include "teasellead/runtime/loop_thread.hpp"

namespace test_support
{

namespace runtime = teasellead::runtime;

/// one request that an upstream has run
struct upstream_run
{
    std::string m_request_id;
    std::string m_account;
    std::string m_target;
    std::chrono::steady_clock::time_point m_at;
};

/// one request that has reached an upstream, and what the upstream said of itself to it
struct upstream_arrival
{
    std::string m_request_id;
    std::string m_target;
    std::chrono::steady_clock::time_point m_at;
    bool m_is_told_of_leaving{false};
    std::chrono::milliseconds m_pause{0}; ///< that was asked for
};

class standin_upstream;

/// how a stand-in of an upstream behaves
struct upstream_behaviour
{
    std::chrono::milliseconds m_work{1};
    bool m_loses_answers{false}; ///< runs requests and answers nothing
    bool m_sheds{false};
    bool m_answers_for_another{false};    ///< the answer bears another request's id
    bool m_says_leaving{false};           ///< says in its answers that it leaves
    std::chrono::milliseconds m_pause{0}; ///< turns requests away and asks for a pause
    std::string m_crash_target{};         ///< a request for it ends the process
    std::chrono::milliseconds m_restart_time{1000};
    /// called when the process has started again, on the loop's thread
    std::function<void(const standin_upstream&)> m_on_restart{};
};

/// stand-in for an upstream that runs requests and remembers them
class standin_upstream
{
  public:
    standin_upstream(runtime::loop_thread& thread, const teasellead::endpoint& address, std::string instance,
                     std::string service);
    ~standin_upstream();
    standin_upstream(const standin_upstream&) = delete;
    standin_upstream& operator=(const standin_upstream&) = delete;

    void set_behaviour(const upstream_behaviour& behaviour);

    /// requests that it has run so far
    [[nodiscard]] std::vector<upstream_run> runs() const;

    /// requests for this process that have reached it so far
    [[nodiscard]] std::vector<upstream_arrival> arrivals() const;

    /// the entry that it writes to the store
    [[nodiscard]] std::string entry(const std::string& state, std::uint64_t sequence,
                                    const std::string& address = {}) const;

    [[nodiscard]] const std::string& instance() const noexcept
    {
        return m_instance;
    }

    [[nodiscard]] const teasellead::endpoint& address() const noexcept
    {
        return m_address;
    }

    [[nodiscard]] const std::string& service() const noexcept
    {
        return m_service;
    }

    /// the record that it contributes to a gathered answer
    [[nodiscard]] std::string record() const;

  private:
    runtime::disconnect_callback take(const runtime::http_request& request,
                                const runtime::respond_function& respond);
    [[nodiscard]] runtime::http_response reply(const std::string& request_id) const;
    [[nodiscard]] runtime::http_response refusal() const;
    void listen();
    void crash();

    runtime::loop_thread& m_thread;
    teasellead::endpoint m_address;
    std::string m_instance;
    std::string m_service;
    runtime::asio::steady_timer m_restart;
    std::int64_t m_born{1};
    std::uint64_t m_life{0}; ///< of the process
    upstream_behaviour m_behaviour;
    mutable std::mutex m_mutex;
    std::vector<upstream_run> m_runs;
    std::vector<upstream_arrival> m_arrivals;
    std::unique_ptr<runtime::caller_server> m_server;
};

} // namespace test_support
