#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "ideal_bucket.hpp"
#include "teasellead/fleet/account_share.hpp"
#include "teasellead/kernel/configuration.hpp"

namespace teasellead::testing
{

/*!
@brief checks the merged admissions of all hosts against the current limits

While hosts use different revisions, and for two lease terms after, the largest rate and burst of those
revisions apply.
*/
class limit_checker
{
  public:
    /// arrivals and admissions of one account
    struct account_record
    {
        std::uint64_t m_arrivals{0};
        std::uint64_t m_admitted{0};
        std::uint64_t m_wrongly_refused{0}; ///< refused, but admitted by a bucket with the same arrivals
        double m_worst{0.0};                ///< lowest level of the bucket fed with all admissions

        /// adds another record
        void add(const account_record& other)
        {
            m_arrivals += other.m_arrivals;
            m_admitted += other.m_admitted;
            m_wrongly_refused += other.m_wrongly_refused;
            m_worst = std::min(m_worst, other.m_worst);
        }
    };

    explicit limit_checker(duration hold) : m_hold(hold)
    {
    }

    /// adds a revision that hosts may adopt from now on
    void publish(shared_revision revision)
    {
        m_revisions.push_back({std::move(revision), time_point{}, 0});
    }

    /// a host changes from one revision to another; 0 for none
    void change(revision_number from, revision_number to, time_point now)
    {
        end_holds(now);
        if (from != 0)
        {
            --m_revisions[from - 1].m_users;
            m_revisions[from - 1].m_last_used = now;
        }
        if (to != 0)
        {
            ++m_revisions[to - 1].m_users;
        }
        set_limits(now);
    }

    /// records the outcome of an arrival
    void record(const std::string& account, bool admitted, time_point now)
    {
        end_holds(now);
        account_state& state = m_accounts.at(account);
        ++state.m_record.m_arrivals;
        const bool would_admit = state.m_ideal.try_take(now);
        if (admitted)
        {
            ++state.m_record.m_admitted;
            state.m_record.m_worst = std::min(state.m_record.m_worst, state.m_checked.take(now));
        }
        else
        {
            state.m_record.m_wrongly_refused += would_admit ? 1 : 0;
        }
    }

    /// by how much the shares of all hosts together exceed an account's limit, as a fraction of the limit;
    /// above zero is a fault
    [[nodiscard]] double excess(const std::string& account, const share_usage& sum, time_point now)
    {
        end_holds(now);
        const auto found = m_accounts.find(account);
        if (found == m_accounts.end())
        {
            return 0.0;
        }
        const ideal_bucket& limit = found->second.m_checked;
        return std::max(sum.m_rate / limit.rate(), sum.m_burst / limit.burst()) - 1.0;
    }

    [[nodiscard]] const account_record& of(const std::string& account) const
    {
        return m_accounts.at(account).m_record;
    }

    /// lowest level of any account's bucket; below zero if a limit was exceeded
    [[nodiscard]] double worst() const
    {
        double worst = 0.0;
        for (const auto& [name, state] : m_accounts)
        {
            worst = std::min(worst, state.m_record.m_worst);
        }
        return worst;
    }

    /// arrivals, admissions and refusals of all accounts together
    [[nodiscard]] account_record total() const
    {
        account_record sum;
        for (const auto& [name, state] : m_accounts)
        {
            sum.add(state.m_record);
        }
        return sum;
    }

    /// resets the counters; the lowest levels and the buckets stay
    void reset()
    {
        for (auto& [name, state] : m_accounts)
        {
            state.m_record = account_record{0, 0, 0, state.m_record.m_worst};
        }
    }

  private:
    struct revision_use
    {
        shared_revision m_revision;
        time_point m_last_used;
        int m_users{0};
    };

    struct account_state
    {
        ideal_bucket m_checked; ///< fed with all admissions
        ideal_bucket m_ideal;   ///< fed with all arrivals
        account_record m_record;
    };

    /// removes the limits of revisions whose hold time has passed, each at its time
    void end_holds(time_point now)
    {
        while (now >= m_next_check)
        {
            set_limits(m_next_check);
        }
    }

    void set_limits(time_point now)
    {
        m_next_check = time_point::max();
        std::map<std::string, std::pair<double, double>> limits;
        for (const revision_use& entry : m_revisions)
        {
            const time_point until =
                entry.m_last_used == time_point{} ? time_point{} : entry.m_last_used + m_hold;
            if (entry.m_users == 0 && now >= until)
            {
                continue;
            }
            m_next_check = entry.m_users == 0 ? std::min(m_next_check, until) : m_next_check;
            for (const client_account& account : entry.m_revision->configuration().client_accounts())
            {
                auto& [rate, burst] = limits[account.name()];
                rate = std::max(rate, account.rate());
                burst = std::max(burst, account.burst());
            }
        }
        for (const auto& [name, limit] : limits)
        {
            const auto [rate, burst] = limit;
            const account_state fresh{{rate, burst, now}, {rate, burst, now}, {}};
            account_state& state = m_accounts.try_emplace(name, fresh).first->second;
            state.m_checked.set_limit(rate, burst, now);
            state.m_ideal.set_limit(rate, burst, now);
        }
    }

    duration m_hold;
    std::vector<revision_use> m_revisions;
    std::map<std::string, account_state> m_accounts;
    time_point m_next_check{time_point::max()};
};

} // namespace teasellead::testing
