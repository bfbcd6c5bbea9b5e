#include "teasellead/routing/query_plan.hpp"

#include <string_view>
#include <unordered_set>

#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

constexpr int undeclared_service_id = 602;

const service& service_of(const configuration& declared, const std::string& name)
{
    const service* const found = declared.find_service(name);
    if (found == nullptr)
    {
        throw state_error(undeclared_service_id, "service \"" + name + "\" isn't declared");
    }
    return *found;
}

const search_index& index_of(const configuration& declared, const service& owner)
{
    const search_index* const found = declared.find_index(owner.index());
    if (found == nullptr)
    {
        throw state_error(undeclared_service_id, "index \"" + owner.index() + "\" isn't declared");
    }
    return *found;
}

/// the service and everything that it depends on, each once, breadth first
std::vector<const service*> reachable_services(const configuration& declared, const service& root)
{
    std::vector<const service*> result{&root};
    std::unordered_set<std::string_view> seen{root.name()};
    for (std::size_t position = 0; position < result.size(); ++position)
    {
        for (const std::string& name : result[position]->depends_on())
        {
            if (seen.insert(name).second)
            {
                result.push_back(&service_of(declared, name));
            }
        }
    }
    return result;
}

} // namespace

query_plan::query_plan(shared_revision revision, const class route& requested)
    : m_revision(std::move(revision)), m_route(&requested)
{
    const configuration& declared = m_revision->configuration();
    const service& root = service_of(declared, requested.service());
    const search_index& index = index_of(declared, root);
    m_snapshot = index.snapshot();
    m_shard_map = index.shard_map();
    for (const service* const owner : reachable_services(declared, root))
    {
        for (const shard& owned_shard : owner->shards())
        {
            m_targets.emplace_back(*owner, owned_shard);
        }
    }
}

} // namespace teasellead
