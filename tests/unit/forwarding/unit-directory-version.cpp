#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <vector>

#include "dispatch_fixture.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::forwarding;
using namespace teasellead::test;

constexpr time_point start = dispatch_start;

class directory_version_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(directory_version_test);
    CPPUNIT_TEST(version_of_a_service_changes_only_with_its_upstreams);
    CPPUNIT_TEST(change_counts_after_many_services_have_come_and_gone);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// guards against shares of all services that are divided anew with each upstream that comes or goes
    void version_of_a_service_changes_only_with_its_upstreams()
    {
        struct row
        {
            std::string m_name;
            std::function<void(upstream_directory&)> m_change;
            bool m_changes_a;
            bool m_changes_b;
        };
        upstream_entry draining = entry_of("a", 0);
        draining.m_is_draining = true;
        const std::vector<row> rows{
            {"nothing", [](upstream_directory&) {}, false, false},
            {"new upstream",
             [](upstream_directory& each) {
                 each.on_change({"a-2", entry_of("a", 2)}, start);
             },
             true, false},
            {"upstream leaves",
             [draining](upstream_directory& each) {
                 each.on_change({"a-0", draining}, start);
             },
             true, false},
            {"upstream is gone", [](upstream_directory& each) { each.on_removed("a-1", false); }, true,
             false},
            {"evacuation", [](upstream_directory& each) { each.set_evacuated({"north"}); }, true, true},
            {"no new evacuation", [](upstream_directory& each) { each.set_evacuated({}); }, false, false},
        };
        for (const row& each : rows)
        {
            dispatch_fixture fixture{{"a", "b"}};
            upstream_directory& directory = fixture.m_directory;
            const std::uint64_t all = directory.version();
            const std::uint64_t of_a = directory.version_of("a");
            const std::uint64_t of_b = directory.version_of("b");
            each.m_change(directory);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_name, each.m_changes_a, of_a != directory.version_of("a"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_name, each.m_changes_b, of_b != directory.version_of("b"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_name, each.m_changes_a, all != directory.version());
        }
    }

    /// guards against a change that is missed since the versions of services without upstreams were dropped
    void change_counts_after_many_services_have_come_and_gone()
    {
        dispatch_fixture fixture{{"a"}};
        upstream_directory& directory = fixture.m_directory;
        for (int i = 0; i < 500; ++i)
        {
            const std::uint64_t before = directory.version_of("a");
            const std::string other = "other-" + std::to_string(i);
            directory.on_change({other + "-0", entry_of(other, 0)}, start);
            directory.on_removed(other + "-0", false);
            directory.on_change({"a-2", entry_of("a", 2)}, start);
            CPPUNIT_ASSERT(directory.version_of("a") > before);
            directory.on_removed("a-2", false);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(directory_version_test);

} // namespace
