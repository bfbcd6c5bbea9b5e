#include "open_loop.hpp"

#include <algorithm>
#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "teasellead/entry/http_client.hpp"

namespace bench
{

namespace
{

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr auto call_timeout = 5s;

double coverage_of(const std::string& body)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    const auto coverage = answer.find("coverage");
    return coverage == answer.end() ? 0.0 : coverage->value("fraction", 0.0);
}

/// one thread of callers with a persistent connection to each node
class caller
{
  public:
    caller(const deployment& target, const std::vector<teasellead::endpoint>& nodes) : m_target(target)
    {
        for (const teasellead::endpoint& node : nodes)
        {
            m_clients.push_back(std::make_unique<teasellead::http_client>(node));
        }
    }

    sample send(const arrival& wanted, steady::time_point start)
    {
        std::this_thread::sleep_until(start + wanted.m_at);
        const auto response = m_clients[wanted.m_node]->call(
            "POST", m_target.m_paths[wanted.m_path],
            {{"X-Teasellead-Key", m_target.m_accounts[wanted.m_account].m_key}}, "{}", call_timeout);
        sample result{wanted.m_at, steady::now() - start - wanted.m_at, wanted.m_account, wanted.m_path, 0,
                      0.0};
        if (response)
        {
            result.m_status = response->m_status;
            result.m_coverage = response->m_status == 200 ? coverage_of(response->m_body) : 0.0;
        }
        return result;
    }

  private:
    const deployment& m_target;
    std::vector<std::unique_ptr<teasellead::http_client>> m_clients;
};

} // namespace

std::vector<arrival> make_arrivals(const deployment& target, const traffic& wanted)
{
    std::mt19937_64 random{wanted.m_seed};
    std::discrete_distribution<std::size_t> node{wanted.m_node_weights.begin(), wanted.m_node_weights.end()};
    std::uniform_int_distribution<std::size_t> path{0, target.m_paths.size() - 1};
    const double end = std::chrono::duration<double>{wanted.m_duration}.count();
    std::vector<arrival> result;
    for (std::size_t account = 0; account < target.m_accounts.size(); ++account)
    {
        const double noise = account == wanted.m_noisy_account ? wanted.m_noisy_factor : 1.0;
        std::exponential_distribution<double> gap{target.m_accounts[account].m_rate * wanted.m_rate_factor *
                                                  noise};
        for (double at = gap(random); at < end; at += gap(random))
        {
            const auto time =
                std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>{at});
            result.push_back({time, account, node(random), path(random)});
        }
    }
    std::sort(result.begin(), result.end(),
              [](const arrival& lhs, const arrival& rhs) { return lhs.m_at < rhs.m_at; });
    return result;
}

std::vector<sample> run_open_loop(const std::vector<arrival>& arrivals, const deployment& target,
                                  const std::vector<teasellead::endpoint>& nodes, std::size_t callers)
{
    std::vector<sample> samples(arrivals.size());
    std::atomic<std::size_t> next{0};
    const auto start = steady::now() + 100ms;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (std::size_t thread = 0; thread < callers; ++thread)
    {
        threads.emplace_back(
            [&]
            {
                caller self{target, nodes};
                for (std::size_t position = next++; position < arrivals.size(); position = next++)
                {
                    samples[position] = self.send(arrivals[position], start);
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    return samples;
}

} // namespace bench
