#include "detail/declaration_changes.hpp"

namespace teasellead::detail
{

namespace
{

std::string route_subject(const route& declared)
{
    return "route " + declared.path();
}

std::string route_properties(const route& declared)
{
    return std::string{declared.idempotent() ? "idempotent" : "not idempotent"} +
           (declared.open() ? ", open to all" : ", key needed");
}

void add_changes_of_route(const route& older, const route& newer, sentences& changes)
{
    const std::string subject = route_subject(newer);
    if (older.service() != newer.service())
    {
        changes.push_back(subject + " is answered by service " + newer.service() + " instead of " +
                          older.service());
    }
    if (older.idempotent() != newer.idempotent())
    {
        changes.push_back(subject + (newer.idempotent()
                                         ? " becomes idempotent: requests may run twice"
                                         : " becomes non-idempotent: requests run at most once"));
    }
    if (older.open() != newer.open())
    {
        changes.push_back(subject + (newer.open() ? " opens to all: no key needed" : " closes: key needed"));
    }
    add_number_change(subject + ": deadline", static_cast<double>(older.deadline().count()),
                      static_cast<double>(newer.deadline().count()), " ms", changes);
}

std::string client_account_subject(const client_account& declared)
{
    return "client account " + declared.name();
}

void add_changes_of_key(const key_record& older, const key_record& newer, sentences& changes)
{
    const std::string subject = "key " + newer.id();
    if (older.client_account() != newer.client_account())
    {
        changes.push_back(subject + " moves from " + older.client_account() + " to " +
                          newer.client_account());
    }
    if (older.salt() != newer.salt() || older.hash() != newer.hash())
    {
        changes.push_back(subject + " of " + newer.client_account() +
                          " has a new secret: the old one stops working");
    }
}

} // namespace

void add_route_changes(const configuration& older, const configuration& newer, sentences& changes)
{
    compare(
        older.routes(), newer.routes(), [](const route& declared) { return declared.path(); },
        [&](const route& removed) { changes.push_back(route_subject(removed) + " is removed"); },
        [&](const route& added)
        {
            changes.push_back(route_subject(added) + " is added: service " + added.service() + ", " +
                              route_properties(added) + ", " + std::to_string(added.deadline().count()) +
                              " ms");
        },
        [&](const route& before, const route& after) { add_changes_of_route(before, after, changes); });
}

void add_client_account_changes(const configuration& older, const configuration& newer, sentences& changes)
{
    compare(
        older.client_accounts(), newer.client_accounts(),
        [](const client_account& declared) { return declared.name(); },
        [&](const client_account& removed)
        { changes.push_back(client_account_subject(removed) + " is removed"); },
        [&](const client_account& added)
        {
            changes.push_back(client_account_subject(added) + " is added: rate " + to_decimal(added.rate()) +
                              "/s, burst " + to_decimal(added.burst()) + ", weight " +
                              std::to_string(added.weight()));
        },
        [&](const client_account& before, const client_account& after)
        {
            const std::string subject = client_account_subject(after);
            add_number_change(subject + ": rate", before.rate(), after.rate(), "/s", changes);
            add_number_change(subject + ": burst", before.burst(), after.burst(), "", changes);
            add_number_change(subject + ": weight", before.weight(), after.weight(), "", changes);
        });
}

void add_key_changes(const configuration& older, const configuration& newer, sentences& changes)
{
    compare(
        older.keys(), newer.keys(), [](const key_record& declared) { return declared.id(); },
        [&](const key_record& removed)
        { changes.push_back("key " + removed.id() + " of " + removed.client_account() + " is withdrawn"); },
        [&](const key_record& added)
        { changes.push_back("key " + added.id() + " is issued to " + added.client_account()); },
        [&](const key_record& before, const key_record& after)
        { add_changes_of_key(before, after, changes); });
}

} // namespace teasellead::detail
