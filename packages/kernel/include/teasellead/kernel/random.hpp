#pragma once

#include <cstdint>
#include <random>

namespace teasellead
{

/*!
@brief pseudo-random number generator for all randomised decisions

It is passed as a parameter; with a fixed seed, decisions are reproducible. Not cryptographically secure.
*/
class random_source
{
  public:
    /*!
    @brief creates a source

    @param[in] seed  seed; equal seeds give equal sequences
    */
    explicit random_source(std::uint64_t seed) : m_engine(seed)
    {
    }

    /*!
    @brief a uniformly distributed integer

    @param[in] bound  exclusive upper bound, at least 1

    @return a value in [0, bound)

    @complexity constant
    */
    [[nodiscard]] std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(m_engine);
    }

    /// a uniformly distributed number in [0, 1)
    [[nodiscard]] double unit()
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(m_engine);
    }

    /// the engine, for standard distributions
    [[nodiscard]] std::mt19937_64& engine() noexcept
    {
        return m_engine;
    }

  private:
    std::mt19937_64 m_engine;
};

} // namespace teasellead
