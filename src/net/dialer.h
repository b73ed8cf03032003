#pragma once

// How clients open TCP connections. A dependency, so that tests can cut links.
//
//   Dialer dialer = localDialer("10.1.0.40");
//   dialer.connect(socket, address, [](const asio::error_code &error) { ... });

#include "http/address.h"

#include <asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace cicadafork {

struct Dialer
{
    using Done = std::function<void(const asio::error_code &)>;

    /// Connects a closed socket. Calls `done` at most once and never before it has returned;
    /// closing the socket ends the attempt. Addresses are IPv4.
    std::function<void(asio::ip::tcp::socket &socket, const Address &address, Done done)> connect;
};

/// Connects from any local address.
Dialer anyDialer();

/// Connects from the local IP address, by which servers know who connects.
Dialer localDialer(const std::string &ip);

} // namespace cicadafork
