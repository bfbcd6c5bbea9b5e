#include "teasellead/ctl/describe_changes.hpp"

#include <array>
#include <charconv>

#include "detail/declaration_changes.hpp"

namespace teasellead
{

namespace detail
{

std::string to_decimal(double value)
{
    constexpr std::size_t buffer_size = 400; // the largest double has 309 digits
    std::array<char, buffer_size> text{};
    const auto result =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    return {text.data(), result.ptr};
}

void add_number_change(const std::string& subject, double older, double newer, const std::string& unit,
                       sentences& changes)
{
    if (older == newer)
    {
        return;
    }
    changes.push_back(subject + (older < newer ? " goes up from " : " goes down from ") + to_decimal(older) +
                      " to " + to_decimal(newer) + unit);
}

} // namespace detail

namespace
{

using detail::sentences;

void add_data_centre_changes(const configuration& older, const configuration& newer, sentences& changes)
{
    const auto subject = [](const data_centre& declared)
    {
        return "data centre " + declared.name();
    };
    const auto is_live = [](const data_centre& declared)
    {
        return declared.state() == data_centre_state::live;
    };
    detail::compare(
        older.data_centres(), newer.data_centres(),
        [](const data_centre& declared) { return declared.name(); },
        [&](const data_centre& removed) { changes.push_back(subject(removed) + " is removed"); },
        [&](const data_centre& added) {
            changes.push_back(subject(added) + (is_live(added) ? " is added, live" : " is added, taken out"));
        },
        [&](const data_centre& before, const data_centre& after)
        {
            if (before.state() != after.state())
            {
                changes.push_back(subject(after) + (is_live(after) ? " is back: receives work again"
                                                                   : " is taken out: receives no new work"));
            }
            detail::add_number_change(subject(after) + ": weight of its part of the limits",
                                      before.limit_weight(), after.limit_weight(), "", changes);
        });
}

void add_index_changes(const configuration& older, const configuration& newer, sentences& changes)
{
    const auto subject = [](const search_index& declared)
    {
        return "index " + declared.name();
    };
    const auto add_version = [&](const std::string& version, std::uint64_t before, std::uint64_t after)
    {
        if (before != after)
        {
            changes.push_back(version + " changes from " + std::to_string(before) + " to " +
                              std::to_string(after));
        }
    };
    detail::compare(
        older.indexes(), newer.indexes(), [](const search_index& declared) { return declared.name(); },
        [&](const search_index& removed) { changes.push_back(subject(removed) + " is removed"); },
        [&](const search_index& added)
        {
            changes.push_back(subject(added) + " is added: snapshot " + std::to_string(added.snapshot()) +
                              ", shard map " + std::to_string(added.shard_map()));
        },
        [&](const search_index& before, const search_index& after)
        {
            add_version(subject(after) + ": snapshot", before.snapshot(), after.snapshot());
            add_version(subject(after) + ": shard map", before.shard_map(), after.shard_map());
        });
}

} // namespace

std::vector<std::string> describe_changes(const configuration& older, const configuration& newer)
{
    sentences changes;
    add_data_centre_changes(older, newer, changes);
    add_index_changes(older, newer, changes);
    detail::add_service_changes(older, newer, changes);
    detail::add_route_changes(older, newer, changes);
    detail::add_client_account_changes(older, newer, changes);
    detail::add_key_changes(older, newer, changes);
    return changes;
}

} // namespace teasellead
