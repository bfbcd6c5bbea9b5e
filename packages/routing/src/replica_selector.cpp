#include "teasellead/routing/replica_selector.hpp"

#include <algorithm>

#include "teasellead/kernel/overloaded.hpp"

namespace teasellead
{

namespace
{

const registration<replica_selector> two_choices_registration{"two-choices", []
                                                              {
                                                                  return replica_selector{
                                                                      two_choices_selector{}};
                                                              }};

const registration<replica_selector> random_registration{"random", []
                                                         {
                                                             return replica_selector{random_selector{}};
                                                         }};

/// expected time until a further request would be answered
double cost_of(const replica_candidate& candidate)
{
    const double queue = 1.0 + candidate.in_flight();
    return queue * static_cast<double>(std::max<duration::rep>(candidate.latency().count(), 1));
}

/// the candidates in this data centre, or all if there is none; doesn't allocate memory
class preferred_candidates
{
  public:
    explicit preferred_candidates(const std::vector<replica_candidate>& candidates)
        : m_candidates(&candidates), m_locals(count_locals(candidates))
    {
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_locals > 0 ? m_locals : m_candidates->size();
    }

    /// position among all candidates of the preferred candidate with a number below @ref size()
    [[nodiscard]] std::size_t position_of(std::size_t number) const
    {
        if (m_locals == 0 || m_locals == m_candidates->size())
        {
            return number;
        }
        std::size_t position = 0;
        for (std::size_t locals_before = 0; locals_before <= number; ++position)
        {
            locals_before += (*m_candidates)[position].local() ? 1 : 0;
        }
        return position - 1;
    }

  private:
    static std::size_t count_locals(const std::vector<replica_candidate>& candidates)
    {
        const auto count =
            std::count_if(candidates.begin(), candidates.end(),
                          [](const replica_candidate& candidate) { return candidate.local(); });
        return static_cast<std::size_t>(count);
    }

    const std::vector<replica_candidate>* m_candidates;
    std::size_t m_locals;
};

std::size_t choose_of_two(const std::vector<replica_candidate>& candidates, random_source& random)
{
    const preferred_candidates preferred{candidates};
    const std::size_t first = random.below(preferred.size());
    if (preferred.size() == 1)
    {
        return preferred.position_of(first);
    }
    const std::size_t offset = 1 + random.below(preferred.size() - 1);
    const std::size_t one = preferred.position_of(first);
    const std::size_t other = preferred.position_of((first + offset) % preferred.size());
    return cost_of(candidates[one]) <= cost_of(candidates[other]) ? one : other;
}

} // namespace

std::size_t choose(const replica_selector& selector, const std::vector<replica_candidate>& candidates,
                   random_source& random)
{
    return std::visit(overloaded{[&](const two_choices_selector&)
                                 { return choose_of_two(candidates, random); },
                                 [&](const random_selector&) -> std::size_t
                                 {
                                     return random.below(candidates.size());
                                 }},
                      selector);
}

replica_selector make_replica_selector(const std::string& name)
{
    return registry<replica_selector>::instance().create(name);
}

} // namespace teasellead
