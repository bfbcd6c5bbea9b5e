#include "detail/declaration_changes.hpp"

namespace teasellead::detail
{

namespace
{

std::string service_subject(const service& declared)
{
    return "service " + declared.name();
}

std::string keys_of(const shard& declared)
{
    return "keys " + std::to_string(declared.keys().from()) + " to " + std::to_string(declared.keys().to());
}

std::size_t replicas_of(const service& declared)
{
    std::size_t result = 0;
    for (const shard& each : declared.shards())
    {
        result += each.replicas().size();
    }
    return result;
}

void add_replica_changes(const std::string& shard_subject, const shard& older, const shard& newer,
                         sentences& changes)
{
    const auto subject = [&](const replica& declared)
    {
        return shard_subject + ": replica " + declared.upstream().to_string() + " in " +
               declared.data_centre();
    };
    compare(
        older.replicas(), newer.replicas(), [](const replica& declared) { return declared.upstream(); },
        [&](const replica& removed) { changes.push_back(subject(removed) + " is removed"); },
        [&](const replica& added)
        { changes.push_back(subject(added) + (added.leaving() ? " is added, leaving" : " is added")); },
        [&](const replica& before, const replica& after)
        {
            if (before.leaving() != after.leaving())
            {
                changes.push_back(subject(after) + (after.leaving() ? " is leaving: receives no new work"
                                                                    : " stays: receives work again"));
            }
            if (before.data_centre() != after.data_centre())
            {
                changes.push_back(subject(after) + " was in " + before.data_centre());
            }
        });
}

void add_shard_changes(const service& older, const service& newer, sentences& changes)
{
    const auto subject = [&](const shard& declared)
    {
        return service_subject(newer) + ", shard " + declared.name();
    };
    compare(
        older.shards(), newer.shards(), [](const shard& declared) { return declared.name(); },
        [&](const shard& removed) { changes.push_back(subject(removed) + " is removed"); },
        [&](const shard& added)
        {
            changes.push_back(subject(added) + " is added: " + keys_of(added) + ", " +
                              std::to_string(added.replicas().size()) + " replicas");
        },
        [&](const shard& before, const shard& after)
        {
            if (before.keys() != after.keys())
            {
                changes.push_back(subject(after) + ": " + keys_of(before) + " become " + keys_of(after));
            }
            add_replica_changes(subject(after), before, after, changes);
        });
}

void add_dependency_changes(const service& older, const service& newer, sentences& changes)
{
    compare(
        older.depends_on(), newer.depends_on(), [](const std::string& name) { return name; },
        [&](const std::string& removed)
        { changes.push_back(service_subject(newer) + " no longer depends on " + removed); },
        [&](const std::string& added)
        { changes.push_back(service_subject(newer) + " now depends on " + added); },
        [](const std::string& /*before*/, const std::string& /*after*/) {});
}

void add_upstream_limit_changes(const service& older, const service& newer, sentences& changes)
{
    const std::string subject = service_subject(newer);
    const upstream_limits& before = older.limits();
    const upstream_limits& after = newer.limits();
    add_number_change(subject + ": number of slots", before.slots(), after.slots(), "", changes);
    add_number_change(subject + ": number of connections", before.connections(), after.connections(), "",
                      changes);
    add_number_change(subject + ": number of cold-start requests", before.cold_start_requests(),
                      after.cold_start_requests(), "", changes);
}

} // namespace

void add_service_changes(const configuration& older, const configuration& newer, sentences& changes)
{
    compare(
        older.services(), newer.services(), [](const service& declared) { return declared.name(); },
        [&](const service& removed) { changes.push_back(service_subject(removed) + " is removed"); },
        [&](const service& added)
        {
            changes.push_back(service_subject(added) + " is added: " + std::to_string(added.shards().size()) +
                              " shards, " + std::to_string(replicas_of(added)) + " replicas");
        },
        [&](const service& before, const service& after)
        {
            if (before.index() != after.index())
            {
                changes.push_back(service_subject(after) + " reads index " + after.index() + " instead of " +
                                  before.index());
            }
            add_dependency_changes(before, after, changes);
            add_upstream_limit_changes(before, after, changes);
            add_shard_changes(before, after, changes);
        });
}

} // namespace teasellead::detail
