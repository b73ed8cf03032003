#pragma once

// Exchanges load, endpoint and configuration updates with the other gateway daemons over UDP.
//
//   Mesh mesh(context, options, loadTracker, hooks);
//   mesh.start();
//   mesh.placed(job);        // sent at once
//   mesh.ended(job.id);      // sent within a few milliseconds, together with others
//
// Each message is a single datagram. A remote failure domain with many members gets one copy, which
// the receiver relays within its domain. In a large fleet a job is announced only to the failure
// domains of its daemon and of its endpoints; the others get the load of each endpoint at intervals
// (sendLoads()). Members are discovered through the seeds, through the
// platform's store (addPeer()) and through each other's heartbeats.

#include "gateway/confighistory.h"
#include "gateway/crashevidence.h"
#include "gateway/departedendpoints.h"
#include "gateway/endpointlimits.h"
#include "gateway/evacuations.h"
#include "gateway/loadtracker.h"
#include "gateway/storeera.h"
#include "http/address.h"
#include "overload/demand.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadafork::gateway {

struct MeshOptions
{
    std::string name;
    std::string ip;
    std::string failureDomain;
    std::uint64_t incarnation = 0;
    std::uint16_t port = 0; ///< Same for all members.
    std::vector<std::string> seedIps;
    Millis heartbeatInterval{400};       ///< Between full lists of jobs; the minimum.
    Millis heartbeatIntervalPerPeer{10}; ///< Times the number of peers: another minimum.
    Millis batchDelay{4};                ///< Batching delay of started() and ended().
    Millis failureTimeout{1300};         ///< A peer not heard for this long has failed,
    int minMissedHeartbeats = 3;         ///< but only after missing this many heartbeats.
    /// A remote failure domain with more peers gets one copy of a message, which is relayed there.
    std::size_t maxDirectPeersPerDomain = 5;
    /// In a fleet with more daemons, jobs are announced only where they matter: with a datagram for
    /// each job at each daemon, the cost of a daemon would grow with the load of the whole fleet.
    std::size_t maxDaemonsWithGlobalJobs = 128;
    Millis removeAfter{30'000}; ///< A peer not heard for this long is forgotten.
    std::size_t maxPeers = 1024;
};

struct PeerInfo
{
    std::string name;
    std::string ip;
    std::string failureDomain;
    std::uint64_t incarnation = 0;
    std::uint64_t configVersion = 0;
    StorePosition endpointsPosition;
    std::uint64_t endpointsDigest = 0;
    /// What the peer knows is not the state of the store at that position, but its changes are.
    bool endpointsIncomplete = false;
    std::uint64_t storeEra = 0; ///< The newest that the peer knows.
    TimePoint lastHeard{};
    bool heard = false;
    bool returned = false; ///< Had failed before it was last heard.
    bool alive = false;
    bool leaving = false;
    bool storeLost = false;                        ///< Gets no answers from the store.
    std::set<std::string> servicesOutOfReach = {}; ///< It can connect to none of their endpoints.
};

/// The status of the sender; part of every datagram.
struct MeshStatus
{
    std::uint64_t configVersion = 0;
    StorePosition endpointsPosition;
    std::uint64_t endpointsDigest = 0;
    bool endpointsIncomplete = false;
    std::uint64_t storeEra = 0;
    bool leaving = false;
    bool storeLost = false;
    std::vector<std::string> servicesOutOfReach = {};
    std::vector<overload::ServiceDemand> demands = {}; ///< What waits at this daemon.
};

/// Load of an endpoint, for daemons that are not told of all its jobs.
struct ReportedLoad
{
    EndpointKey endpoint = 0;
    EndpointLoad load;
};

/// A change of an endpoint: its new record, or none when it was removed.
struct EndpointUpdate
{
    std::string id;
    std::optional<EndpointRecord> record;
    EndpointVersion last = {}; ///< The last record of a removed endpoint.
    Millis goneFor{0};         ///< Time since it was removed.
};

struct MeshHooks
{
    std::function<MeshStatus()> status;
    /// The load of endpoints changed.
    std::function<void()> loadChanged;
    /// A peer named a job that belongs to a workspace; full lists name the same jobs again.
    std::function<void(const Job &)> workspaceJobReceived = [](const Job &) {};
    /// A peer was discovered, failed, came back, or changed its leaving or storeLost status.
    std::function<void(const PeerInfo &)> peerChanged;
    /// Called for every valid datagram of a peer, after its contents have been applied.
    std::function<void(const PeerInfo &)> messageReceived;
    /// A peer sent endpoint updates that it read from the store.
    std::function<void(const PeerInfo &, const std::vector<EndpointUpdate> &)>
            endpointUpdatesReceived;
    /// The endpoints that leave as far as this daemon knows; repeated in heartbeats.
    std::function<std::vector<EndpointKey>()> leavingEndpoints;
    /// A peer sent endpoints that leave.
    std::function<void(const std::vector<EndpointKey> &)> leavingEndpointsReceived;
    /// The evacuations that this daemon knows; repeated in heartbeats.
    std::function<Evacuations()> evacuations;
    /// A peer sent the evacuations that it knows.
    std::function<void(const std::vector<Evacuation> &)> evacuationsReceived;
    /// The crashes of endpoints that peers must know; repeated in heartbeats.
    std::function<std::vector<EndpointCrash>()> crashesToRepeat;
    /// A peer sent a crash that it noticed or heard of.
    std::function<void(const EndpointCrash &)> crashReceived;
    /// A peer sent parts of prompts on which an answer has ended well at the given time.
    std::function<void(const RequestParts &, TimePoint)> clearedPartsReceived;
    /// The limits that endpoints have stated; repeated in heartbeats.
    std::function<std::vector<EndpointLimit>()> limits;
    /// A peer sent a limit that it knows.
    std::function<void(const EndpointLimit &)> limitReceived;
    /// All that waits at a daemon, given by its incarnation.
    std::function<void(std::uint64_t, std::vector<overload::ServiceDemand>)> demandsReceived;
    /// A peer sent a change of the configuration that it read from the store.
    std::function<void(const PeerInfo &, const ConfigChange &)> configChangeReceived;
    /// No peer was heard for the isolation timeout, so this daemon may be cut off from all of
    /// them. Called again at every heartbeat.
    std::function<void()> isolated;
};

struct MeshCounters
{
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t malformed = 0;
};

/// Index of the member that relays a daemon's next message within a remote failure domain. Another
/// one each round, so that a failed relay loses few messages. Daemons that start together send in
/// the same rounds, so each begins with another member.
std::size_t relayIndex(std::uint64_t incarnation, unsigned round, std::size_t members);

class Mesh
{
public:
    Mesh(asio::io_context &context, MeshOptions options, LoadTracker &loadTracker, MeshHooks hooks);

    /// Fails with Unavailable when the port cannot be bound.
    Result<void> start();
    void stop();

    /// Adds a member that the platform's store lists; known addresses are ignored.
    void addPeer(const std::string &name, const std::string &ip);

    /// Sent at once. In a large fleet only the own and the given failure domains get it, and later
    /// its start and end.
    void placed(const Job &job, const std::set<std::string> &failureDomains = {});
    void started(const JobId &id); ///< Sent with the next batch, as is ended().
    void ended(const JobId &id);
    /// Sends the other failure domains the load of endpoints of the own one.
    void sendLoads(const std::vector<ReportedLoad> &loads);
    /// False in a large fleet, in which daemons hear only of the jobs that concern their domain.
    bool announcesJobsGlobally() const;
    /// Sends all peers the endpoint updates read from the store.
    void sendEndpointUpdates(const std::vector<EndpointUpdate> &updates);
    /// Tells all peers of endpoints that have said that they leave.
    void sendEvacuations();
    void sendLeavingEndpoints(const std::vector<EndpointKey> &endpoints);
    /// Tells all peers of an endpoint that has crashed.
    void sendCrash(const EndpointCrash &crash);
    /// Tells all peers of parts of prompts on which an answer has ended well.
    void sendClearedParts(const RequestParts &parts);
    /// Tells all peers of a limit that an endpoint has stated, or that it states none any more.
    void sendLimit(const EndpointLimit &limit);
    /// Sends all peers a change of the configuration. If it does not fit a datagram, only the new
    /// version number is sent, and the peers pull the change.
    void sendConfigChange(const ConfigChange &change);
    /// Tells the peers what waits here. In a large fleet only the own failure domain is told.
    void sendDemands();
    /// Sends a heartbeat to all peers now, for example after a status change.
    void sendStatus();

    const std::map<std::string, PeerInfo> &peers() const { return peers_; }
    std::size_t alivePeerCount() const;
    /// Of the own failure domain only.
    std::size_t aliveDomainPeerCount() const;
    /// True for another failure domain whose known peers, not counting leaving ones, have all
    /// failed.
    bool seemsCutOff(const std::string &failureDomain) const;
    const MeshCounters &counters() const { return counters_; }

private:
    /// The failure domains that get a message.
    struct Recipients
    {
        bool own = true;
        bool allRemote = true;
        std::set<std::string> remote = {}; ///< Those that get it if not all do.
    };
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
    /// Sends the status and the full list of this daemon's jobs to all peers.
    void sendHeartbeatToPeers();
    /// Sends the given jobs as the full list, in one or more datagrams; send gets each.
    template <class Send>
    void sendJobList(std::vector<Job> jobs, bool wantsReply, Send send);
    /// Some of the leaving endpoints; successive heartbeats go through all of them.
    std::vector<EndpointKey> leavingForHeartbeat() const;
    /// Likewise for the crashes that peers must know.
    std::vector<EndpointCrash> crashesForHeartbeat() const;
    std::vector<EndpointLimit> limitsForHeartbeat() const;
    void sendJobsTo(const std::string &ip, bool wantsReply);
    Recipients recipientsOf(const Batch &batch) const;
    void send(std::string_view message, const std::string &ip);
    void sendToPeers(std::string &message, const Recipients &recipients);
    /// Sends the peers a datagram with the status and the contents that fill adds.
    template <class Fill>
    void sendWithStatus(const Recipients &recipients, Fill fill);
    void sendToFailedPeers(const std::string &message);
    void relay(std::uint8_t *data, std::size_t size, const std::string &origin);
    void detectFailedPeers(TimePoint now);
    Millis heartbeatInterval() const;
    Millis failureTimeout() const;
    /// After this time without any datagram from any peer, this daemon may be cut off.
    Millis isolationTimeout() const;
    PeerInfo *peer(const std::string &name, const std::string &ip);

    MeshOptions options_;
    LoadTracker &loadTracker_;
    MeshHooks hooks_;
    asio::ip::udp::socket socket_;
    asio::steady_timer heartbeatTimer_;
    asio::steady_timer batchTimer_;
    std::map<std::string, PeerInfo> peers_; ///< By IP address; names can move between addresses.
    Batch batch_;
    /// Remote failure domains that are told of an own job, by its number.
    std::unordered_map<std::uint32_t, std::set<std::string>> remoteDomains_;
    bool batchArmed_ = false;
    std::uint32_t newestJob_ = 0;
    unsigned heartbeatsSent_ = 0;
    Millis lastInterval_; ///< Heartbeat interval at the last heartbeat.
    unsigned relayRound_ = 0;
    TimePoint lastHeard_{};     ///< Of any peer.
    TimePoint lastDetection_{}; ///< Last call of detectFailedPeers().
    MeshCounters counters_;
};

} // namespace cicadafork::gateway
