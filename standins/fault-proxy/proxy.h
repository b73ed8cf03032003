#pragma once

// TCP proxy that forwards between a listen address and a target and can disturb the link.
//
//   asio::io_context io;
//   ProxyFaults faults;
//   Proxy proxy(io, listenAddress, targetAddress, faults);
//   io.run();
//
// All functions run on the thread of the io_context.

#include "base/clock.h"
#include "http/address.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <set>

namespace cicadafork::standin {

class ProxyConnection;

/// What the link does at present; existing and new connections obey it.
struct ProxyFaults
{
    Millis delay{0};          ///< Added to every piece in each direction.
    bool cutToTarget = false; ///< Bytes from the client are read and dropped.
    bool cutToClient = false; ///< Bytes from the target are read and dropped.
    bool freeze = false;      ///< Nothing is read, so that senders meet full buffers.
    /// A side that closes is not reported to the other side, as after a crash of a machine.
    bool halfOpen = false;
    std::uint64_t dropAfterBytes = 0; ///< Closes a connection after N bytes; 0 is off.
};

/// Changes the faults that the object names. Throws nlohmann::json::exception on a wrong type and
/// std::invalid_argument on an unknown value of "cut".
void applyProxyFaults(ProxyFaults &faults, const nlohmann::json &change);

class Proxy
{
public:
    /// Throws asio::system_error when the address is in use.
    Proxy(asio::io_context &io, const Address &listen, const Address &target, ProxyFaults &faults);
    ~Proxy();

    /// Resets every open connection.
    void resetAll();

    std::size_t connections() const { return connections_.size(); }

private:
    friend class ProxyConnection;

    void acceptNext();

    asio::io_context &io_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint target_;
    ProxyFaults &faults_;
    std::set<std::shared_ptr<ProxyConnection>> connections_;
};

} // namespace cicadafork::standin
