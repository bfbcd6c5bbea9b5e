#include <cppunit/extensions/HelperMacros.h>

#include "limits_measure.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using teasellead::testing::account_rates;
using teasellead::testing::limit_checker;
using teasellead::testing::limits_measurement;
using teasellead::testing::measure_refusals;
using teasellead::testing::measured_fleet;

constexpr std::uint64_t seeds[] = {1, 2, 3};

double wrongly_refused_fraction(const limits_measurement& measured)
{
    return static_cast<double>(measured.m_total.m_wrongly_refused) /
           static_cast<double>(measured.m_total.m_arrivals);
}

class limits_measure_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limits_measure_test);
    CPPUNIT_TEST(lending_refuses_few_requests_wrongly);
    CPPUNIT_TEST(account_above_its_rate_does_not_reduce_admission_of_others);
    CPPUNIT_TEST_SUITE_END();

  public:
    void lending_refuses_few_requests_wrongly()
    {
        struct row
        {
            double m_load;
            double m_most;
        };
        for (const row& expected : {row{0.8, 0.002}, row{0.9, 0.01}})
        {
            for (const std::uint64_t seed : seeds)
            {
                const double split =
                    wrongly_refused_fraction(measure_refusals(static_split{}, expected.m_load, seed));
                const double lent =
                    wrongly_refused_fraction(measure_refusals(lending{}, expected.m_load, seed));
                const std::string figures = "load " + std::to_string(expected.m_load) + " seed " +
                                            std::to_string(seed) + ": lending " + std::to_string(lent) +
                                            ", static split " + std::to_string(split);
                CPPUNIT_ASSERT_MESSAGE(figures, lent <= expected.m_most);
                CPPUNIT_ASSERT_MESSAGE(figures, lent < split);
            }
        }
    }

    void account_above_its_rate_does_not_reduce_admission_of_others()
    {
        constexpr double load = 0.8;
        constexpr double excessive_load = 5.0;
        constexpr double min_fraction = 0.99;
        const std::vector<double> normal_loads(account_rates().size(), load);
        const std::vector<double> alone = admitted_fractions(normal_loads);
        for (const std::size_t overloaded : {0U, 3U, 7U})
        {
            std::vector<double> loads = normal_loads;
            loads[overloaded] = excessive_load;
            const std::vector<double> with_overload = admitted_fractions(loads);
            for (std::size_t number = 0; number < loads.size(); ++number)
            {
                const std::string figures =
                    "account " + std::to_string(number) + " beside account " + std::to_string(overloaded) +
                    ": " + std::to_string(with_overload[number]) + ", alone " + std::to_string(alone[number]);
                CPPUNIT_ASSERT_MESSAGE(figures, number == overloaded ||
                                                    with_overload[number] >= min_fraction * alone[number]);
            }
        }
    }

  private:
    /// fraction of the requests of each account that is admitted, over all seeds
    static std::vector<double> admitted_fractions(const std::vector<double>& loads)
    {
        std::vector<limit_checker::account_record> sums(loads.size());
        for (const std::uint64_t seed : seeds)
        {
            measured_fleet fleet{lending{}, seed};
            fleet.run(10s, loads);
            fleet.fleet().checker().reset();
            fleet.run(30s, loads);
            const limits_measurement measured = fleet.result();
            for (std::size_t number = 0; number < sums.size(); ++number)
            {
                sums[number].add(measured.m_accounts[number]);
            }
        }
        std::vector<double> fractions;
        fractions.reserve(sums.size());
        for (const limit_checker::account_record& sum : sums)
        {
            fractions.push_back(static_cast<double>(sum.m_admitted) / static_cast<double>(sum.m_arrivals));
        }
        return fractions;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limits_measure_test);

} // namespace
