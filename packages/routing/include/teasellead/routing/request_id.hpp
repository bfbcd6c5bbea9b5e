#pragma once

#include <atomic>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/kernel/verdict.hpp"

namespace teasellead
{

/// sequence number of an id among those that one incarnation of a host issued
using request_sequence = std::uint64_t;

/// an id that this incarnation of this host issued to the client account and that hasn't expired
class own_request_id
{
  public:
    /*!
    @brief creates an id

    @param[in] sequence  sequence number of the id
    @param[in] expires   time from which the id is refused
    */
    constexpr own_request_id(request_sequence sequence, time_point expires) noexcept
        : m_sequence(sequence), m_expires(expires)
    {
    }

    [[nodiscard]] constexpr request_sequence sequence() const noexcept
    {
        return m_sequence;
    }

    [[nodiscard]] constexpr time_point expires() const noexcept
    {
        return m_expires;
    }

    friend constexpr auto operator<=>(const own_request_id&, const own_request_id&) noexcept = default;

  private:
    request_sequence m_sequence;
    time_point m_expires;
};

/// an id that names another host as its issuer; only that host can validate it
class foreign_request_id
{
  public:
    /*!
    @brief creates an id

    @param[in] issuing_host  peer address of the host that the id names
    @param[in] incarnation   incarnation of that host that issued it
    */
    constexpr foreign_request_id(endpoint issuing_host, std::uint64_t incarnation) noexcept
        : m_issuing_host(issuing_host), m_incarnation(incarnation)
    {
    }

    [[nodiscard]] constexpr const endpoint& issuing_host() const noexcept
    {
        return m_issuing_host;
    }

    [[nodiscard]] constexpr std::uint64_t incarnation() const noexcept
    {
        return m_incarnation;
    }

    friend constexpr auto operator<=>(const foreign_request_id&,
                                      const foreign_request_id&) noexcept = default;

  private:
    endpoint m_issuing_host;
    std::uint64_t m_incarnation;
};

/// why a request id is refused
enum class request_id_error
{
    malformed,           ///< not an id of this format
    forged,              ///< names this incarnation of this host, but fails authentication
    wrong_account,       ///< issued to another client account
    expired,             ///< its lifetime has ended; a request with the id may have run before
    previous_incarnation ///< issued by an earlier incarnation of this host, whose record of used ids is lost
};

/*!
@brief name of an error as used in responses, logs and traces

@exceptionsafety never throws
*/
[[nodiscard]] std::string_view to_string(request_id_error error) noexcept;

/*!
@brief what is known about earlier requests of the client account with a refused id

@param[in] error  why the id is refused

@return @ref verdict::not_run only where no request with the id can have run at any time

@exceptionsafety never throws
*/
[[nodiscard]] verdict verdict_of(request_id_error error) noexcept;

/// an id with which no request may run
class refused_request_id
{
  public:
    constexpr explicit refused_request_id(request_id_error error) noexcept : m_error(error)
    {
    }

    [[nodiscard]] constexpr request_id_error error() const noexcept
    {
        return m_error;
    }

    friend constexpr auto operator<=>(const refused_request_id&,
                                      const refused_request_id&) noexcept = default;

  private:
    request_id_error m_error;
};

/// outcome of the validation of a request id
using request_id_check = std::variant<own_request_id, foreign_request_id, refused_request_id>;

/*!
@brief issues and validates the ids of non-idempotent requests

An id names the host and the incarnation of that host that issued it. Only that incarnation executes a request
with the id, so only it has to record which ids were used. The id contains its expiry as an offset in the
issuing host's monotonic time and is authenticated by a secret that is generated when the host starts, so
issued ids needn't be stored. The text form has 74 characters of `A-Z a-z 0-9 - _`.

Safe for use by several threads.
*/
class request_id_issuer
{
  public:
    /*!
    @brief creates an issuer

    @param[in] self         peer address of this host
    @param[in] incarnation  random number generated when this host started
    @param[in] secret       `random_hex(32)`, generated when this host started and never sent anywhere
    @param[in] started      a time at or before every later time that is passed in
    @param[in] lifetime     time from the issue of an id to its expiry

    @throw state_error 610 if the secret doesn't have 64 characters or the lifetime isn't positive
    */
    request_id_issuer(endpoint self, std::uint64_t incarnation, std::string secret, time_point started,
                      duration lifetime);

    /*!
    @brief issues an id

    @param[in] client_account  account to which the id is bound
    @param[in] now             current time

    @return the id's text form

    @complexity linear in the size of the account's name
    */
    [[nodiscard]] std::string issue(std::string_view client_account, time_point now);

    /*!
    @brief validates an id

    @param[in] text            the id's text form as the caller sent it
    @param[in] client_account  account that the caller authenticated as
    @param[in] now             current time

    @return whether a request with the id may run here, must be forwarded, or is refused

    @complexity linear in the sizes of id and account
    */
    [[nodiscard]] request_id_check check(std::string_view text, std::string_view client_account,
                                         time_point now) const;

  private:
    const endpoint m_self;
    const std::uint64_t m_incarnation;
    const std::string m_secret;
    const time_point m_started;
    const duration m_lifetime;
    std::atomic<request_sequence> m_next{1};
};

} // namespace teasellead
