// Stand-ins and helpers of the scripts in review/11 to review/15: a store, replicas, nodes and callers on loopback
// addresses, as PROTOCOL.md and DEPLOY.md describe them. One thread for each connection; standard library only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab
{

using std::string;
using std::chrono::milliseconds;

inline double now_s()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleep_ms(int time)
{
    std::this_thread::sleep_for(milliseconds{time});
}

/// record.txt of a case: what was sent, answered and run
class record_file
{
  public:
    explicit record_file(const string& path) : m_file(std::fopen(path.c_str(), "w"))
    {
        if (m_file == nullptr)
        {
            std::perror(path.c_str());
            std::exit(2);
        }
    }

    __attribute__((format(printf, 2, 3))) void add(const char* format, ...)
    {
        const std::scoped_lock lock{m_mutex};
        std::fprintf(m_file, "%8.3f ", now_s());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

  private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

struct address
{
    string m_ip;
    int m_port{0};

    [[nodiscard]] string text() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }

    [[nodiscard]] sockaddr_in binary() const
    {
        sockaddr_in result{};
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<std::uint16_t>(m_port));
        inet_pton(AF_INET, m_ip.c_str(), &result.sin_addr);
        return result;
    }
};

/// listening socket, or -1
inline int listen_at(const address& where)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in bound = where.binary();
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 || ::listen(fd, 512) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// second and third byte of loopback addresses on which nothing listens yet
inline string free_net(int port)
{
    std::srand(static_cast<unsigned>(::getpid()) ^ static_cast<unsigned>(::time(nullptr)));
    for (int i = 0; i < 100; ++i)
    {
        const string net = "127." + std::to_string(20 + std::rand() % 200) + "." + std::to_string(std::rand() % 250);
        const int fd = listen_at({net + ".1", port});
        if (fd >= 0)
        {
            ::close(fd);
            return net;
        }
    }
    std::fprintf(stderr, "no free address\n");
    std::exit(2);
}

inline int connect_to(const address& where)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = where.binary();
    if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0)
    {
        if (fd >= 0)
        {
            ::close(fd);
        }
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool send_all(int fd, const string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline string lower(string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char each) { return std::tolower(each); });
    return text;
}

struct message
{
    string m_first_line;
    std::map<string, string> m_fields; ///< by name in lower case
    string m_body;

    [[nodiscard]] string field(const string& name) const
    {
        const auto found = m_fields.find(name);
        return found == m_fields.end() ? string{} : found->second;
    }

    [[nodiscard]] int status() const
    {
        return m_first_line.size() > 12 ? std::atoi(m_first_line.c_str() + 9) : 0;
    }

    /// second word of the first line of a request
    [[nodiscard]] string target() const
    {
        const auto from = m_first_line.find(' ');
        const auto to = m_first_line.find(' ', from + 1);
        return m_first_line.substr(from + 1, to - from - 1);
    }
};

/// reads messages from a connection
class reader
{
  public:
    explicit reader(int fd) : m_fd(fd)
    {
    }

    /// next message; none if the connection ends or the time passes before it is whole
    std::optional<message> next(int time_ms)
    {
        const double until = now_s() + time_ms / 1000.0;
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == string::npos)
        {
            if (!more(until))
            {
                return std::nullopt;
            }
        }
        message result;
        std::istringstream head{m_bytes.substr(0, end + 2)};
        std::getline(head, result.m_first_line);
        if (!result.m_first_line.empty())
        {
            result.m_first_line.pop_back();
        }
        for (string line; std::getline(head, line);)
        {
            const auto colon = line.find(':');
            if (colon != string::npos)
            {
                const auto from = line.find_first_not_of(' ', colon + 1);
                const auto to = line.find_last_not_of("\r ");
                result.m_fields[lower(line.substr(0, colon))] =
                    from == string::npos || to < from ? string{} : line.substr(from, to - from + 1);
            }
        }
        m_bytes.erase(0, end + 4);
        const std::size_t length = std::strtoul(result.field("content-length").c_str(), nullptr, 10);
        while (m_bytes.size() < length)
        {
            if (!more(until))
            {
                return std::nullopt;
            }
        }
        result.m_body = m_bytes.substr(0, length);
        m_bytes.erase(0, length);
        return result;
    }

    [[nodiscard]] bool is_closed() const
    {
        return m_is_closed;
    }

  private:
    bool more(double until)
    {
        const int left = static_cast<int>((until - now_s()) * 1000);
        pollfd item{m_fd, POLLIN, 0};
        if (left <= 0 || ::poll(&item, 1, left) <= 0)
        {
            return false;
        }
        char part[16384];
        const ssize_t count = ::recv(m_fd, part, sizeof(part), 0);
        if (count <= 0)
        {
            m_is_closed = true;
            return false;
        }
        m_bytes.append(part, static_cast<std::size_t>(count));
        return true;
    }

    int m_fd;
    string m_bytes;
    bool m_is_closed{false};
};

/// accepts connections; each is served by a thread of its own
class server
{
  public:
    server(const address& where, std::function<void(int)> serve) : m_serve(std::move(serve)), m_fd(listen_at(where))
    {
        if (m_fd < 0)
        {
            std::fprintf(stderr, "%s is in use\n", where.text().c_str());
            std::exit(2);
        }
        m_where = where;
        std::thread{[this]
                    {
                        for (;;)
                        {
                            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                            if (fd < 0)
                            {
                                sleep_ms(5);
                                continue;
                            }
                            const int on = 1;
                            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                            std::thread{[this, fd] { m_serve(fd); }}.detach();
                        }
                    }}
            .detach();
    }

    /// stops to listen: new connections are refused
    void close()
    {
        const int fd = m_fd.exchange(-1);
        ::shutdown(fd, SHUT_RDWR);
        ::close(fd);
    }

    /// listens again
    void open()
    {
        int fd = -1;
        while ((fd = listen_at(m_where)) < 0)
        {
            sleep_ms(20);
        }
        m_fd = fd;
    }

  private:
    std::function<void(int)> m_serve;
    std::atomic<int> m_fd;
    address m_where;
};

inline string base64(const string& text)
{
    static const char* const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    string result;
    for (std::size_t i = 0; i < text.size(); i += 3)
    {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = group << 8U | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            result += i + j <= text.size() ? letters[group >> (18U - 6U * j) & 63U] : '=';
        }
    }
    return result;
}

inline string http(int status, const string& fields, const string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// the platform's store: kv-range and kv-watch
class store
{
  public:
    explicit store(const address& where) : m_server(where, [this](int fd) { serve(fd); })
    {
    }

    void put(const string& key, const string& value)
    {
        const std::scoped_lock lock{m_mutex};
        change({key, value, false, ++m_revision});
    }

    /// while it is down the store answers all calls with 503 and takes no reports
    void set_down(bool is_down)
    {
        m_is_down = is_down;
        const std::scoped_lock lock{m_mutex};
        m_changed.notify_all();
    }

    [[nodiscard]] bool is_down() const
    {
        return m_is_down;
    }

    void remove(const string& key)
    {
        const std::scoped_lock lock{m_mutex};
        if (m_items.count(key) > 0)
        {
            change({key, "", true, ++m_revision});
        }
    }

  private:
    struct event
    {
        string m_key;
        string m_value;
        bool m_is_removed{false};
        std::uint64_t m_revision{0};

        [[nodiscard]] string json() const
        {
            const string begin = "{\"key\":\"" + m_key + "\",\"revision\":" + std::to_string(m_revision);
            return m_is_removed ? begin + ",\"removed\":true}"
                                : begin + ",\"created\":1,\"leaseId\":0,\"value\":\"" + base64(m_value) + "\"}";
        }
    };

    void change(const event& next)
    {
        if (next.m_is_removed)
        {
            m_items.erase(next.m_key);
        }
        else
        {
            m_items[next.m_key] = next;
        }
        m_history.push_back(next);
        m_changed.notify_all();
    }

    static string query(const string& target, const string& name)
    {
        const auto found = target.find(name + "=");
        if (found == string::npos)
        {
            return {};
        }
        const auto from = found + name.size() + 1;
        string result;
        for (std::size_t i = from; i < target.size() && target[i] != '&'; ++i)
        {
            if (target[i] == '%' && i + 2 < target.size())
            {
                result += static_cast<char>(std::strtol(target.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
                continue;
            }
            result += target[i];
        }
        return result;
    }

    void serve(int fd)
    {
        reader input{fd};
        while (const auto request = input.next(600'000))
        {
            const string target = request->target();
            const string prefix = query(target, "prefix");
            std::unique_lock lock{m_mutex};
            string body;
            if (target.starts_with("/api/kv-watch"))
            {
                const std::uint64_t after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
                const milliseconds wait{std::atoi(query(target, "waitMs").c_str())};
                const auto list = [&]
                {
                    string found;
                    for (const event& each : m_history)
                    {
                        if (each.m_revision > after && each.m_key.starts_with(prefix))
                        {
                            found += (found.empty() ? "" : ",") + each.json();
                        }
                    }
                    return found;
                };
                string found;
                m_changed.wait_for(lock, wait, [&] { return m_is_down || !(found = list()).empty(); });
                body = "{\"events\":[" + found + "]";
            }
            else
            {
                string found;
                for (const auto& [key, item] : m_items)
                {
                    if (key.starts_with(prefix))
                    {
                        found += (found.empty() ? "" : ",") + item.json();
                    }
                }
                body = "{\"items\":[" + found + "],\"hasMore\":false";
            }
            body += ",\"asOf\":" + std::to_string(m_revision) + "}";
            lock.unlock();
            const bool is_down = m_is_down;
            if (!send_all(fd, http(is_down ? 503 : 200, "Content-Type: application/json\r\n", is_down ? "" : body)))
            {
                break;
            }
        }
        ::close(fd);
    }

    std::atomic<bool> m_is_down{false};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<string, event> m_items;
    std::vector<event> m_history;
    std::uint64_t m_revision{100};
    server m_server;
};

inline long long unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// one start of a replica
struct boot
{
    string m_id;
    long long m_born{0};
    std::atomic<bool> m_is_silent{false};
    double m_cold_until{0.0}; ///< end of its warm-up, in seconds since the start of the script
};

/// a replica: answers whole requests for its id with a proof of its own, and reports to the store
class replica
{
  public:
    /// called when a request begins to run, with the replica, the request and its number in this boot; false: the
    /// replica doesn't answer
    using run_function = std::function<bool(replica&, const std::shared_ptr<boot>&, const message&)>;

    replica(store& entries, record_file& record, address where, string name, string service, string zone, int work_ms,
            run_function run, double cold_s = 0.0)
        : m_store(entries), m_record(record), m_address(std::move(where)), m_name(std::move(name)),
          m_service(std::move(service)), m_zone(std::move(zone)), m_work_ms(work_ms), m_run(std::move(run)), m_cold_s(cold_s),
          m_server(m_address, [this](int fd) { serve(fd); })
    {
        begin();
        std::thread{[this] { report(); }}.detach();
    }

    [[nodiscard]] const string& name() const
    {
        return m_name;
    }

    [[nodiscard]] std::shared_ptr<boot> current()
    {
        const std::scoped_lock lock{m_mutex};
        return m_boot;
    }

    /// the replica falls silent: it reads and writes nothing more, and reports nothing; its entry is removed after three
    /// status report intervals; after a while the next boot begins, with another id
    void crash_silently(const std::shared_ptr<boot>& which, int back_after_ms)
    {
        if (which->m_is_silent.exchange(true))
        {
            return;
        }
        m_record.add("replica %s (%s) crashes and falls silent", m_name.c_str(), which->m_id.c_str());
        std::thread{[this, which]
                    {
                        sleep_ms(3 * report_ms);
                        m_store.remove("servers/" + which->m_id);
                    }}
            .detach();
        std::thread{[this, back_after_ms]
                    {
                        sleep_ms(back_after_ms);
                        begin();
                        m_record.add("replica %s is back as %s", m_name.c_str(), current()->m_id.c_str());
                    }}
            .detach();
    }

    /// the replica's process ends: its connections are closed and its port refuses; after a while the next boot begins
    void crash(const std::shared_ptr<boot>& which, int back_after_ms, bool keeps_id = false)
    {
        if (which->m_is_silent.exchange(true))
        {
            return;
        }
        m_record.add("replica %s (%s) crashes", m_name.c_str(), which->m_id.c_str());
        m_server.close();
        {
            const std::scoped_lock lock{m_mutex};
            for (const int fd : m_open)
            {
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        std::thread{[this, which]
                    {
                        sleep_ms(3 * report_ms);
                        if (current()->m_id != which->m_id)
                        {
                            m_store.remove("servers/" + which->m_id);
                        }
                    }}
            .detach();
        std::thread{[this, which, back_after_ms, keeps_id]
                    {
                        sleep_ms(back_after_ms);
                        begin(keeps_id ? which->m_id : "");
                        sleep_ms(500); // it reports first and accepts requests a little later
                        m_server.open();
                        m_record.add("replica %s is back as %s", m_name.c_str(), current()->m_id.c_str());
                    }}
            .detach();
    }

    /// waits until the replica has just reported
    void wait_for_report() const
    {
        const double last = m_reported_at;
        while (m_reported_at == last)
        {
            sleep_ms(5);
        }
    }

    /// cuts the replica off from the store, not from the nodes; its entry lapses after three report intervals
    void set_cut(bool is_cut)
    {
        m_is_cut = is_cut;
        if (!is_cut)
        {
            write_entry(*current());
            return;
        }
        const double until = m_reported_at + 3 * report_ms / 1000.0;
        std::thread{[this, until]
                    {
                        sleep_ms(static_cast<int>(1000 * std::max(0.0, until - now_s())));
                        if (m_is_cut)
                        {
                            m_record.add("the entry of replica %s lapses", m_name.c_str());
                            m_store.remove("servers/" + current()->m_id);
                        }
                    }}
            .detach();
    }

    /// requests that run at a time, with as many that may wait; the others are rejected
    void set_slots(int slots, int queue)
    {
        m_slots = slots;
        m_queue = queue;
    }

    /// the replica is about to leave: it reports so, and says so in all its answers; it goes on serving
    void leave()
    {
        m_is_leaving = true;
        write_entry(*current());
    }

    [[nodiscard]] const address& where() const
    {
        return m_address;
    }

    /// length of the warm-up of later boots
    void set_warm_up(double cold_s)
    {
        m_cold_s = cold_s;
    }

    static constexpr int report_ms = 1200;

  private:
    void begin(const string& id = "")
    {
        const auto next = std::make_shared<boot>();
        next->m_born = unix_ms();
        next->m_cold_until = m_cold_s > 0.0 ? now_s() + m_cold_s : 0.0;
        next->m_id = id.empty() ? "i-" + m_name + "-" + std::to_string(++m_boots) : id;
        {
            const std::scoped_lock lock{m_mutex};
            m_boot = next;
        }
        write_entry(*next);
    }

    void write_entry(const boot& which)
    {
        if (m_store.is_down() || m_is_cut)
        {
            return; // the next report that reaches the store is accepted
        }
        m_reported_at = now_s();
        m_store.put("servers/" + which.m_id,
                    "{\"service\":\"" + m_service + "\",\"address\":\"" + m_address.text() + "\",\"zone\":\"" + m_zone +
                        "\",\"version\":\"v1\",\"capacity\":" + std::to_string(std::min(m_slots, 8)) + ",\"state\":\"" + (m_is_leaving ? "draining" : "ready") + "\",\"warmupRemainingMs\":" +
                        std::to_string(std::max(0, static_cast<int>(1000 * (which.m_cold_until - now_s())))) +
                        ",\"sequence\":" + std::to_string(++m_sequence) + ",\"born\":" + std::to_string(which.m_born) + "}");
    }

    void report()
    {
        for (;;)
        {
            sleep_ms(report_ms);
            const auto which = current();
            if (!which->m_is_silent)
            {
                write_entry(*which);
            }
        }
    }

    bool take_slot()
    {
        std::unique_lock lock{m_mutex};
        if (m_running >= m_slots + m_queue)
        {
            return false;
        }
        ++m_running;
        m_slot_freed.wait(lock, [this] { return m_busy < m_slots; });
        ++m_busy;
        return true;
    }

    void free_slot()
    {
        const std::scoped_lock lock{m_mutex};
        --m_running;
        --m_busy;
        m_slot_freed.notify_one();
    }

    void serve(int fd)
    {
        // a connection belongs to the boot that accepted it
        const auto own = current();
        {
            const std::scoped_lock lock{m_mutex};
            m_open.insert(fd);
        }
        reader input{fd};
        while (const auto request = input.next(15'000))
        {
            while (own->m_is_silent)
            {
                sleep_ms(1000); // the connection stays open for good and nothing comes
            }
            const string id = request->field("request-id");
            const string wanted = request->field("target-instance");
            if (!wanted.empty() && wanted != own->m_id)
            {
                send_all(fd, http(421, "Instance-Id: " + own->m_id + "\r\n", ""));
                continue;
            }
            m_record.add("replica %s runs %s %s, tenant %s, deadline %s", m_name.c_str(), id.c_str(),
                         request->target().c_str(), request->field("tenant-id").c_str(),
                         request->field("deadline-ms").c_str());
            const bool answers = m_run(*this, own, *request);
            if (!take_slot())
            {
                send_all(fd, http(503, "Request-Id: " + id + "\r\nNot-Executed: 1\r\n", ""));
                continue;
            }
            sleep_ms(answers ? m_work_ms : 0);
            free_slot();
            while (own->m_is_silent)
            {
                sleep_ms(1000);
            }
            const string stamp = m_name + ".00." + std::to_string(++m_stamps);
            if (!answers || !send_all(fd, http(200, "Request-Id: " + id + "\r\nServer-Stamp: " + stamp + "\r\n" +
                                                            (m_is_leaving ? "Server-Leaving: 1\r\n" : ""),
                                               string(64, 'r'))))
            {
                break;
            }
        }
        {
            const std::scoped_lock lock{m_mutex};
            m_open.erase(fd);
        }
        ::close(fd);
    }

    store& m_store;
    record_file& m_record;
    address m_address;
    string m_name;
    string m_service;
    string m_zone;
    int m_work_ms;
    run_function m_run;
    double m_cold_s; ///< length of the warm-up of each boot
    std::mutex m_mutex;
    std::shared_ptr<boot> m_boot;
    std::set<int> m_open;
    std::atomic<bool> m_is_leaving{false};
    std::atomic<bool> m_is_cut{false};
    std::atomic<double> m_reported_at{0.0};
    int m_slots{1000};
    int m_queue{1000};
    int m_running{0}; ///< requests that run or wait
    int m_busy{0};    ///< requests that run
    std::condition_variable m_slot_freed;
    std::atomic<int> m_boots{0};
    std::atomic<int> m_sequence{0};
    std::atomic<int> m_stamps{0};
    server m_server;
};

struct node_settings
{
    string m_name;
    string m_ip;
    string m_zone;
    std::vector<string> m_zones;
    std::vector<string> m_seeds;
    string m_store;
    int m_memory_mb{260};
    int m_max_fds{4100};
};

inline string quoted_list(const std::vector<string>& texts)
{
    string result;
    for (const string& each : texts)
    {
        result += (result.empty() ? "\"" : ",\"") + each + "\"";
    }
    return "[" + result + "]";
}

/// a process of the project, started as the deploy file says
class node
{
  public:
    node(const node_settings& settings, const string& folder) : m_settings(settings)
    {
        const string path = folder + "/" + settings.m_name + ".json";
        string zones;
        for (const string& each : settings.m_zones)
        {
            zones += (zones.empty() ? "\"" : ",\"") + each + "\":\"region\"";
        }
        std::ofstream{path} << "{\"nodeName\":\"" << settings.m_name << "\",\"role\":\"entry\",\"machineClass\":\"front\","
                            << "\"serves\":[\"front\",\"control\"],\"ip\":\"" << settings.m_ip << "\",\"zone\":\""
                            << settings.m_zone << "\",\"region\":\"region\",\"zones\":{" << zones
                            << "},\"bindAddresses\":{\"front\":\"" << settings.m_ip << ":8363\",\"readiness\":\""
                            << settings.m_ip << ":8364\",\"control\":\"" << settings.m_ip
                            << ":8360\"},\"internalPorts\":[7740,7755],\"seeds\":" << quoted_list(settings.m_seeds)
                            << ",\"bootstrap\":true,\"lossCounted\":false,\"limits\":{\"cpuShare\":0.25,\"cpuCores\":1,"
                            << "\"memoryMb\":" << settings.m_memory_mb << ",\"maxFds\":" << settings.m_max_fds
                            << ",\"bandwidthMbps\":1000.0,\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\","
                            << "\"entryPoint\":\"vip\",\"heartbeatMs\":" << replica::report_ms
                            << ",\"bounds\":{\"seedLagS\":3,\"addressReuseS\":2,\"contactMs\":4000,\"ackTimeoutMs\":5000,"
                            << "\"catchUpS\":4,\"drainTimeoutMs\":3000,\"gracePeriodS\":6,\"lossSlackMs\":200,"
                            << "\"configApplyMs\":3000,\"rollbackSlackMs\":250,\"maxStretchMs\":12000,"
                            << "\"strictRevocation\":true,\"revokeTimeoutMs\":5000,\"retryBudgetRatio\":0.2,"
                            << "\"retryWindowS\":10,\"retryBudgetSlack\":56,\"quotaWindowS\":5,\"quotaOverage\":0.25,"
                            << "\"quotaSlack\":20,\"warmupOverage\":1.5,\"warmupSlack\":5,\"evacuationMs\":5000,"
                            << "\"recoveryS\":12},\"platform\":{\"address\":\"" << settings.m_store
                            << "\",\"form\":\"read\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,"
                            << "\"maxValueBytes\":1048576,\"minTtlMs\":1000}}";
        m_process = ::fork();
        if (m_process == 0)
        {
            const string output = folder + "/" + settings.m_name + ".log";
            const int fd = ::open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            const string variable = "TEASELLEAD_SETTINGS=" + path;
            const char* const arguments[] = {"target/bin/teasellead", nullptr};
            const char* const variables[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
            ::execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(variables));
            ::_exit(127);
        }
    }

    ~node()
    {
        if (m_process > 0)
        {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
        }
    }

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    [[nodiscard]] address callers() const
    {
        return {m_settings.m_ip, 8363};
    }

    [[nodiscard]] pid_t process() const
    {
        return m_process;
    }

    [[nodiscard]] bool has_ended()
    {
        if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process)
        {
            m_process = 0;
        }
        return m_process == 0;
    }

    [[nodiscard]] bool wait_until_ready(int time_ms) const
    {
        const double until = now_s() + time_ms / 1000.0;
        while (now_s() < until)
        {
            const int fd = connect_to({m_settings.m_ip, 8364});
            if (fd >= 0)
            {
                send_all(fd, "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                const auto answer = reader{fd}.next(500);
                ::close(fd);
                if (answer && answer->status() == 200)
                {
                    return true;
                }
            }
            sleep_ms(50);
        }
        return false;
    }

    /// a figure of /proc/PID/status in kB
    [[nodiscard]] long memory_kb(const string& name) const
    {
        std::ifstream status{"/proc/" + std::to_string(m_process) + "/status"};
        for (string line; std::getline(status, line);)
        {
            if (line.starts_with(name + ":"))
            {
                return std::atol(line.c_str() + name.size() + 1);
            }
        }
        return 0;
    }

  private:
    node_settings m_settings;
    pid_t m_process{0};
};

/// one request on a connection of its own
inline std::optional<message> call(const address& where, const string& bytes, int time_ms)
{
    const int fd = connect_to(where);
    if (fd < 0)
    {
        return std::nullopt;
    }
    send_all(fd, bytes);
    auto result = reader{fd}.next(time_ms);
    ::close(fd);
    return result;
}

inline string make_folder()
{
    string name = (std::getenv("TMPDIR") != nullptr ? string{std::getenv("TMPDIR")} : string{"/tmp"}) +
                  "/teasellead-review-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
    {
        std::perror("mkdtemp");
        std::exit(2);
    }
    return name;
}

/// exit code of a case; leaves at once, with all threads
[[noreturn]] inline void finish(const string& folder, int code)
{
    const string command = "rm -rf '" + folder + "'";
    if (std::getenv("KEEP") == nullptr && std::system(command.c_str()) != 0)
    {
        std::fprintf(stderr, "%s stays\n", folder.c_str());
    }
    std::fflush(nullptr);
    ::_exit(code);
}

inline bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || string{value} != "0";
}

} // namespace lab
