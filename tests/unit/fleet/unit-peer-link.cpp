#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>
#include <zmq.hpp>

#include "teasellead/fleet/codec.hpp"
#include "teasellead/fleet/peer_link.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;

constexpr std::uint32_t loopback = 0x7F000000;
constexpr int max_attempts = 500; // calls of receive, of at most 20 ms each

endpoint address_of(std::uint32_t host)
{
    return endpoint{loopback + host, 21501};
}

hello numbered(std::uint64_t sequence)
{
    hello content;
    content.m_sequence = sequence;
    content.m_data_centre = "north";
    return content;
}

std::uint64_t sequence_of(const peer_message& message)
{
    return std::get<hello>(message.m_content).m_sequence;
}

/// receives from a link until a condition holds; calls an action before each receive
bool work_until(
    peer_link& link, std::vector<peer_message>& received, const std::function<bool()>& condition,
    const std::function<void()>& action = [] {})
{
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        if (condition())
        {
            return true;
        }
        action();
        for (peer_message& message : link.receive(20ms))
        {
            received.push_back(std::move(message));
        }
    }
    return condition();
}

/// sends a message repeatedly until the receiver has received its sequence number
bool deliver(peer_link& sender, peer_link& receiver, const endpoint& to, std::uint64_t sequence)
{
    std::vector<peer_message> received;
    const auto has_arrived = [&]
    {
        return !received.empty() && sequence_of(received.back()) == sequence;
    };
    return work_until(receiver, received, has_arrived,
                      [&]
                      {
                          sender.send({to, numbered(sequence)});
                          (void)sender.receive(1ms);
                      });
}

/// a raw socket of an attacker that is connected to a link
class intruder
{
  public:
    intruder(const endpoint& target, const std::function<void(zmq::socket_t&)>& prepare)
        : m_socket(m_context, zmq::socket_type::dealer)
    {
        m_socket.set(zmq::sockopt::linger, 0);
        prepare(m_socket);
        m_socket.connect("tcp://" + target.to_string());
    }

    void send(const std::vector<std::string>& frames)
    {
        for (std::size_t index = 0; index < frames.size(); ++index)
        {
            const auto more = index + 1 < frames.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
            (void)m_socket.send(zmq::buffer(frames[index]), more | zmq::send_flags::dontwait);
        }
    }

  private:
    zmq::context_t m_context{1};
    zmq::socket_t m_socket;
};

void use_key(zmq::socket_t& socket, const std::string& server_key, const fleet_key& own)
{
    socket.set(zmq::sockopt::curve_serverkey, server_key);
    socket.set(zmq::sockopt::curve_publickey, own.m_public);
    socket.set(zmq::sockopt::curve_secretkey, own.m_secret);
}

class peer_link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_link_test);
    CPPUNIT_TEST(prepared_connection_loses_no_first_message);
    CPPUNIT_TEST(carries_messages_both_ways);
    CPPUNIT_TEST(drops_connections_without_the_key);
    CPPUNIT_TEST(drops_malformed_messages);
    CPPUNIT_TEST(receives_after_an_oversized_message);
    CPPUNIT_TEST(reaches_a_restarted_peer);
    CPPUNIT_TEST(doesnt_block_on_an_unreachable_peer);
    CPPUNIT_TEST(closes_connections_to_former_peers);
    CPPUNIT_TEST(wake_interrupts_receive);
    CPPUNIT_TEST(rejects_unusable_settings);
    CPPUNIT_TEST_SUITE_END();

  public:
    void prepared_connection_loses_no_first_message()
    {
        const auto sender = make_zmq_peer_link(address_of(61), 1, fleet_key{});
        const auto receiver = make_zmq_peer_link(address_of(62), 1, fleet_key{});
        sender->prepare({address_of(62), address_of(63)}, 1);
        std::vector<peer_message> received;
        // gives the sender time to connect
        (void)work_until(*receiver, received, [attempts = 0]() mutable { return ++attempts > 25; });
        sender->send({address_of(62), numbered(1)});
        CPPUNIT_ASSERT(work_until(*receiver, received, [&] { return !received.empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, sender->unsent());
        // only one connection was opened, so the first message to the other peer is lost
        sender->send({address_of(63), numbered(1)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, sender->unsent());
    }

    void carries_messages_both_ways()
    {
        const fleet_key key = make_fleet_key();
        for (const fleet_key& used : {key, fleet_key{}})
        {
            const auto first = make_zmq_peer_link(address_of(1), 11, used);
            const auto second = make_zmq_peer_link(address_of(2), 22, used);
            CPPUNIT_ASSERT(deliver(*first, *second, address_of(2), 1));
            CPPUNIT_ASSERT(deliver(*second, *first, address_of(1), 2));
            // a message of 1 MB is delivered once the connection exists
            const revision_reply text{7, 0, std::string(1'048'576, 't'), "digest", {}, 0, true};
            first->send({address_of(2), text});
            std::vector<peer_message> received;
            CPPUNIT_ASSERT(work_until(*second, received,
                                      [&] {
                                          return !received.empty() && std::holds_alternative<revision_reply>(
                                                                          received.back().m_content);
                                      }));
            CPPUNIT_ASSERT(received.back() == (peer_message{address_of(1), 11, text}));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, first->dropped() + second->dropped());
        }
    }

    void drops_connections_without_the_key()
    {
        const fleet_key key = make_fleet_key();
        const fleet_key other = make_fleet_key();
        struct row
        {
            const char* m_name;
            std::function<void(zmq::socket_t&)> m_prepare;
        };
        const row rows[] = {
            {"no key",
             [](zmq::socket_t&) {
             }},
            {"key of another fleet",
             [&](zmq::socket_t& socket)
             {
                 use_key(socket, other.m_public, other);
             }},
            {"own key with the fleet's public key",
             [&](zmq::socket_t& socket)
             {
                 use_key(socket, key.m_public, other);
             }},
        };
        const auto link = make_zmq_peer_link(address_of(3), 33, key);
        const auto peer = make_zmq_peer_link(address_of(4), 44, key);
        const std::string valid = encode({address_of(4), 44, numbered(666)});
        for (const row& each : rows)
        {
            const std::uint64_t before = link->dropped();
            intruder attacker{address_of(3), each.m_prepare};
            std::vector<peer_message> received;
            CPPUNIT_ASSERT_MESSAGE(each.m_name, work_until(
                                                    *link, received, [&] { return link->dropped() > before; },
                                                    [&] { attacker.send({valid}); }));
            CPPUNIT_ASSERT_MESSAGE(each.m_name, received.empty());
        }
        CPPUNIT_ASSERT(deliver(*peer, *link, address_of(3), 5));
    }

    void drops_malformed_messages()
    {
        const std::string valid = encode({address_of(6), 66, numbered(1)});
        const std::string without_content = encode({address_of(6), 66, numbered(1)}).substr(0, 18);
        const std::vector<std::string> rows[] = {
            {"garbage"},
            {""},
            {valid.substr(0, valid.size() - 1)},
            {without_content},
            {valid, valid},
            {std::string(max_peer_message_bytes + 1, 'x')},
            {valid + std::string(max_peer_message_bytes, '\0')},
        };
        const fleet_key key = make_fleet_key();
        const auto link = make_zmq_peer_link(address_of(5), 55, key);
        const auto peer = make_zmq_peer_link(address_of(6), 66, key);
        intruder member{address_of(5), [&](zmq::socket_t& socket)
                        {
                            use_key(socket, key.m_public, key);
                        }};
        std::uint64_t expected = 0;
        for (const std::vector<std::string>& frames : rows)
        {
            ++expected;
            member.send(frames);
            std::vector<peer_message> received;
            CPPUNIT_ASSERT(work_until(*link, received, [&] { return link->dropped() == expected; }));
            CPPUNIT_ASSERT(received.empty());
        }
        CPPUNIT_ASSERT(deliver(*peer, *link, address_of(5), 5));
        CPPUNIT_ASSERT_EQUAL(expected, link->dropped());
    }

    void receives_after_an_oversized_message()
    {
        const fleet_key key = make_fleet_key();
        const auto link = make_zmq_peer_link(address_of(7), 77, key);
        const auto peer = make_zmq_peer_link(address_of(8), 88, key);
        CPPUNIT_ASSERT(deliver(*peer, *link, address_of(7), 1));
        intruder member{address_of(7), [&](zmq::socket_t& socket)
                        {
                            use_key(socket, key.m_public, key);
                        }};
        member.send({std::string(10 * max_peer_message_bytes, 'x')});
        CPPUNIT_ASSERT(deliver(*peer, *link, address_of(7), 2));
    }

    void reaches_a_restarted_peer()
    {
        const fleet_key key = make_fleet_key();
        const auto link = make_zmq_peer_link(address_of(9), 99, key);
        for (node_incarnation incarnation = 1; incarnation <= 3; ++incarnation)
        {
            const auto peer = make_zmq_peer_link(address_of(10), incarnation, key);
            CPPUNIT_ASSERT(deliver(*link, *peer, address_of(10), incarnation));
            CPPUNIT_ASSERT(deliver(*peer, *link, address_of(9), incarnation));
        }
    }

    void doesnt_block_on_an_unreachable_peer()
    {
        const fleet_key key = make_fleet_key();
        const auto link = make_zmq_peer_link(address_of(11), 1, key);
        const auto peer = make_zmq_peer_link(address_of(12), 2, key);
        constexpr std::uint64_t messages = 5'000;
        for (std::uint64_t sequence = 0; sequence < messages; ++sequence)
        {
            link->send({address_of(13), numbered(sequence)});
        }
        CPPUNIT_ASSERT_EQUAL(messages, link->unsent());
        CPPUNIT_ASSERT(deliver(*link, *peer, address_of(12), 1));
    }

    void closes_connections_to_former_peers()
    {
        const fleet_key key = make_fleet_key();
        const auto link = make_zmq_peer_link(address_of(14), 1, key);
        const auto peer = make_zmq_peer_link(address_of(15), 2, key);
        CPPUNIT_ASSERT(deliver(*link, *peer, address_of(15), 1));
        // more hosts in total than sockets that may be open at the same time
        constexpr std::uint32_t hosts = 3'000;
        for (std::uint32_t host = 0; host < hosts; ++host)
        {
            link->send({endpoint{loopback + 0x10000 + host, 21502}, numbered(1)});
            if (host % 100 == 0)
            {
                link->retain({address_of(15)});
            }
        }
        link->retain({address_of(15)});
        CPPUNIT_ASSERT(deliver(*link, *peer, address_of(15), 2));
    }

    void wake_interrupts_receive()
    {
        const auto link = make_zmq_peer_link(address_of(16), 1, {});
        link->wake();
        link->wake();
        CPPUNIT_ASSERT(link->receive(10min).empty());
    }

    void rejects_unusable_settings()
    {
        const fleet_key key = make_fleet_key();
        const fleet_key other = make_fleet_key();
        const auto link = make_zmq_peer_link(address_of(17), 1, key);
        CPPUNIT_ASSERT_THROW((void)make_zmq_peer_link(address_of(17), 2, key), transport_error);
        const fleet_key rows[] = {
            {key.m_public, ""},
            {key.m_public, "short"},
            {key.m_public, other.m_secret},
            {"short", key.m_secret},
            {key.m_public + "x", key.m_secret},
        };
        for (const fleet_key& row : rows)
        {
            CPPUNIT_ASSERT_THROW((void)make_zmq_peer_link(address_of(18), 1, row), transport_error);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_link_test);

} // namespace
