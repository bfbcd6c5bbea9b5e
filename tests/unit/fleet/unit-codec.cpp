#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>

#include "teasellead/fleet/codec.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;

class codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(round_trips_every_message_type);
    CPPUNIT_TEST(reads_messages_of_newer_nodes);
    CPPUNIT_TEST(rejects_malformed_bytes);
    CPPUNIT_TEST_SUITE_END();

  public:
    void round_trips_every_message_type()
    {
        const endpoint upstream{0x7F000001, 9001};
        const peer_content contents[] = {
            hello{7, "north", 12, 99, 6, true, true, false, 0.25, 0.125, 11, 3, 0.5, true},
            revision_request{11, 3},
            revision_reply{12, 0, std::string{"\0text", 5}, "digest", {}, 3, true},
            revision_reply{12, 11, "", "digest", {{0, 5, std::string{"\0a", 2}}, {9, 1, ""}}, 0, false},
            share_request{3, "school", 1.5, 2.5, 500ms},
            share_grant{3, "school", 1.0, 2.0, 0.5},
            share_return{3, "school", 0.25},
            spare_shares{{{"school", 4.0}, {"club", 0.0}}},
            evidence_notice{{{upstream, 5, true}}},
            cold_permit_request{upstream, 4, 500ms},
            cold_permit_grant{upstream, 4, 1},
            quarantine_notice{"abc", 2, 30s},
            forward_request{1, "school", "/book", "id", "{}", 100ms},
            forward_reply{1, 200, "{}", verdict::ran, 0ms},
            crash_notice{{{"abc", 3, 1, {{"read", {"i-1", 1700000000123}, true, false, true}}}}, true},
            trial_request{5, "abc", "read", true},
            trial_reply{5, true, 250ms},
            observation_notice{},
            observation_notice{
                {{{"i-1", 1700000000123},
                  {forwarding::upstream_trouble::shed, 0.625, forwarding::reported_load{4, 2, 4, 2.5}, 40ms},
                  0},
                 {{"", -1}, {forwarding::upstream_trouble::other, 4294967.0, std::nullopt, 1h}, UINT32_MAX}}},
        };
        for (const peer_content& content : contents)
        {
            const peer_message message{endpoint{0x7F000002, 7001}, 42, content};
            CPPUNIT_ASSERT(decode(encode(message)) == message);
        }
    }

    void reads_messages_of_newer_nodes()
    {
        using forwarding::upstream_trouble;
        const auto message = [](upstream_trouble trouble)
        {
            return peer_message{endpoint{1, 1}, 1,
                                observation_notice{{{{"i-1", 2}, {trouble, 0.5, std::nullopt, 1ms}, 0}}}};
        };
        const std::string unknown_field{"\x98\x06\x01"}; // number 99
        const peer_message known = message(upstream_trouble::other);
        CPPUNIT_ASSERT(decode(encode(message(static_cast<upstream_trouble>(200)))) == known);
        CPPUNIT_ASSERT(decode(encode(known) + unknown_field) == known);
    }

    void rejects_malformed_bytes()
    {
        const std::string valid = encode({endpoint{1, 1}, 1, hello{1, "north", 1, 0, 0, false, true, false}});
        const double infinite = std::numeric_limits<double>::infinity();
        const std::string rows[] = {
            "",
            "garbage",
            valid.substr(0, valid.size() - 1),
            encode({endpoint{1, 1}, 1, share_grant{1, "a", infinite, 1.0, 1.0}}),
            encode({endpoint{1, 1}, 1, share_grant{1, "a", 1.0, 1.0, -1.0}}),
            encode({endpoint{1, 1}, 1, hello{1, "n", 1, 0, 0, true, true, false, -1.0, 0.0, 0}}),
            encode({endpoint{1, 1}, 1, hello{1, "n", 1, 0, 0, true, true, false, 0.0, infinite, 0}}),
            encode({endpoint{1, 1}, 1, forward_reply{1, 200, "", static_cast<verdict>(9), 0ms}}),
            std::string(max_peer_message_bytes + 1, 'x'),
        };
        for (const std::string& bytes : rows)
        {
            CPPUNIT_ASSERT_THROW((void)decode(bytes), protocol_error);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace
