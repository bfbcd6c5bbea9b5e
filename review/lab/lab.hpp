// stand-ins of the review's scripts: the platform's store, replicas, clients and a starter of the project's nodes
//
// POSIX sockets and threads only; every address is a loopback address.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lab
{

using clock = std::chrono::steady_clock;
inline const clock::time_point began = clock::now();

inline double now()
{
    return std::chrono::duration<double>(clock::now() - began).count();
}

inline void sleep_until(double at)
{
    std::this_thread::sleep_until(began +
                                  std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(at)));
}

inline void sleep_for(double seconds)
{
    sleep_until(now() + seconds);
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// writes record.txt
class record_file
{
  public:
    bool open(const std::string& path)
    {
        m_file = std::fopen(path.c_str(), "w");
        return m_file != nullptr;
    }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::scoped_lock lock{m_mutex};
        std::fprintf(m_file, "%9.3f %s\n", now(), text);
        std::fflush(m_file);
    }

    /// a line without time that is also printed
    __attribute__((format(printf, 2, 3))) void say(const char* format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::scoped_lock lock{m_mutex};
        std::fprintf(m_file, "%s\n", text);
        std::fflush(m_file);
        std::printf("%s\n", text);
        std::fflush(stdout);
    }

  private:
    std::mutex m_mutex;
    std::FILE* m_file{nullptr};
};

inline record_file record;

inline std::string text(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline std::string text(const char* format, ...)
{
    char buffer[4096];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(buffer, sizeof(buffer), format, arguments);
    va_end(arguments);
    return buffer;
}

struct address
{
    std::string m_ip;
    int m_port{0};

    [[nodiscard]] std::string to_string() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }
};

inline sockaddr_in to_sockaddr(const address& from)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(from.m_port));
    inet_pton(AF_INET, from.m_ip.c_str(), &result.sin_addr);
    return result;
}

inline int listen_on(const address& at)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in name = to_sockaddr(at);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0 || ::listen(fd, 512) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline bool is_free(const address& at)
{
    const int fd = listen_on(at);
    if (fd >= 0)
    {
        ::close(fd);
    }
    return fd >= 0;
}

struct message
{
    std::string m_start; ///< first line
    std::vector<std::pair<std::string, std::string>> m_fields;
    std::string m_body;

    [[nodiscard]] std::string field(const char* name) const
    {
        for (const auto& [key, value] : m_fields)
        {
            if (strcasecmp(key.c_str(), name) == 0)
            {
                return value;
            }
        }
        return {};
    }

    /// second word of the first line: a request's target, or a response's status
    [[nodiscard]] std::string second() const
    {
        const auto first = m_start.find(' ');
        if (first == std::string::npos)
        {
            return {};
        }
        return m_start.substr(first + 1, m_start.find(' ', first + 1) - first - 1);
    }
};

/// reads one HTTP message with a Content-Length; false at the end of the stream or at the deadline
inline bool read_message(int fd, std::string& buffer, message& result, double deadline = 1e9)
{
    const auto more = [&]
    {
        const double left = deadline - now();
        if (left <= 0.0)
        {
            return false;
        }
        pollfd wanted{fd, POLLIN, 0};
        const int ready = ::poll(&wanted, 1, left > 1000.0 ? -1 : static_cast<int>(left * 1000.0) + 1);
        if (ready <= 0)
        {
            return ready < 0 && errno == EINTR;
        }
        char bytes[8192];
        const ssize_t got = ::recv(fd, bytes, sizeof(bytes), 0);
        if (got <= 0)
        {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!more())
        {
            return false;
        }
    }
    result = {};
    const std::string head = buffer.substr(0, end + 2);
    std::size_t line = head.find("\r\n");
    result.m_start = head.substr(0, line);
    for (std::size_t begin = line + 2; begin < head.size(); begin = line + 2)
    {
        line = head.find("\r\n", begin);
        const std::string field = head.substr(begin, line - begin);
        const auto colon = field.find(':');
        if (colon != std::string::npos)
        {
            std::size_t value = colon + 1;
            while (value < field.size() && field[value] == ' ')
            {
                ++value;
            }
            result.m_fields.emplace_back(field.substr(0, colon), field.substr(value));
        }
    }
    const std::string length = result.field("Content-Length");
    const std::size_t body = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    while (buffer.size() < end + 4 + body)
    {
        if (!more())
        {
            return false;
        }
    }
    result.m_body = buffer.substr(end + 4, body);
    buffer.erase(0, end + 4 + body);
    return true;
}

inline bool send_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t done = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (done <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(done);
    }
    return true;
}

/// HTTP server with a thread for each connection; can be stopped and started again on its address
class server
{
  public:
    /// what a handler does with the connection after it has returned
    enum class after
    {
        keep,
        close
    };
    using handler = std::function<after(int fd, const message& request)>;

    server(address at, handler handle, std::function<void(int fd)> on_open = {})
        : m_address(std::move(at)), m_handle(std::move(handle)), m_on_open(std::move(on_open))
    {
    }

    bool start()
    {
        const int fd = listen_on(m_address);
        if (fd < 0)
        {
            return false;
        }
        const std::scoped_lock lock{m_mutex};
        m_listener = fd;
        const std::uint64_t life = ++m_life;
        std::thread([this, fd, life] { accept_all(fd, life); }).detach();
        return true;
    }

    /// closes the listener and all connections, as the end of a process does
    void stop()
    {
        const std::scoped_lock lock{m_mutex};
        ++m_life;
        if (m_listener >= 0)
        {
            ::shutdown(m_listener, SHUT_RDWR);
            ::close(m_listener);
            m_listener = -1;
        }
        for (const int fd : m_open)
        {
            ::shutdown(fd, SHUT_RDWR);
        }
    }

    [[nodiscard]] std::uint64_t life() const
    {
        return m_life.load();
    }

    [[nodiscard]] const address& at() const
    {
        return m_address;
    }

  private:
    void accept_all(int listener, std::uint64_t life)
    {
        while (true)
        {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                if (m_life.load() != life)
                {
                    return;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                continue;
            }
            const int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            {
                const std::scoped_lock lock{m_mutex};
                if (m_life.load() != life)
                {
                    ::close(fd);
                    return;
                }
                m_open.insert(fd);
            }
            if (m_on_open)
            {
                m_on_open(fd);
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        std::string buffer;
        message request;
        while (read_message(fd, buffer, request) && m_handle(fd, request) == after::keep)
        {
        }
        const std::scoped_lock lock{m_mutex};
        m_open.erase(fd);
        ::close(fd);
    }

    address m_address;
    handler m_handle;
    std::function<void(int fd)> m_on_open;
    std::mutex m_mutex;
    std::set<int> m_open;
    int m_listener{-1};
    std::atomic<std::uint64_t> m_life{0};
};

inline std::string base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            result += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return result;
}

/// the platform's store; each machine of the system reaches it at an address of its own
class store
{
  public:
    /// how the store treats one machine
    enum class mode
    {
        serves,
        rejects,     ///< 503
        rejects_once ///< 503 for one call, which may be waiting already
    };

    bool add_machine(const address& at)
    {
        const std::size_t index = m_servers.size();
        m_modes.push_back(std::make_unique<std::atomic<mode>>(mode::serves));
        m_servers.push_back(std::make_unique<server>(
            at, [this, index](int fd, const message& request) { return handle(index, fd, request); }));
        return m_servers.back()->start();
    }

    /// machines that have called within the last seconds
    bool is_reader(std::size_t machine, double span = 3.0)
    {
        const std::scoped_lock lock{m_mutex};
        const auto found = m_called.find(machine);
        return found != m_called.end() && now() - found->second < span;
    }

    std::size_t calls(std::size_t machine)
    {
        const std::scoped_lock lock{m_mutex};
        return m_calls[machine];
    }

    void set_mode(std::size_t machine, mode next)
    {
        *m_modes.at(machine) = next;
        m_changed.notify_all();
    }

    void put(const std::string& key, const std::string& value)
    {
        change({key, value, false, 0});
    }

    void remove(const std::string& key)
    {
        change({key, {}, true, 0});
    }

  private:
    struct event
    {
        std::string m_key;
        std::string m_value;
        bool m_is_removed{false};
        std::uint64_t m_revision{0};
    };

    void change(event next)
    {
        {
            const std::scoped_lock lock{m_mutex};
            next.m_revision = ++m_revision;
            if (next.m_is_removed)
            {
                if (m_items.erase(next.m_key) == 0)
                {
                    return;
                }
            }
            else
            {
                m_items[next.m_key] = next;
            }
            m_history.push_back(next);
        }
        m_changed.notify_all();
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto begin = target.find(name + "=");
        if (begin == std::string::npos)
        {
            return {};
        }
        const auto value = begin + name.size() + 1;
        return target.substr(value, target.find('&', value) - value);
    }

    static std::string item(const event& each)
    {
        const std::string key = "{\"key\":\"" + each.m_key + "\",\"revision\":" + std::to_string(each.m_revision);
        return each.m_is_removed
                   ? key + ",\"removed\":true}"
                   : key + ",\"created\":1,\"leaseId\":0,\"value\":\"" + base64(each.m_value) + "\"}";
    }

    static void respond(int fd, int status, const std::string& body)
    {
        send_all(fd, text("HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n", status,
                          body.size()) +
                         body);
    }

    /// whether the call that is being handled is turned away
    bool rejects(std::size_t machine)
    {
        const mode current = *m_modes.at(machine);
        if (current == mode::rejects_once)
        {
            *m_modes.at(machine) = mode::serves;
        }
        return current != mode::serves;
    }

    server::after handle(std::size_t machine, int fd, const message& request)
    {
        const std::string target = request.second();
        const std::string prefix = parameter(target, "prefix");
        std::unique_lock lock{m_mutex};
        m_called[machine] = now();
        ++m_calls[machine];
        if (rejects(machine))
        {
            lock.unlock();
            record.line("store rejects a call of machine %zu (503)", machine);
            respond(fd, 503, "{}");
            return server::after::keep;
        }
        std::string list;
        const auto add = [&list](const event& each) { list += (list.empty() ? "" : ",") + item(each); };
        if (target.rfind("/api/kv-range", 0) == 0)
        {
            for (const auto& [key, each] : m_items)
            {
                if (key.rfind(prefix, 0) == 0)
                {
                    add(each);
                }
            }
            const std::string body =
                "{\"items\":[" + list + "],\"hasMore\":false,\"asOf\":" + std::to_string(m_revision) + "}";
            lock.unlock();
            respond(fd, 200, body);
            return server::after::keep;
        }
        const std::uint64_t after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const double wait = std::strtod(parameter(target, "waitMs").c_str(), nullptr) / 1000.0;
        const auto is_new = [&]
        {
            for (auto each = m_history.rbegin(); each != m_history.rend() && each->m_revision > after; ++each)
            {
                if (each->m_key.rfind(prefix, 0) == 0)
                {
                    return true;
                }
            }
            return false;
        };
        m_changed.wait_for(lock, std::chrono::duration<double>(wait),
                           [&] { return is_new() || *m_modes.at(machine) != mode::serves; });
        if (rejects(machine))
        {
            lock.unlock();
            record.line("store rejects a waiting call of machine %zu (503)", machine);
            respond(fd, 503, "{}");
            return server::after::keep;
        }
        for (const event& each : m_history)
        {
            if (each.m_revision > after && each.m_key.rfind(prefix, 0) == 0)
            {
                add(each);
            }
        }
        const std::string body = "{\"events\":[" + list + "],\"asOf\":" + std::to_string(m_revision) + "}";
        lock.unlock();
        respond(fd, 200, body);
        return server::after::keep;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::size_t, double> m_called;
    std::map<std::size_t, std::size_t> m_calls;
    std::map<std::string, event> m_items;
    std::vector<event> m_history;
    std::uint64_t m_revision{100};
    std::vector<std::unique_ptr<std::atomic<mode>>> m_modes;
    std::vector<std::unique_ptr<server>> m_servers;
};

/// a request that reached a replica and was not turned away
struct arrival
{
    double m_at{0.0};
    std::string m_replica;
    std::string m_request_id;
    std::string m_tenant;
    std::string m_target;
};

inline std::mutex arrivals_mutex;
inline std::vector<arrival> arrivals;
inline std::vector<arrival> runs; ///< those on which a replica began to work

inline std::size_t count_arrivals()
{
    const std::scoped_lock lock{arrivals_mutex};
    return arrivals.size();
}

/// a replica: registers in the store, runs requests, may crash under one and starts again under a new id
class replica
{
  public:
    replica(store& entries, std::string service, std::string zone, const address& at)
        : m_store(entries), m_service(std::move(service)), m_zone(std::move(zone)),
          m_server(
              at, [this](int fd, const message& request) { return handle(fd, request); },
              [this](int fd) { forget_extra(fd); })
    {
    }

    double m_work_s{0.005};
    int m_capacity{8};
    double m_warmup_s{0.0};        ///< how long it is cold after a start
    double m_crash_back_s{3.0};    ///< from a crash to the next start
    std::string m_poison;          ///< a target that crashes it
    bool m_crashes_in_answer{false}; ///< it crashes after the head and the first bytes of its answer
    std::string m_slow_target;     ///< a target on which it works longer
    double m_slow_work_s{0.0};
    int m_queue{1000};             ///< requests that wait for a slot; more are turned away with Not-Executed
    std::atomic<double> m_extra_fraction{0.0}; ///< part of the answers after which a second answer arrives late

    bool start()
    {
        {
            const std::scoped_lock lock{m_mutex};
            static std::atomic<int> last{0};
            m_instance = text("i-%04x%04x", static_cast<unsigned>(::getpid()) & 0xffffU,
                              static_cast<unsigned>(++last));
            m_born = unix_ms();
            m_started = now();
            m_sequence = 0;
            m_is_up = true;
        }
        if (!m_server.start())
        {
            return false;
        }
        beat();
        std::thread([this, life = m_server.life()] { beat_all(life); }).detach();
        return true;
    }

    [[nodiscard]] std::string instance() const
    {
        const std::scoped_lock lock{m_mutex};
        return m_instance;
    }

    /// removes the entry but goes on serving, like a replica that leaves without saying so
    void leave_silently()
    {
        const std::scoped_lock lock{m_mutex};
        m_has_left = true;
        m_store.remove("servers/" + m_instance);
    }

    /// its process ends for good
    void end()
    {
        {
            const std::scoped_lock lock{m_mutex};
            m_is_up = false;
        }
        m_server.stop();
    }

    void crash()
    {
        std::string ended;
        {
            const std::scoped_lock lock{m_mutex};
            if (!m_is_up)
            {
                return;
            }
            m_is_up = false;
            ended = m_instance;
        }
        m_server.stop();
        record.line("replica %s crashed", ended.c_str());
        std::thread(
            [this, ended]
            {
                // the entry lapses after three status report intervals of silence
                std::thread(
                    [this, ended]
                    {
                        sleep_for(3.6);
                        m_store.remove("servers/" + ended);
                    })
                    .detach();
                sleep_for(m_crash_back_s);
                start();
                record.line("replica %s started in place of %s", instance().c_str(), ended.c_str());
            })
            .detach();
    }

  private:
    void beat()
    {
        const std::scoped_lock lock{m_mutex};
        if (m_has_left || !m_is_up)
        {
            return;
        }
        const double cold = m_warmup_s - (now() - m_started);
        m_store.put("servers/" + m_instance,
                    text("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"capacity\":%d,"
                         "\"state\":\"ready\",\"warmupRemainingMs\":%d,\"sequence\":%d,\"born\":%lld}",
                         m_service.c_str(), m_server.at().to_string().c_str(), m_zone.c_str(), m_capacity,
                         cold > 0.0 ? static_cast<int>(cold * 1000.0) : 0, ++m_sequence,
                         static_cast<long long>(m_born)));
    }

    void beat_all(std::uint64_t life)
    {
        while (true)
        {
            sleep_for(1.2);
            if (m_server.life() != life)
            {
                return;
            }
            beat();
        }
    }

    void forget_extra(int fd)
    {
        (void)take_extra(fd);
    }

    server::after handle(int fd, const message& request)
    {
        const std::string id = request.field("Request-Id");
        const std::string self = instance();
        const std::string target = request.second();
        if (request.field("Target-Instance") != self)
        {
            send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + self +
                             "\r\nContent-Length: 0\r\n\r\n");
            return server::after::keep;
        }
        {
            const std::scoped_lock lock{arrivals_mutex};
            arrivals.push_back({now(), self, id, request.field("Tenant-Id"), target});
        }
        // the second answer of an earlier request arrives where the next answer is expected
        const std::string extra = take_extra(fd);
        if (!extra.empty())
        {
            record.line("replica %s: extra answer of an earlier request arrives while %s is awaited", self.c_str(),
                        id.c_str());
            send_all(fd, extra);
        }
        const bool is_taken = enter();
        record.line("replica %s %s %s %s", self.c_str(), is_taken ? "runs" : "sheds", id.c_str(), target.c_str());
        if (!is_taken)
        {
            // as in the examples of `fleetbench wire`
            const std::string turned_away =
                "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            keep_extra(fd, turned_away);
            return send_all(fd, turned_away) ? server::after::keep : server::after::close;
        }
        const slot_guard guard{*this};
        {
            const std::scoped_lock lock{arrivals_mutex};
            runs.push_back({now(), self, id, request.field("Tenant-Id"), target});
        }
        if (!m_poison.empty() && target == m_poison)
        {
            sleep_for(0.01);
            if (m_crashes_in_answer)
            {
                send_all(fd, text("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\n"
                                  "Content-Length: 3000\r\n\r\nthe first bytes",
                                  id.c_str(), self.c_str(), id.c_str()));
            }
            crash();
            return server::after::close;
        }
        sleep_for(!m_slow_target.empty() && target == m_slow_target ? m_slow_work_s : m_work_s);
        const std::string body = "done by " + self;
        const std::string answer = text("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\n"
                                        "Content-Length: %zu\r\n\r\n",
                                        id.c_str(), self.c_str(), id.c_str(), body.size()) +
                                   body;
        keep_extra(fd, answer);
        return send_all(fd, answer) ? server::after::keep : server::after::close;
    }

    /// waits for a slot; false if the queue is full
    bool enter()
    {
        std::unique_lock lock{m_slot_mutex};
        if (m_running >= m_capacity && m_queued >= m_queue)
        {
            return false;
        }
        ++m_queued;
        m_slot_free.wait(lock, [this] { return m_running < m_capacity; });
        --m_queued;
        ++m_running;
        return true;
    }

    struct slot_guard
    {
        replica& m_owner;
        ~slot_guard()
        {
            const std::scoped_lock lock{m_owner.m_slot_mutex};
            --m_owner.m_running;
            m_owner.m_slot_free.notify_one();
        }
    };

    void keep_extra(int fd, const std::string& answer)
    {
        thread_local std::mt19937 random{std::random_device{}()};
        if (std::uniform_real_distribution<double>{0.0, 1.0}(random) < m_extra_fraction)
        {
            const std::scoped_lock lock{m_slot_mutex};
            m_extra[fd] = answer;
        }
    }

    std::string take_extra(int fd)
    {
        const std::scoped_lock lock{m_slot_mutex};
        const auto found = m_extra.find(fd);
        if (found == m_extra.end())
        {
            return {};
        }
        std::string result = found->second;
        m_extra.erase(found);
        return result;
    }

    std::mutex m_slot_mutex;
    std::condition_variable m_slot_free;
    int m_running{0};
    int m_queued{0};
    std::map<int, std::string> m_extra;

    store& m_store;
    std::string m_service;
    std::string m_zone;
    mutable std::mutex m_mutex;
    std::string m_instance;
    std::int64_t m_born{0};
    double m_started{0.0};
    int m_sequence{0};
    bool m_is_up{false};
    bool m_has_left{false};
    server m_server;
};

/// a machine of the system with its process
class machine
{
  public:
    machine(std::string name, std::string zone, std::string ip, int base)
        : m_name(std::move(name)), m_zone(std::move(zone)), m_ip(std::move(ip)), m_base(base)
    {
    }

    [[nodiscard]] address front() const
    {
        return {m_ip, m_base + 3};
    }

    [[nodiscard]] address readiness() const
    {
        return {m_ip, m_base + 4};
    }

    [[nodiscard]] address control() const
    {
        return {m_ip, m_base};
    }

    void write_settings(const std::string& folder, const std::vector<std::string>& zones, const std::string& seeds,
                        const address& store_at)
    {
        m_folder = folder;
        std::string areas;
        for (const std::string& each : zones)
        {
            areas += (areas.empty() ? "\"" : ",\"") + each + "\":\"area\"";
        }
        m_settings = folder + "/" + m_name + ".json";
        std::FILE* const file = std::fopen(m_settings.c_str(), "w");
        std::fprintf(
            file,
            "{\"nodeName\":\"%s\",\"role\":\"entry\",\"machineClass\":\"front\",\"serves\":[\"front\",\"control\"],"
            "\"ip\":\"%s\",\"zone\":\"%s\",\"region\":\"area\",\"zones\":{%s},"
            "\"bindAddresses\":{\"front\":\"%s\",\"readiness\":\"%s\",\"control\":\"%s\"},"
            "\"internalPorts\":[%d,%d],\"seeds\":[%s],\"bootstrap\":true,\"lossCounted\":false,"
            "\"limits\":{\"cpuShare\":0.25,\"cpuCores\":1,\"memoryMb\":260,\"maxFds\":4100,\"bandwidthMbps\":1000.0,"
            "\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\",\"entryPoint\":\"vip\",\"heartbeatMs\":1200,"
            "\"policies\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\","
            "\"tenants\",\"quota\",\"platform\"],"
            "\"faultTolerance\":{\"machines\":1,\"zones\":1,\"regions\":0},"
            "\"bounds\":{\"seedLagS\":3,\"addressReuseS\":2,\"contactMs\":4000,\"ackTimeoutMs\":5000,\"catchUpS\":4,"
            "\"drainTimeoutMs\":3000,\"gracePeriodS\":6,\"lossSlackMs\":200,\"configApplyMs\":3000,"
            "\"rollbackSlackMs\":250,\"maxStretchMs\":12000,\"strictRevocation\":true,\"revokeTimeoutMs\":5000,"
            "\"retryBudgetRatio\":0.2,\"retryWindowS\":10,\"retryBudgetSlack\":56,\"quotaWindowS\":5,"
            "\"quotaOverage\":0.25,\"quotaSlack\":20,\"warmupOverage\":1.5,\"warmupSlack\":5,\"evacuationMs\":5000,"
            "\"recoveryS\":12},"
            "\"platform\":{\"address\":\"%s\",\"form\":\"read\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,"
            "\"maxValueBytes\":1048576,\"minTtlMs\":1000}}\n",
            m_name.c_str(), m_ip.c_str(), m_zone.c_str(), areas.c_str(), front().to_string().c_str(),
            readiness().to_string().c_str(), control().to_string().c_str(), m_base + 5, m_base + 9, seeds.c_str(),
            store_at.to_string().c_str());
        std::fclose(file);
    }

    /// starts the program of the deploy file: `target/bin/teasellead` in the repository's root
    bool start()
    {
        const pid_t child = ::fork();
        if (child == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const std::string log = m_folder + "/" + m_name + ".log";
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            const std::string variable = "TEASELLEAD_SETTINGS=" + m_settings;
            const std::string path = std::string{"PATH="} + (std::getenv("PATH") ? std::getenv("PATH") : "");
            const char* const arguments[] = {"target/bin/teasellead", nullptr};
            const char* const environment[] = {path.c_str(), variable.c_str(), nullptr};
            ::execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
            ::_exit(127);
        }
        m_pid = child;
        m_started = now();
        m_is_in_rotation = true;
        record.line("machine %s started", m_name.c_str());
        return child > 0;
    }

    void kill()
    {
        if (m_pid > 0)
        {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = 0;
            record.line("machine %s killed", m_name.c_str());
        }
    }

    /// SIGTERM, as the platform sends it
    void terminate()
    {
        record.line("machine %s gets SIGTERM", m_name.c_str());
        ::kill(m_pid, SIGTERM);
    }

    /// whether the process is running and was started at least `span` seconds ago
    [[nodiscard]] bool has_run_for(double span) const
    {
        return m_pid > 0 && now() - m_started >= span;
    }

    /// whether the process has ended by itself
    [[nodiscard]] bool has_ended()
    {
        int status = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid)
        {
            record.line("machine %s: process ended by itself, status %d", m_name.c_str(), status);
            m_pid = 0;
            return true;
        }
        return false;
    }

    const std::string m_name;
    const std::string m_zone;
    std::atomic<bool> m_is_ready{false};       ///< answer of the readiness address to the latest question
    std::atomic<bool> m_is_in_rotation{false}; ///< what the platform's balancer makes of it

  private:
    std::string m_ip;
    int m_base;
    std::string m_folder;
    std::string m_settings;
    std::atomic<pid_t> m_pid{0};
    double m_started{0.0};
};

inline int connect_to(const address& at, double timeout)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in name = to_sockaddr(at);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0)
    {
        pollfd wanted{fd, POLLOUT, 0};
        int error = errno;
        if (error == EINPROGRESS)
        {
            socklen_t size = sizeof(error);
            const bool is_done = ::poll(&wanted, 1, static_cast<int>(timeout * 1000.0)) == 1;
            if (!is_done || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
            {
                error = ETIMEDOUT;
            }
        }
        if (error != 0)
        {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

/// one client attempt on a new connection; returns the status, or 0 if there was no answer
inline int ask(const machine& at, const std::string& host, const std::string& target, const std::string& key,
               const std::string& request_id, int deadline_ms, const std::string& method = "GET",
               const std::string& content = {})
{
    const double deadline = now() + deadline_ms / 1000.0;
    record.line("client sends %s %s to %s", request_id.c_str(), target.c_str(), at.m_name.c_str());
    const int fd = connect_to(at.front(), 1.0);
    int status = 0;
    message answer;
    if (fd >= 0)
    {
        std::string buffer;
        const std::string authorization = key.empty() ? "" : "Authorization: Bearer " + key + "\r\n";
        const bool is_answered =
            send_all(fd, method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + request_id +
                             "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + authorization +
                             (content.empty() ? "" : "Content-Length: " + std::to_string(content.size()) + "\r\n") +
                             "\r\n" + content) &&
            read_message(fd, buffer, answer, deadline);
        status = is_answered ? std::atoi(answer.second().c_str()) : 0;
        ::close(fd);
    }
    record.line("client got %d for %s retry-after=%s", status, request_id.c_str(),
                answer.field("Retry-After").c_str());
    return status;
}

/// a small deployment with its store, the balancer's readiness checks and replicas
class deployment
{
  public:
    /// @param[in] machines  names of zones, one for each machine
    /// @param[in] seeds     indices of the machines that the settings name as seeds
    bool create(const std::vector<std::string>& machines, const std::vector<std::size_t>& seeds)
    {
        char folder[] = "/tmp/teasellead-review-XXXXXX";
        if (::mkdtemp(folder) == nullptr)
        {
            return false;
        }
        m_folder = folder;
        std::mt19937 random{std::random_device{}()};
        // a part of 127/8 and ports that are free
        for (int tries = 0; tries < 50 && m_net.empty(); ++tries)
        {
            const std::string net = text("127.%d.%d.", 20 + static_cast<int>(random() % 200),
                                         static_cast<int>(random() % 250));
            const int base = 20000 + static_cast<int>(random() % 9000);
            bool all_free = true;
            for (int offset = 0; offset < 10; ++offset)
            {
                all_free = all_free && is_free({net + "1", base + offset});
            }
            if (all_free)
            {
                m_net = net;
                m_base = base;
            }
        }
        if (m_net.empty())
        {
            return false;
        }
        std::vector<std::string> zones;
        for (std::size_t i = 0; i < machines.size(); ++i)
        {
            if (std::find(zones.begin(), zones.end(), machines[i]) == zones.end())
            {
                zones.push_back(machines[i]);
            }
            m_machines.push_back(std::make_unique<machine>(text("front-%s-%zu", machines[i].c_str(), i), machines[i],
                                                           m_net + std::to_string(i + 1), m_base));
        }
        std::string seed_list;
        for (const std::size_t each : seeds)
        {
            seed_list += (seed_list.empty() ? "\"" : ",\"") + m_machines[each]->control().to_string() + "\"";
        }
        for (std::size_t i = 0; i < machines.size(); ++i)
        {
            const address at{m_net + "200", m_base + 20 + static_cast<int>(i)};
            if (!m_store.add_machine(at))
            {
                return false;
            }
            m_machines[i]->write_settings(m_folder, zones, seed_list, at);
        }
        return ::access("target/bin/teasellead", X_OK) == 0;
    }

    replica& add_replica(const std::string& service, const std::string& zone)
    {
        const int number = static_cast<int>(m_replicas.size());
        m_replicas.push_back(std::make_unique<replica>(
            m_store, service, zone, address{m_net + std::to_string(100 + number % 90), m_base + 50 + number / 90}));
        return *m_replicas.back();
    }

    bool start_all()
    {
        bool is_started = true;
        for (const auto& each : m_machines)
        {
            is_started = each->start() && is_started;
        }
        std::thread([this] { check_readiness(); }).detach();
        return is_started;
    }

    /// waits until all machines are ready
    bool wait_ready(double timeout)
    {
        const double until = now() + timeout;
        while (now() < until)
        {
            bool all = true;
            for (const auto& each : m_machines)
            {
                all = all && each->m_is_ready;
            }
            if (all)
            {
                return true;
            }
            sleep_for(0.1);
        }
        return false;
    }

    /// machines to which the balancer sends new connections
    std::vector<machine*> in_rotation()
    {
        std::vector<machine*> result;
        for (const auto& each : m_machines)
        {
            if (each->m_is_in_rotation)
            {
                result.push_back(each.get());
            }
        }
        return result;
    }

    machine& at(std::size_t index)
    {
        return *m_machines.at(index);
    }

    std::size_t size() const
    {
        return m_machines.size();
    }

    store& platform()
    {
        return m_store;
    }

    void end()
    {
        m_is_ended = true;
        for (const auto& each : m_machines)
        {
            each->kill();
        }
        if (std::getenv("KEEP") == nullptr)
        {
            for (const auto& each : m_machines)
            {
                ::unlink((m_folder + "/" + each->m_name + ".json").c_str());
                ::unlink((m_folder + "/" + each->m_name + ".log").c_str());
            }
            ::rmdir(m_folder.c_str());
        }
        else
        {
            std::printf("logs in %s\n", m_folder.c_str());
        }
    }

  private:
    void check_readiness()
    {
        std::vector<int> misses(m_machines.size(), 0);
        while (!m_is_ended)
        {
            std::vector<std::thread> questions;
            for (std::size_t i = 0; i < m_machines.size(); ++i)
            {
                questions.emplace_back(
                    [this, i, &misses]
                    {
                        machine& each = *m_machines[i];
                        const int fd = connect_to(each.readiness(), 0.5);
                        std::string buffer;
                        message answer;
                        const bool is_ready =
                            fd >= 0 &&
                            send_all(fd, "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
                            read_message(fd, buffer, answer, now() + 0.5) && answer.second() == "200";
                        if (fd >= 0)
                        {
                            ::close(fd);
                        }
                        misses[i] = is_ready ? 0 : misses[i] + 1;
                        each.m_is_ready = is_ready;
                        each.m_is_in_rotation = is_ready || (each.m_is_in_rotation && misses[i] < 2);
                    });
            }
            for (std::thread& each : questions)
            {
                each.join();
            }
            sleep_for(1.0);
        }
    }

    std::string m_folder;
    std::string m_net;
    int m_base{0};
    store m_store;
    std::vector<std::unique_ptr<machine>> m_machines;
    std::vector<std::unique_ptr<replica>> m_replicas;
    std::atomic<bool> m_is_ended{false};
};

inline bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

} // namespace lab
