#pragma once

#include <chrono>

#include "teasellead/fleet/token_bucket.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/*!
@brief bound of the requests of an account that all nodes together may admit

In any window, at most (rate x window + burst) x (1 + overage) + slack requests.
*/
struct account_bound
{
    duration m_window{std::chrono::seconds{5}};
    double m_overage{0.0};
    double m_slack{0.0};

    friend bool operator==(const account_bound&, const account_bound&) = default;
};

/// rate and capacity of the token bucket of an account
struct bucket_parameters
{
    double m_rate{0.0};     ///< tokens a second
    double m_capacity{1.0}; ///< largest number of tokens in the bucket

    friend bool operator==(const bucket_parameters&, const bucket_parameters&) = default;
};

/*!
@brief parameters of a bucket that grants the whole limit of an account and keeps within its bound

In each window a busy account gets its rate and its burst, which it is owed. What the bound allows beyond that
is kept for requests that come at once.

@param[in] bound               bound of the account
@param[in] rate                declared requests a second
@param[in] burst               declared requests at once on top of the rate
@param[in] grant_to_send_time  time from the grant of a token until its request is sent
*/
[[nodiscard]] bucket_parameters full_bucket_parameters(const account_bound& bound, double rate, double burst,
                                                       duration grant_to_send_time);

/// token bucket of one account; the node that holds it grants tokens to the others
class quota_bucket
{
  public:
    /// shortest time after which a client may retry a refused request
    static constexpr std::chrono::milliseconds min_retry_after{20};

    /*!
    @brief creates a bucket

    @param[in] tokens  initial tokens
    @param[in] now     current time
    */
    quota_bucket(double tokens, time_point now) noexcept : m_tokens(tokens, now)
    {
    }

    /*!
    @brief refills the bucket and reduces the backlog for the time since the last call

    @param[in] parameters  current rate and capacity
    @param[in] now         current time
    */
    void refill(const bucket_parameters& parameters, time_point now);

    /// number of whole tokens that can be taken
    [[nodiscard]] double available() const noexcept;

    /// tokens including fractions
    [[nodiscard]] double tokens() const noexcept
    {
        return m_tokens.tokens();
    }

    /// takes tokens; @pre tokens <= available()
    void take(double tokens) noexcept
    {
        m_tokens.take(tokens);
    }

    /// counts a refused request, which is expected to be retried
    void record_refusal() noexcept
    {
        m_backlog += 1.0;
    }

    /// time until the refused requests may be admitted, at a rate in tokens a second
    [[nodiscard]] duration wait(double rate) const noexcept;

  private:
    token_bucket m_tokens;
    double m_backlog{0.0}; ///< refused requests that are expected to be retried
};

} // namespace teasellead
