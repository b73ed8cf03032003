#pragma once

// Chooses the endpoints that prefill and decode a request.
//
//   Placement placement = placeStream(request, engine, endpoints);
//   if (placement.outcome == PlacementOutcome::Send)
//       send(placement.head, placement.helpers);
//
// An engine works in passes: it decodes a stride of tokens for every stream and prefills prompts in
// between. A long prefill therefore lengthens the pass and delays the next events of every stream
// of that engine. Two rules follow: an endpoint gets a prefill only if its expected pass stays
// below the shortest event gap of its streams, and streams with short event gaps are packed on few
// endpoints, so that the others can take long prefills.
//
// A long prompt is split among several endpoints, as few as meet its objective: the head, which
// receives the request and decodes the answer, and helpers, which prefill a part each. If the
// prompt does not fit the KV memory of one endpoint, some of the helpers, the holders, also keep a
// share of its KV cache.

#include "gateway/loadtracker.h"

#include <optional>
#include <span>
#include <string>

namespace cicadafork::gateway {

/// State of one endpoint at the time of the decision.
struct EndpointView
{
    EndpointKey key = 0;
    EndpointLoad load;
    unsigned slots = 1;
    double slowdown = 1;      ///< Observed time divided by expected time.
    bool usable = true;       ///< False while suspended, unreachable or failing too often.
    bool inOwnDomain = false; ///< In the failure domain of this daemon.
    bool receives = true;     ///< False if it may only help, since no request may be sent to it.
    /// From 0 to 0.5. Differs between daemons, so that they choose different endpoints of equal
    /// rank.
    double tieBreaker = 0;
};

struct PlacementRequest
{
    std::uint64_t promptTokens = 0;
    std::uint64_t answerTokens = 0;
    Millis maxEventGap{1000};
    Millis objective{0};           ///< From the arrival to the first event.
    FloatMillis untilObjective{0}; ///< Time left until the first event is late; can be negative.
    FloatMillis untilDeadline{0};
    /// Time left until the caller leaves if it has no event by then.
    FloatMillis untilCallerLeaves = FloatMillis::max();
};

enum class PlacementOutcome {
    Send,
    Wait, ///< No endpoint can take it now without delaying others; try again later.
    /// Cannot be served by its deadline, or only late while too few endpoints are idle. It may
    /// still book endpoints.
    Reject,
};

struct Placement
{
    PlacementOutcome outcome = PlacementOutcome::Wait;
    EndpointKey head = 0;
    std::vector<EndpointKey> helpers;    ///< Holders come first.
    unsigned holders = 0;                ///< Number of helpers that hold a share of the KV cache.
    std::uint64_t kvTokensPerHolder = 0; ///< KV memory at the head and at each holder.
    FloatMillis prefillTime{0};          ///< Of each part.
    FloatMillis firstEvent{0};           ///< Expected time to the first event.
    bool onTime = false;                 ///< The first event is expected within the objective.
    const char *reason = "";
    /// Expected saving at the head, which holds a prefix of the prompt; not part of firstEvent.
    FloatMillis prefixSaving{0};
    std::uint64_t prefixTokens = 0; ///< Expected to be saved.
    unsigned waitingElsewhere = 0;  ///< Requests for the service that waited at other daemons.
};

/// Time to prefill a whole prompt on one idle endpoint.
FloatMillis prefillTime(const EngineModel &engine, std::uint64_t promptTokens);
/// Time of a pass without prefill.
FloatMillis decodePassTime(const EngineModel &engine, unsigned decodingSequences,
                           std::uint64_t contextTokens);
/// Time to decode an answer in a batch of the given size.
FloatMillis decodeTime(const EngineModel &engine, std::uint64_t answerTokens,
                       unsigned decodingSequences, std::uint64_t contextTokens);

/// True unless the first event would be late even on idle endpoints.
bool canBeOnTime(const PlacementRequest &request, const EngineModel &engine);

Placement placeStream(const PlacementRequest &request, const EngineModel &engine,
                      std::span<const EndpointView> endpoints);

/// The same, but uses endpoints of other failure domains only if those of the own one cannot serve
/// the request on time.
Placement placeStreamInDomainFirst(const PlacementRequest &request, const EngineModel &engine,
                                   std::span<const EndpointView> endpoints);

/// Longest time for which endpoints are kept free for a prompt while they finish other work.
inline constexpr Millis kMaxBookingWait{3000};

/// The endpoints that are to be kept free for a prompt which finds none: the first ones that will
/// be without other work, as few as meet the deadline. Load: long prompts without room for all, of
/// which smaller ones take each endpoint that becomes free. The outcome is Send, for the time when
/// isClear() holds, from which firstEvent counts. Absent if the prompt is small for its objective,
/// can still be on time, or could not be served by its deadline.
std::optional<Placement> bookEndpoints(const PlacementRequest &request, const EngineModel &engine,
                                       std::span<const EndpointView> endpoints);

/// One job for each booked endpoint, by which all daemons keep it free. Separate jobs, as the parts
/// of one count as running before the other work of their endpoints. Takes numbers from nextJob.
std::vector<Job> bookingJobs(const Placement &booking, const PlacementRequest &request,
                             std::uint64_t owner, std::uint32_t &nextJob, TimePoint now);

/// True if the booked endpoints have no work left that the parts of the prompt would delay. The
/// views are without the booking itself.
bool isClear(const PlacementRequest &request, const EngineModel &engine, const Placement &booking,
             std::span<const EndpointView> endpoints);

/// Expected time to the first event if `to` replaces `from` as the head of the placement, which
/// must not divide the prompt. Absent if the rules of placement forbid it: those for every
/// endpoint, the time limit that the placement keeps, and the preferences that separate groups of
/// endpoints (own failure domain, streams with short event gaps packed together and away from other
/// prefills, a spare slot).
std::optional<FloatMillis> firstEventIfHead(const PlacementRequest &request,
                                            const EngineModel &engine, const Placement &placement,
                                            const EndpointView &from, const EndpointView &to);

/// The prefill is so long that it occupies endpoints which other long prompts need.
bool isLongPrefill(const EngineModel &engine, std::uint64_t promptTokens);

/// Mean time until the endpoints have finished their pending prefills. A long prompt that cannot be
/// placed now may find endpoints after about this time.
FloatMillis meanBacklog(std::span<const EndpointView> endpoints);

/// Number of endpoints that cannot take a part of a waiting request, by the first reason found, if
/// its prefill is split among the maximum number of endpoints.
struct WaitReasons
{
    unsigned endpoints = 0;
    unsigned unusable = 0; ///< Not usable, or running as many helper prefills as it has slots.
    unsigned slack = 0;    ///< A pending prefill would become late.
    unsigned gap = 0;      ///< A stream there would exceed its event gap.
    unsigned heads = 0;    ///< Of the others, those that could be the head.
};

WaitReasons explainWait(const PlacementRequest &request, const EngineModel &engine,
                        std::span<const EndpointView> endpoints);

/// Calls that a plain endpoint may have at once, in its slots and its queue.
unsigned callCapacity(unsigned slots);

/// Chooses the endpoint with the fewest requests per slot, for services without an engine model.
/// The outcome is Wait if every endpoint has all its slots and a short queue occupied. The tie
/// breaker must differ between daemons.
Placement placeCall(std::span<const EndpointView> endpoints, std::uint64_t tieBreaker);

} // namespace cicadafork::gateway
