#pragma once

// Answers the RPC of other daemons.
//
//   PeerHandlers handlers;
//   handlers.accept = [&](const std::string &id, const std::string &ip) {
//       return fleet.isKnownMember(id, ip);
//   };
//   ...
//   PeerServer server(loop, {.self = ..., .address = settings.peerAddress}, handlers);
//   BOOST_LEAF_CHECK(server.start());

#include "base/error.h"
#include "base/traffic.h"
#include "http/address.h"
#include "membership/digest.h"
#include "peer/peerloop.h"

#include <functional>
#include <memory>
#include <optional>

namespace cicadafork {

/// Who this daemon is.
struct PeerIdentity
{
    std::string memberId;
    std::string incarnation;
};

/// What the daemon does with messages. All functions must be set.
struct PeerHandlers
{
    // Called on the RPC thread; must return at once.
    std::function<bool(const std::string &memberId, const std::string &ip)> accept;
    std::function<DigestReply(const Digest &digest)> heartbeat;
    std::function<void(const std::string &requestId, const std::string &endpointId)> noteStream;
    std::function<std::optional<std::string>(const std::string &requestId)> findStream;

    // Called on a pool of threads; may block.
    std::function<Offset(const std::string &update)> pushConfig;
    std::function<std::string(Offset from)> pullConfig;
    std::function<Expected<std::string>(const std::string &batch)> claim;
    std::function<Expected<std::string>(const std::string &text)> runQuery;
    std::function<Expected<std::string>()> dump;
};

struct PeerServerOptions
{
    PeerIdentity self;
    Address address;
    std::size_t threads = 8;
    /// Calls that wait for a thread or run; more are refused.
    std::size_t maxPending = 1024;
    std::size_t maxConnections = 2048;
    /// A connection without a call for this long is closed; heartbeats keep the others alive.
    Millis idleTimeout{30'000};
    TrafficMeter meter = {}; ///< Of the bytes of all connections.
};

class PeerServer
{
public:
    PeerServer(PeerLoop &loop, PeerServerOptions options, PeerHandlers handlers);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Fails with Unavailable when the address cannot be bound.
    Result<void> start();

    /// Closes all connections and waits for the handlers in progress. Idempotent.
    void stop();

    std::size_t connections();

private:
    class State;

    PeerLoop &loop_;
    PeerServerOptions options_;
    std::shared_ptr<const PeerHandlers> handlers_;
    kj::Own<State> state_; ///< Lives on the loop.
};

} // namespace cicadafork
