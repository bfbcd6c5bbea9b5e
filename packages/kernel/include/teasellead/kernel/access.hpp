#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

namespace teasellead
{

/// a path that callers may request
class route
{
  public:
    /*!
    @brief creates a route

    @param[in] path        absolute path of the URL
    @param[in] service     name of the service that handles its requests
    @param[in] idempotent  whether a request may run more than once
    @param[in] open        whether requests need no API key
    @param[in] deadline    longest time from the arrival of a request to its response
    */
    route(std::string path, std::string service, bool idempotent, bool open,
          std::chrono::milliseconds deadline)
        : m_path(std::move(path)), m_service(std::move(service)), m_idempotent(idempotent), m_open(open),
          m_deadline(deadline)
    {
    }

    [[nodiscard]] const std::string& path() const noexcept
    {
        return m_path;
    }

    [[nodiscard]] const std::string& service() const noexcept
    {
        return m_service;
    }

    [[nodiscard]] bool idempotent() const noexcept
    {
        return m_idempotent;
    }

    [[nodiscard]] bool open() const noexcept
    {
        return m_open;
    }

    [[nodiscard]] std::chrono::milliseconds deadline() const noexcept
    {
        return m_deadline;
    }

    friend bool operator==(const route&, const route&) = default;

  private:
    std::string m_path;
    std::string m_service;
    bool m_idempotent;
    bool m_open;
    std::chrono::milliseconds m_deadline;
};

/// a client account with its rate limit, which applies to all hosts together
class client_account
{
  public:
    /*!
    @brief creates a client account

    @param[in] name    unique name
    @param[in] rate    requests per second
    @param[in] burst   size of the token bucket: requests that may arrive at once after a pause
    @param[in] weight  share of a contended resource, relative to the other accounts
    */
    client_account(std::string name, double rate, double burst, std::uint32_t weight)
        : m_name(std::move(name)), m_rate(rate), m_burst(burst), m_weight(weight)
    {
    }

    [[nodiscard]] const std::string& name() const noexcept
    {
        return m_name;
    }

    [[nodiscard]] double rate() const noexcept
    {
        return m_rate;
    }

    [[nodiscard]] double burst() const noexcept
    {
        return m_burst;
    }

    [[nodiscard]] std::uint32_t weight() const noexcept
    {
        return m_weight;
    }

    friend bool operator==(const client_account&, const client_account&) = default;

  private:
    std::string m_name;
    double m_rate;
    double m_burst;
    std::uint32_t m_weight;
};

/// declared API key of a client account; holds a hash of the secret, never the secret itself
class key_record
{
  public:
    /*!
    @brief creates a key record

    @param[in] id              public id of the key
    @param[in] client_account  name of the account that the key belongs to
    @param[in] salt            salt in hexadecimal
    @param[in] hash            salted hash of the secret in hexadecimal
    */
    key_record(std::string id, std::string client_account, std::string salt, std::string hash)
        : m_id(std::move(id)), m_client_account(std::move(client_account)), m_salt(std::move(salt)),
          m_hash(std::move(hash))
    {
    }

    [[nodiscard]] const std::string& id() const noexcept
    {
        return m_id;
    }

    [[nodiscard]] const std::string& client_account() const noexcept
    {
        return m_client_account;
    }

    [[nodiscard]] const std::string& salt() const noexcept
    {
        return m_salt;
    }

    [[nodiscard]] const std::string& hash() const noexcept
    {
        return m_hash;
    }

    friend bool operator==(const key_record&, const key_record&) = default;

  private:
    std::string m_id;
    std::string m_client_account;
    std::string m_salt;
    std::string m_hash;
};

} // namespace teasellead
