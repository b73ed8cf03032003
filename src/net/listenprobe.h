#pragma once

// Finds out whether a server still listens, by connecting to it.
//
//   ListenProbe probe(context, dialer, address, Millis(300), [](ProbeResult result) { ... });

#include "base/clock.h"
#include "http/address.h"
#include "net/dialer.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace cicadafork {

enum class ProbeResult {
    Listens,
    Refused, ///< The host is up and nothing listens at the port.
    Unknown, ///< No answer in time, or another error.
};

class ListenProbe
{
public:
    using Done = std::function<void(ProbeResult)>;

    /// Starts the probe. Calls done exactly once, from the event loop, unless the probe is
    /// destroyed before.
    ListenProbe(asio::io_context &context, const Dialer &dialer, const Address &address,
                Millis timeout, Done done);
    ~ListenProbe();
    ListenProbe(const ListenProbe &) = delete;
    ListenProbe &operator=(const ListenProbe &) = delete;

private:
    struct State;
    std::shared_ptr<State> state_; ///< Shared with the pending handlers.
};

} // namespace cicadafork
