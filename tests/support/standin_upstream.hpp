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

/// record of a request that an upstream has run
struct upstream_run
{
    std::string m_request_id;
    std::string m_account;
    std::string m_target;
    std::chrono::steady_clock::time_point m_at;
};

/// record of a request that has reached an upstream, with the notice in the reply
struct upstream_arrival
{
    std::string m_request_id;
    std::string m_target;
    std::chrono::steady_clock::time_point m_at;
    bool m_is_told_of_leaving{false};
    std::chrono::milliseconds m_pause{0}; ///< pause that the reply requested
};

class standin_upstream;

/// behaviour of a stand-in for an upstream
struct upstream_behaviour
{
    std::chrono::milliseconds m_work{1};
    bool m_loses_answers{false}; ///< runs requests but sends no reply
    bool m_sheds{false};
    bool m_answers_for_another{false};    ///< the reply carries another request's id
    bool m_says_leaving{false};           ///< announces in its replies that it is leaving
    std::chrono::milliseconds m_pause{0}; ///< refuses requests with this Retry-After
    std::size_t m_long_body{0};           ///< size of the reply to targets that contain `long`, in bytes
    std::string m_crash_target{};         ///< a request with this target crashes the process
    std::chrono::milliseconds m_restart_time{1000};
    /// called on the event loop's thread when the process has started again
    std::function<void(const standin_upstream&)> m_on_restart{};
};

/// stand-in for an upstream that runs requests and records them
class standin_upstream
{
  public:
    standin_upstream(runtime::loop_thread& thread, const teasellead::endpoint& address, std::string instance,
                     std::string service);
    ~standin_upstream();
    standin_upstream(const standin_upstream&) = delete;
    standin_upstream& operator=(const standin_upstream&) = delete;

    void set_behaviour(const upstream_behaviour& behaviour);

    /// requests that the upstream has run so far
    [[nodiscard]] std::vector<upstream_run> runs() const;

    /// requests addressed to this instance that have reached it so far
    [[nodiscard]] std::vector<upstream_arrival> arrivals() const;

    /// the directory entry that the upstream writes to the store
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

    /// the record that the upstream contributes to a gathered response
    [[nodiscard]] std::string record() const;

  private:
    runtime::disconnect_callback take(const runtime::http_request& request,
                                      const runtime::respond_function& respond);
    [[nodiscard]] runtime::http_response reply(const std::string& request_id,
                                               const std::string& target) const;
    [[nodiscard]] runtime::http_response refusal() const;
    void listen();
    void crash();

    runtime::loop_thread& m_thread;
    teasellead::endpoint m_address;
    std::string m_instance;
    std::string m_service;
    runtime::asio::steady_timer m_restart;
    std::int64_t m_born{1};
    std::uint64_t m_life{0}; ///< number of the simulated process; a crash ends it
    upstream_behaviour m_behaviour;
    mutable std::mutex m_mutex;
    std::vector<upstream_run> m_runs;
    std::vector<upstream_arrival> m_arrivals;
    std::unique_ptr<runtime::caller_server> m_server;
};

} // namespace test_support
