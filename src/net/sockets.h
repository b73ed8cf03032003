#pragma once

// Options of the sockets of the data path.
//
//   tuneSocket(socket, {.userTimeout = Millis(1000), .keepAliveIdle = 2s});

#include "base/clock.h"

#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <string>

namespace cicadafork {

struct SocketTuning
{
    /// Sent bytes that stay unacknowledged this long end the connection; 0 keeps the default.
    Millis userTimeout{0};
    /// Probes a connection that was idle for so long, so that a peer without power is noticed;
    /// whole seconds, 0 sends no probes.
    std::chrono::seconds keepAliveIdle{0};
};

/// How long a peer without power goes unnoticed on a connection on which nothing is sent.
std::chrono::seconds deadPeerDetectionTime(SocketTuning tuning);

/// Sets TCP_NODELAY, non-blocking mode and the given options. Failures are ignored: a socket that
/// refuses an option has been closed, which the next operation reports.
void tuneSocket(asio::ip::tcp::socket &socket, SocketTuning tuning);

/// Writes what the socket takes at once, from written on, which moves along. Ends with would_block
/// when some is left and the socket takes no more, or with the error of the connection.
asio::error_code writeWithoutBlocking(asio::ip::tcp::socket &socket, const std::string &output,
                                      std::size_t &written);

} // namespace cicadafork
