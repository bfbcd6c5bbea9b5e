#include "configuration_validator.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <unordered_map>

#include "teasellead/kernel/exceptions.hpp"
#include "toml_reader.hpp"

namespace teasellead::detail
{

namespace
{

std::string quoted(const std::string& text)
{
    return "\"" + text + "\"";
}

template <class Declared, class Identity>
void reject_duplicates(const std::vector<Declared>& values, const std::vector<unsigned>& lines,
                       const std::string& kind, Identity identity)
{
    std::set<std::string> seen;
    for (std::size_t position = 0; position < values.size(); ++position)
    {
        const std::string& name = identity(values[position]);
        if (!seen.insert(name).second)
        {
            throw config_error(config_error_id::duplicate, lines[position],
                               kind + " " + quoted(name) + " is declared twice");
        }
    }
}

void reject_duplicates(const configuration& declared, const declaration_lines& lines)
{
    const auto name_of = [](const auto& value) -> const std::string&
    {
        return value.name();
    };
    reject_duplicates(declared.data_centres(), lines.m_data_centres, "data centre", name_of);
    reject_duplicates(declared.indexes(), lines.m_indexes, "index", name_of);
    reject_duplicates(declared.services(), lines.m_services, "service", name_of);
    reject_duplicates(declared.client_accounts(), lines.m_client_accounts, "client account", name_of);
    reject_duplicates(declared.routes(), lines.m_routes, "route",
                      [](const route& value) -> const std::string& { return value.path(); });
    reject_duplicates(declared.keys(), lines.m_keys, "key",
                      [](const key_record& value) -> const std::string& { return value.id(); });
}

void check_replicas(const configuration& declared, const service& owner, const shard& current, unsigned line)
{
    if (current.replicas().empty())
    {
        throw config_error(config_error_id::no_replica, line,
                           "shard " + quoted(current.name()) + " of service " + quoted(owner.name()) +
                               " has no replica");
    }
    std::set<endpoint> seen;
    for (const replica& holder : current.replicas())
    {
        if (declared.find_data_centre(holder.data_centre()) == nullptr)
        {
            throw config_error(config_error_id::unknown_name, line,
                               "service " + quoted(owner.name()) + " has a replica in unknown data centre " +
                                   quoted(holder.data_centre()));
        }
        if (!seen.insert(holder.upstream()).second)
        {
            throw config_error(config_error_id::duplicate, line,
                               "shard " + quoted(current.name()) + " of service " + quoted(owner.name()) +
                                   " lists replica " + holder.upstream().to_string() + " twice");
        }
    }
}

void check_key_space(const service& owner, unsigned line)
{
    std::vector<key_range> ranges;
    for (const shard& current : owner.shards())
    {
        ranges.push_back(current.keys());
    }
    std::sort(ranges.begin(), ranges.end());
    std::uint32_t covered = 0;
    for (const key_range& range : ranges)
    {
        if (range.from() != covered)
        {
            const std::string fault = range.from() > covered ? "no shard holds" : "two shards hold";
            throw config_error(config_error_id::key_space, line,
                               "service " + quoted(owner.name()) + ": " + fault + " key " +
                                   std::to_string(std::min(range.from(), covered)));
        }
        covered = range.to();
    }
    if (covered != key_space_size)
    {
        throw config_error(config_error_id::key_space, line,
                           "service " + quoted(owner.name()) + ": no shard holds key " +
                               std::to_string(covered));
    }
}

void check_shards(const configuration& declared, const service& owner, unsigned line)
{
    if (owner.shards().empty())
    {
        if (owner.depends_on().empty())
        {
            throw config_error(config_error_id::no_replica, line,
                               "service " + quoted(owner.name()) + " has neither a shard nor a dependency");
        }
        return;
    }
    std::set<std::string> names;
    for (const shard& current : owner.shards())
    {
        if (!names.insert(current.name()).second)
        {
            throw config_error(config_error_id::duplicate, line,
                               "service " + quoted(owner.name()) + " has shard " + quoted(current.name()) +
                                   " twice");
        }
        check_replicas(declared, owner, current, line);
    }
    check_key_space(owner, line);
}

void check_dependencies(const configuration& declared, const service& owner, unsigned line)
{
    std::set<std::string> names;
    for (const std::string& name : owner.depends_on())
    {
        const service* const dependency = declared.find_service(name);
        if (dependency == nullptr)
        {
            throw config_error(config_error_id::unknown_name, line,
                               "service " + quoted(owner.name()) + " depends on unknown service " +
                                   quoted(name));
        }
        if (dependency->index() != owner.index())
        {
            throw config_error(config_error_id::unservable_route, line,
                               "service " + quoted(owner.name()) + " and its dependency " + quoted(name) +
                                   " read different indexes");
        }
        if (!names.insert(name).second)
        {
            throw config_error(config_error_id::duplicate, line,
                               "service " + quoted(owner.name()) + " depends on " + quoted(name) + " twice");
        }
    }
}

/// detects cyclic dependencies by depth-first search
class cycle_finder
{
  public:
    cycle_finder(const configuration& declared, const declaration_lines& lines)
        : m_declared(declared), m_lines(lines)
    {
    }

    void visit(std::size_t position)
    {
        const service& current = m_declared.services()[position];
        const auto [visited, is_new] = m_states.emplace(current.name(), state::active);
        if (!is_new)
        {
            if (visited->second == state::active)
            {
                throw config_error(config_error_id::cyclic_dependency, m_lines.m_services[position],
                                   "service " + quoted(current.name()) + " depends on itself through " +
                                       quoted(m_path.back()));
            }
            return;
        }
        m_path.push_back(current.name());
        for (const std::string& name : current.depends_on())
        {
            visit(position_of(name));
        }
        m_path.pop_back();
        m_states[current.name()] = state::done;
    }

  private:
    enum class state
    {
        active,
        done
    };

    [[nodiscard]] std::size_t position_of(const std::string& name) const
    {
        return static_cast<std::size_t>(m_declared.find_service(name) - m_declared.services().data());
    }

    const configuration& m_declared;
    const declaration_lines& m_lines;
    std::unordered_map<std::string, state> m_states;
    std::vector<std::string> m_path;
};

void check_services(const configuration& declared, const declaration_lines& lines)
{
    for (std::size_t position = 0; position < declared.services().size(); ++position)
    {
        const service& current = declared.services()[position];
        const unsigned line = lines.m_services[position];
        if (declared.find_index(current.index()) == nullptr)
        {
            throw config_error(config_error_id::unknown_name, line,
                               "service " + quoted(current.name()) + " reads unknown index " +
                                   quoted(current.index()));
        }
        check_dependencies(declared, current, line);
        check_shards(declared, current, line);
    }
    cycle_finder cycles{declared, lines};
    for (std::size_t position = 0; position < declared.services().size(); ++position)
    {
        cycles.visit(position);
    }
}

void check_routes(const configuration& declared, const declaration_lines& lines)
{
    for (std::size_t position = 0; position < declared.routes().size(); ++position)
    {
        const route& current = declared.routes()[position];
        const unsigned line = lines.m_routes[position];
        const service* const target = declared.find_service(current.service());
        if (current.path().front() != '/')
        {
            throw config_error(config_error_id::wrong_field, line,
                               "path " + quoted(current.path()) + " must start with \"/\"");
        }
        if (target == nullptr)
        {
            throw config_error(config_error_id::unknown_name, line,
                               "route " + quoted(current.path()) + " names unknown service " +
                                   quoted(current.service()));
        }
        if (!current.idempotent() && (target->shards().size() != 1 || !target->depends_on().empty()))
        {
            throw config_error(config_error_id::unservable_route, line,
                               "route " + quoted(current.path()) + " isn't idempotent, so service " +
                                   quoted(current.service()) + " must have one shard and no dependency");
        }
    }
}

void check_keys(const configuration& declared, const declaration_lines& lines)
{
    for (std::size_t position = 0; position < declared.keys().size(); ++position)
    {
        const key_record& current = declared.keys()[position];
        if (declared.find_client_account(current.client_account()) == nullptr)
        {
            throw config_error(config_error_id::unknown_name, lines.m_keys[position],
                               "key " + quoted(current.id()) + " belongs to unknown client account " +
                                   quoted(current.client_account()));
        }
    }
}

} // namespace

void validate(const configuration& declared, const declaration_lines& lines)
{
    reject_duplicates(declared, lines);
    check_services(declared, lines);
    check_routes(declared, lines);
    check_keys(declared, lines);
}

} // namespace teasellead::detail
