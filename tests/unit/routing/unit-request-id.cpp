#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/hashing.hpp"
#include "teasellead/routing/request_id.hpp"

namespace
{

using namespace teasellead;
using namespace std::chrono_literals;

constexpr endpoint own_host{0x0A000001, 7100};
constexpr endpoint other_host{0x0A000002, 7100};
constexpr std::uint64_t own_incarnation = 0x1122334455667788;
constexpr duration lifetime = 60s;
constexpr std::string_view account = "district-3-coaches";
constexpr std::size_t text_size = 74;
const std::string own_secret(64, 'a');
const std::string other_secret(64, 'b');
const time_point start = time_point{} + 1h;

request_id_issuer make_issuer()
{
    return request_id_issuer{own_host, own_incarnation, own_secret, start, lifetime};
}

std::string describe(const request_id_check& outcome)
{
    if (std::holds_alternative<own_request_id>(outcome))
    {
        return "own";
    }
    if (std::holds_alternative<foreign_request_id>(outcome))
    {
        return "foreign";
    }
    return std::string{to_string(std::get<refused_request_id>(outcome).error())};
}

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/// the text of an id with one bit of its binary form changed
std::string with_flipped_bit(std::string text, std::size_t bit)
{
    const std::size_t position = bit / 6;
    const std::size_t value = alphabet.find(text[position]) ^ (std::size_t{32} >> (bit % 6));
    text[position] = alphabet[value];
    return text;
}

class request_id_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_id_test);
    CPPUNIT_TEST(accepts_own_ids_until_they_expire);
    CPPUNIT_TEST(is_safe_in_a_header);
    CPPUNIT_TEST(issues_each_id_once);
    CPPUNIT_TEST(depends_on_host_incarnation_secret_and_account);
    CPPUNIT_TEST(identifies_the_issuing_host);
    CPPUNIT_TEST(refuses_every_flipped_bit);
    CPPUNIT_TEST(refuses_malformed_ids);
    CPPUNIT_TEST(reports_not_run_only_if_no_request_can_have_run);
    CPPUNIT_TEST(rejects_invalid_settings);
    CPPUNIT_TEST_SUITE_END();

  public:
    void accepts_own_ids_until_they_expire()
    {
        struct row
        {
            duration m_issued;
            duration m_checked;
            const char* m_expected;
        };
        const std::array rows{row{0s, 0s, "own"},
                              row{0s, lifetime - 1ms, "own"},
                              row{0s, lifetime, "expired"},
                              row{5s, lifetime + 5s - 1ms, "own"},
                              row{5s, lifetime + 5s, "expired"},
                              row{0s, 24h, "expired"}};
        for (const row& each : rows)
        {
            request_id_issuer issuer = make_issuer();
            const std::string text = issuer.issue(account, start + each.m_issued);
            const request_id_check outcome = issuer.check(text, account, start + each.m_checked);
            CPPUNIT_ASSERT_EQUAL(std::string{each.m_expected}, describe(outcome));
        }
    }

    void is_safe_in_a_header()
    {
        request_id_issuer issuer = make_issuer();
        for (int count = 0; count < 100; ++count)
        {
            const std::string text = issuer.issue(account, start);
            CPPUNIT_ASSERT_EQUAL(text_size, text.size());
            CPPUNIT_ASSERT_EQUAL(std::string::npos, text.find_first_not_of(alphabet));
        }
    }

    void issues_each_id_once()
    {
        request_id_issuer issuer = make_issuer();
        std::set<std::string> texts;
        std::set<request_sequence> sequences;
        for (int count = 0; count < 1000; ++count)
        {
            const std::string text = issuer.issue(account, start);
            texts.insert(text);
            sequences.insert(std::get<own_request_id>(issuer.check(text, account, start)).sequence());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, texts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, sequences.size());
    }

    void depends_on_host_incarnation_secret_and_account()
    {
        struct row
        {
            endpoint m_host;
            std::uint64_t m_incarnation;
            const std::string& m_secret;
            std::string_view m_account;
            const char* m_expected;
        };
        const std::array rows{
            row{own_host, own_incarnation, own_secret, account, "own"},
            row{own_host, own_incarnation, own_secret, "district-3-coache", "wrong_account"},
            row{own_host, own_incarnation, own_secret, "", "wrong_account"},
            row{own_host, own_incarnation, other_secret, account, "forged"},
            row{own_host, own_incarnation + 1, other_secret, account, "previous_incarnation"},
            row{other_host, own_incarnation, own_secret, account, "foreign"}};
        const std::string text = make_issuer().issue(account, start);
        for (const row& each : rows)
        {
            const request_id_issuer checker{each.m_host, each.m_incarnation, each.m_secret, start, lifetime};
            CPPUNIT_ASSERT_EQUAL(std::string{each.m_expected},
                                 describe(checker.check(text, each.m_account, start)));
        }
    }

    void identifies_the_issuing_host()
    {
        const request_id_issuer other{other_host, 9, other_secret, start + 10h, lifetime};
        const auto outcome = other.check(make_issuer().issue(account, start), account, start + 10h);
        CPPUNIT_ASSERT(
            (foreign_request_id{own_host, own_incarnation} == std::get<foreign_request_id>(outcome)));
    }

    void refuses_every_flipped_bit()
    {
        request_id_issuer issuer = make_issuer();
        const std::string text = issuer.issue(account, start);
        for (std::size_t bit = 0; bit < text_size * 6; ++bit)
        {
            const std::string changed = with_flipped_bit(text, bit);
            const std::string outcome = describe(issuer.check(changed, account, start));
            // a changed address or incarnation identifies another issuing host, which can't authenticate the
            // id either
            CPPUNIT_ASSERT_MESSAGE("bit " + std::to_string(bit), outcome != "own");
            const request_id_issuer named{own_host, own_incarnation, other_secret, start, lifetime};
            CPPUNIT_ASSERT_MESSAGE("bit " + std::to_string(bit),
                                   describe(named.check(changed, account, start)) != "own");
        }
    }

    void refuses_malformed_ids()
    {
        request_id_issuer issuer = make_issuer();
        const std::string text = issuer.issue(account, start);
        const std::vector<std::string> rows{"",
                                            "1",
                                            text.substr(1),
                                            text + "A",
                                            text + "=",
                                            std::string(text_size, '!'),
                                            std::string(text_size, '\0'),
                                            std::string(text_size, 'A'),
                                            std::string(text_size, '_'),
                                            std::string(100000, 'A'),
                                            text.substr(0, text_size - 1) + "\n"};
        for (const std::string& each : rows)
        {
            CPPUNIT_ASSERT_EQUAL(std::string{"malformed"}, describe(issuer.check(each, account, start)));
        }
    }

    void reports_not_run_only_if_no_request_can_have_run()
    {
        CPPUNIT_ASSERT(verdict_of(request_id_error::malformed) == verdict::not_run);
        CPPUNIT_ASSERT(verdict_of(request_id_error::forged) == verdict::not_run);
        CPPUNIT_ASSERT(verdict_of(request_id_error::wrong_account) == verdict::not_run);
        CPPUNIT_ASSERT(verdict_of(request_id_error::expired) == verdict::may_have_run);
        CPPUNIT_ASSERT(verdict_of(request_id_error::previous_incarnation) == verdict::may_have_run);
    }

    void rejects_invalid_settings()
    {
        CPPUNIT_ASSERT_THROW((request_id_issuer{own_host, 1, "short", start, lifetime}), state_error);
        CPPUNIT_ASSERT_THROW((request_id_issuer{own_host, 1, own_secret, start, 0s}), state_error);
        CPPUNIT_ASSERT_NO_THROW((request_id_issuer{own_host, 1, random_hex(32), start, lifetime}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_id_test);

} // namespace
