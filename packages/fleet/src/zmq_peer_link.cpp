#include <array>
#include <atomic>
#include <map>
#include <optional>
#include <set>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

#include "teasellead/fleet/codec.hpp"
#include "teasellead/fleet/peer_link.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

constexpr int bind_failed_id = 401;
constexpr int invalid_key_id = 402;
constexpr int invalid_frames_id = 506;
constexpr int max_queued_messages = 1000;
constexpr int reconnect_interval_ms = 50;
constexpr int max_reconnect_interval_ms = 200;
// a host that failed without closing its connections is detected after the timeout
constexpr int heartbeat_interval_ms = 1000;
constexpr int heartbeat_timeout_ms = 3000;
constexpr int connect_timeout_ms = 250;
// largest number of messages returned by one call, so that a flood doesn't block the caller's other work
constexpr std::size_t max_received_messages = 1000;
// larger messages close the connection; the codec rejects and counts those up to this size
constexpr std::int64_t max_wire_bytes = 2 * static_cast<std::int64_t>(max_peer_message_bytes);
constexpr int max_sockets = 16'384;
constexpr std::size_t curve_text_size = 41; // 40 characters and a terminating zero
constexpr const char* zap_address = "inproc://zeromq.zap.01";
constexpr const char* zap_domain = "teasellead";
constexpr const char* monitor_address = "inproc://handshake-monitor";

std::string tcp_address(const endpoint& peer)
{
    return "tcp://" + peer.to_string();
}

std::string curve_binary(const std::string& text)
{
    std::array<std::uint8_t, 32> binary{};
    if (zmq_z85_decode(binary.data(), text.c_str()) == nullptr)
    {
        return {};
    }
    return std::string{binary.begin(), binary.end()};
}

/// receives all frames of one message; returns false if none has arrived
bool receive_frames(zmq::socket_t& socket, std::vector<std::string>& frames)
{
    frames.clear();
    bool more = true;
    while (more)
    {
        zmq::message_t frame;
        // the frames of a message arrive together, so a missing frame means that no message has arrived
        if (!socket.recv(frame, zmq::recv_flags::dontwait))
        {
            return false;
        }
        more = frame.more();
        frames.push_back(frame.to_string());
    }
    return true;
}

void check_key(const fleet_key& key)
{
    std::array<char, curve_text_size> expected{};
    const bool is_pair = key.m_secret.size() == curve_text_size - 1 &&
                         zmq_curve_public(expected.data(), key.m_secret.c_str()) == 0 &&
                         key.m_public == expected.data();
    if (!is_pair)
    {
        throw transport_error(invalid_key_id, "the fleet's public and secret key aren't a pair");
    }
}

/// counts connections whose authentication failed
class handshake_monitor
{
  public:
    handshake_monitor(zmq::context_t& context, zmq::socket_t& watched)
        : m_socket(context, zmq::socket_type::pair)
    {
        constexpr int events = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
                               ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;
        m_socket.set(zmq::sockopt::linger, 0);
        zmq_socket_monitor(watched.handle(), monitor_address, events);
        m_socket.connect(monitor_address);
    }

    [[nodiscard]] zmq::socket_t& socket() noexcept
    {
        return m_socket;
    }

    /// number of failures since the last call
    std::uint64_t take()
    {
        std::uint64_t failures = 0;
        std::vector<std::string> event;
        while (receive_frames(m_socket, event))
        {
            ++failures;
        }
        return failures;
    }

  private:
    zmq::socket_t m_socket;
};

/// accepts connections of nodes that hold the fleet's key
class curve_authenticator
{
  public:
    curve_authenticator(zmq::context_t& context, const fleet_key& key)
        : m_socket(context, zmq::socket_type::rep), m_allowed(curve_binary(key.m_public))
    {
        m_socket.set(zmq::sockopt::linger, 0);
        m_socket.bind(zap_address);
    }

    [[nodiscard]] zmq::socket_t& socket() noexcept
    {
        return m_socket;
    }

    /// replies to all pending requests of the ZeroMQ authentication protocol
    void answer_all()
    {
        std::vector<std::string> request;
        while (receive_frames(m_socket, request))
        {
            answer(request);
        }
    }

  private:
    void answer(const std::vector<std::string>& request)
    {
        constexpr std::size_t id_frame = 1;
        constexpr std::size_t credential_frame = 6;
        const bool is_allowed =
            request.size() > credential_frame && !m_allowed.empty() && request[credential_frame] == m_allowed;
        const std::array<std::string, 6> reply{"1.0",
                                               request.size() > id_frame ? request[id_frame] : std::string{},
                                               is_allowed ? "200" : "400",
                                               is_allowed ? "OK" : "unknown key",
                                               "node",
                                               ""};
        for (std::size_t frame = 0; frame < reply.size(); ++frame)
        {
            const auto flags = frame + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
            m_socket.send(zmq::buffer(reply[frame]), flags);
        }
    }

    zmq::socket_t m_socket;
    std::string m_allowed;
};

class zmq_peer_link final : public peer_link
{
  public:
    zmq_peer_link(const endpoint& self, node_incarnation incarnation, fleet_key key)
        : m_self(self), m_incarnation(incarnation), m_key(std::move(key)), m_context(make_context()),
          m_receiver(m_context, zmq::socket_type::router), m_monitor(m_context, m_receiver),
          m_wake(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        if (is_secured())
        {
            check_key(m_key);
            m_authenticator.emplace(m_context, m_key);
            m_receiver.set(zmq::sockopt::curve_server, true);
            m_receiver.set(zmq::sockopt::curve_secretkey, m_key.m_secret);
            m_receiver.set(zmq::sockopt::zap_domain, zap_domain);
        }
        m_receiver.set(zmq::sockopt::linger, 0);
        m_receiver.set(zmq::sockopt::maxmsgsize, max_wire_bytes);
        m_receiver.set(zmq::sockopt::rcvhwm, max_queued_messages);
        try
        {
            m_receiver.bind(tcp_address(self));
        }
        catch (const zmq::error_t& error)
        {
            throw transport_error(bind_failed_id, "peer address " + self.to_string() + ": " + error.what());
        }
    }

    ~zmq_peer_link() override
    {
        ::close(m_wake);
    }

    void send(const outgoing_message& message) override
    {
        const std::string bytes = encode(peer_message{m_self, m_incarnation, message.m_content});
        bool is_sent = false;
        try
        {
            zmq::socket_t& socket = sender_to(message.m_receiver);
            is_sent = socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
        }
        catch (const zmq::error_t&)
        {
            // no socket is available; the message is lost, as may happen to any message
        }
        if (!is_sent)
        {
            ++m_unsent;
        }
    }

    std::vector<peer_message> receive(std::chrono::milliseconds timeout) override
    {
        std::vector<zmq::pollitem_t> items{{m_receiver.handle(), 0, ZMQ_POLLIN, 0},
                                           {nullptr, m_wake, ZMQ_POLLIN, 0},
                                           {m_monitor.socket().handle(), 0, ZMQ_POLLIN, 0}};
        if (m_authenticator)
        {
            items.push_back({m_authenticator->socket().handle(), 0, ZMQ_POLLIN, 0});
        }
        std::vector<peer_message> result;
        if (zmq_poll(items.data(), static_cast<int>(items.size()), static_cast<long>(timeout.count())) <= 0)
        {
            return result;
        }
        if (m_authenticator)
        {
            m_authenticator->answer_all();
        }
        m_dropped += m_monitor.take();
        drain_wake();
        std::vector<std::string> frames;
        for (std::size_t taken = 0; taken < max_received_messages && receive_frames(m_receiver, frames);
             ++taken)
        {
            take(frames, result);
        }
        return result;
    }

    void prepare(const std::vector<endpoint>& peers, std::size_t most) override
    {
        std::size_t opened = 0;
        for (const endpoint& peer : peers)
        {
            if (m_senders.count(peer) > 0)
            {
                continue;
            }
            if (opened == most)
            {
                return;
            }
            ++opened;
            try
            {
                (void)sender_to(peer);
            }
            catch (const zmq::error_t&)
            {
                // no socket is available; messages to the peer count as unsent
                return;
            }
        }
    }

    void retain(const std::vector<endpoint>& peers) override
    {
        const std::set<endpoint> kept{peers.begin(), peers.end()};
        std::erase_if(m_senders, [&kept](const auto& sender) { return kept.count(sender.first) == 0; });
    }

    [[nodiscard]] int descriptor() override
    {
        return m_receiver.get(zmq::sockopt::fd);
    }

    void wake() override
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const ssize_t written = ::write(m_wake, &one, sizeof(one));
    }

    [[nodiscard]] std::uint64_t dropped() const override
    {
        return m_dropped.load();
    }

    [[nodiscard]] std::uint64_t unsent() const override
    {
        return m_unsent.load();
    }

  private:
    static zmq::context_t make_context()
    {
        zmq::context_t context{1};
        context.set(zmq::ctxopt::max_sockets, max_sockets);
        return context;
    }

    [[nodiscard]] bool is_secured() const noexcept
    {
        return !m_key.m_public.empty();
    }

    void drain_wake() const
    {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t read = ::read(m_wake, &count, sizeof(count));
    }

    /// decodes a message, which is one frame after the identity frame of the connection
    void take(const std::vector<std::string>& frames, std::vector<peer_message>& result)
    {
        constexpr std::size_t expected_frames = 2;
        try
        {
            if (frames.size() != expected_frames)
            {
                throw protocol_error(invalid_frames_id, std::to_string(frames.size()) + " frames");
            }
            result.push_back(decode(frames.back()));
        }
        catch (const protocol_error&)
        {
            ++m_dropped;
        }
    }

    zmq::socket_t& sender_to(const endpoint& peer)
    {
        const auto known = m_senders.find(peer);
        if (known != m_senders.end())
        {
            return known->second;
        }
        zmq::socket_t socket{m_context, zmq::socket_type::dealer};
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::sndhwm, max_queued_messages);
        socket.set(zmq::sockopt::reconnect_ivl, reconnect_interval_ms);
        socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_interval_ms);
        socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
        socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval_ms);
        socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
        if (is_secured())
        {
            socket.set(zmq::sockopt::curve_serverkey, m_key.m_public);
            socket.set(zmq::sockopt::curve_publickey, m_key.m_public);
            socket.set(zmq::sockopt::curve_secretkey, m_key.m_secret);
        }
        socket.connect(tcp_address(peer));
        return m_senders.emplace(peer, std::move(socket)).first->second;
    }

    endpoint m_self;
    node_incarnation m_incarnation;
    fleet_key m_key;
    zmq::context_t m_context;
    std::optional<curve_authenticator> m_authenticator;
    zmq::socket_t m_receiver;
    handshake_monitor m_monitor;
    std::map<endpoint, zmq::socket_t> m_senders;
    int m_wake;
    std::atomic<std::uint64_t> m_dropped{0};
    std::atomic<std::uint64_t> m_unsent{0};
};

} // namespace

fleet_key make_fleet_key()
{
    std::array<char, curve_text_size> public_key{};
    std::array<char, curve_text_size> secret_key{};
    zmq_curve_keypair(public_key.data(), secret_key.data());
    return fleet_key{public_key.data(), secret_key.data()};
}

std::unique_ptr<peer_link> make_zmq_peer_link(const endpoint& self, node_incarnation incarnation,
                                              const fleet_key& key)
{
    return std::make_unique<zmq_peer_link>(self, incarnation, key);
}

} // namespace teasellead
