#pragma once

#include <memory>

#include "teasellead/runtime/deployment.hpp"

namespace teasellead::runtime
{

/*!
@brief a node that forwards requests of callers to upstreams on one event loop

One thread serves the connections to callers, upstreams, peers and the source of the configuration. Decisions
are made by the state machines in the packages `forwarding` and `fleet`.
*/
class forwarding_node
{
  public:
    /*!
    @brief binds the listen addresses; nothing is served before @ref run

    @param[in] platform  adapter to the platform; must outlive the node
    @param[in] log       log for decisions and events; must outlive the node

    @throw transport_error if an address can't be bound
    */
    forwarding_node(const deployment& platform, decision_log& log);
    ~forwarding_node();
    forwarding_node(const forwarding_node&) = delete;
    forwarding_node& operator=(const forwarding_node&) = delete;

    /*!
    @brief serves requests until SIGTERM or SIGINT, then stops within the grace period as @ref stop_schedule
    says

    @return whether all requests ended by themselves, without being ended early by the stop
    */
    bool run();

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace teasellead::runtime
