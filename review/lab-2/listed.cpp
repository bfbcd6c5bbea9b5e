// One tenant's requests with a Connection field that lists many names, beside ordinary requests.
#include <algorithm>
#include <csignal>
#include <exception>

#include "lab.hpp"

namespace
{

using namespace lab;

constexpr unsigned nodes = 2;
constexpr std::size_t list_size = 8'000;
constexpr std::size_t head_size = 16'300; // maxHeaderBytes is 16,384
constexpr milliseconds pause{25};         // 40 requests a second; the tenant's allotment here is 500
constexpr milliseconds length{15'000};
constexpr milliseconds route_timeout{1200};
constexpr milliseconds latency_target{120};
constexpr milliseconds grace{500};
constexpr milliseconds ordinary_pause{200};
constexpr milliseconds recovery_time{10'000};
constexpr std::size_t least_unanswered = 8;

/// a request whose head has the same size with and without the disruption
std::string listing_request(const std::string& id)
{
    std::string head = "GET /read/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: " + id +
                       "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer " + club_key + "\r\n";
    if (!has_trouble())
    {
        head += "X-Note: ";
        return head + std::string(head_size - head.size() - 4, 'a') + "\r\n\r\n";
    }
    head += "Connection: ";
    const std::size_t list_end = head.size() + list_size;
    while (head.size() < list_end)
    {
        head += "a,";
    }
    head += "a\r\n";
    const std::string field = "b:c\r\n";
    while (head.size() + field.size() + 2 <= head_size)
    {
        head += field;
    }
    return head + "\r\n";
}

/// sends listing requests at a steady rate until it is destroyed
class tenant
{
  public:
    explicit tenant(const node_address& front) : m_front(front), m_thread([this] { run(); })
    {
    }

    ~tenant()
    {
        stop();
    }

    void stop()
    {
        m_is_stopping = true;
        if (m_thread.joinable())
        {
            m_thread.join();
        }
    }

    [[nodiscard]] std::string summary() const
    {
        return std::to_string(m_sent) + " sent, " + std::to_string(m_served) + " served";
    }

  private:
    void run()
    {
        std::vector<std::thread> requests;
        auto next = clock::now();
        while (!m_is_stopping)
        {
            const std::string id = "list-" + std::to_string(m_sent++);
            requests.emplace_back([this, id] { send(id); });
            next += pause;
            std::this_thread::sleep_until(next);
        }
        for (std::thread& each : requests)
        {
            each.join();
        }
    }

    void send(const std::string& id)
    {
        try
        {
            const auto caller = connection::to(m_front.ip, m_front.front);
            caller->send(listing_request(id));
            const auto answer = caller->read(milliseconds{4000});
            m_served += answer && answer->status() == 200 ? 1 : 0;
        }
        catch (const std::exception&)
        {
            // the node doesn't take the connection
        }
    }

    node_address m_front;
    std::atomic<int> m_sent{0};
    std::atomic<int> m_served{0};
    std::atomic<bool> m_is_stopping{false};
    std::thread m_thread;
};

struct counts
{
    std::size_t sent{0};
    std::size_t served{0};
    std::size_t unanswered_at_timeout{0};
    std::size_t unanswered_later{0};
    std::mutex mutex;
};

void send_ordinary(record& log, const node_address& front, const std::string& id, counts& seen)
{
    bool is_answered = false;
    bool is_answered_later = false;
    unsigned status = 0;
    const auto begin = clock::now();
    try
    {
        const auto caller = connection::to(front.ip, front.front);
        caller->send(request("GET", "/quick/slots", id, school_key, {}, 5000));
        const auto until_timeout = std::chrono::duration_cast<milliseconds>(begin + route_timeout - clock::now());
        auto answer = caller->read(until_timeout);
        is_answered = answer.has_value();
        if (!answer)
        {
            answer = caller->read(grace);
        }
        is_answered_later = answer.has_value();
        status = answer ? answer->status() : 0;
    }
    catch (const std::exception&)
    {
        // counts as unanswered
    }
    log.line("ordinary " + id + ": " + (status != 0 ? std::to_string(status) : std::string{"no answer"}) + " after " +
             std::to_string(std::chrono::duration_cast<milliseconds>(clock::now() - begin).count()) + " ms");
    const std::scoped_lock lock{seen.mutex};
    ++seen.sent;
    seen.served += status == 200 ? 1 : 0;
    seen.unanswered_at_timeout += is_answered ? 0 : 1;
    seen.unanswered_later += is_answered_later ? 0 : 1;
}

int play(record& log)
{
    deployment system{log, milliseconds{5}, false};
    system.configure(8, "," + route("quick", "idempotent", "svc-read", route_timeout, latency_target), {});
    system.start(nodes);
    counts seen;
    tenant club{system.address(0)};
    std::vector<std::thread> ordinary;
    const auto end = clock::now() + length;
    for (int number = 0; clock::now() < end; ++number)
    {
        ordinary.emplace_back([&log, &system, &seen, number]
                              { send_ordinary(log, system.address(0), "o-" + std::to_string(number), seen); });
        std::this_thread::sleep_for(ordinary_pause);
    }
    for (std::thread& each : ordinary)
    {
        each.join();
    }
    club.stop();
    log.line("the tenant's requests: " + club.summary());
    log.line("CONFIG: " + std::to_string(seen.sent) + " ordinary requests, " + std::to_string(seen.served) + " served; " +
             std::to_string(seen.unanswered_at_timeout) + " unanswered at timeoutMs, " +
             std::to_string(seen.unanswered_later) + " of them still half a second later (at most half may be)");
    const bool is_late = seen.unanswered_at_timeout >= least_unanswered &&
                         2 * seen.unanswered_later > seen.unanswered_at_timeout;
    counts after;
    std::this_thread::sleep_for(recovery_time);
    send_ordinary(log, system.address(0), "after", after);
    if (is_late)
    {
        return broken;
    }
    return has_trouble() || seen.served == seen.sent ? held : not_run;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
    {
        return not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    record log{argv[1]};
    try
    {
        return play(log);
    }
    catch (const std::exception& error)
    {
        log.line(std::string{"couldn't run: "} + error.what());
        return not_run;
    }
}
