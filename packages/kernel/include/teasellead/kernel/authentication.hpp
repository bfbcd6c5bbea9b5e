#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "teasellead/kernel/configuration.hpp"

namespace teasellead
{

/// longest id of a key in characters; the id is the public portion of a key
inline constexpr std::size_t max_key_id_length = 64;

/// shortest secret in characters; shorter ones could be guessed from a leaked hash
inline constexpr std::size_t min_key_secret_length = 24;

/// longest secret in characters
inline constexpr std::size_t max_key_secret_length = 128;

/// the presented key is valid; holds no part of the secret
struct authenticated
{
    std::string m_client_account;
    std::string m_key_id;
    std::string m_salt; ///< salt of the record that the key matched
    std::string m_hash; ///< hash of the record that the key matched

    friend bool operator==(const authenticated&, const authenticated&) = default;
};

/// the request has no key
struct key_missing
{
    friend bool operator==(const key_missing&, const key_missing&) = default;
};

/// the presented text isn't of the form `id.secret`, or its parts are too short, too long or invalid
struct key_malformed
{
    friend bool operator==(const key_malformed&, const key_malformed&) = default;
};

/// the id isn't declared, or the secret is wrong; callers can't tell which
struct key_rejected
{
    friend bool operator==(const key_rejected&, const key_rejected&) = default;
};

/// outcome of checking a presented key
using authentication = std::variant<authenticated, key_missing, key_malformed, key_rejected>;

/// the key was withdrawn or its secret replaced since it was checked
struct key_withdrawn
{
    std::string m_key_id;

    friend bool operator==(const key_withdrawn&, const key_withdrawn&) = default;
};

/// the key belongs to another client account than when it was checked
struct key_moved
{
    std::string m_key_id;

    friend bool operator==(const key_moved&, const key_moved&) = default;
};

/// outcome of checking an earlier authentication against the current configuration
using reauthentication = std::variant<authenticated, key_withdrawn, key_moved>;

/*!
@brief checks a presented key

@param[in] declared   the current configuration
@param[in] presented  the key as received with the request, `id.secret`; empty if there was none

@return the client account, or why there is none; unknown ids and wrong secrets require the same work, so that
        the time of the check doesn't reveal which ids exist

@complexity linear in the length of the key, independent of the number of keys
*/
[[nodiscard]] authentication authenticate(const configuration& declared, std::string_view presented);

/*!
@brief checks again, when a queued request is dispatched, that its key is still valid

@param[in] declared  the current configuration
@param[in] earlier   outcome of the check when the request arrived

@return the earlier outcome, or why the request must not be dispatched

@complexity constant
*/
[[nodiscard]] reauthentication reauthenticate(const configuration& declared, const authenticated& earlier);

/*!
@brief replaces the secret of each key in a text, for logs, reports and error messages

Everything of the form `id.secret` is treated as a key, also if the dot is encoded as `%2E`.

@param[in] text  any text

@return the text with `[redacted]` in place of each secret

@complexity linear in the size of the text
*/
[[nodiscard]] std::string redact_keys(std::string_view text);

/// a new key in the forms for its user and for the services text
struct issued_key
{
    std::string m_presented; ///< `id.secret`, to be given to the user of the key and stored nowhere else
    std::string m_toml;      ///< the `[[key]]` entry of the services text

    friend bool operator==(const issued_key&, const issued_key&) = default;
};

/*!
@brief creates a key with a random secret

@param[in] id              public id
@param[in] client_account  name of the account that the key is for

@return the key and its declaration

@throw protocol_error 504 if the id is empty, too long or has characters other than letters, digits, `_`
       and `-`, or if the account's name is empty or has characters that need an escape
*/
[[nodiscard]] issued_key issue_key(std::string_view id, std::string_view client_account);

} // namespace teasellead
