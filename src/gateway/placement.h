#pragma once

// Chooses the endpoints that read and write a request.
//
//   Placement placement = placeStream(request, engine, endpoints);
//   if (placement.outcome == PlacementOutcome::Send)
//       send(placement.head, placement.helpers);
//
// An engine works in passes: it writes a stride of tokens for every stream and, between these
// steps, reads prompts. A long read therefore stretches the pass, and every stream of that engine
// pauses. Two rules follow: an endpoint takes a read only if its expected pass stays under the
// pause that the streams on it tolerate, and short prompts are packed on few endpoints, so that
// others stay free of impatient streams. A long prompt is divided among as few readers as meet its
// objective.

#include "gateway/loadtracker.h"

#include <span>
#include <string>

namespace cicadafork::gateway {

/// What is known of one endpoint at the moment of the decision.
struct EndpointView
{
    EndpointKey key = 0;
    EndpointLoad load;
    unsigned slots = 1;
    double slowdown = 1;      ///< Observed time over expected time; above 1 it is slow.
    bool usable = true;       ///< Not draining, not suspended, not tried by this request before.
    bool inOwnDomain = false; ///< In the failure domain of this daemon.
    double tieBreaker
            = 0; ///< From 0 to 0.5, different at each daemon, so that equals are chosen apart.
};

struct PlacementRequest
{
    std::uint64_t promptTokens = 0;
    std::uint64_t answerTokens = 0;
    Millis maxEventGap{1000};
    FloatMillis untilObjective{0}; ///< Time left for a first event that counts as on time.
    FloatMillis untilDeadline{0};
};

enum class PlacementOutcome {
    Send,
    Wait,   ///< No endpoint can take it now without harm; one may when other work ends.
    Reject, ///< No endpoint can serve it, or none can within its deadline.
};

struct Placement
{
    PlacementOutcome outcome = PlacementOutcome::Wait;
    EndpointKey head = 0;
    std::vector<EndpointKey> helpers;    ///< Those that hold memory come first.
    unsigned holders = 0;                ///< How many of the helpers hold memory.
    std::uint64_t kvTokensPerHolder = 0; ///< Memory that the head and each holder give.
    FloatMillis prefillTime{0};          ///< Reading time of each part.
    FloatMillis firstEvent{0};           ///< Expected time to the first event.
    bool onTime = false;
    const char *reason = "";
};

/// Time to read a whole prompt on an idle endpoint.
FloatMillis prefillTime(const EngineModel &engine, std::uint64_t promptTokens);
/// Time of a pass that only writes.
FloatMillis decodePassTime(const EngineModel &engine, unsigned decodingSequences,
                           std::uint64_t contextTokens);
/// Time to write an answer among the given writers.
FloatMillis decodeTime(const EngineModel &engine, std::uint64_t answerTokens,
                       unsigned decodingSequences, std::uint64_t contextTokens);

Placement placeStream(const PlacementRequest &request, const EngineModel &engine,
                      std::span<const EndpointView> endpoints);

/// The read is long enough to compete for readers with others.
bool isLongPrefill(const EngineModel &engine, std::uint64_t promptTokens);

/// Mean time that the endpoints will still read what they have: about then, a long prompt that
/// finds no readers now may find some.
FloatMillis meanBacklog(std::span<const EndpointView> endpoints);

/// Why endpoints could not take a part of a request that waits, at the largest number of readers.
struct WaitReasons
{
    unsigned endpoints = 0;
    unsigned unusable = 0; ///< Suspended, cut off, or helping as many as it can.
    unsigned slack = 0;    ///< A read that would be overtaken would be late.
    unsigned gap = 0;      ///< Streams there would pause too long.
    unsigned heads = 0;    ///< Of the rest, those that could receive the request itself.
};

WaitReasons explainWait(const PlacementRequest &request, const EngineModel &engine,
                        std::span<const EndpointView> endpoints);

/// For services without an engine model: the endpoint with the least work for its slots. Wait when
/// every endpoint has its slots and a short queue taken. The tie breaker differs between daemons.
Placement placeCall(std::span<const EndpointView> endpoints, std::uint64_t tieBreaker);

} // namespace cicadafork::gateway
