#pragma once

// TCP socket options and non-blocking writes for the data path.
//
//   tuneSocket(socket, {.userTimeout = Millis(1000), .keepAliveIdle = 2s});

#include "base/clock.h"

#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <string_view>

namespace cicadafork {

struct SocketTuning
{
    /// TCP_USER_TIMEOUT: sent bytes that stay unacknowledged this long end the connection. 0 keeps
    /// the system's default.
    Millis userTimeout{0};
    /// TCP_KEEPIDLE: idle time before the first keep-alive probe, which detects peers that lost
    /// power. 0 disables probes.
    std::chrono::seconds keepAliveIdle{0};
};

/// Time until keep-alive probes detect that the peer of an idle connection has lost power.
std::chrono::seconds deadPeerDetectionTime(SocketTuning tuning);

/// Sets TCP_NODELAY, non-blocking mode and the given options. Failures are ignored: setting an
/// option fails only if the socket is already closed, which the next operation reports.
void tuneSocket(asio::ip::tcp::socket &socket, SocketTuning tuning);

/// Writes as much of `output` as possible without blocking, starting at offset `written`, which is
/// advanced. Returns would_block if bytes are left because the socket's send buffer is full, or the
/// error of the connection.
asio::error_code writeWithoutBlocking(asio::ip::tcp::socket &socket, std::string_view output,
                                      std::size_t &written);

} // namespace cicadafork
