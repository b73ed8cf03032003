#pragma once

// Rows of members and endpoints. They are written only by the functions of systems.h.

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
    bool listed = false; ///< In the newest VM list.
    bool listLeaving = false;
    bool leaving = false; ///< By its own digest.
    std::string incarnation;
    std::uint64_t sequence = 0;
    bool heard = false;
    TimePoint lastHeartbeat{};
    Millis life{300}; ///< Without a heartbeat for longer than this, the member is suspected.
    Offset configOffset = 0;
    std::uint32_t requestsInProgress = 0;
    // Clock of the peer in its last reply, echoed to it.
    std::string echoIncarnation;
    Millis echoClock{0};
    TimePoint echoReceived{};
    TimePoint lastSent{};
    TimePoint acknowledged{};    ///< The peer has what was known before this time.
    std::uint64_t digests = 0;   ///< Sent to this peer.
    std::string relayedEndpoint; ///< Last one passed on to this peer; the next digest goes on here.
    std::string relayedMember;   ///< The same for members.
};

struct SentRecord
{
    TimePoint at;
    std::uint64_t tokens = 0;
};

struct PeerSent
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
    TimePoint reportAt{};    ///< When the newest status was requested; never later than its truth.
    TimePoint updatedAt{};   ///< When this process took over the status.
    bool polledHere = false; ///< The status was requested by this process.
    std::uint64_t detailsHash = 0; ///< Of the status, see detailsHash().
    TimePoint detailsAt{};         ///< When it changed, or when this process began to report it.
    bool statusLeaving = false;
    TimePoint leavingSeen{};
    std::string coordinator;
    std::string backup; ///< Asks when the coordinator's reports stay away.
    TimePoint lastPoll{};
    bool polling = false;
    std::deque<SentRecord> sent; ///< Own unfinished requests since reportAt.
    std::uint32_t ownOutstanding = 0;
    std::map<std::string, PeerSent> peerSent;
    double prefillTokensPerSecond = 0;
    double slowFactor = 1;
    TimePoint slowObserved{};
};

using MemberTable = Table<std::string, MemberRow>;
using EndpointTable = Table<std::string, EndpointRow>;

inline constexpr std::size_t kMaxMembers = 1024;
inline constexpr std::size_t kMaxEndpoints = 4096;

struct FleetTables
{
    MemberTable members{kMaxMembers};
    EndpointTable endpoints{kMaxEndpoints};
    std::uint64_t listVersion = 0;
    TimePoint listAccepted{};
    // Live members by domain for which the coordinators were computed.
    std::map<std::string, std::vector<std::string>> coordinatorsFor;
};

} // namespace cicadafork
