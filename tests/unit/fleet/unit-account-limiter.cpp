#include <cppunit/extensions/HelperMacros.h>

#include "teasellead/fleet/account_limiter.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;

const listed_host self{endpoint{1, 7000}, "north"};
const endpoint borrower{2, 7000};
constexpr time_point start{1h};
constexpr double tolerance = 1e-9;

configuration_revision revision_of(revision_number number, std::uint32_t weight)
{
    configuration::declarations declared;
    declared.m_data_centres = {{"north", data_centre_state::live, weight},
                               {"south", data_centre_state::live, 1}};
    declared.m_client_accounts = {{"school", 20.0, 20.0, 1}};
    return {number, "", std::make_shared<const configuration>(std::move(declared))};
}

/// returns a limiter with a full bucket whose host may use half of the limit until ten seconds after the
/// start, then a quarter of that half until twenty seconds after the start
account_limiter full_limiter(const limit_policy& policy = lending{})
{
    account_limiter limiter{self, policy};
    limiter.on_revision(revision_of(1, 1), start - 10s);
    limiter.on_limit_fraction({1.0, 0.25, start + 10s, start + 20s, 1}, start - 10s);
    return limiter;
}

std::size_t admitted_at(account_limiter& limiter, time_point now)
{
    std::size_t count = 0;
    while (std::holds_alternative<admitted>(limiter.try_admit("school", now)))
    {
        ++count;
    }
    return count;
}

class account_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(account_limiter_test);
    CPPUNIT_TEST(refuses_without_limit_fraction_or_declaration);
    CPPUNIT_TEST(admits_its_share_and_reports_retry_after);
    CPPUNIT_TEST(stalled_process_admits_only_within_its_unexpired_fraction);
    CPPUNIT_TEST(lent_share_is_unavailable_to_the_lender_until_its_term_ends);
    CPPUNIT_TEST(duplicated_request_lends_nothing_more);
    CPPUNIT_TEST(larger_fraction_waits_for_adoption);
    CPPUNIT_TEST(policies_are_registered);
    CPPUNIT_TEST_SUITE_END();

  public:
    void refuses_without_limit_fraction_or_declaration()
    {
        account_limiter limiter{self};
        CPPUNIT_ASSERT(std::holds_alternative<over_limit>(limiter.try_admit("school", start)));
        limiter.on_revision(revision_of(1, 1), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, admitted_at(limiter, start + 1h));
    }

    void admits_its_share_and_reports_retry_after()
    {
        for (const limit_policy& policy : {limit_policy{static_split{}}, limit_policy{lending{}}})
        {
            account_limiter limiter = full_limiter(policy);
            CPPUNIT_ASSERT_EQUAL(std::size_t{9}, admitted_at(limiter, start - 9050ms));
            const admission refusal = limiter.try_admit("school", start - 9050ms);
            CPPUNIT_ASSERT(std::get<over_limit>(refusal).m_retry_after > 0ms);
            CPPUNIT_ASSERT(std::get<over_limit>(refusal).m_retry_after <= 100ms);
        }
    }

    void stalled_process_admits_only_within_its_unexpired_fraction()
    {
        struct row
        {
            duration m_age;
            std::size_t m_admitted;
        };
        for (const row& expected : {row{9s, 10}, row{12s, 2}, row{60s, 0}})
        {
            account_limiter limiter = full_limiter();
            CPPUNIT_ASSERT_EQUAL(expected.m_admitted, admitted_at(limiter, start + expected.m_age));
        }
    }

    void lent_share_is_unavailable_to_the_lender_until_its_term_ends()
    {
        account_limiter limiter = full_limiter();
        const auto replies = limiter.on_message(borrower, share_request{7, "school", 4.0, 6.0, 500ms}, start);
        const share_grant grant = std::get<share_grant>(replies.at(0).m_content);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, grant.m_tokens, tolerance);
        const double lent = grant.m_burst;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0 - lent, limiter.usage("school", start + 500ms).m_burst, tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, limiter.usage("school", start + 508ms).m_burst, tolerance);
    }

    void duplicated_request_lends_nothing_more()
    {
        account_limiter limiter = full_limiter();
        const share_request request{7, "school", 0.0, 3.0, 500ms};
        (void)limiter.on_message(borrower, request, start);
        const auto second = limiter.on_message(borrower, request, start + 1ms);
        CPPUNIT_ASSERT_EQUAL(0.0, std::get<share_grant>(second.at(0).m_content).m_tokens);
    }

    void larger_fraction_waits_for_adoption()
    {
        account_limiter limiter = full_limiter();
        limiter.on_revision(revision_of(2, 3), start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, limiter.usage("school", start).m_burst, tolerance);
        limiter.on_limit_fraction({1.0, 0.25, start + 10s, start + 20s, 2}, start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(15.0, limiter.usage("school", start).m_burst, tolerance);
    }

    void policies_are_registered()
    {
        CPPUNIT_ASSERT(make_limit_policy("lending") == limit_policy{lending{}});
        CPPUNIT_ASSERT(make_limit_policy("static-split") == limit_policy{static_split{}});
        CPPUNIT_ASSERT_THROW((void)make_limit_policy("none"), settings_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(account_limiter_test);

} // namespace
