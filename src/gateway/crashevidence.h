#pragma once

// Finds the parts of requests on which endpoints crash.
//
//   CrashEvidence evidence;
//   noteCrash(evidence, {endpoint, now, {{promptPart(0x5c1e07a2), promptPart(0x91bd3f06)}}});
//   noteCompleted(evidence, {promptPart(0x5c1e07a2)}, now);
//   if (const BlockedParts *blocked = findBlocked(evidence, parts))
//       refuse(request);
//
// The suspects of a crash are the parts of all requests that the endpoint had begun shortly before,
// or was about to begin. A whole request counts as one of its own parts. An answer that ends well
// clears its parts of the crashes before it. A part is blocked once it is suspected of several
// crashes that were not at the same time. The daemons exchange crashes and cleared parts, and each
// derives the blocked parts from all of them.

#include "base/hash.h"
#include "gateway/loadtracker.h"
#include "gateway/protocol.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cicadafork::gateway {

enum class RequestPartKind : std::uint8_t {
    Prompt, ///< A part of the prompt that other requests may share.
    Whole,  ///< All that does not change when the request is repeated.
};

/// Something in a request on which endpoints may crash.
struct RequestPart
{
    RequestPartKind kind = RequestPartKind::Prompt;
    std::uint64_t id = 0; ///< For a whole request, its digest.

    bool operator==(const RequestPart &) const = default;
    auto operator<=>(const RequestPart &other) const
    {
        return std::tie(kind, id) <=> std::tie(other.kind, other.id);
    }
};

struct RequestPartHash
{
    std::size_t operator()(const RequestPart &part) const
    {
        return mix64(part.id + static_cast<std::uint64_t>(part.kind));
    }
};

using RequestParts = std::vector<RequestPart>;

constexpr RequestPart promptPart(PromptPartId id)
{
    return {RequestPartKind::Prompt, id};
}

constexpr RequestPart wholeRequest(std::uint64_t digest)
{
    return {RequestPartKind::Whole, digest};
}

RequestParts promptParts(const std::vector<PromptPartId> &ids);

/// Hexadecimal, separated by commas; digests of whole requests follow "request:".
std::string toString(const RequestParts &parts);

/// An instance of an endpoint that has crashed.
struct EndpointCrash
{
    EndpointKey endpoint = 0;
    TimePoint at{};
    /// The shared parts of each request that may have caused it, the likeliest first.
    std::vector<RequestParts> suspects;
    TimePoint neededAt{}; ///< Last time at which a request was refused because of it.
    /// Whole requests that were sent to this endpoint after an endpoint had crashed with them
    /// shortly before, so that both crashes count.
    RequestParts sentAgain = {};
};

/// A suspect of a crash, and when it was sent to the endpoint.
struct SentSuspect
{
    RequestParts parts;
    TimePoint sentAt{};
};

/// Requests that have all of these parts are refused.
struct BlockedParts
{
    RequestParts parts; ///< More than one only while nothing tells them apart.
    unsigned crashes = 0;

    bool operator==(const BlockedParts &other) const { return parts == other.parts; }
};

/// The last times at which answers on parts ended well; forgets the oldest parts.
struct ClearedParts
{
    std::unordered_map<RequestPart, TimePoint, RequestPartHash> recent;
    std::unordered_map<RequestPart, TimePoint, RequestPartHash> older;
};

struct CrashEvidence
{
    std::vector<EndpointCrash> crashes; ///< In the order of their times.
    ClearedParts cleared;
    std::vector<BlockedParts> blocked;
    /// Whole requests that several endpoints crashed with, perhaps at the same time, which is not
    /// enough to block them. They may be sent by one daemon, once at a time.
    RequestParts onTrial;
};

/// How long a crash is remembered after the last request with a part that is blocked for it.
inline constexpr Millis kCrashLifetime{600'000};

/// Limits of an EndpointCrash, also in messages of peers.
inline constexpr std::size_t kMaxCrashSuspects = 32;
inline constexpr std::size_t kMaxSuspectParts = 128;

/// Whole requests of the suspects that were sent after a known crash of which they are suspected
/// too, shortly before a crash at the given time.
RequestParts sentAgain(const CrashEvidence &evidence, const std::vector<SentSuspect> &suspects,
                       TimePoint crash);

/// Number of crashes that count against a whole request which no answer has cleared since.
unsigned crashesOf(const CrashEvidence &evidence, const RequestParts &parts);

/// Adds a crash, or further suspects of a known one, and decides anew what is blocked.
void noteCrash(CrashEvidence &evidence, EndpointCrash crash);

/// An answer on these parts has ended well. Returns those that were suspected until then, which
/// peers must learn.
RequestParts noteCompleted(CrashEvidence &evidence, const RequestParts &parts, TimePoint at);

/// The blocked parts that a request with these parts has, or null.
const BlockedParts *findBlocked(const CrashEvidence &evidence, const RequestParts &parts);

/// The part of a request with these parts that is on trial, or null.
const RequestPart *findOnTrial(const CrashEvidence &evidence, const RequestParts &parts);

/// A request was refused because of the blocked parts: keeps them blocked for longer.
void keepBlocked(CrashEvidence &evidence, const BlockedParts &blocked, TimePoint now);

/// Forgets crashes whose parts no request has had for a long time.
void expireCrashes(CrashEvidence &evidence, TimePoint now);

/// The known crashes for which the parts are blocked.
std::vector<EndpointCrash> crashesExplainedBy(const CrashEvidence &evidence,
                                              const BlockedParts &blocked);

/// The crashes that peers must know: those that explain what is blocked, reduced to the blocked
/// parts, and all of the last seconds.
std::vector<EndpointCrash> crashesToRepeat(const CrashEvidence &evidence, TimePoint now);

} // namespace cicadafork::gateway
