#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>
#include <vector>

#include "teasellead/fleet/text_delta.hpp"
#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/random.hpp"

namespace
{

using namespace teasellead;

std::string entry(std::size_t number, const std::string& rate)
{
    return "[[client_account]]\nname = \"account-" + std::to_string(number) + "\"\nrate = " + rate +
           "\nburst = 20\n\n";
}

std::vector<std::string> entries(std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t number = 0; number < count; ++number)
    {
        result.push_back(entry(number, "10"));
    }
    return result;
}

std::string joined(const std::vector<std::string>& parts)
{
    std::string result;
    for (const std::string& part : parts)
    {
        result += part;
    }
    return result;
}

class text_delta_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(text_delta_test);
    CPPUNIT_TEST(restores_the_target);
    CPPUNIT_TEST(restores_random_edits);
    CPPUNIT_TEST(is_small_for_small_changes);
    CPPUNIT_TEST(rejects_invalid_deltas);
    CPPUNIT_TEST_SUITE_END();

  public:
    void restores_the_target()
    {
        struct row
        {
            std::string m_base;
            std::string m_target;
        };
        const row rows[] = {
            {"", ""},
            {"", "text"},
            {"text", ""},
            {"a\nb\nc\n", "a\nb\nc\n"},
            {"a\nb\nc", "a\nb\nc\n"},
            {"a\nb\nc\n", "c\nb\na\n"},
            {"\n\n\n", "\n\n"},
            {"same\nsame\nsame\n", "same\nsame\nsame\nsame\nsame\n"},
            {std::string{"\0x\n", 3}, std::string{"\0y\n", 3}},
            {joined(entries(50)), joined(entries(40))},
        };
        for (const row& each : rows)
        {
            CPPUNIT_ASSERT_EQUAL(each.m_target,
                                 apply_delta(each.m_base, make_delta(each.m_base, each.m_target)));
        }
    }

    void restores_random_edits()
    {
        for (std::uint64_t seed = 0; seed < 500; ++seed)
        {
            random_source random{seed};
            std::vector<std::string> parts = entries(1 + random.below(30));
            const std::string base = joined(parts);
            for (std::uint64_t edit = random.below(6); edit > 0; --edit)
            {
                const std::size_t position = random.below(parts.size());
                const auto selected = parts.begin() + static_cast<std::ptrdiff_t>(position);
                switch (random.below(4))
                {
                case 0:
                    parts.insert(selected, entry(random.below(100), "7"));
                    break;
                case 1:
                    *selected = entry(position, std::to_string(random.below(5)));
                    break;
                case 2:
                    std::swap(*selected, parts[random.below(parts.size())]);
                    break;
                default:
                    *selected = "";
                }
            }
            const std::string target = joined(parts);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), target,
                                         apply_delta(base, make_delta(base, target)));
        }
    }

    void is_small_for_small_changes()
    {
        // about 1 MB with two entries changed far apart, one inserted and one erased
        std::vector<std::string> parts = entries(16'000);
        const std::string base = joined(parts);
        parts[10] = entry(10, "11");
        parts[15'990] = entry(15'990, "12");
        parts.erase(parts.begin() + 8'000);
        parts.insert(parts.begin() + 4'000, entry(99'999, "1"));
        const std::string target = joined(parts);
        const std::vector<text_edit> delta = make_delta(base, target);
        CPPUNIT_ASSERT(apply_delta(base, delta) == target);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(delta_bytes(delta)), delta_bytes(delta) < 500);
    }

    void rejects_invalid_deltas()
    {
        constexpr std::uint64_t huge = std::numeric_limits<std::uint64_t>::max();
        const std::vector<text_edit> rows[] = {
            {{0, 5, ""}},
            {{5, 1, ""}},
            {{huge, 1, ""}},
            {{1, huge, ""}},
            {{0, 4, std::string(max_services_text_bytes, 'x')}},
            std::vector<text_edit>(max_services_text_bytes / 4 + 1, text_edit{0, 4, ""}),
        };
        for (const std::vector<text_edit>& delta : rows)
        {
            CPPUNIT_ASSERT_THROW((void)apply_delta("text", delta), protocol_error);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(text_delta_test);

} // namespace
