#pragma once

// Heartbeat messages between daemons.
//
// Ages are relative to the time of sending. The receiver adds an upper bound of the transit time,
// computed from its own clock value that the sender echoes, so that a heartbeat that was delayed in
// transit does not make an old status look fresh.

#include "base/clock.h"
#include "logservice/logclient.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadafork {

/// An endpoint's response to GET /v1/status.
struct EndpointStatus
{
    std::string incarnation;
    bool leaving = false;
    std::string role;
    std::vector<std::string> models;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t waitingTokens = 0; ///< Prompt tokens not yet prefilled.
    std::uint64_t kvUsedTokens = 0;
    std::uint64_t kvCapacityTokens = 0;
    std::int64_t reportedAtMs = 0; ///< By the endpoint's clock; not comparable with other clocks.
};

struct EndpointReport
{
    std::string endpointId;
    Millis age{0}; ///< Time since the status was requested, at the time of sending.
    EndpointStatus status;
    /// The status lacks the fields covered by detailsHash. The receiver uses the ones that it knows
    /// if they have the same hash.
    bool brief = false;
    std::uint64_t detailsHash = 0; ///< See detailsHash() in systems.h.
};

/// Unfinished requests that a daemon sent to an endpoint after the newest report it has from it.
struct SentLoad
{
    std::string endpointId;
    std::uint32_t requests = 0;
    std::uint64_t tokens = 0;
};

/// State of a member, relayed by a delegate to daemons that get no heartbeats from that member.
struct MemberSummary
{
    std::string id;
    std::string incarnation;
    Millis age{0}; ///< Time since its last heartbeat, at the time of sending.
    bool leaving = false;
    Offset configOffset = 0;
};

struct Digest
{
    std::string memberId;
    std::string incarnation;
    std::uint64_t sequence = 0; ///< Increases with every digest of an incarnation.
    bool leaving = false;
    Millis interval{100}; ///< Time until the next heartbeat.
    Offset configOffset = 0;
    std::uint32_t requestsInProgress = 0;
    std::string echoIncarnation; ///< Receiver's incarnation when it sent echoClock.
    Millis echoClock{0};         ///< Receiver's clock value in its last reply; 0 if none.
    Millis echoAge{0};           ///< Time since that reply arrived.
    std::vector<EndpointReport> reports;
    std::vector<SentLoad> sent;
    std::vector<MemberSummary> members;
};

struct DigestReply
{
    std::string incarnation;
    Millis clock{0}; ///< The replying daemon's steady clock, echoed to it in the next digest.
    Offset configOffset = 0;
};

} // namespace cicadafork
