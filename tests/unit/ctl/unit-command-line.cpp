#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>

#include "teasellead/ctl/commands.hpp"

namespace
{

using namespace teasellead;

class command_line_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(command_line_test);
    CPPUNIT_TEST(error_names_the_invalid_argument);
    CPPUNIT_TEST(generates_keys);
    CPPUNIT_TEST_SUITE_END();

  public:
    void error_names_the_invalid_argument()
    {
        struct row
        {
            command_arguments m_arguments;
            exit_code m_expected;
            std::string m_error;
        };
        const std::vector<row> rows{
            {{}, exit_code::usage, "usage:"},
            {{"help"}, exit_code::ok, ""},
            {{"--help"}, exit_code::ok, ""},
            {{"reprot"}, exit_code::usage, "unknown command \"reprot\""},
            {{"check"}, exit_code::usage, "wrong number of arguments for \"check\""},
            {{"check", "a", "b"}, exit_code::usage, "wrong number of arguments for \"check\""},
            {{"check", "/nonexistent/file"}, exit_code::usage, "file \"/nonexistent/file\" can't be read"},
            {{"check", "/"}, exit_code::usage, "file \"/\" can't be read"},
            {{"diff", "a"}, exit_code::usage, "wrong number of arguments for \"diff\""},
            {{"diff", "/nonexistent/file", "b"},
             exit_code::usage,
             "file \"/nonexistent/file\" can't be read"},
            {{"key", "an id", "account"}, exit_code::failure, "key id \"an id\""},
            {{"fleet-key", "x"}, exit_code::usage, "wrong number of arguments for \"fleet-key\""},
            {{"where", "127.0.0.1:1", "host"}, exit_code::usage, "wrong number of arguments for \"where\""},
            {{"where", "localhost:1", "host", "/"}, exit_code::usage, "operator address \"localhost:1\""},
            {{"report"}, exit_code::usage, "wrong number of arguments for \"report\""},
            {{"report", "localhost:1"}, exit_code::usage, "operator address \"localhost:1\""}};
        for (const row& row : rows)
        {
            std::ostringstream output;
            std::ostringstream errors;
            const exit_code result = run_command_line(row.m_arguments, output, errors);
            CPPUNIT_ASSERT_MESSAGE(errors.str(), row.m_expected == result);
            CPPUNIT_ASSERT_MESSAGE(errors.str(), errors.str().find(row.m_error) != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(row.m_expected == exit_code::ok, errors.str().empty());
        }
    }

    void generates_keys()
    {
        std::ostringstream output;
        std::ostringstream errors;
        CPPUNIT_ASSERT(run_command_line({"key", "coach-1", "coaches"}, output, errors) == exit_code::ok);
        CPPUNIT_ASSERT(output.str().starts_with("# for the caller: coach-1."));
        CPPUNIT_ASSERT(run_command_line({"fleet-key"}, output, errors) == exit_code::ok);
        CPPUNIT_ASSERT(output.str().find("TEASELLEAD_FLEET_SECRET_KEY='") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_line_test);

} // namespace
