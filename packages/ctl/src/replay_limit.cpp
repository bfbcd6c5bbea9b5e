#include <memory>
#include <nlohmann/json.hpp>

#include "detail/trace_step.hpp"
#include "teasellead/fleet/account_limiter.hpp"

namespace teasellead::detail
{

namespace
{

using json = nlohmann::json;

limit_fraction read_division(const json& step)
{
    return {step.at("part").get<double>(), step.at("reserved_part").get<double>(),
            read_time(step, "part_until_ms"), read_time(step, "reserved_until_ms"),
            step.at("floor").get<revision_number>()};
}

/// the limiters of several hosts, each of which applies only its own share of the limits
class limit_trace
{
  public:
    explicit limit_trace(const json& header)
    {
        const limit_policy policy = make_limit_policy(read_text(header, "policy"));
        for (const listed_host& host : read_hosts(header))
        {
            m_limiters.emplace_back(host, policy);
        }
    }

    json apply(const json& step, time_point now)
    {
        const std::string event = read_text(step, "event");
        account_limiter& limiter = m_limiters.at(step.at("host").get<std::size_t>());
        if (event == "configure")
        {
            limiter.on_revision(*read_revision(step), now);
            return nullptr;
        }
        if (event == "divide")
        {
            limiter.on_limit_fraction(read_division(step), now);
            return nullptr;
        }
        if (event == "requests")
        {
            return admit(limiter, step, now);
        }
        throw_trace_error("unknown event \"" + event + "\"");
    }

  private:
    static json admit(account_limiter& limiter, const json& step, time_point now)
    {
        const std::string client_account = read_text(step, "client_account");
        const auto count = step.at("count").get<std::uint64_t>();
        std::uint64_t admissions = 0;
        for (std::uint64_t request = 0; request < count; ++request)
        {
            admissions += std::holds_alternative<admitted>(limiter.try_admit(client_account, now)) ? 1 : 0;
        }
        return {{"admitted", admissions}, {"over_limit", count - admissions}};
    }

    std::vector<account_limiter> m_limiters;
};

} // namespace

step_function replay_limit(const json& header)
{
    return [trace = std::make_shared<limit_trace>(header)](const json& step, time_point now)
    {
        return trace->apply(step, now);
    };
}

} // namespace teasellead::detail
