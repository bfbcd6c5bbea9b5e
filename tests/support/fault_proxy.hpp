#pragma once

#include <array>
#include <memory>
#include <set>

#include "teasellead/runtime/loop_thread.hpp"

namespace test_support
{

namespace runtime = teasellead::runtime;

/// fault that a proxy injects into its connections
enum class link_fault
{
    none,
    delayed, ///< bytes are forwarded late
    reset,   ///< open and new connections are reset
    one_way, ///< bytes towards the client are discarded
    silent   ///< all bytes are discarded
};

/// a loopback TCP proxy that injects faults on request; runs on an event loop thread
class fault_proxy
{
  public:
    fault_proxy(runtime::loop_thread& thread, const teasellead::endpoint& listen,
                const teasellead::endpoint& target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    void set_fault(link_fault fault);

  private:
    class tunnel;

    void accept();

    runtime::loop_thread& m_thread;
    teasellead::endpoint m_target;
    runtime::tcp::acceptor m_acceptor;
    link_fault m_fault{link_fault::none};
    std::set<std::shared_ptr<tunnel>> m_tunnels;
};

} // namespace test_support
