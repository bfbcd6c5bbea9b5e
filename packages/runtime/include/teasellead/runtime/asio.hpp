#pragma once

// boost 1.74's asio headers use std::exchange without including its header
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "teasellead/kernel/endpoint.hpp"

namespace teasellead::runtime
{

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;

/// converts an endpoint to its Boost.Asio type
[[nodiscard]] inline tcp::endpoint to_tcp(const endpoint& value)
{
    return tcp::endpoint{asio::ip::address_v4{value.address()}, value.port()};
}

} // namespace teasellead::runtime
