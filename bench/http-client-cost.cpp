// compares ulfius's HTTP client with the persistent connection of http_client: connections that the server
// accepts and time of a call
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <ulfius.h>
#include <unistd.h>
#include <vector>

#include "raw_listener.hpp"
#include "teasellead/entry/http_client.hpp"

namespace
{

constexpr int calls = 500;
constexpr std::uint16_t port = 9399;

/// answers every request on any number of persistent connections and counts the connections
class counting_server
{
  public:
    counting_server() : m_listener(test_support::listen_on_loopback(port)), m_thread([this] { run(); })
    {
    }

    counting_server(const counting_server&) = delete;
    counting_server& operator=(const counting_server&) = delete;

    ~counting_server()
    {
        m_stopping = true;
        m_thread.join();
        ::close(m_listener);
    }

    [[nodiscard]] int accepted() const noexcept
    {
        return m_accepted;
    }

  private:
    void run()
    {
        constexpr int poll_ms = 20;
        std::vector<pollfd> sockets{{m_listener, POLLIN, 0}};
        while (!m_stopping)
        {
            if (::poll(sockets.data(), sockets.size(), poll_ms) <= 0)
            {
                continue;
            }
            for (std::size_t position = sockets.size() - 1; position > 0; --position)
            {
                if (sockets[position].revents != 0 && !answer(sockets[position].fd))
                {
                    ::close(sockets[position].fd);
                    sockets.erase(sockets.begin() + static_cast<std::ptrdiff_t>(position));
                }
            }
            if (sockets.front().revents != 0)
            {
                ++m_accepted;
                sockets.push_back({::accept(m_listener, nullptr, nullptr), POLLIN, 0});
            }
        }
    }

    static bool answer(int socket)
    {
        char buffer[4096];
        if (::recv(socket, buffer, sizeof(buffer), 0) <= 0)
        {
            return false;
        }
        const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        return ::send(socket, reply.data(), reply.size(), MSG_NOSIGNAL) > 0;
    }

    int m_listener;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_accepted{0};
    std::thread m_thread;
};

void measure(const char* name, const std::function<void()>& call)
{
    const counting_server server;
    std::vector<double> microseconds;
    microseconds.reserve(calls);
    for (int count = 0; count < calls; ++count)
    {
        const auto begin = std::chrono::steady_clock::now();
        call();
        microseconds.push_back(
            std::chrono::duration<double, std::micro>{std::chrono::steady_clock::now() - begin}.count());
    }
    std::sort(microseconds.begin(), microseconds.end());
    std::printf("%-14s %d calls, %d connections, p50 %.0f us, p99 %.0f us\n", name, calls, server.accepted(),
                microseconds[calls / 2], microseconds[calls * 99 / 100]);
}

void call_by_ulfius()
{
    _u_request request{};
    _u_response response{};
    ulfius_init_request(&request);
    ulfius_init_response(&response);
    const std::string url = "http://127.0.0.1:" + std::to_string(port) + "/query";
    ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, "GET", U_OPT_HTTP_URL, url.c_str(), U_OPT_NONE);
    ulfius_send_http_request(&request, &response);
    ulfius_clean_request(&request);
    ulfius_clean_response(&response);
}

} // namespace

int main()
{
    try
    {
        measure("ulfius", call_by_ulfius);
        teasellead::http_client client{teasellead::endpoint{INADDR_LOOPBACK, port}};
        measure("kept", [&client] { (void)client.get("/query", std::chrono::seconds{1}); });
        return 0;
    }
    catch (const std::exception& error)
    {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
}
