#pragma once

// Tells the other daemons what this one has placed, and learns the same from them.
//
//   Mesh mesh(context, options, board, hooks);
//   mesh.start();
//   mesh.placed(job);        // sent at once
//   mesh.ended(job.id);      // sent within a few milliseconds, together with others
//
// Messages are single datagrams. Across failure domains one copy goes to one member, which passes
// it on to its neighbours. Members are found through seeds, through the platform's store
// (addPeer()) and through each other.

#include "gateway/confighistory.h"
#include "gateway/loadtracker.h"
#include "http/address.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadafork::gateway {

struct MeshOptions
{
    std::string name;
    std::string ip;
    std::string failureDomain;
    std::uint64_t incarnation = 0;
    std::uint16_t port = 0; ///< The same on every machine.
    std::vector<std::string> seedIps;
    Millis heartbeatInterval{400};       ///< Between two full lists, with few peers.
    Millis heartbeatIntervalPerPeer{10}; ///< Lower bound of the interval for each peer.
    Millis batchDelay{4};                ///< Ends and starts wait this long for others.
    Millis failureTimeout{1300};         ///< A peer that was not heard for so long is away,
    int minMissedHeartbeats = 3;         ///< but not before it missed so many heartbeats.
    /// A failure domain with more peers gets one copy of a message, which its receiver passes on.
    std::size_t maxDirectPeersPerDomain = 5;
    Millis removeAfter{30'000};
    std::size_t maxPeers = 1024;
};

struct PeerInfo
{
    std::string name;
    std::string ip;
    std::string failureDomain;
    std::uint64_t incarnation = 0;
    std::uint64_t configVersion = 0;
    std::uint64_t endpointsPosition = 0;
    std::uint64_t endpointsDigest = 0;
    TimePoint lastHeard{};
    bool heard = false;
    bool returned = false; ///< Was away before it was heard again.
    bool alive = false;
    bool leaving = false;
    bool storeLost = false; ///< The store does not answer it.
};

/// What a heartbeat says of the sender besides its jobs.
struct MeshStatus
{
    std::uint64_t configVersion = 0;
    std::uint64_t endpointsPosition = 0;
    std::uint64_t endpointsDigest = 0;
    bool leaving = false;
    bool storeLost = false;
};

/// A change of an endpoint: the new record, or none when it has left.
struct EndpointUpdate
{
    std::string id;
    std::optional<EndpointRecord> record;
};

struct MeshHooks
{
    std::function<MeshStatus()> status;
    /// The work at endpoints changed.
    std::function<void()> loadChanged;
    /// A peer was heard of again, or not for a while, is about to leave, or lost the store.
    std::function<void(const PeerInfo &)> peerChanged;
    /// A message of the peer arrived.
    std::function<void(const PeerInfo &)> messageReceived;
    /// A peer has read changes of endpoints.
    std::function<void(const PeerInfo &, const std::vector<EndpointUpdate> &)>
            endpointUpdatesReceived;
    /// A peer has read a version of the configuration.
    std::function<void(const PeerInfo &, const ConfigChange &)> configChangeReceived;
    /// No peer was heard for so long that this daemon may be cut off from all of them. Called
    /// again at every heartbeat.
    std::function<void()> isolated;
};

struct MeshCounters
{
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t malformed = 0;
};

class Mesh
{
public:
    Mesh(asio::io_context &context, MeshOptions options, LoadTracker &board, MeshHooks hooks);

    /// Fails with Unavailable when the port cannot be bound.
    Result<void> start();
    void stop();

    /// A member that the platform's store names.
    void addPeer(const std::string &name, const std::string &ip);

    void placed(const Job &job);
    void started(const JobId &id);
    void ended(const JobId &id);
    /// Tells all peers what was read from the store.
    void sendEndpointUpdates(const std::vector<EndpointUpdate> &news);
    /// Tells all peers a version of the configuration; one that does not fit a datagram is only
    /// announced, and they ask for it.
    void sendConfigChange(const ConfigChange &change);
    /// Sends the status to all peers now, for example a new version of the configuration.
    void sendStatus();

    const std::map<std::string, PeerInfo> &peers() const { return peers_; }
    std::size_t alivePeerCount() const;
    /// Peers of a failure domain are known, and none of them was heard lately.
    bool seemsCutOff(const std::string &failureDomain) const;
    const MeshCounters &counters() const { return counters_; }

private:
    struct Batch
    {
        std::vector<Job> jobs;
        std::vector<std::uint32_t> started;
        std::vector<std::uint32_t> ended;
    };

    void armRead();
    void receive();
    void onDatagram(std::uint8_t *data, std::size_t size);
    void flushSoon();
    void flush();
    void sendHeartbeat();
    void sendAllJobs(bool toAll, const std::string &ip, bool wantsReply);
    void send(std::string_view message, const std::string &ip);
    void sendToPeers(std::string &message);
    /// Sends all peers the status and what fill adds to the datagram.
    template <class Fill>
    void sendWithStatus(Fill fill);
    void sendToFailedPeers(const std::string &message);
    void relay(std::uint8_t *data, std::size_t size, const std::string &origin);
    void detectFailedPeers(TimePoint now);
    Millis heartbeatInterval() const;
    Millis failureTimeout() const;
    /// Silence of all peers together after which this daemon may be cut off.
    Millis isolationTimeout() const;
    PeerInfo *peer(const std::string &name, const std::string &ip);

    MeshOptions options_;
    LoadTracker &board_;
    MeshHooks hooks_;
    asio::ip::udp::socket socket_;
    asio::steady_timer heartbeatTimer_;
    asio::steady_timer batchTimer_;
    std::map<std::string, PeerInfo> peers_; ///< By ip: a name may move to another machine.
    Batch batch_;
    bool batchArmed_ = false;
    std::uint32_t newestJob_ = 0;
    unsigned heartbeatsSent_ = 0;
    unsigned relayTurn_ = 0;
    TimePoint lastHeard_{}; ///< Of any peer.
    MeshCounters counters_;
};

} // namespace cicadafork::gateway
