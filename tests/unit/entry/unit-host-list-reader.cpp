#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "detail/host_list_reader.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace
{

using namespace teasellead;

class host_list_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_list_reader_test);
    CPPUNIT_TEST(reads_all_hosts);
    CPPUNIT_TEST(rejects_invalid_lists);
    CPPUNIT_TEST_SUITE_END();

  public:
    void reads_all_hosts()
    {
        const std::string text = R"({"hosts":[{"peer":"127.0.1.10:7000","data_centre":"north","state":"live"},
            {"peer":"127.0.2.10:7000","data_centre":"south","state":"leaving"}]})";
        const host_list expected{7,
                                 {{listed_host{endpoint::parse("127.0.1.10:7000"), "north"}, false},
                                  {listed_host{endpoint::parse("127.0.2.10:7000"), "south"}, true}}};
        CPPUNIT_ASSERT(detail::read_host_list(7, text) == expected);
    }

    void rejects_invalid_lists()
    {
        for (const char* const text :
             {"", "[]", "{}", R"({"hosts":[{"peer":"localhost:1","data_centre":"a"}]})",
              R"({"hosts":[{"peer":"127.0.0.1:1"}]})", R"({"hosts":[7]})"})
        {
            CPPUNIT_ASSERT_THROW_MESSAGE(text, (void)detail::read_host_list(1, text), protocol_error);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_list_reader_test);

} // namespace
