#pragma once

// Options of the sockets of the data path.
//
//   tuneSocket(socket, {.userTimeout = Millis(1000), .keepAlive = true});

#include "base/clock.h"

#include <asio/ip/tcp.hpp>

namespace cicadafork {

struct SocketTuning
{
    /// Sent bytes that stay unacknowledged this long end the connection; 0 keeps the default.
    Millis userTimeout{0};
    /// Probes an idle connection, so that a peer without power is noticed.
    bool keepAlive = false;
};

/// Sets TCP_NODELAY, non-blocking mode and the given options. Failures are ignored: a socket that
/// refuses an option has been closed, which the next operation reports.
void tuneSocket(asio::ip::tcp::socket &socket, SocketTuning tuning);

} // namespace cicadafork
