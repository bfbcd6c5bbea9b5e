#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>

namespace test_support
{

/// a listening socket on 127.0.0.1, whose accept returns after a while without a connection
inline int listen_on_loopback(std::uint16_t port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    // the timeout lets a thread that calls accept stop
    const timeval wait{0, 50'000};
    ::setsockopt(listener, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(listener, SOMAXCONN) != 0)
    {
        throw std::runtime_error("can't listen on port " + std::to_string(port));
    }
    return listener;
}

} // namespace test_support
