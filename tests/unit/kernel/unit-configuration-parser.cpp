#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "teasellead/kernel/configuration_parser.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace
{

using teasellead::config_error;
using teasellead::parse_configuration;

const std::string valid_text = R"([[data_centre]]
name = "north"

[[index]]
name = "nets"
snapshot = 41
shard_map = 3

[[service]]
name = "slots"
index = "nets"
depends_on = ["lanes"]

[[service]]
name = "lanes"
index = "nets"
slots = 3
connections = 30
  [[service.shard]]
  name = "a"
  keys = [0, 30000]
  replicas = [{ data_centre = "north", address = "127.0.0.1:9001" }]
  [[service.shard]]
  name = "b"
  keys = [30000, 65536]
  replicas = [{ data_centre = "north", address = "127.0.0.1:9002", leaving = true }]

[[route]]
path = "/slots"
service = "slots"
idempotent = true
deadline_ms = 200

[[client_account]]
name = "school"
rate = 10
burst = 20.5

[[key]]
id = "k1"
client_account = "school"
salt = "000102030405060708090a0b0c0d0e0f"
hash = "000102030405060708090a0b0c0d0e0f000102030405060708090a0b0c0d0e0f"
)";

/// returns the valid text with the first occurrence of a substring replaced
std::string with(const std::string& original, const std::string& replacement)
{
    std::string text = valid_text;
    const auto position = text.find(original);
    CPPUNIT_ASSERT_MESSAGE(original, position != std::string::npos);
    return text.replace(position, original.size(), replacement);
}

class configuration_parser_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_parser_test);
    CPPUNIT_TEST(accepts_a_valid_text);
    CPPUNIT_TEST(rejects_with_line_and_reason);
    CPPUNIT_TEST_SUITE_END();

  public:
    void accepts_a_valid_text()
    {
        const auto declared = parse_configuration(valid_text);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, declared.services().size());
        const auto* const lanes = declared.find_service("lanes");
        CPPUNIT_ASSERT(lanes != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{30}, lanes->limits().connections());
        CPPUNIT_ASSERT(lanes->shards()[1].replicas()[0].leaving());
        CPPUNIT_ASSERT_EQUAL(20.5, declared.find_client_account("school")->burst());
        CPPUNIT_ASSERT(declared.is_live("north"));
        CPPUNIT_ASSERT(declared == parse_configuration(valid_text));
    }

    void rejects_with_line_and_reason()
    {
        struct row
        {
            std::string m_text;
            int m_id;
            unsigned m_line;
            std::string m_message;
        };
        const row rows[] = {
            {"[[data_centre]\n", 301, 1, "[teasellead.config.301] line 1: "},
            {with("snapshot = 41", "snapshot = 41\nshards = 3"), 302, 7, "unknown field \"shards\" in index"},
            {with("name = \"north\"", ""), 303, 1, "data_centre needs the field \"name\""},
            {with("idempotent = true", "idempotent = \"yes\""), 303, 31,
             "\"idempotent\" must be true or false"},
            {with("127.0.0.1:9001", "localhost:9001"), 303, 22, "not an IPv4 address with a port"},
            {with("[[index]]", "[[data_centre]]\nname = \"north\"\n[[index]]"), 304, 4,
             "data centre \"north\" is declared twice"},
            {with("[\"lanes\"]", "[\"lane\"]"), 305, 9,
             "service \"slots\" depends on unknown service \"lane\""},
            {with("slots = 3", "slots = 3\ndepends_on = [\"slots\"]"), 306, 9,
             "service \"slots\" depends on itself through \"lanes\""},
            {with("[{ data_centre = \"north\", address = \"127.0.0.1:9001\" }]", "[]"), 307, 14,
             "shard \"a\" of service \"lanes\" has no replica"},
            {with("depends_on = [\"lanes\"]", ""), 307, 9,
             "service \"slots\" has neither a shard nor a dependency"},
            {with("slots = 3", "slots = 0"), 308, 17, "\"slots\" is 0, outside 1 to"},
            {with("rate = 10", "rate = -1"), 308, 36, "\"rate\" must be above zero"},
            {with("[30000, 65536]", "[30001, 65536]"), 309, 14, "no shard holds key 30000"},
            {with("[30000, 65536]", "[29999, 65536]"), 309, 14, "two shards hold key 29999"},
            {with("idempotent = true", "idempotent = false"), 310, 28,
             "must have one shard and no dependency"},
            {with("client_account = \"school\"", "client_account = \"club\""), 305, 39,
             "key \"k1\" belongs to unknown client account \"club\""},
        };
        for (const row& current : rows)
        {
            check_rejection(current.m_text, current.m_id, current.m_line, current.m_message);
        }
    }

  private:
    static void check_rejection(const std::string& text, int id, unsigned line, const std::string& message)
    {
        try
        {
            (void)parse_configuration(text);
        }
        catch (const config_error& error)
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(error.what(), id, error.id());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(error.what(), line, error.line());
            CPPUNIT_ASSERT_MESSAGE(error.what(),
                                   std::string{error.what()}.find(message) != std::string::npos);
            return;
        }
        CPPUNIT_FAIL("accepted: " + message);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_parser_test);

} // namespace
