// prints wrongful refusals with lending and with the static split, from simulated fleets
#include <cstdio>

#include "limits_measure.hpp"

namespace
{

using namespace teasellead;
using teasellead::testing::limit_checker;
using teasellead::testing::limits_measurement;
using teasellead::testing::measure_refusals;

double percent_refused_wrongly(const limit_checker::account_record& record)
{
    constexpr double percent = 100.0;
    return percent * static_cast<double>(record.m_wrongly_refused) / static_cast<double>(record.m_arrivals);
}

void print(const char* name, const limits_measurement& measured, double load, std::uint64_t seed)
{
    double worst = 0.0;
    for (const limit_checker::account_record& account : measured.m_accounts)
    {
        worst = std::max(worst, percent_refused_wrongly(account));
    }
    std::printf("load %.2f seed %llu %s wrong %.3f %% worst_account %.2f %% messages/s %.0f\n", load,
                static_cast<unsigned long long>(seed), name, percent_refused_wrongly(measured.m_total), worst,
                measured.m_messages_per_host);
}

} // namespace

int main()
{
    for (const double load : {0.8, 0.9, 0.95})
    {
        for (const std::uint64_t seed : {1U, 2U, 3U})
        {
            print("static-split", measure_refusals(static_split{}, load, seed), load, seed);
            print("lending", measure_refusals(lending{}, load, seed), load, seed);
        }
    }
    return 0;
}
