#pragma once

// The fleet as this daemon knows it: one mutex around the tables and the systems over them.
//
//   FleetTable fleet({.selfId = "entry-1", ...});
//   fleet.applyVmList(list, now);                     // VM list thread
//   for (auto &due : fleet.heartbeatsDue(now))        // control thread, each tick
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
    std::string incarnation; ///< A UUIDv7, new for every run of the process.
    Millis sendPermission{2500};
    Millis statusInterval{250};
    Millis heartbeatMinimum{100};
    std::size_t controlBytesPerSecond = 21'000;
    /// Size of a digest until one was answered. With 0, a daemon that starts among 44 peers sends
    /// 440 heartbeats per second until then, and goes on with it where overload delays the answers.
    double assumedDigestBytes = 0;
};

struct HeartbeatDue
{
    std::string peerId;
    Address address;
    Digest digest;
    TimePoint builtAt;
};

/// An endpoint that this daemon coordinates, with what it reported last.
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

    /// Call with every list that was fetched, never for a failed fetch.
    void applyVmList(const VmList &list, TimePoint now);
    /// Call on every change of the configuration.
    void applyConfiguration(std::shared_ptr<const Configuration> configuration);
    void setEjected(const std::string &endpointId, bool ejected);
    /// Announces in heartbeats that this daemon is shutting down.
    void setLeaving();
    void setRequestsInProgress(std::uint32_t requests);

    std::vector<PollRequest> pollsDue(TimePoint now);
    void applyStatus(const std::string &endpointId, const EndpointStatus &status,
                     TimePoint requested, TimePoint now);
    void applyStatusFailure(const std::string &endpointId);

    /// Heartbeats to send now. The digest is built anew for each peer.
    std::vector<HeartbeatDue> heartbeatsDue(TimePoint now);
    /// Size of a sent digest; sets the heartbeat interval.
    void noteDigestBytes(std::size_t bytes);
    Millis heartbeatInterval(TimePoint now) const;
    DigestReply applyDigest(const Digest &digest, TimePoint now);
    void applyReply(const HeartbeatDue &sent, const DigestReply &reply, TimePoint now);

    /// Whether a connection from this IP address may speak for the member.
    bool isKnownMember(const std::string &memberId, const std::string &ip) const;
    /// Live members of the own failure domain, for config readers and shard owners.
    std::vector<std::string> liveInOwnDomain(TimePoint now) const;
    std::string delegateOfOwnDomain(TimePoint now) const;
    bool isCoordinator(const std::string &endpointId) const;

    /// Endpoints of the own coordination that have reported and are not leaving.
    std::vector<CoordinatedEndpoint> coordinatedEndpoints() const;
    std::optional<Address> addressOf(const std::string &endpointId) const;
    /// Names of the services that have endpoints.
    std::vector<std::string> services() const;
    /// Ids of the endpoints by service, each in ascending order.
    std::map<std::string, std::vector<std::string>> endpointIds() const;

    nlohmann::json dump(TimePoint now) const;

private:
    const FleetOptions options_;
    mutable std::mutex mutex_;
    FleetTables tables_;
    std::shared_ptr<const Configuration> configuration_;
    std::uint64_t sequence_ = 0;
    bool leaving_ = false;
    std::uint32_t requestsInProgress_ = 0;
    double digestBytes_ = 0;
    TimePoint nextCoordinatorUpdate_{};
    TimePoint nextHeartbeatCheck_{};
};

} // namespace cicadafork
