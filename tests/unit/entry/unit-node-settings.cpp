#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

#include "teasellead/entry/node_settings.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace
{

using namespace teasellead;

const std::vector<std::string> valid_flags{
    "--listen",       "127.0.0.1:8080", "--peer-listen",  "127.0.0.1:7000", "--operator-listen",
    "127.0.0.1:8081", "--platform",     "127.0.0.1:8500", "--data-centre",  "north"};

std::optional<std::string> environment(const std::string& name)
{
    const std::map<std::string, std::string> variables{{"TEASELLEAD_FLEET_PUBLIC_KEY", std::string(40, 'p')},
                                                       {"TEASELLEAD_FLEET_SECRET_KEY", std::string(40, 's')},
                                                       {"TEASELLEAD_WORKERS", "7"},
                                                       {"TEASELLEAD_QUEUE", "9"}};
    const auto found = variables.find(name);
    return found == variables.end() ? std::nullopt : std::optional{found->second};
}

std::vector<std::string> with(std::vector<std::string> more)
{
    std::vector<std::string> flags = valid_flags;
    flags.insert(flags.end(), more.begin(), more.end());
    return flags;
}

class node_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(node_settings_test);
    CPPUNIT_TEST(flags_override_the_environment);
    CPPUNIT_TEST(rejection_names_the_setting_and_the_value);
    CPPUNIT_TEST(prints_help_and_version);
    CPPUNIT_TEST_SUITE_END();

  public:
    void flags_override_the_environment()
    {
        const auto read = read_node_settings(with({"--workers", "3"}), environment);
        const auto& settings = std::get<node_settings>(read);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, settings.m_workers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, settings.m_queue);
        CPPUNIT_ASSERT_EQUAL(std::string{"north"}, settings.m_data_centre);
    }

    void rejection_names_the_setting_and_the_value()
    {
        struct row
        {
            std::vector<std::string> m_flags;
            int m_id;
            std::string m_message;
        };
        const row rows[] = {
            {with({"--worker", "3"}), 201, "worker"},
            {with({"stray"}), 201, "stray"},
            {with({"--workers", "many"}), 202, "setting \"workers\" is \"many\", not an integer from 1"},
            {with({"--workers", "0"}), 202, "setting \"workers\" is \"0\""},
            {with({"--extra-load", "2"}), 202, "setting \"extra-load\" is \"2\", not a number from 0 to 1"},
            {with({"--log-level", "loud"}), 202, "setting \"log-level\" is \"loud\""},
            {with({"--cold-start-limit", "maybe"}), 202, "setting \"cold-start-limit\" is \"maybe\""},
            {with({"--hedging", "always"}), 203, "unknown plug-in \"always\""},
            {with({"--limits", "none"}), 203, "unknown plug-in \"none\""},
            {{"--listen", "localhost:8080"},
             202,
             "setting \"listen\" is \"localhost:8080\", not an IP number"},
            {{valid_flags.begin(), valid_flags.end() - 2}, 204, "setting \"data-centre\" is missing"},
        };
        for (const row& current : rows)
        {
            check_rejection(current.m_flags, current.m_id, current.m_message);
        }
    }

    void prints_help_and_version()
    {
        for (const char* const flag : {"--help", "--version"})
        {
            const auto read = read_node_settings({flag}, environment);
            CPPUNIT_ASSERT(std::get<help_text>(read).m_text.find("teasellead") != std::string::npos);
        }
    }

  private:
    static void check_rejection(const std::vector<std::string>& flags, int id, const std::string& message)
    {
        try
        {
            (void)read_node_settings(flags, environment);
        }
        catch (const settings_error& error)
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(error.what(), id, error.id());
            CPPUNIT_ASSERT_MESSAGE(error.what(),
                                   std::string{error.what()}.find(message) != std::string::npos);
            return;
        }
        CPPUNIT_FAIL("accepted: " + message);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_settings_test);

} // namespace
