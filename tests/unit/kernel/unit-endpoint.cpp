#include <cppunit/extensions/HelperMacros.h>

#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace
{

using teasellead::endpoint;

class endpoint_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_test);
    CPPUNIT_TEST(round_trips_valid_endpoints);
    CPPUNIT_TEST(rejects_invalid_endpoints);
    CPPUNIT_TEST_SUITE_END();

  public:
    void round_trips_valid_endpoints()
    {
        for (const char* const text : {"127.0.0.1:1", "10.1.2.3:65535", "255.255.255.255:80"})
        {
            CPPUNIT_ASSERT_EQUAL(std::string{text}, endpoint::parse(text).to_string());
        }
    }

    void rejects_invalid_endpoints()
    {
        for (const char* const text :
             {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "localhost:80",
              "1.2.3:80", "127.0.0.1:80x", "127.0.0.1:-1", " 127.0.0.1:80"})
        {
            CPPUNIT_ASSERT_THROW_MESSAGE(text, (void)endpoint::parse(text), teasellead::protocol_error);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_test);

} // namespace
