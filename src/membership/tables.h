#pragma once

// State of the known members and endpoints. It is modified by FleetTable and systems.h only.

#include "base/table.h"
#include "http/address.h"
#include "membership/digest.h"

#include <deque>
#include <map>

namespace cicadafork {

struct MemberRow
{
    std::string id;
    std::string domain;
    Address callerAddress;
    Address peerAddress;
    bool self = false;
    bool listed = false;      ///< In the newest VM list.
    bool listLeaving = false; ///< Leaving according to the VM list.
    bool leaving = false;     ///< Leaving according to its own digest.
    std::string incarnation;
    std::uint64_t sequence = 0;
    bool heartbeatReceived = false;
    TimePoint lastHeartbeat{};
    Millis heartbeatTimeout{300}; ///< Not alive without a heartbeat for longer than this.
    Offset configOffset = 0;
    std::uint32_t requestsInProgress = 0;
    // From the peer's last reply, echoed to it in the next digest.
    std::string echoIncarnation;
    Millis echoClock{0};
    TimePoint echoReceived{};
    TimePoint lastSent{};
    TimePoint acknowledgedUntil{}; ///< The peer has all statuses received before this time.
    std::uint64_t digestsSent = 0;
    // Last ids relayed to this peer; the next digest continues after them.
    std::string lastRelayedEndpoint;
    std::string lastRelayedMember;
};

/// A request that the newest status of the endpoint may not include.
struct UnreportedRequest
{
    TimePoint at;
    std::uint64_t tokens = 0;
};

/// Requests that a peer sent to the endpoint, from its digest.
struct PeerLoad
{
    std::uint32_t requests = 0;
    std::uint64_t tokens = 0;
    TimePoint at;
};

struct EndpointRow
{
    std::string id;
    Address address;
    std::string domain;
    std::string service;
    bool listed = false;
    bool listLeaving = false;
    bool drained = false; ///< By an operator's order.
    bool ejected = false;
    bool reported = false;
    EndpointStatus status;
    TimePoint reportAt{};       ///< When the newest status was requested, or a lower bound of it.
    TimePoint updatedAt{};      ///< When this process applied the status.
    bool polledLocally = false; ///< The status was requested by this process.
    std::uint64_t detailsHash = 0; ///< See detailsHash().
    TimePoint detailsChangedAt{}; ///< When detailsHash changed, or when this process began to poll.
    bool statusLeaving = false;
    TimePoint leavingReceivedAt{};
    std::string coordinator;
    std::string backup; ///< Polls when there are no recent reports from the coordinator.
    TimePoint lastPoll{};
    bool polling = false;
    std::deque<UnreportedRequest> unreported; ///< Own unfinished requests sent after reportAt.
    std::uint32_t ownOutstanding = 0;
    std::map<std::string, PeerLoad> peerUnreported;
    double prefillTokensPerSecond = 0;
    double slowFactor = 1;
    TimePoint slowFactorUpdatedAt{};
};

using MemberTable = Table<std::string, MemberRow>;
using EndpointTable = Table<std::string, EndpointRow>;

inline constexpr std::size_t kMaxMembers = 1024;
inline constexpr std::size_t kMaxEndpoints = 4096;

struct FleetState
{
    MemberTable members{kMaxMembers};
    EndpointTable endpoints{kMaxEndpoints};
    std::uint64_t listVersion = 0;
    TimePoint listAcceptedAt{};
    // Live members by domain from which the coordinators were computed.
    std::map<std::string, std::vector<std::string>> coordinatorCandidates;
};

} // namespace cicadafork
