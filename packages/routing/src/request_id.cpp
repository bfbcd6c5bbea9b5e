#include "teasellead/routing/request_id.hpp"

#include <array>
#include <optional>
#include <sodium.h>
#include <span>

#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

constexpr int invalid_issuer_id = 610;
constexpr std::size_t secret_size = crypto_generichash_KEYBYTES_MAX;

// layout of the binary form; all integers are in network byte order
constexpr std::uint64_t format_version = 1;
constexpr std::size_t version_size = 1;
constexpr std::size_t address_size = 4;
constexpr std::size_t port_size = 2;
constexpr std::size_t incarnation_size = 8;
constexpr std::size_t sequence_size = 8;
constexpr std::size_t expiry_size = 8;
constexpr std::size_t account_tag_size = 8;
constexpr std::size_t mac_size = crypto_generichash_BYTES_MIN;
constexpr std::size_t fields_size = version_size + address_size + port_size + incarnation_size +
                                    sequence_size + expiry_size + account_tag_size;
constexpr std::size_t id_size = fields_size + mac_size;
constexpr std::size_t text_size = (id_size * 4 + 2) / 3;
constexpr int base64_variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

// domain separation of the two uses of the secret
constexpr unsigned char account_domain = 1;
constexpr unsigned char fields_domain = 2;

using id_bytes = std::array<unsigned char, id_size>;
using mac_bytes = std::array<unsigned char, mac_size>;

/// the authenticated fields of an id
struct id_fields
{
    std::uint64_t m_version{format_version};
    endpoint m_issuing_host;
    std::uint64_t m_incarnation{0};
    request_sequence m_sequence{0};
    std::uint64_t m_expiry_ms{0}; ///< since the start of the issuing incarnation
    std::uint64_t m_account_tag{0};
};

class byte_writer
{
  public:
    explicit byte_writer(std::span<unsigned char> out) : m_out(out)
    {
    }

    void put(std::uint64_t value, std::size_t size)
    {
        for (std::size_t shift = size; shift-- > 0;)
        {
            m_out[m_position++] = static_cast<unsigned char>(value >> (shift * 8));
        }
    }

  private:
    std::span<unsigned char> m_out;
    std::size_t m_position{0};
};

class byte_reader
{
  public:
    explicit byte_reader(std::span<const unsigned char> in) : m_in(in)
    {
    }

    [[nodiscard]] std::uint64_t get(std::size_t size)
    {
        std::uint64_t value = 0;
        for (std::size_t count = 0; count < size; ++count)
        {
            value = (value << 8U) | m_in[m_position++];
        }
        return value;
    }

  private:
    std::span<const unsigned char> m_in;
    std::size_t m_position{0};
};

mac_bytes keyed_hash(const std::string& secret, unsigned char domain, std::span<const unsigned char> message)
{
    mac_bytes mac{};
    crypto_generichash_state state;
    const auto* const key = reinterpret_cast<const unsigned char*>(secret.data());
    crypto_generichash_init(&state, key, secret.size(), mac.size());
    crypto_generichash_update(&state, &domain, 1);
    crypto_generichash_update(&state, message.data(), message.size());
    crypto_generichash_final(&state, mac.data(), mac.size());
    return mac;
}

std::uint64_t account_tag(const std::string& secret, std::string_view client_account)
{
    const auto* const name = reinterpret_cast<const unsigned char*>(client_account.data());
    const mac_bytes hash = keyed_hash(secret, account_domain, {name, client_account.size()});
    return byte_reader{hash}.get(account_tag_size);
}

void write(const id_fields& fields, std::span<unsigned char> out)
{
    byte_writer writer{out};
    writer.put(fields.m_version, version_size);
    writer.put(fields.m_issuing_host.address(), address_size);
    writer.put(fields.m_issuing_host.port(), port_size);
    writer.put(fields.m_incarnation, incarnation_size);
    writer.put(fields.m_sequence, sequence_size);
    writer.put(fields.m_expiry_ms, expiry_size);
    writer.put(fields.m_account_tag, account_tag_size);
}

id_fields read(std::span<const unsigned char> bytes)
{
    byte_reader reader{bytes};
    id_fields fields;
    fields.m_version = reader.get(version_size);
    const auto address = static_cast<std::uint32_t>(reader.get(address_size));
    const auto port = static_cast<std::uint16_t>(reader.get(port_size));
    fields.m_issuing_host = endpoint{address, port};
    fields.m_incarnation = reader.get(incarnation_size);
    fields.m_sequence = reader.get(sequence_size);
    fields.m_expiry_ms = reader.get(expiry_size);
    fields.m_account_tag = reader.get(account_tag_size);
    return fields;
}

std::string encode(const id_bytes& bytes)
{
    std::string text(sodium_base64_ENCODED_LEN(id_size, base64_variant), '\0');
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), base64_variant);
    text.resize(text_size);
    return text;
}

std::optional<id_bytes> decode(std::string_view text)
{
    id_bytes bytes{};
    std::size_t size = 0;
    if (text.size() != text_size ||
        sodium_base642bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &size, nullptr,
                          base64_variant) != 0 ||
        size != id_size)
    {
        return std::nullopt;
    }
    return bytes;
}

std::uint64_t milliseconds_between(time_point from, time_point to)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
    return elapsed.count() < 0 ? 0 : static_cast<std::uint64_t>(elapsed.count());
}

bool is_authentic(const std::string& secret, const id_bytes& bytes)
{
    const std::span<const unsigned char> all{bytes};
    const mac_bytes expected = keyed_hash(secret, fields_domain, all.first(fields_size));
    return sodium_memcmp(expected.data(), all.subspan(fields_size).data(), mac_size) == 0;
}

} // namespace

std::string_view to_string(request_id_error error) noexcept
{
    switch (error)
    {
    case request_id_error::malformed:
        return "malformed";
    case request_id_error::forged:
        return "forged";
    case request_id_error::wrong_account:
        return "wrong_account";
    case request_id_error::expired:
        return "expired";
    case request_id_error::previous_incarnation:
        return "previous_incarnation";
    }
    return "malformed";
}

verdict verdict_of(request_id_error error) noexcept
{
    switch (error)
    {
    case request_id_error::malformed:
    case request_id_error::forged:
    case request_id_error::wrong_account:
        return verdict::not_run;
    case request_id_error::expired:
    case request_id_error::previous_incarnation:
        return verdict::may_have_run;
    }
    return verdict::may_have_run;
}

request_id_issuer::request_id_issuer(endpoint self, std::uint64_t incarnation, std::string secret,
                                     time_point started, duration lifetime)
    : m_self(self), m_incarnation(incarnation), m_secret(std::move(secret)), m_started(started),
      m_lifetime(lifetime)
{
    if (m_secret.size() != secret_size)
    {
        throw state_error(invalid_issuer_id, "the secret of request ids has " +
                                                 std::to_string(m_secret.size()) + " characters, not " +
                                                 std::to_string(secret_size));
    }
    if (m_lifetime <= duration::zero())
    {
        throw state_error(invalid_issuer_id, "the lifetime of request ids must be positive");
    }
}

std::string request_id_issuer::issue(std::string_view client_account, time_point now)
{
    id_fields fields;
    fields.m_issuing_host = m_self;
    fields.m_incarnation = m_incarnation;
    fields.m_sequence = m_next.fetch_add(1);
    fields.m_expiry_ms = milliseconds_between(m_started, now + m_lifetime);
    fields.m_account_tag = account_tag(m_secret, client_account);
    id_bytes bytes{};
    const std::span<unsigned char> all{bytes};
    write(fields, all.first(fields_size));
    const mac_bytes mac = keyed_hash(m_secret, fields_domain, all.first(fields_size));
    std::copy(mac.begin(), mac.end(), all.subspan(fields_size).begin());
    return encode(bytes);
}

request_id_check request_id_issuer::check(std::string_view text, std::string_view client_account,
                                          time_point now) const
{
    const std::optional<id_bytes> bytes = decode(text);
    if (!bytes)
    {
        return refused_request_id{request_id_error::malformed};
    }
    const id_fields fields = read(*bytes);
    if (fields.m_version != format_version || fields.m_issuing_host.port() == 0)
    {
        return refused_request_id{request_id_error::malformed};
    }
    if (fields.m_issuing_host != m_self)
    {
        return foreign_request_id{fields.m_issuing_host, fields.m_incarnation};
    }
    if (fields.m_incarnation != m_incarnation)
    {
        return refused_request_id{request_id_error::previous_incarnation};
    }
    if (!is_authentic(m_secret, *bytes))
    {
        return refused_request_id{request_id_error::forged};
    }
    if (fields.m_account_tag != account_tag(m_secret, client_account))
    {
        return refused_request_id{request_id_error::wrong_account};
    }
    const time_point expires = m_started + std::chrono::milliseconds{fields.m_expiry_ms};
    if (now >= expires)
    {
        return refused_request_id{request_id_error::expired};
    }
    return own_request_id{fields.m_sequence, expires};
}

} // namespace teasellead
