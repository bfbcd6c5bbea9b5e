#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

#include "teasellead/routing/fair_queue.hpp"

namespace
{

using teasellead::fair_queue;

class fair_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fair_queue_test);
    CPPUNIT_TEST(serves_by_weight_not_by_arrival);
    CPPUNIT_TEST(keeps_the_order_of_an_account);
    CPPUNIT_TEST(refuses_beyond_an_accounts_capacity);
    CPPUNIT_TEST(gives_no_credit_for_idle_time);
    CPPUNIT_TEST_SUITE_END();

  public:
    void serves_by_weight_not_by_arrival()
    {
        fair_queue<std::string> queue{1000};
        push(queue, "noisy", 1, 500);
        push(queue, "light", 1, 20);
        push(queue, "heavy", 3, 60);
        std::map<std::string, int> served;
        for (int round = 0; round < 100; ++round)
        {
            ++served[*queue.pop()];
        }
        CPPUNIT_ASSERT_EQUAL(20, served["light"]);
        CPPUNIT_ASSERT_EQUAL(60, served["heavy"]);
        CPPUNIT_ASSERT_EQUAL(20, served["noisy"]);
    }

    void keeps_the_order_of_an_account()
    {
        fair_queue<int> queue{10};
        for (int number = 0; number < 5; ++number)
        {
            CPPUNIT_ASSERT(queue.push("a", 1, int{number}));
        }
        for (int number = 0; number < 5; ++number)
        {
            CPPUNIT_ASSERT_EQUAL(number, *queue.pop());
        }
        CPPUNIT_ASSERT(!queue.pop().has_value());
    }

    void refuses_beyond_an_accounts_capacity()
    {
        fair_queue<int> queue{2};
        CPPUNIT_ASSERT(queue.push("a", 1, 1));
        CPPUNIT_ASSERT(queue.push("a", 1, 2));
        CPPUNIT_ASSERT(!queue.push("a", 1, 3));
        CPPUNIT_ASSERT(queue.push("b", 1, 4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, queue.size());
    }

    void gives_no_credit_for_idle_time()
    {
        fair_queue<std::string> queue{1000};
        push(queue, "busy", 1, 100);
        for (int round = 0; round < 50; ++round)
        {
            (void)queue.pop();
        }
        push(queue, "back", 1, 50);
        std::map<std::string, int> served;
        for (int round = 0; round < 20; ++round)
        {
            ++served[*queue.pop()];
        }
        CPPUNIT_ASSERT(served["back"] >= 9 && served["back"] <= 11);
    }

  private:
    static void push(fair_queue<std::string>& queue, const std::string& account, std::uint32_t weight,
                     int count)
    {
        for (int number = 0; number < count; ++number)
        {
            CPPUNIT_ASSERT(queue.push(account, weight, std::string{account}));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_queue_test);

} // namespace
