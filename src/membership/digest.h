#pragma once

// What daemons tell one another in heartbeats, as plain values.
//
// Ages are relative to the moment of sending. The receiver adds an upper bound of the transit time,
// which it derives from its own clock value that the sender echoes: a heartbeat that was held up on
// the way must not make an old status look fresh.

#include "base/clock.h"
#include "logservice/logclient.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadafork {

/// One answer of an endpoint to GET /v1/status.
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
    std::int64_t reportedAtMs = 0; ///< By the endpoint's clock; only compared with itself.
};

struct EndpointReport
{
    std::string endpointId;
    Millis age{0}; ///< Since the report was requested, at the time of sending.
    EndpointStatus status;
    /// The status lacks what rarely changes (see detailsHash()); the receiver knows it by its hash.
    bool brief = false;
    std::uint64_t detailsHash = 0;
};

/// Requests that a daemon sent to an endpoint since the report it knows, not yet finished.
struct SentLoad
{
    std::string endpointId;
    std::uint32_t requests = 0;
    std::uint64_t tokens = 0;
};

/// What a delegate knows of a member that the receiver may not hear itself.
struct MemberSummary
{
    std::string id;
    std::string incarnation;
    Millis age{0}; ///< Since its last heartbeat, at the time of sending.
    bool leaving = false;
    Offset configOffset = 0;
};

struct Digest
{
    std::string memberId;
    std::string incarnation;
    std::uint64_t sequence = 0; ///< Increases with every digest of an incarnation.
    bool leaving = false;
    Millis interval{100}; ///< Until the next heartbeat.
    Offset configOffset = 0;
    std::uint32_t requestsInProgress = 0;
    std::string echoIncarnation; ///< Receiver's incarnation when it sent echoClock.
    Millis echoClock{0};         ///< Receiver's clock value in its last reply; 0: none.
    Millis echoAge{0};           ///< Since that reply arrived.
    std::vector<EndpointReport> reports;
    std::vector<SentLoad> sent;
    std::vector<MemberSummary> members;
};

struct DigestReply
{
    std::string incarnation;
    Millis clock{0}; ///< The receiver's steady clock, echoed in the next digest.
    Offset configOffset = 0;
};

} // namespace cicadafork
