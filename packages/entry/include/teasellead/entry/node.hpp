#pragma once

#include <memory>

#include "teasellead/entry/node_settings.hpp"

namespace teasellead
{

/*!
@brief a running node: everything in a `teasellead` process except the handling of signals
*/
class node
{
  public:
    /*!
    @brief starts a node

    @param[in] settings  checked settings

    @throw transport_error 401 or 402 if an address can't be bound
    */
    explicit node(const node_settings& settings);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /*!
    @brief stops gracefully

    Reports not ready and announces the stop to the peers at once, then follows a @ref runtime::stop_schedule
    whose grace period is the stop timeout.

    @return whether all requests ended by themselves, without being ended early by the stop
    */
    [[nodiscard]] bool stop();

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace teasellead
