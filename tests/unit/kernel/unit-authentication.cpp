#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "teasellead/kernel/authentication.hpp"
#include "teasellead/kernel/configuration_parser.hpp"
#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/hashing.hpp"

namespace
{

using namespace teasellead;

const std::string salt = "000102030405060708090a0b0c0d0e0f";
const std::string school_secret = "school-secret-0123456789abcdef";
const std::string club_secret = "club_secret_0123456789abcdefgh";

key_record record(const std::string& id, const std::string& client_account, const std::string& secret)
{
    return key_record{id, client_account, salt, salted_hash_hex(salt, secret)};
}

configuration with_keys(std::vector<key_record> keys)
{
    configuration::declarations declared;
    declared.m_client_accounts = {client_account{"school", 1.0, 1.0, 1}, client_account{"club", 1.0, 1.0, 1}};
    declared.m_keys = std::move(keys);
    return configuration{std::move(declared)};
}

configuration both_keys()
{
    return with_keys({record("s1", "school", school_secret), record("c1", "club", club_secret)});
}

authenticated school_authentication()
{
    return std::get<authenticated>(authenticate(both_keys(), "s1." + school_secret));
}

class authentication_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(authentication_test);
    CPPUNIT_TEST(checks_presented_keys);
    CPPUNIT_TEST(reauthenticates_at_dispatch);
    CPPUNIT_TEST(redacts_secrets);
    CPPUNIT_TEST(issues_keys_that_authenticate);
    CPPUNIT_TEST(rejects_unusable_names);
    CPPUNIT_TEST_SUITE_END();

  public:
    void checks_presented_keys()
    {
        struct row
        {
            std::string m_presented;
            authentication m_expected;
        };
        const authenticated school{"school", "s1", salt, salted_hash_hex(salt, school_secret)};
        const authenticated club{"club", "c1", salt, salted_hash_hex(salt, club_secret)};
        const std::string longest_id(max_key_id_length, 'i');
        const std::string longest_secret(max_key_secret_length, 's');
        const row rows[] = {
            {"s1." + school_secret, school},
            {"c1." + club_secret, club},
            {"", key_missing{}},
            {"s1", key_malformed{}},
            {".", key_malformed{}},
            {"s1.", key_malformed{}},
            {"." + school_secret, key_malformed{}},
            {"s1.." + school_secret, key_malformed{}},
            {"s1." + school_secret + ".", key_malformed{}},
            {"s1." + school_secret + " ", key_malformed{}},
            {" s1." + school_secret, key_malformed{}},
            {"s1." + school_secret + "\n", key_malformed{}},
            {"s1." + school_secret + std::string(1, '\0'), key_malformed{}},
            {"s1." + school_secret + "\xC3\xA9", key_malformed{}},
            {"s1." + std::string(min_key_secret_length - 1, 's'), key_malformed{}},
            {"s1." + std::string(min_key_secret_length, 's'), key_rejected{}},
            {"s1." + longest_secret, key_rejected{}},
            {"s1." + longest_secret + "s", key_malformed{}},
            {longest_id + "." + school_secret, key_rejected{}},
            {longest_id + "i." + school_secret, key_malformed{}},
            {std::string(1'000'000, 'x'), key_malformed{}},
            // the right secret of another key, another spelling, a prefix and an extension
            {"s1." + club_secret, key_rejected{}},
            {"S1." + school_secret, key_rejected{}},
            {"s1." + school_secret + "0", key_rejected{}},
            {"s1." + school_secret.substr(0, school_secret.size() - 1), key_rejected{}},
            {"s1.S" + school_secret.substr(1), key_rejected{}},
            // the stored hash isn't accepted as the secret
            {"s1." + salted_hash_hex(salt, school_secret), key_rejected{}},
            {"unknown." + school_secret, key_rejected{}},
        };
        const configuration declared = both_keys();
        for (const row& each : rows)
        {
            CPPUNIT_ASSERT_MESSAGE(each.m_presented.substr(0, 200),
                                   authenticate(declared, each.m_presented) == each.m_expected);
        }
    }

    void reauthenticates_at_dispatch()
    {
        struct row
        {
            const char* m_name;
            std::vector<key_record> m_keys;
            reauthentication m_expected;
        };
        const authenticated earlier = school_authentication();
        const key_record other_salt{"s1", "school", std::string(32, 'f'), earlier.m_hash};
        const row rows[] = {
            {"unchanged", {record("s1", "school", school_secret)}, earlier},
            {"withdrawn", {record("c1", "club", club_secret)}, key_withdrawn{"s1"}},
            {"no keys at all", {}, key_withdrawn{"s1"}},
            {"secret replaced", {record("s1", "school", club_secret)}, key_withdrawn{"s1"}},
            {"salt replaced", {other_salt}, key_withdrawn{"s1"}},
            {"moved", {record("s1", "club", school_secret)}, key_moved{"s1"}},
            {"id given to another caller", {record("s1", "club", club_secret)}, key_withdrawn{"s1"}},
        };
        for (const row& each : rows)
        {
            CPPUNIT_ASSERT_MESSAGE(each.m_name,
                                   reauthenticate(with_keys(each.m_keys), earlier) == each.m_expected);
        }
    }

    void redacts_secrets()
    {
        struct row
        {
            std::string m_text;
            std::string m_expected;
        };
        const std::string key = "s1." + school_secret;
        const row rows[] = {
            {"", ""},
            {"nothing to hide", "nothing to hide"},
            {key, "s1.[redacted]"},
            {"key=" + key + "&q=2", "key=s1.[redacted]&q=2"},
            {"\"" + key + "\" and c1." + club_secret, "\"s1.[redacted]\" and c1.[redacted]"},
            {"s1%2E" + school_secret, "s1%2E[redacted]"},
            {"s1%2e" + school_secret + "\r\n", "s1%2e[redacted]\r\n"},
            {"a.b." + school_secret, "a.b.[redacted]"},
            {"s1.." + school_secret, "s1..[redacted]"},
            {"s1." + school_secret + "." + club_secret, "s1.[redacted].[redacted]"},
            {"." + school_secret, ".[redacted]"},
            {"trailing.", "trailing."},
            {"cut off%2", "cut off%2"},
            {"127.0.0.1:9001 took 0.30000000000000004 s", "127.0.0.1:9001 took 0.30000000000000004 s"},
            {"configuration_relay.cpp:12", "configuration_relay.cpp:12"},
        };
        for (const row& each : rows)
        {
            CPPUNIT_ASSERT_EQUAL(each.m_expected, redact_keys(each.m_text));
        }
    }

    void issues_keys_that_authenticate()
    {
        const issued_key first = issue_key("s2", "school");
        const issued_key second = issue_key("s2", "school");
        CPPUNIT_ASSERT(first.m_presented != second.m_presented);
        const std::string account = "[[client_account]]\nname = \"school\"\nrate = 1\nburst = 1\n";
        const configuration declared = parse_configuration(account + first.m_toml);
        const authentication outcome = authenticate(declared, first.m_presented);
        CPPUNIT_ASSERT_EQUAL(std::string{"school"}, std::get<authenticated>(outcome).m_client_account);
        CPPUNIT_ASSERT(authenticate(declared, second.m_presented) == authentication{key_rejected{}});
        const std::string secret = first.m_presented.substr(first.m_presented.find('.') + 1);
        CPPUNIT_ASSERT(first.m_toml.find(secret) == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string{"s2.[redacted]"}, redact_keys(first.m_presented));
    }

    void rejects_unusable_names()
    {
        for (const std::string& id : {std::string{}, std::string{"a.b"}, std::string{"a b"},
                                      std::string{"a\"b"}, std::string(max_key_id_length + 1, 'i')})
        {
            CPPUNIT_ASSERT_THROW((void)issue_key(id, "school"), protocol_error);
        }
        for (const char* const account : {"", "a\"b", "a\\b", "a\nb"})
        {
            CPPUNIT_ASSERT_THROW((void)issue_key("k1", account), protocol_error);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(authentication_test);

} // namespace
