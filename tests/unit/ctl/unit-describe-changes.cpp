#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "teasellead/ctl/describe_changes.hpp"
#include "teasellead/kernel/configuration_parser.hpp"

namespace
{

using namespace teasellead;

const std::string base_text = R"([[data_centre]]
name = "north"
state = "live"

[[data_centre]]
name = "south"
state = "out"

[[index]]
name = "nets"
snapshot = 1
shard_map = 1

[[service]]
name = "search"
index = "nets"
depends_on = ["lanes"]

[[service]]
name = "lanes"
index = "nets"
slots = 4
connections = 40
cold_start_requests = 1
  [[service.shard]]
  name = "a"
  keys = [0, 32768]
  replicas = [
    { data_centre = "north", address = "127.0.1.1:9001" },
    { data_centre = "south", address = "127.0.2.1:9002", leaving = true },
  ]
  [[service.shard]]
  name = "b"
  keys = [32768, 65536]
  replicas = [
    { data_centre = "north", address = "127.0.1.1:9003" },
  ]

[[service]]
name = "bookings"
index = "nets"
slots = 2
connections = 40
cold_start_requests = 1
  [[service.shard]]
  name = "all"
  keys = [0, 65536]
  replicas = [
    { data_centre = "north", address = "127.0.1.1:9009" },
  ]

[[route]]
path = "/search"
service = "search"
idempotent = true
deadline_ms = 200

[[route]]
path = "/book"
service = "bookings"
idempotent = false
deadline_ms = 1000

[[client_account]]
name = "coaches"
rate = 100
burst = 200
weight = 2

[[client_account]]
name = "clubs"
rate = 20
burst = 40
weight = 1

[[key]]
id = "coach-1"
client_account = "coaches"
salt = "b4c89bd115a6bd4aebdb21bb436e694f"
hash = "1e4d862f9a7174105ad4f58ced3cee43162c4f9da730e0efde56f7af1b2de3de"
)";

using lines = std::vector<std::string>;

/// one edit of the text: replaces the first occurrence of a substring
struct edit
{
    std::string m_part;
    std::string m_replacement;
};

std::string edited(const std::vector<edit>& edits)
{
    std::string text = base_text;
    for (const edit& each : edits)
    {
        const std::size_t position = text.find(each.m_part);
        CPPUNIT_ASSERT_MESSAGE(each.m_part, position != std::string::npos);
        text.replace(position, each.m_part.size(), each.m_replacement);
    }
    return text;
}

std::string joined(const lines& sentences)
{
    std::string result;
    for (const std::string& sentence : sentences)
    {
        result += sentence + '\n';
    }
    return result;
}

std::string difference(const std::string& older, const std::string& newer)
{
    return joined(describe_changes(parse_configuration(older), parse_configuration(newer)));
}

/// edits, the expected description of their effect, and that of reverting them
struct row
{
    std::vector<edit> m_edits;
    lines m_forward;
    lines m_backward;
};

const std::string new_data_centre = "[[data_centre]]\nname = \"west\"\nstate = \"live\"\n\n[[index]]";
const std::string new_replica = "{ data_centre = \"north\", address = \"127.0.1.1:9003\" },\n"
                                "{ data_centre = \"south\", address = \"127.0.2.1:9004\" },";
const std::string new_route =
    "[[route]]\npath = \"/open\"\nservice = \"search\"\nidempotent = true\nopen = true\ndeadline_ms = 50\n\n"
    "[[client_account]]";
const std::string new_key = "[[key]]\nid = \"club-1\"\nclient_account = \"clubs\"\n"
                            "salt = \"efc0311a589c0d8500cce049cf2dba74\"\n"
                            "hash = \"00d3db164c867e0d05364499bfe42aca067349c37fdd54cf066c4f6fe0050544\"\n\n"
                            "[[key]]";
const std::string new_service =
    "[[service]]\nname = \"lights\"\nindex = \"nets\"\nslots = 1\nconnections = 40\ncold_start_requests = 1\n"
    "[[service.shard]]\nname = \"all\"\nkeys = [0, 65536]\n"
    "replicas = [{ data_centre = \"north\", address = \"127.0.1.1:9011\" }]\n\n[[route]]";

const std::vector<row> rows{
    {{}, {}, {}},
    {{{"state = \"live\"", "state = \"out\""}},
     {"data centre north is taken out: receives no new work"},
     {"data centre north is back: receives work again"}},
    {{{"[[index]]", new_data_centre}}, {"data centre west is added, live"}, {"data centre west is removed"}},
    {{{"state = \"live\"", "state = \"live\"\nlimit_weight = 3"}},
     {"data centre north: weight of its part of the limits goes up from 1 to 3"},
     {"data centre north: weight of its part of the limits goes down from 3 to 1"}},
    {{{"snapshot = 1", "snapshot = 2"}, {"shard_map = 1", "shard_map = 5"}},
     {"index nets: snapshot changes from 1 to 2", "index nets: shard map changes from 1 to 5"},
     {"index nets: snapshot changes from 2 to 1", "index nets: shard map changes from 5 to 1"}},
    {{{"[[index]]", "[[index]]\nname = \"refunds\"\nsnapshot = 4\nshard_map = 2\n\n[[index]]"}},
     {"index refunds is added: snapshot 4, shard map 2"},
     {"index refunds is removed"}},
    {{{"[[route]]", new_service}},
     {"service lights is added: 1 shards, 1 replicas"},
     {"service lights is removed"}},
    {{{"depends_on = [\"lanes\"]", "depends_on = [\"lanes\", \"bookings\"]"}},
     {"service search now depends on bookings"},
     {"service search no longer depends on bookings"}},
    {{{"slots = 4", "slots = 6"}, {"connections = 40", "connections = 30"}},
     {"service lanes: number of slots goes up from 4 to 6",
      "service lanes: number of connections goes down from 40 to 30"},
     {"service lanes: number of slots goes down from 6 to 4",
      "service lanes: number of connections goes up from 30 to 40"}},
    {{{"cold_start_requests = 1", "cold_start_requests = 2"}},
     {"service lanes: number of cold-start requests goes up from 1 to 2"},
     {"service lanes: number of cold-start requests goes down from 2 to 1"}},
    {{{"name = \"b\"", "name = \"c\""}},
     {"service lanes, shard c is added: keys 32768 to 65536, 1 replicas",
      "service lanes, shard b is removed"},
     {"service lanes, shard b is added: keys 32768 to 65536, 1 replicas",
      "service lanes, shard c is removed"}},
    {{{"[0, 32768]", "[0, 4096]"}, {"[32768, 65536]", "[4096, 65536]"}},
     {"service lanes, shard a: keys 0 to 32768 become keys 0 to 4096",
      "service lanes, shard b: keys 32768 to 65536 become keys 4096 to 65536"},
     {"service lanes, shard a: keys 0 to 4096 become keys 0 to 32768",
      "service lanes, shard b: keys 4096 to 65536 become keys 32768 to 65536"}},
    {{{"{ data_centre = \"north\", address = \"127.0.1.1:9003\" },", new_replica}},
     {"service lanes, shard b: replica 127.0.2.1:9004 in south is added"},
     {"service lanes, shard b: replica 127.0.2.1:9004 in south is removed"}},
    {{{", leaving = true", ""}},
     {"service lanes, shard a: replica 127.0.2.1:9002 in south stays: receives work again"},
     {"service lanes, shard a: replica 127.0.2.1:9002 in south is leaving: receives no new work"}},
    {{{"\"north\", address = \"127.0.1.1:9009\"", "\"south\", address = \"127.0.1.1:9009\""}},
     {"service bookings, shard all: replica 127.0.1.1:9009 in south was in north"},
     {"service bookings, shard all: replica 127.0.1.1:9009 in north was in south"}},
    {{{"[[client_account]]", new_route}},
     {"route /open is added: service search, idempotent, open to all, 50 ms"},
     {"route /open is removed"}},
    {{{"service = \"search\"", "service = \"lanes\""}},
     {"route /search is answered by service lanes instead of search"},
     {"route /search is answered by service search instead of lanes"}},
    {{{"idempotent = true", "idempotent = true\nopen = true"}},
     {"route /search opens to all: no key needed"},
     {"route /search closes: key needed"}},
    {{{"idempotent = false", "idempotent = true"}},
     {"route /book becomes idempotent: requests may run twice"},
     {"route /book becomes non-idempotent: requests run at most once"}},
    {{{"deadline_ms = 200", "deadline_ms = 250"}},
     {"route /search: deadline goes up from 200 to 250 ms"},
     {"route /search: deadline goes down from 250 to 200 ms"}},
    {{{"rate = 100\nburst = 200\nweight = 2", "rate = 1000000.5\nburst = 150\nweight = 3"}},
     {"client account coaches: rate goes up from 100 to 1000000.5/s",
      "client account coaches: burst goes down from 200 to 150",
      "client account coaches: weight goes up from 2 to 3"},
     {"client account coaches: rate goes down from 1000000.5 to 100/s",
      "client account coaches: burst goes up from 150 to 200",
      "client account coaches: weight goes down from 3 to 2"}},
    {{{"name = \"clubs\"", "name = \"schools\""}},
     {"client account schools is added: rate 20/s, burst 40, weight 1", "client account clubs is removed"},
     {"client account clubs is added: rate 20/s, burst 40, weight 1", "client account schools is removed"}},
    {{{"[[key]]", new_key}}, {"key club-1 is issued to clubs"}, {"key club-1 of clubs is withdrawn"}},
    {{{"client_account = \"coaches\"", "client_account = \"clubs\""}},
     {"key coach-1 moves from coaches to clubs"},
     {"key coach-1 moves from clubs to coaches"}},
    {{{"hash = \"1e", "hash = \"2e"}},
     {"key coach-1 of coaches has a new secret: the old one stops working"},
     {"key coach-1 of coaches has a new secret: the old one stops working"}}};

class describe_changes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(describe_changes_test);
    CPPUNIT_TEST(describes_the_effect_of_a_change);
    CPPUNIT_TEST(ignores_the_order);
    CPPUNIT_TEST(describes_a_first_configuration);
    CPPUNIT_TEST_SUITE_END();

  public:
    void describes_the_effect_of_a_change()
    {
        for (const row& row : rows)
        {
            const std::string newer = edited(row.m_edits);
            CPPUNIT_ASSERT_EQUAL(joined(row.m_forward), difference(base_text, newer));
            CPPUNIT_ASSERT_EQUAL(joined(row.m_backward), difference(newer, base_text));
        }
    }

    void ignores_the_order()
    {
        const std::string newer =
            edited({{"name = \"north\"\nstate = \"live\"", "name = \"PLACE\""},
                    {"name = \"south\"\nstate = \"out\"", "name = \"north\"\nstate = \"live\""},
                    {"name = \"PLACE\"", "name = \"south\"\nstate = \"out\""}});
        CPPUNIT_ASSERT(newer != base_text);
        CPPUNIT_ASSERT_EQUAL(std::string{}, difference(base_text, newer));
    }

    void describes_a_first_configuration()
    {
        const lines changes = describe_changes(configuration{}, parse_configuration(base_text));
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, changes.size());
        CPPUNIT_ASSERT(std::all_of(changes.begin(), changes.end(),
                                   [](const std::string& change) {
                                       return change.find(" is added") != std::string::npos ||
                                              change.find(" is issued") != std::string::npos;
                                   }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(describe_changes_test);

} // namespace
