#include "teasellead/kernel/hashing.hpp"

#include <array>
#include <sodium.h>
#include <vector>
#include <xxhash.h>

#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

constexpr int invalid_salt_id = 502;
constexpr std::size_t digest_bytes = crypto_generichash_BYTES;
constexpr std::size_t salt_bytes = 16;

const unsigned char* bytes_of(std::string_view text) noexcept
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string to_hex(const unsigned char* data, std::size_t size)
{
    std::string text(size * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), data, size);
    text.pop_back();
    return text;
}

std::array<unsigned char, salt_bytes> salt_from_hex(std::string_view salt)
{
    std::array<unsigned char, salt_bytes> binary{};
    std::size_t size = 0;
    const int status =
        sodium_hex2bin(binary.data(), binary.size(), salt.data(), salt.size(), nullptr, &size, nullptr);
    if (status != 0 || size != salt_bytes || salt.size() != salt_bytes * 2)
    {
        throw protocol_error(invalid_salt_id, "a salt must have 32 hexadecimal digits");
    }
    return binary;
}

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_score(std::uint64_t key, std::uint64_t member) noexcept
{
    const std::array<std::uint64_t, 2> pair{key, member};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

std::string digest_hex(std::string_view text)
{
    std::array<unsigned char, digest_bytes> digest{};
    crypto_generichash(digest.data(), digest.size(), bytes_of(text), text.size(), nullptr, 0);
    return to_hex(digest.data(), digest.size());
}

std::string salted_hash_hex(std::string_view salt, std::string_view secret)
{
    const auto key = salt_from_hex(salt);
    std::array<unsigned char, digest_bytes> digest{};
    crypto_generichash(digest.data(), digest.size(), bytes_of(secret), secret.size(), key.data(), key.size());
    return to_hex(digest.data(), digest.size());
}

bool equal_in_constant_time(std::string_view lhs, std::string_view rhs) noexcept
{
    return lhs.size() == rhs.size() && sodium_memcmp(lhs.data(), rhs.data(), lhs.size()) == 0;
}

std::string random_hex(std::size_t bytes)
{
    std::vector<unsigned char> binary(bytes);
    randombytes_buf(binary.data(), binary.size());
    return to_hex(binary.data(), binary.size());
}

} // namespace teasellead
