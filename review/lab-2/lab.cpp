#include "lab.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab
{

namespace
{

constexpr int store_port = 8361;
constexpr int first_replica_port = 9000;
constexpr int watch_step_ms = 20;
constexpr std::size_t longest_kept_body = 4096; // of the record of a run

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trimmed(const std::string& text)
{
    const auto begin = text.find_first_not_of(" \t");
    const auto end = text.find_last_not_of(" \t");
    return begin == std::string::npos ? std::string{} : text.substr(begin, end - begin + 1);
}

sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &result.sin_addr) != 1)
    {
        throw std::runtime_error("not an address: " + ip);
    }
    return result;
}

bool is_free(const std::string& ip, int port)
{
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in wanted = address_of(ip, port);
    const bool result = ::bind(probe, reinterpret_cast<const sockaddr*>(&wanted), sizeof(wanted)) == 0;
    ::close(probe);
    return result;
}

std::string base64(const std::string& bytes)
{
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = static_cast<unsigned char>(bytes[i]) << 16U;
        group |= i + 1 < bytes.size() ? static_cast<unsigned char>(bytes[i + 1]) << 8U : 0U;
        group |= i + 2 < bytes.size() ? static_cast<unsigned char>(bytes[i + 2]) : 0U;
        text += digits[(group >> 18U) & 63U];
        text += digits[(group >> 12U) & 63U];
        text += i + 1 < bytes.size() ? digits[(group >> 6U) & 63U] : '=';
        text += i + 2 < bytes.size() ? digits[group & 63U] : '=';
    }
    return text;
}

std::string parameter(const std::string& target, const std::string& name)
{
    for (const char before : {'?', '&'})
    {
        const auto begin = target.find(before + name + "=");
        if (begin != std::string::npos)
        {
            const auto value = begin + name.size() + 2;
            return target.substr(value, target.find('&', value) - value);
        }
    }
    return {};
}

std::string quoted(const std::string& text)
{
    return "\"" + text + "\"";
}

std::string response(const std::string& status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

record::record(const std::string& path)
    : m_file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

void record::line(const std::string& text)
{
    const std::scoped_lock lock{m_mutex};
    const auto ms = std::chrono::duration_cast<milliseconds>(clock::now() - m_start).count();
    const std::string whole = std::to_string(ms) + " ms " + text + "\n";
    [[maybe_unused]] const auto written = ::write(m_file, whole.data(), whole.size());
}

std::string message::method() const
{
    return start_line.substr(0, start_line.find(' '));
}

std::string message::target() const
{
    const auto begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

unsigned message::status() const
{
    return static_cast<unsigned>(std::atoi(start_line.substr(start_line.find(' ') + 1).c_str()));
}

std::string message::field(const std::string& name) const
{
    for (const auto& [known, value] : fields)
    {
        if (lower(known) == lower(name))
        {
            return value;
        }
    }
    return {};
}

connection::~connection()
{
    ::close(m_socket);
}

std::unique_ptr<connection> connection::to(const std::string& ip, int port)
{
    const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in wanted = address_of(ip, port);
    if (::connect(opened, reinterpret_cast<const sockaddr*>(&wanted), sizeof(wanted)) != 0)
    {
        ::close(opened);
        throw std::runtime_error("can't connect to " + ip + ":" + std::to_string(port));
    }
    const int one = 1;
    ::setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return std::make_unique<connection>(opened);
}

bool connection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::fill(clock::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
    pollfd waiting{m_socket, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
    {
        return false;
    }
    char bytes[16384];
    const ssize_t count = ::recv(m_socket, bytes, sizeof(bytes), 0);
    if (count <= 0)
    {
        m_is_ended = true;
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::read(milliseconds timeout, bool is_head_response)
{
    const auto until = clock::now() + timeout;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!fill(until))
        {
            return std::nullopt;
        }
    }
    message result;
    std::size_t begin = 0;
    while (begin < end + 2)
    {
        const auto line_end = m_buffer.find("\r\n", begin);
        const std::string line = m_buffer.substr(begin, line_end - begin);
        begin = line_end + 2;
        if (result.start_line.empty())
        {
            result.start_line = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos)
        {
            result.fields.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
        }
    }
    m_buffer.erase(0, end + 4);
    if (is_head_response)
    {
        return result;
    }
    const bool is_chunked = lower(result.field("Transfer-Encoding")).find("chunked") != std::string::npos;
    if (!is_chunked)
    {
        const auto size = static_cast<std::size_t>(std::atoll(result.field("Content-Length").c_str()));
        while (m_buffer.size() < size)
        {
            if (!fill(until))
            {
                return std::nullopt;
            }
        }
        result.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return result;
    }
    while (true)
    {
        std::size_t line_end = 0;
        while ((line_end = m_buffer.find("\r\n")) == std::string::npos)
        {
            if (!fill(until))
            {
                return std::nullopt;
            }
        }
        const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        while (m_buffer.size() < line_end + 2 + size + 2)
        {
            if (!fill(until))
            {
                return std::nullopt;
            }
        }
        result.body += m_buffer.substr(line_end + 2, size);
        m_buffer.erase(0, line_end + 2 + size + 2);
        if (size == 0)
        {
            return result;
        }
    }
}

server::server(const std::string& ip, int port, handler handle)
    : m_handle(std::move(handle)), m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int one = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in wanted = address_of(ip, port);
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&wanted), sizeof(wanted)) != 0 ||
        ::listen(m_listener, 256) != 0)
    {
        throw std::runtime_error("can't listen at " + ip + ":" + std::to_string(port));
    }
    m_acceptor = std::thread{[this] { accept_all(); }};
}

void server::accept_all()
{
    while (!m_is_stopping)
    {
        pollfd waiting{m_listener, POLLIN, 0};
        if (::poll(&waiting, 1, 50) <= 0)
        {
            continue;
        }
        const int accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
        {
            continue;
        }
        const int one = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        const int kept = ::fcntl(accepted, F_DUPFD_CLOEXEC, 0);
        const std::scoped_lock lock{m_mutex};
        m_sockets.push_back(kept);
        m_threads.emplace_back(
            [this, accepted]
            {
                connection opened{accepted};
                m_handle(opened);
                ::shutdown(accepted, SHUT_RDWR);
            });
    }
}

server::~server()
{
    m_is_stopping = true;
    m_acceptor.join();
    ::close(m_listener);
    for (const int each : m_sockets)
    {
        ::shutdown(each, SHUT_RDWR);
    }
    for (std::thread& each : m_threads)
    {
        each.join();
    }
    for (const int each : m_sockets)
    {
        ::close(each);
    }
}

store::store(const std::string& ip, int port)
    : m_server(std::make_unique<server>(ip, port, [this](connection& caller) { handle(caller); }))
{
}

store::~store()
{
    {
        const std::scoped_lock lock{m_mutex};
        m_is_stopping = true;
    }
    m_changed.notify_all();
    m_server.reset();
}

void store::put(const std::string& key, const std::string& value)
{
    const std::scoped_lock lock{m_mutex};
    const item written{key, value, ++m_revision, false};
    m_items[key] = written;
    m_history.push_back(written);
    m_changed.notify_all();
}

void store::remove(const std::string& key)
{
    const std::scoped_lock lock{m_mutex};
    m_items.erase(key);
    m_history.push_back({key, {}, ++m_revision, true});
    m_changed.notify_all();
}

std::string store::range(const std::string& prefix)
{
    const std::scoped_lock lock{m_mutex};
    std::string items;
    for (const auto& [key, each] : m_items)
    {
        if (key.compare(0, prefix.size(), prefix) == 0)
        {
            items += std::string{items.empty() ? "" : ","} + "{\"key\":" + quoted(key) +
                     ",\"value\":" + quoted(base64(each.value)) +
                     ",\"revision\":" + std::to_string(each.revision) +
                     ",\"created\":" + std::to_string(each.revision) + ",\"leaseId\":0}";
        }
    }
    return "{\"items\":[" + items + "],\"hasMore\":false,\"asOf\":" + std::to_string(m_revision) + "}";
}

std::string store::watch(const std::string& prefix, std::uint64_t after, milliseconds wait)
{
    std::unique_lock lock{m_mutex};
    const auto until = clock::now() + wait;
    const auto has_event = [&]
    {
        return std::any_of(m_history.begin(), m_history.end(),
                           [&](const item& each)
                           { return each.revision > after && each.key.compare(0, prefix.size(), prefix) == 0; });
    };
    while (!m_is_stopping && !has_event() && clock::now() < until)
    {
        m_changed.wait_for(lock, milliseconds{watch_step_ms});
    }
    std::string events;
    for (const item& each : m_history)
    {
        if (each.revision <= after || each.key.compare(0, prefix.size(), prefix) != 0)
        {
            continue;
        }
        events += events.empty() ? "" : ",";
        events += "{\"key\":" + quoted(each.key) + ",\"revision\":" + std::to_string(each.revision);
        events += each.removed ? ",\"removed\":true}"
                               : ",\"value\":" + quoted(base64(each.value)) +
                                     ",\"created\":" + std::to_string(each.revision) + ",\"leaseId\":0}";
    }
    return "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision) + "}";
}

void store::handle(connection& caller)
{
    while (const auto asked = caller.read(milliseconds{60'000}))
    {
        const std::string target = asked->target();
        const std::string prefix = parameter(target, "prefix");
        std::string body;
        if (target.compare(0, 13, "/api/kv-range") == 0)
        {
            body = range(prefix);
        }
        else if (target.compare(0, 13, "/api/kv-watch") == 0)
        {
            body = watch(prefix, std::strtoull(parameter(target, "after").c_str(), nullptr, 10),
                         milliseconds{std::atoi(parameter(target, "waitMs").c_str())});
        }
        else
        {
            caller.send(response("404 Not Found", {}, {}));
            continue;
        }
        if (!caller.send(response("200 OK", "Content-Type: application/json\r\n", body)))
        {
            return;
        }
    }
}

replica::replica(record& log, const std::string& ip, int port, std::string instance, std::string service,
                 std::string zone, milliseconds work, bool logs_runs)
    : m_log(log), m_ip(ip), m_port(port), m_instance(std::move(instance)), m_service(std::move(service)),
      m_zone(std::move(zone)), m_work(work), m_logs_runs(logs_runs),
      m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()),
      m_server(std::make_unique<server>(ip, port, [this](connection& caller) { handle(caller); }))
{
}

replica::~replica()
{
    m_server.reset();
}

std::string replica::entry(const std::string& state, std::uint64_t sequence) const
{
    return "{\"service\":" + quoted(m_service) + ",\"address\":" + quoted(m_ip + ":" + std::to_string(m_port)) +
           ",\"zone\":" + quoted(m_zone) + ",\"version\":\"v1\",\"capacity\":4,\"state\":" + quoted(state) +
           ",\"warmupRemainingMs\":0,\"sequence\":" + std::to_string(sequence) +
           ",\"born\":" + std::to_string(m_born) + "}";
}

std::vector<run> replica::runs()
{
    const std::scoped_lock lock{m_mutex};
    return m_runs;
}

void replica::handle(connection& caller)
{
    while (const auto asked = caller.read(milliseconds{60'000}))
    {
        const std::string id = asked->field("Request-Id");
        const std::string echo = "Request-Id: " + id + "\r\n";
        if (asked->target() == "/healthz")
        {
            caller.send(response("200 OK", "Instance-Id: " + m_instance + "\r\n", {}));
            continue;
        }
        const std::string wanted = asked->field("Target-Instance");
        if (!wanted.empty() && wanted != m_instance)
        {
            caller.send(response("421 Misdirected Request", echo + "Instance-Id: " + m_instance + "\r\n", {}));
            continue;
        }
        if (id.empty())
        {
            caller.send(response("400 Bad Request", "Not-Executed: 1\r\n", {}));
            continue;
        }
        {
            const std::scoped_lock lock{m_mutex};
            m_runs.push_back({id, asked->field("Tenant-Id"), asked->method(), asked->target(),
                              asked->body.substr(0, longest_kept_body), m_instance});
        }
        if (m_logs_runs)
        {
            m_log.line("replica " + m_instance + " runs " + asked->method() + " " + asked->target() + " id=" + id +
                       " tenant=" + asked->field("Tenant-Id") + " body=" + std::to_string(asked->body.size()) + " bytes " + asked->body.substr(0, 40));
        }
        std::this_thread::sleep_for(m_work);
        if (!caller.send(response("200 OK", echo + "Server-Stamp: stamp." + m_instance + "." + id + "\r\n",
                                  "answer of " + m_instance + " to " + id)))
        {
            return;
        }
    }
}

node::node(record& log, const std::string& settings, const node_address& address, const std::string& folder,
           const std::string& name)
    : m_log(log), m_address(address)
{
    const std::string path = folder + "/" + name + ".json";
    std::ofstream{path} << settings;
    const std::string output = folder + "/" + name + ".log";
    const std::string variable = "TEASELLEAD_SETTINGS=" + path;
    m_pid = ::fork();
    if (m_pid == 0)
    {
        const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        const char* const arguments[] = {"target/bin/teasellead", nullptr};
        const std::string path_variable = std::string{"PATH="} + (std::getenv("PATH") ? std::getenv("PATH") : "");
        const char* const environment[] = {variable.c_str(), path_variable.c_str(), nullptr};
        ::execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        ::_exit(127);
    }
    m_log.line("started " + name + " at " + address.ip);
}

node::~node()
{
    if (m_pid > 0 && !ended())
    {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

bool node::wait_ready(milliseconds timeout) const
{
    const auto until = clock::now() + timeout;
    while (clock::now() < until)
    {
        try
        {
            const auto probe = connection::to(m_address.ip, m_address.readiness);
            probe->send("GET /api/readyz HTTP/1.1\r\nHost: probe\r\n\r\n");
            const auto answer = probe->read(milliseconds{500});
            if (answer && answer->status() == 200)
            {
                return true;
            }
        }
        catch (const std::runtime_error&)
        {
            // not listening yet
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return false;
}

std::optional<int> node::ended()
{
    int status = 0;
    if (!m_status && ::waitpid(m_pid, &status, WNOHANG) == m_pid)
    {
        m_status = status;
    }
    return m_status;
}

void node::signal(int number) const
{
    ::kill(m_pid, number);
}

long node::memory_kb(const std::string& name) const
{
    std::ifstream status{"/proc/" + std::to_string(m_pid) + "/status"};
    std::string line;
    while (std::getline(status, line))
    {
        if (line.compare(0, name.size() + 1, name + ":") == 0)
        {
            return std::atol(line.substr(name.size() + 1).c_str());
        }
    }
    return 0;
}

deployment::deployment(record& log, milliseconds work, bool logs_runs) : m_log(log)
{
    std::random_device random;
    for (int tries = 0; tries < 50; ++tries)
    {
        m_net = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
        if (is_free(m_net + "1", store_port) && is_free(m_net + "10", 8363) && is_free(m_net + "11", 8363) &&
            is_free(m_net + "2", first_replica_port))
        {
            break;
        }
    }
    char folder[] = "/tmp/teasellead-review-XXXXXX";
    if (::mkdtemp(folder) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = folder;
    m_store = std::make_unique<store>(m_net + "1", store_port);
    const std::vector<std::string> zones{"q1", "thu-duc"};
    int port = first_replica_port;
    for (const std::string service : {"svc-read", "svc-book"})
    {
        for (const std::string& zone : zones)
        {
            const std::string instance = "i-" + std::to_string(port);
            m_replicas.push_back(std::make_unique<replica>(m_log, m_net + "2", port++, instance, service, zone, work,
                                                             logs_runs));
            m_store->put("servers/" + instance, m_replicas.back()->entry("ready", 1));
        }
    }
    configure(7, {}, {});
}

void deployment::configure(unsigned version, const std::string& routes, const std::string& services)
{
    const auto tenant = [](const std::string& name, const std::string& key)
    {
        return "{\"name\":" + quoted(name) + ",\"apiKeys\":[" + quoted(key) +
               "],\"priority\":1,\"requestsPerS\":500,\"burstSize\":500}";
    };
    m_store->put("op/config",
                 "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
                     route("read", "idempotent", "svc-read") + "," + route("book", "non_idempotent", "svc-book") +
                     routes + "],\"services\":[" + service("svc-read") + "," + service("svc-book") + services +
                     "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                     "\"idleTimeoutMs\":15000},\"tenants\":[" +
                     tenant("school", school_key) + "," + tenant("club", club_key) + "]}");
}

deployment::~deployment()
{
    m_nodes.clear();
    m_replicas.clear();
    m_store.reset();
    if (std::getenv("KEEP") == nullptr)
    {
        for (std::size_t i = 0; i < m_addresses.size(); ++i)
        {
            const std::string base = m_folder + "/node-" + std::to_string(i);
            ::unlink((base + ".json").c_str());
            ::unlink((base + ".log").c_str());
        }
        ::rmdir(m_folder.c_str());
    }
}

std::string deployment::settings(unsigned number) const
{
    const node_address& own = m_addresses.at(number);
    const auto at = [](const node_address& each, int port) { return quoted(each.ip + ":" + std::to_string(port)); };
    std::string seeds;
    for (const node_address& each : m_addresses)
    {
        seeds += (seeds.empty() ? "" : ",") + at(each, each.control);
    }
    return "{\"nodeName\":\"front-" + std::to_string(number) + "\",\"role\":\"entry\",\"machineClass\":\"front\"," +
           "\"serves\":[\"front\",\"control\"],\"ip\":" + quoted(own.ip) + ",\"zone\":\"" +
           (number % 2 == 0 ? "q1" : "thu-duc") +
           "\",\"region\":\"hcm\",\"zones\":{\"q1\":\"hcm\",\"thu-duc\":\"hcm\"},\"bindAddresses\":{\"front\":" +
           at(own, own.front) + ",\"readiness\":" + at(own, own.readiness) + ",\"control\":" + at(own, own.control) +
           "},\"internalPorts\":[7740,7755],\"seeds\":[" + seeds +
           "],\"bootstrap\":" + (m_is_bootstrap ? "true" : "false") + ",\"lossCounted\":false,\"limits\":{\"cpuShare\":0.25,\"cpuCores\":1,\"memoryMb\":" +
           std::to_string(memory_mb) +
           ",\"maxFds\":4100,\"bandwidthMbps\":1000.0,\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\","
           "\"entryPoint\":\"vip\",\"heartbeatMs\":1200,\"policies\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\","
           "\"recover\",\"scatter\",\"places\",\"tenants\",\"quota\",\"platform\"],\"faultTolerance\":{\"machines\":1,"
           "\"zones\":1,\"regions\":0},\"bounds\":{\"seedLagS\":3,\"addressReuseS\":2,\"contactMs\":4000,"
           "\"ackTimeoutMs\":5000,\"catchUpS\":4,\"drainTimeoutMs\":3000,\"gracePeriodS\":6,\"lossSlackMs\":200,"
           "\"configApplyMs\":3000,\"rollbackSlackMs\":250,\"maxStretchMs\":12000,\"strictRevocation\":true,"
           "\"revokeTimeoutMs\":5000,\"retryBudgetRatio\":0.2,\"retryWindowS\":10,\"retryBudgetSlack\":56,"
           "\"quotaWindowS\":5,\"quotaOverage\":0.25,\"quotaSlack\":20,\"warmupOverage\":1.5,\"warmupSlack\":5,"
           "\"evacuationMs\":5000,\"recoveryS\":12},\"platform\":{\"address\":" +
           quoted(m_net + "1:" + std::to_string(store_port)) +
           ",\"form\":\"read\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,\"maxValueBytes\":1048576,"
           "\"minTtlMs\":1000}}";
}

void deployment::launch(unsigned number)
{
    m_nodes.at(number) = std::make_unique<node>(m_log, settings(number), m_addresses[number], m_folder,
                                                "node-" + std::to_string(number));
}

void deployment::kill_all(milliseconds down)
{
    m_is_bootstrap = false;
    m_log.line("all nodes are killed");
    for (const auto& each : m_nodes)
    {
        each->signal(SIGKILL);
    }
    for (auto& each : m_nodes)
    {
        each.reset();
    }
    std::this_thread::sleep_for(down);
    for (unsigned number = 0; number < m_nodes.size(); ++number)
    {
        launch(number);
    }
    for (const auto& each : m_nodes)
    {
        if (!each->wait_ready(milliseconds{15'000}))
        {
            throw std::runtime_error("a node didn't become ready again");
        }
    }
}

void deployment::restart(unsigned number, milliseconds down)
{
    m_is_bootstrap = false;
    m_nodes.at(number).reset();
    std::this_thread::sleep_for(down);
    launch(number);
    if (!m_nodes.at(number)->wait_ready(milliseconds{15'000}))
    {
        throw std::runtime_error("a node didn't become ready again");
    }
}

void deployment::start(unsigned nodes)
{
    constexpr int first_host = 10;
    for (unsigned number = 0; number < nodes; ++number)
    {
        node_address next;
        next.ip = m_net + std::to_string(first_host + static_cast<int>(number));
        m_addresses.push_back(next);
    }
    m_nodes.resize(nodes);
    for (unsigned number = 0; number < nodes; ++number)
    {
        launch(number);
    }
    for (const auto& each : m_nodes)
    {
        if (!each->wait_ready(milliseconds{15'000}))
        {
            throw std::runtime_error("a node didn't become ready");
        }
    }
    // the bounds of the rules hold for machines that have been in touch for contactMs
    std::this_thread::sleep_for(milliseconds{4500});
    m_log.line("all nodes are ready and in touch");
}

std::vector<run> deployment::runs()
{
    std::vector<run> result;
    for (const auto& each : m_replicas)
    {
        const auto more = each->runs();
        result.insert(result.end(), more.begin(), more.end());
    }
    return result;
}

std::string route(const std::string& name, const std::string& type, const std::string& service,
                  milliseconds timeout, milliseconds target_latency)
{
    return "{\"name\":" + quoted(name) + ",\"hostname\":\"one.example\",\"prefix\":" + quoted("/" + name + "/") +
           ",\"type\":" + quoted(type) +
           ",\"timeoutMs\":" + std::to_string(timeout.count()) +
           ",\"targetLatencyMs\":" + std::to_string(target_latency.count()) +
           ",\"priority\":1,\"maxAttempts\":2,\"public\":false,\"service\":" +
           quoted(service) + "}";
}

std::string service(const std::string& name)
{
    return "{\"name\":" + quoted(name) +
           ",\"healthCheckPath\":\"/healthz\",\"maxConnections\":31,\"protocol\":\"h1\",\"tls\":false,"
           "\"warmupS\":3.0,\"warmupPerS\":0.0}";
}

bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

std::string request(const std::string& method, const std::string& target, const std::string& id,
                    const std::string& key, const std::string& body, int deadline_ms)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: one.example\r\nRequest-Id: " + id +
                       "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\nAuthorization: Bearer " + key + "\r\n";
    if (!body.empty())
    {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

} // namespace lab
