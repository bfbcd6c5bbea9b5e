#pragma once

#include <chrono>

#include "teasellead/fleet/token_bucket.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/*!
@brief what all nodes together may admit of an account

In any window, (rate x window + burst) x (1 + overage) + slack.
*/
struct account_bound
{
    duration m_window{std::chrono::seconds{5}};
    double m_overage{0.0};
    double m_slack{0.0};

    friend bool operator==(const account_bound&, const account_bound&) = default;
};

/// what a bucket gives of an account
struct bucket_terms
{
    double m_rate{0.0};     ///< tokens a second
    double m_capacity{1.0}; ///< most tokens that it saves up

    friend bool operator==(const bucket_terms&, const bucket_terms&) = default;
};

/*!
@brief terms of a bucket that gives a whole limit away and keeps the bound of what is admitted

@param[in] bound             bound of the account
@param[in] rate              declared requests a second
@param[in] burst             declared requests at once on top of the rate
@param[in] stock_lifetime    how long a token may be used after it was granted
@param[in] lookahead         time for which tokens are asked ahead
*/
[[nodiscard]] bucket_terms terms_of_all(const account_bound& bound, double rate, double burst,
                                        duration stock_lifetime, duration lookahead);

/*!
@brief requests that all nodes together may admit in a window without any bucket

It is a part of what the bound leaves beyond @ref terms_of_all.

@param[in] bound  bound of the account
@param[in] rate   declared requests a second
@param[in] burst  declared requests at once on top of the rate
*/
[[nodiscard]] double fallback_of_all(const account_bound& bound, double rate, double burst);

/// tokens of one account that some node may give away
class quota_bucket
{
  public:
    /// shortest time after which a refused request may come back
    static constexpr std::chrono::milliseconds min_retry_after{20};

    /*!
    @brief creates a bucket

    @param[in] tokens  tokens that it begins with
    @param[in] now     current time
    */
    quota_bucket(double tokens, time_point now) noexcept : m_tokens(tokens, now)
    {
    }

    /*!
    @brief adds what has come since the last call

    @param[in] terms  rate and capacity of this moment
    @param[in] now    current time
    */
    void refill(const bucket_terms& terms, time_point now);

    /// whole tokens that can be taken
    [[nodiscard]] double available() const noexcept;

    /// tokens, parts of one too
    [[nodiscard]] double tokens() const noexcept
    {
        return m_tokens.tokens();
    }

    /// takes tokens; @pre there are so many
    void take(double tokens) noexcept
    {
        m_tokens.take(tokens);
    }

    /// a request was refused and may come back
    void note_refusal() noexcept
    {
        m_backlog += 1.0;
    }

    /// time after which the next of the refused requests may be admitted, at a rate of tokens a second
    [[nodiscard]] duration wait(double rate) const noexcept;

  private:
    token_bucket m_tokens;
    double m_backlog{0.0}; ///< refused requests that may come back
};

} // namespace teasellead
