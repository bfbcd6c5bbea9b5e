#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "teasellead/kernel/percent_encoding.hpp"

namespace
{

using namespace teasellead;

class percent_encoding_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(percent_encoding_test);
    CPPUNIT_TEST(encoded_values);
    CPPUNIT_TEST(each_byte_survives);
    CPPUNIT_TEST(malformed_values_are_kept);
    CPPUNIT_TEST_SUITE_END();

  public:
    void encoded_values()
    {
        struct row
        {
            std::string m_value;
            std::string m_encoded;
        };
        const std::vector<row> rows{
            {"", ""},
            {"servers/i-7f3a91c2", "servers/i-7f3a91c2"},
            {"a&b=c+d#e%f g?", "a%26b%3Dc%2Bd%23e%25f%20g%3F"},
            {"\r\n\xff", "%0D%0A%FF"},
            {"-._~", "-._~"},
        };
        for (const row& each : rows)
        {
            CPPUNIT_ASSERT_EQUAL(each.m_encoded, percent_encoded(each.m_value));
            CPPUNIT_ASSERT_EQUAL(each.m_value, percent_decoded(each.m_encoded));
        }
    }

    void each_byte_survives()
    {
        for (int code = 0; code <= 0xFF; ++code)
        {
            const std::string value = std::string{"a"} + static_cast<char>(code) + "41";
            CPPUNIT_ASSERT_EQUAL(value, percent_decoded(percent_encoded(value)));
        }
    }

    void malformed_values_are_kept()
    {
        for (const std::string value : {"%", "%4", "%zz", "a%", "%-1"})
        {
            CPPUNIT_ASSERT_EQUAL(value, percent_decoded(value));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(percent_encoding_test);

} // namespace
