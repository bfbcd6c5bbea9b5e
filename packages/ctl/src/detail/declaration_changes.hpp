#pragma once

#include <map>
#include <string>
#include <type_traits>
#include <vector>

#include "teasellead/kernel/configuration.hpp"

namespace teasellead::detail
{

/// descriptions of changes, one sentence each
using sentences = std::vector<std::string>;

/*!
@brief compares two lists of declarations by their identity

@param[in] older       declarations before the change
@param[in] newer       declarations after it
@param[in] identity    returns the identity of a declaration, such as its name
@param[in] on_removed  called with each declaration that is missing in @a newer, in the order of @a older
@param[in] on_added    called with each declaration that is missing in @a older, in the order of @a newer
@param[in] on_kept     called with the old and the new form of each declaration in both, in the order of
                        @a newer

@complexity n log n in the number of declarations
*/
template <typename Declaration, typename Identity, typename OnRemoved, typename OnAdded, typename OnKept>
void compare(const std::vector<Declaration>& older, const std::vector<Declaration>& newer, Identity identity,
             OnRemoved on_removed, OnAdded on_added, OnKept on_kept)
{
    using key = std::decay_t<decltype(identity(older.front()))>;
    std::map<key, const Declaration*> removed;
    for (const Declaration& declaration : older)
    {
        removed.emplace(identity(declaration), &declaration);
    }
    for (const Declaration& declaration : newer)
    {
        const auto found = removed.find(identity(declaration));
        if (found == removed.end())
        {
            on_added(declaration);
            continue;
        }
        on_kept(*found->second, declaration);
        removed.erase(found);
    }
    for (const Declaration& declaration : older)
    {
        if (removed.contains(identity(declaration)))
        {
            on_removed(declaration);
        }
    }
}

/// the shortest decimal notation of a number that parses back to the same value
[[nodiscard]] std::string to_decimal(double value);

/*!
@brief adds the sentence "<subject> goes up from 1 to 2" if a number changes

@param[in]     subject  subject of the sentence: the name of the number
@param[in]     older    number before the change
@param[in]     newer    number after it
@param[in]     unit     text after the number, such as `" ms"`; may be empty
@param[in,out] changes  receives the sentence
*/
void add_number_change(const std::string& subject, double older, double newer, const std::string& unit,
                       sentences& changes);

/// adds the changes of services with their shards and replicas
void add_service_changes(const configuration& older, const configuration& newer, sentences& changes);

/// adds the changes of routes
void add_route_changes(const configuration& older, const configuration& newer, sentences& changes);

/// adds the changes of client accounts
void add_client_account_changes(const configuration& older, const configuration& newer, sentences& changes);

/// adds the changes of API keys
void add_key_changes(const configuration& older, const configuration& newer, sentences& changes);

} // namespace teasellead::detail
