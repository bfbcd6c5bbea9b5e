#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace teasellead
{

/*!
@brief 64-bit non-cryptographic hash of a text; the same on every host

@param[in] text  the bytes
@param[in] seed  selects one of many independent hash functions

@complexity linear in the size of the text
@exceptionsafety never throws
*/
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0) noexcept;

/*!
@brief score of a member for a key in rendezvous hashing

The member with the highest score owns the key; a change of membership moves only the keys of the members that
were added or removed.

@param[in] key     hash of the key
@param[in] member  hash of the member

@return the score

@complexity constant
@exceptionsafety never throws
*/
[[nodiscard]] std::uint64_t rendezvous_score(std::uint64_t key, std::uint64_t member) noexcept;

/*!
@brief cryptographic digest of a text in hexadecimal

@param[in] text  the bytes

@return 64 hexadecimal digits (BLAKE2b, 256 bits)
*/
[[nodiscard]] std::string digest_hex(std::string_view text);

/*!
@brief salted hash of a key's secret

@param[in] salt    salt in hexadecimal, 16 bytes
@param[in] secret  the secret of a presented key

@return 64 hexadecimal digits (BLAKE2b keyed with the salt, 256 bits)

@throw protocol_error 502 if the salt isn't 32 hexadecimal digits
*/
[[nodiscard]] std::string salted_hash_hex(std::string_view salt, std::string_view secret);

/*!
@brief compares two texts in a time that depends only on their sizes

@param[in] lhs  one text
@param[in] rhs  the other text

@return whether both are equal

@exceptionsafety never throws
*/
[[nodiscard]] bool equal_in_constant_time(std::string_view lhs, std::string_view rhs) noexcept;

/*!
@brief cryptographically secure random bytes in hexadecimal

@param[in] bytes  number of bytes

@return twice as many hexadecimal digits
*/
[[nodiscard]] std::string random_hex(std::size_t bytes);

} // namespace teasellead
