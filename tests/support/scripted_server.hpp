#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/runtime/asio.hpp"
#include "teasellead/runtime/loop_thread.hpp"

namespace test_support
{

namespace runtime = teasellead::runtime;

/// what a @ref scripted_server sends after the head of a request
struct scripted_answer
{
    std::string m_bytes;
    bool m_closes{false}; ///< closes the connection after the bytes
};

/// server that answers each request, which must have no body, with bytes that needn't be a valid response
class scripted_server
{
  public:
    /// returns the answer to the head of a request; called on the loop's thread
    using responder = std::function<scripted_answer(const std::string& head)>;

    scripted_server(runtime::loop_thread& thread, const teasellead::endpoint& address, responder respond);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    /// number of requests so far
    [[nodiscard]] std::size_t requests() const;

    /// largest number of requests on one connection
    [[nodiscard]] std::size_t most_requests_on_a_connection() const;

  private:
    class session;

    void accept();

    runtime::loop_thread& m_thread;
    std::unique_ptr<runtime::tcp::acceptor> m_acceptor;
    responder m_respond;
    std::map<const session*, std::shared_ptr<session>> m_sessions;
    std::size_t m_requests{0};
    std::size_t m_most_on_a_connection{0};
    std::shared_ptr<int> m_alive{std::make_shared<int>()}; ///< expires when the server is destroyed
};

} // namespace test_support
