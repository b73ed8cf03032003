#pragma once

// This daemon's view of the fleet. Guards FleetState and the functions of systems.h with a mutex.
//
//   FleetTable fleet({.selfId = "entry-1", ...});
//   fleet.applyVmList(list, now);                     // VM list thread
//   for (auto &due : fleet.heartbeatsDue(now))        // control thread, every tick
//       sendHeartbeat(due);
//   poller.tick(now);                                 // control thread; see statuspoller.h

#include "membership/fleet.h"
#include "membership/systems.h"

#include <mutex>
#include <optional>

namespace cicadafork {

struct FleetOptions
{
    std::string selfId;
    std::string selfDomain;
    Address callerAddress;
    Address peerAddress;
    std::string incarnation;     ///< A UUIDv7, new for every run of the process.
    Millis sendPermission{2500}; ///< Maximum age of an endpoint's status for new requests.
    Millis statusInterval{250};
    Millis heartbeatMinimum{100};
    std::size_t controlBytesPerSecond = 21'000;
    /// Assumed size of a digest until the first one was answered. With 0, a daemon that starts with
    /// 44 peers sends 440 heartbeats per second until then, and continues to do so while overload
    /// delays the answers.
    double assumedDigestBytes = 0;
};

struct HeartbeatDue
{
    std::string peerId;
    Address address;
    Digest digest;
    TimePoint builtAt;
};

/// An endpoint that this daemon coordinates. Models and role are from its last status.
struct CoordinatedEndpoint
{
    std::string id;
    Address address;
    std::string service;
    std::vector<std::string> models;
    std::string role;
};

/// Thread-safe.
class FleetTable : public Fleet
{
public:
    explicit FleetTable(FleetOptions options);

    FleetView view(const std::string &service, TimePoint now) const override;
    std::vector<PeerView> peers(TimePoint now) const override;
    bool sendPermitted(const std::string &endpointId, TimePoint now) const override;
    void noteSent(const std::string &endpointId, std::uint64_t promptTokens,
                  TimePoint now) override;
    void noteFinished(const std::string &endpointId, const AttemptObservation &observation,
                      TimePoint now) override;

    /// Call after each successful fetch only.
    void applyVmList(const VmList &list, TimePoint now);
    /// Call on every change of the configuration.
    void applyConfiguration(std::shared_ptr<const Configuration> configuration);
    void setEjected(const std::string &endpointId, bool ejected);
    /// Announces in heartbeats that this daemon is shutting down.
    void setLeaving();
    void setRequestsInProgress(std::uint32_t requests);

    std::vector<PollRequest> pollsDue(TimePoint now);
    void applyStatus(const std::string &endpointId, const EndpointStatus &status,
                     TimePoint requestedAt, TimePoint now);
    void applyStatusFailure(const std::string &endpointId);

    /// Heartbeats to send now, each with a digest built for its peer.
    std::vector<HeartbeatDue> heartbeatsDue(TimePoint now);
    /// Updates the average digest size, from which the heartbeat interval is computed.
    void noteDigestBytes(std::size_t bytes);
    Millis heartbeatInterval(TimePoint now) const;
    DigestReply applyDigest(const Digest &digest, TimePoint now);
    void applyReply(const HeartbeatDue &sent, const DigestReply &reply, TimePoint now);

    /// Whether the IP address belongs to the member; for authenticating peer connections.
    bool isKnownMember(const std::string &memberId, const std::string &ip) const;
    /// Live members of this daemon's failure domain, from which config readers and shard owners are
    /// chosen.
    std::vector<std::string> liveInOwnDomain(TimePoint now) const;
    std::string delegateOfOwnDomain(TimePoint now) const;
    bool isCoordinator(const std::string &endpointId) const;

    /// Endpoints coordinated by this daemon that have reported a status and are not leaving.
    std::vector<CoordinatedEndpoint> coordinatedEndpoints() const;
    std::optional<Address> addressOf(const std::string &endpointId) const;
    /// Names of the services that have endpoints.
    std::vector<std::string> services() const;
    /// Endpoint ids by service, sorted.
    std::map<std::string, std::vector<std::string>> endpointIds() const;

    nlohmann::json dump(TimePoint now) const;

private:
    const FleetOptions options_;
    mutable std::mutex mutex_;
    FleetState state_;
    std::shared_ptr<const Configuration> configuration_;
    std::uint64_t sequence_ = 0;
    bool leaving_ = false;
    std::uint32_t requestsInProgress_ = 0;
    double digestBytes_ = 0;
    TimePoint nextCoordinatorUpdate_{};
    TimePoint nextHeartbeatCheck_{};
};

} // namespace cicadafork
