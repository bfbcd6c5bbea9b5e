#include "teasellead/kernel/authentication.hpp"

#include <algorithm>
#include <optional>

#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

constexpr int invalid_name_id = 504;
constexpr std::size_t secret_bytes = 32;
constexpr std::size_t salt_bytes = 16;
constexpr std::string_view redacted = "[redacted]";
constexpr std::string_view encoded_dot = "%2e";
constexpr std::string_view needs_escape = "\"\\\n\r\t";

/// id and secret of a presented key
struct key_parts
{
    std::string_view m_id;
    std::string_view m_secret;
};

constexpr bool is_key_character(char value) noexcept
{
    return (value >= 'a' && value <= 'z') || (value >= 'A' && value <= 'Z') ||
           (value >= '0' && value <= '9') || value == '_' || value == '-';
}

constexpr char to_lower(char value) noexcept
{
    return value >= 'A' && value <= 'Z' ? static_cast<char>(value - 'A' + 'a') : value;
}

bool is_key_text(std::string_view text, std::size_t min_length, std::size_t max_length)
{
    return text.size() >= min_length && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(), is_key_character);
}

std::optional<key_parts> split_key(std::string_view presented)
{
    const std::size_t dot = presented.find('.');
    if (dot == std::string_view::npos)
    {
        return std::nullopt;
    }
    const key_parts parts{presented.substr(0, dot), presented.substr(dot + 1)};
    const bool is_valid = is_key_text(parts.m_id, 1, max_key_id_length) &&
                          is_key_text(parts.m_secret, min_key_secret_length, max_key_secret_length);
    return is_valid ? std::optional{parts} : std::nullopt;
}

/// record that is checked if an id is unknown, so that the check requires the same work as for a known id
const key_record& placeholder_record()
{
    static const key_record record{"", "", std::string(salt_bytes * 2, '0'), digest_hex("")};
    return record;
}

/// length of the separator between id and secret at a position; 0 if there is none
std::size_t separator_length(std::string_view text, std::size_t position)
{
    if (text[position] == '.')
    {
        return 1;
    }
    const std::string_view piece = text.substr(position, encoded_dot.size());
    const auto is_same = [](char lhs, char rhs)
    {
        return to_lower(lhs) == rhs;
    };
    const bool is_encoded =
        std::equal(piece.begin(), piece.end(), encoded_dot.begin(), encoded_dot.end(), is_same);
    return is_encoded ? encoded_dot.size() : 0;
}

/// number of consecutive key characters from a position
std::size_t key_text_length(std::string_view text, std::size_t position)
{
    const auto first = text.begin() + static_cast<std::ptrdiff_t>(position);
    return static_cast<std::size_t>(std::find_if_not(first, text.end(), is_key_character) - first);
}

} // namespace

authentication authenticate(const configuration& declared, std::string_view presented)
{
    if (presented.empty())
    {
        return key_missing{};
    }
    const std::optional<key_parts> parts = split_key(presented);
    if (!parts)
    {
        return key_malformed{};
    }
    const key_record* const found = declared.find_key(parts->m_id);
    const key_record& record = found == nullptr ? placeholder_record() : *found;
    const std::string hash = salted_hash_hex(record.salt(), parts->m_secret);
    const bool is_equal = equal_in_constant_time(hash, record.hash());
    if (!is_equal || found == nullptr)
    {
        return key_rejected{};
    }
    return authenticated{record.client_account(), record.id(), record.salt(), record.hash()};
}

reauthentication reauthenticate(const configuration& declared, const authenticated& earlier)
{
    const key_record* const found = declared.find_key(earlier.m_key_id);
    if (found == nullptr || found->salt() != earlier.m_salt || found->hash() != earlier.m_hash)
    {
        return key_withdrawn{earlier.m_key_id};
    }
    if (found->client_account() != earlier.m_client_account)
    {
        return key_moved{earlier.m_key_id};
    }
    return earlier;
}

std::string redact_keys(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    std::size_t position = 0;
    while (position < text.size())
    {
        const std::size_t separator = separator_length(text, position);
        if (separator == 0)
        {
            result += text[position];
            ++position;
            continue;
        }
        result += text.substr(position, separator);
        position += separator;
        const std::size_t length = key_text_length(text, position);
        result += length >= min_key_secret_length ? redacted : text.substr(position, length);
        position += length;
    }
    return result;
}

issued_key issue_key(std::string_view id, std::string_view client_account)
{
    if (!is_key_text(id, 1, max_key_id_length))
    {
        throw protocol_error(invalid_name_id, "key id \"" + std::string{id} +
                                                  "\" must be 1 to 64 letters, digits, '_' or '-'");
    }
    if (client_account.empty() || client_account.find_first_of(needs_escape) != std::string_view::npos)
    {
        throw protocol_error(invalid_name_id,
                             "client account \"" + std::string{client_account} +
                                 "\" must not be empty or contain quotes, backslashes, tabs or line breaks");
    }
    const std::string secret = random_hex(secret_bytes);
    const std::string salt = random_hex(salt_bytes);
    const std::string name{id};
    std::string toml = "[[key]]\nid = \"" + name + "\"\nclient_account = \"" + std::string{client_account} +
                       "\"\nsalt = \"" + salt + "\"\nhash = \"" + salted_hash_hex(salt, secret) + "\"\n";
    return issued_key{name + "." + secret, std::move(toml)};
}

} // namespace teasellead
