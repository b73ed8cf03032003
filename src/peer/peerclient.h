#pragma once

// Calls other daemons.
//
//   PeerClient client(loop, {.self = ..., .sourceIp = settings.peerAddress.ip});
//   Result<std::string> answer = client.claim({id, address}, batch, Millis(200));
//
// Every call takes a timeout and fails with DeadlineExceeded (no answer), Unavailable (no
// connection) or the peer's own error. Connections are made on demand and again after a failure
// with exponential backoff; calls during the backoff fail at once. A connection on which nothing
// was answered within a call's timeout counts as cut.

#include "base/error.h"
#include "http/address.h"
#include "membership/fleettable.h"
#include "peer/peerloop.h"
#include "peer/peerserver.h"

#include <functional>
#include <optional>

namespace cicadafork {

/// Messages by kind; the bytes of all kinds share the meter of the connections.
struct PeerMeters
{
    TrafficMeter connections;
    TrafficMeter heartbeats;
    TrafficMeter configuration;
    TrafficMeter claims;
    TrafficMeter streams;
    TrafficMeter queries;
};

struct PeerTarget
{
    std::string id;
    Address address;
};

struct PeerClientOptions
{
    PeerIdentity self;
    std::string sourceIp; ///< Connections come from this address; the peer checks it.
    Millis connectTimeout{1000};
    Millis backoffMinimum{50};
    Millis backoffMaximum{1000}; ///< Well below the 6 s in which configuration must spread.
    std::size_t maxLinks = 1024;
    PeerMeters meters = {};
};

struct HeartbeatAnswer
{
    DigestReply reply;
    std::size_t bytes = 0; ///< Of the digest and an allowance for frames and the reply.
};

/// Thread-safe. The blocking calls must not be made on the RPC thread.
class PeerClient
{
public:
    using HeartbeatCallback
            = std::function<void(const HeartbeatDue &, const Expected<HeartbeatAnswer> &)>;

    PeerClient(PeerLoop &loop, PeerClientOptions options);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Starts heartbeats and returns. The callback runs on the RPC thread and must not block. All
    /// of them take one change of threads.
    void heartbeats(const std::vector<HeartbeatDue> &due, Millis timeout, HeartbeatCallback done);

    /// The same as a push in the background, for readers that push to many peers.
    void pushConfigAsync(const PeerTarget &target, const std::string &update, Millis timeout,
                         std::function<void(const Expected<Offset> &)> done);

    Result<Offset> pushConfig(const PeerTarget &target, const std::string &update, Millis timeout);
    Result<std::string> pullConfig(const PeerTarget &target, Offset from, Millis timeout);
    Result<std::string> claim(const PeerTarget &target, const std::string &batch, Millis timeout);
    Result<void> noteStream(const PeerTarget &target, const std::string &requestId,
                            const std::string &endpointId, Millis timeout);
    /// Nothing when the peer does not know the stream.
    Result<std::optional<std::string>> findStream(const PeerTarget &target,
                                                  const std::string &requestId, Millis timeout);
    Result<std::string> runQuery(const PeerTarget &target, const std::string &text, Millis timeout);
    Result<std::string> dump(const PeerTarget &target, Millis timeout);

private:
    class State;

    PeerLoop &loop_;
    PeerClientOptions options_;
    kj::Own<State> state_; ///< Lives on the loop.
};

} // namespace cicadafork
