#pragma once

// Options of the sockets of the data path.
//
//   tuneSocket(socket, {.userTimeout = Millis(1000), .probeAfter = 2s});

#include "base/clock.h"

#include <asio/ip/tcp.hpp>

namespace cicadafork {

struct SocketTuning
{
    /// Sent bytes that stay unacknowledged this long end the connection; 0 keeps the default.
    Millis userTimeout{0};
    /// Probes a connection that was idle for so long, so that a peer without power is noticed;
    /// whole seconds, 0 sends no probes.
    std::chrono::seconds probeAfter{0};
};

/// How long a peer without power goes unnoticed on a connection on which nothing is sent.
std::chrono::seconds silentDeathNoticed(SocketTuning tuning);

/// Sets TCP_NODELAY, non-blocking mode and the given options. Failures are ignored: a socket that
/// refuses an option has been closed, which the next operation reports.
void tuneSocket(asio::ip::tcp::socket &socket, SocketTuning tuning);

} // namespace cicadafork
