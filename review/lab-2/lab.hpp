// Stand-ins for the platform's store, replicas and clients, and a launcher for nodes.
// Only the C++ standard library and POSIX calls are used; all addresses are loopback addresses.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <condition_variable>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace lab
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// appends lines with the time since the start of the program to record.txt
class record
{
  public:
    explicit record(const std::string& path);
    void line(const std::string& text);

  private:
    std::mutex m_mutex;
    clock::time_point m_start{clock::now()};
    int m_file;
};

/// a request as a stand-in has read it
struct message
{
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] unsigned status() const;
    [[nodiscard]] std::string field(const std::string& name) const;
};

/// a TCP connection with a receive buffer
class connection
{
  public:
    explicit connection(int socket) : m_socket(socket) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// connects to a loopback address; throws if that fails
    static std::unique_ptr<connection> to(const std::string& ip, int port);

    bool send(const std::string& bytes);
    /// reads one message with a Content-Length or in chunks; empty at the end of the stream or after the timeout
    std::optional<message> read(milliseconds timeout, bool is_head_response = false);
    /// whether the peer has closed the connection
    [[nodiscard]] bool is_ended() const { return m_is_ended; }
    [[nodiscard]] int socket() const { return m_socket; }

  private:
    bool fill(clock::time_point until);

    int m_socket;
    std::string m_buffer;
    bool m_is_ended{false};
};

/// a server with a thread for each connection
class server
{
  public:
    /// handles one connection until it ends
    using handler = std::function<void(connection&)>;

    server(const std::string& ip, int port, handler handle);
    ~server();

  private:
    void accept_all();

    handler m_handle;
    int m_listener;
    std::atomic<bool> m_is_stopping{false};
    std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// the platform's store: ranges and watches
class store
{
  public:
    store(const std::string& ip, int port);
    ~store();
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

  private:
    struct item
    {
        std::string key;
        std::string value;
        std::uint64_t revision{0};
        bool removed{false};
    };

    void handle(connection& caller);
    std::string range(const std::string& prefix);
    std::string watch(const std::string& prefix, std::uint64_t after, milliseconds wait);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<item> m_history;
    std::uint64_t m_revision{100};
    bool m_is_stopping{false};
    std::unique_ptr<server> m_server;
};

/// a request that a replica has run
struct run
{
    std::string request_id;
    std::string tenant;
    std::string method;
    std::string target;
    std::string body;
    std::string instance;
};

/// a replica that runs each request once it has arrived whole
class replica
{
  public:
    replica(record& log, const std::string& ip, int port, std::string instance, std::string service,
            std::string zone, milliseconds work, bool logs_runs);
    ~replica();
    [[nodiscard]] std::string entry(const std::string& state, std::uint64_t sequence) const;
    [[nodiscard]] const std::string& instance() const { return m_instance; }
    [[nodiscard]] std::vector<run> runs();

  private:
    void handle(connection& caller);

    record& m_log;
    std::string m_ip;
    int m_port;
    std::string m_instance;
    std::string m_service;
    std::string m_zone;
    milliseconds m_work;
    bool m_logs_runs;
    std::int64_t m_born;
    std::mutex m_mutex;
    std::vector<run> m_runs;
    std::unique_ptr<server> m_server;
};

/// ports of a node, which are free on its address
struct node_address
{
    std::string ip;
    int front{8363};
    int readiness{8364};
    int control{8360};
    int first_internal{7740};
};

/// a running `target/bin/teasellead`, the command of the deploy file
class node
{
  public:
    node(record& log, const std::string& settings, const node_address& address, const std::string& folder,
         const std::string& name);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    /// waits until the readiness page answers 200
    bool wait_ready(milliseconds timeout) const;
    [[nodiscard]] pid_t pid() const { return m_pid; }
    /// whether the process has ended, and how; empty while it runs
    std::optional<int> ended();
    void signal(int number) const;
    /// a figure in kB of /proc/PID/status of this process, such as VmRSS
    [[nodiscard]] long memory_kb(const std::string& name) const;

  private:
    record& m_log;
    node_address m_address;
    pid_t m_pid{-1};
    std::optional<int> m_status;
};

/// a small deployment: a store, replicas and nodes in two zones of one area
class deployment
{
  public:
    explicit deployment(record& log, milliseconds work = milliseconds{20}, bool logs_runs = true);
    ~deployment();
    /// starts the nodes; throws if they don't become ready
    void start(unsigned nodes);
    /// kills all nodes at once and starts them again after a pause
    void kill_all(milliseconds down);
    /// kills one node, if it still runs, and starts it again after a pause
    void restart(unsigned number, milliseconds down);
    /// all runs at all replicas
    std::vector<run> runs();
    [[nodiscard]] const node_address& address(unsigned number) const { return m_addresses.at(number); }
    node& at(unsigned number) { return *m_nodes.at(number); }
    store& platform() { return *m_store; }
    /// the first three bytes of the addresses, with a dot at the end
    [[nodiscard]] const std::string& net() const { return m_net; }
    /// writes a configuration with more routes and services, which begin with a comma
    void configure(unsigned version, const std::string& routes, const std::string& services);
    /// memory of a machine, as the settings tell it
    static constexpr long memory_mb = 260;

  private:
    [[nodiscard]] std::string settings(unsigned number) const;
    void launch(unsigned number);

    record& m_log;
    std::atomic<bool> m_is_bootstrap{true};
    std::string m_net;
    std::string m_folder;
    std::unique_ptr<store> m_store;
    std::vector<std::unique_ptr<replica>> m_replicas;
    std::vector<node_address> m_addresses;
    std::vector<std::unique_ptr<node>> m_nodes;
};

/// a route of the configuration
std::string route(const std::string& name, const std::string& type, const std::string& service,
                  milliseconds timeout = milliseconds{4000}, milliseconds target_latency = milliseconds{400});

/// a service of the configuration
std::string service(const std::string& name);

/// whether the case's disruption is to be applied (TROUBLE isn't 0)
bool has_trouble();

// keys of the two tenants, as long as those that the pages show
inline const std::string school_key = "xmibw6kpqk8bdk9eevyx";
inline const std::string club_key = "q2yyazax6pwawxdmdejk";

/// head and body of a client's request; an empty body is left out
std::string request(const std::string& method, const std::string& target, const std::string& id,
                    const std::string& key, const std::string& body = {}, int deadline_ms = 4000);

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

} // namespace lab
