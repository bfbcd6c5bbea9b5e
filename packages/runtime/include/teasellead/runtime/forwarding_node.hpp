#pragma once

#include <memory>

#include "teasellead/runtime/deployment.hpp"

namespace teasellead::runtime
{

/*!
@brief a node that forwards requests on one event loop

Connections of callers and upstreams, the source of declarations and the peers are served by one thread.
Decisions are made by the state machines of `forwarding` and `fleet`.
*/
class forwarding_node
{
  public:
    /*!
    @brief starts to listen and to read the deployment

    @param[in] platform  the deployment; must outlive the node
    @param[in] log       decisions; must outlive the node

    @throw transport_error if an address can't be bound
    */
    forwarding_node(const deployment& platform, decision_log& log);
    ~forwarding_node();
    forwarding_node(const forwarding_node&) = delete;
    forwarding_node& operator=(const forwarding_node&) = delete;

    /*!
    @brief serves until a stop signal has come and what runs is finished

    @return whether all requests were finished
    */
    bool run();

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace teasellead::runtime
