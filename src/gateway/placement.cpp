#include "gateway/placement.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace cicadafork::gateway {

namespace {

// Share of the tolerated pause that a pass may take: peers place at the same moment, and engines
// differ a little from their model.
constexpr double kGapShare = 0.85;
// Share of the time left that a first event may be expected to take.
constexpr double kObjectiveShare = 0.85;
// Streams whose pauses must be shorter than this are packed together.
constexpr Millis kImpatientGap{300};
// Rank of endpoints in other failure domains behind all of the own one.
constexpr double kOtherDomain = 1000;
// A request arrives somewhere inside the pass in progress.
constexpr double kPassInProgress = 0.5;
// Memory is kept for answers that are longer than announced.
constexpr double kMemoryShare = 0.97;
// Share of an endpoint's memory that one prompt may take when several endpoints share it.
constexpr double kGroupShare = 0.8;
// A prompt of less than this share of an endpoint's memory is not divided for its memory's sake.
constexpr double kGroupWorth = 0.4;
// Members beyond the least number that are tried when memory is scarce.
constexpr unsigned kMoreMembers = 1;
// Way to the endpoint and back.
constexpr FloatMillis kTravel{3};
// Part of the estimated answer that is taken as certain when a request is refused for lack of time.
constexpr double kCertainAnswer = 0.5;
// Part of an endpoint's slots that requests which are already late may take: the others are kept
// for those that can still be on time.
constexpr double kLateSlots = 0.75;
// A late start of a read longer than this is given up while fewer than this share of the endpoints
// have nothing to read: it takes them for seconds from requests that can be on time.
constexpr FloatMillis kLongRead{300};
constexpr double kSpareReaders = 0.25;
// Numbers of readers that are tried, least first. The protocol allows 16 helpers.
constexpr std::array<unsigned, 9> kReaders = {1, 2, 3, 4, 6, 8, 11, 14, 17};
// Queued calls per slot that a plain endpoint may have before more wait here.
constexpr double kCallQueuePerSlot = 1.0;

FloatMillis passOf(const EngineModel &engine, const EndpointView &endpoint, unsigned addedWriters,
                   std::uint64_t addedContext)
{
    return endpoint.slowdown
           * decodePassTime(engine, endpoint.load.decodingSequences + addedWriters,
                            endpoint.load.contextTokens + addedContext);
}

/// Time before the endpoint begins to read. A part of a joint read goes before all other reads,
/// earlier joint ones included.
FloatMillis backlog(const EngineModel &engine, const EndpointView &endpoint, bool joint)
{
    const FloatMillis pass = kPassInProgress * passOf(engine, endpoint, 0, 0);
    return joint ? pass : pass + endpoint.slowdown * endpoint.load.pendingPrefill;
}

/// The streams on the endpoint tolerate a pass that also reads the part.
bool keepsGaps(const EngineModel &engine, const EndpointView &endpoint, FloatMillis part)
{
    if (endpoint.load.shortestEventGap == Millis::max())
        return true;
    const FloatMillis pass = passOf(engine, endpoint, 0, 0)
                             + endpoint.slowdown * (endpoint.load.pendingPrefill + part);
    return pass <= kGapShare * FloatMillis(endpoint.load.shortestEventGap);
}

/// Reads that a joint part would overtake can wait for it.
bool keepsSlack(const EndpointView &endpoint, FloatMillis part)
{
    return part <= endpoint.load.prefillSlack;
}

bool canRead(const EngineModel &engine, const EndpointView &endpoint, FloatMillis part, bool joint)
{
    return endpoint.usable && endpoint.load.helperPrefills < endpoint.slots
           && (!joint || keepsSlack(endpoint, part)) && keepsGaps(engine, endpoint, part);
}

bool hasMemory(const EngineModel &engine, const EndpointView &endpoint, std::uint64_t tokens)
{
    return static_cast<double>(endpoint.load.kvTokens + tokens)
           <= kMemoryShare * static_cast<double>(engine.kvCapacityTokens);
}

bool canHead(const PlacementRequest &request, const EngineModel &engine,
             const EndpointView &endpoint, std::uint64_t tokens, bool joint, bool late)
{
    const double places = late ? kLateSlots * endpoint.slots : endpoint.slots;
    if (endpoint.load.sequences >= places || !hasMemory(engine, endpoint, tokens))
        return false;
    const Millis gap = std::min(request.maxEventGap, endpoint.load.shortestEventGap);
    FloatMillis pass = passOf(engine, endpoint, 1, tokens);
    // Reads that a joint part overtakes go on while its answer is written.
    if (joint)
        pass += endpoint.slowdown * endpoint.load.pendingPrefill;
    return pass <= kGapShare * FloatMillis(gap);
}

struct Candidate
{
    const EndpointView *endpoint = nullptr;
    FloatMillis backlog{0};
    bool head = false;
    bool memory = false; ///< Has memory for the share of a holder.
};

/// Lower is better. Impatient streams go where most of them are; others go where none is.
double headRank(const PlacementRequest &request, const Candidate &candidate)
{
    const EndpointView &endpoint = *candidate.endpoint;
    const double domain = (endpoint.inOwnDomain ? 0 : 0.1) + endpoint.tieBreaker;
    // Daemons of other domains place at the same moment; in its own domain each collides with few.
    if (request.maxEventGap < kImpatientGap)
        return (endpoint.inOwnDomain ? 0 : kOtherDomain) - endpoint.load.sequences
               + endpoint.tieBreaker;
    const bool impatient = endpoint.load.shortestEventGap < kImpatientGap;
    return domain + (impatient ? 10'000 : 0) + candidate.backlog.count();
}

bool readerBefore(const Candidate &left, const Candidate &right)
{
    const bool leftImpatient = left.endpoint->load.shortestEventGap < kImpatientGap;
    const bool rightImpatient = right.endpoint->load.shortestEventGap < kImpatientGap;
    if (leftImpatient != rightImpatient)
        return rightImpatient;
    return left.backlog < right.backlog;
}

FloatMillis firstEvent(const PlacementRequest &request, const EngineModel &engine,
                       const EndpointView &head, FloatMillis slowestReader, FloatMillis part)
{
    return slowestReader + head.slowdown * part + passOf(engine, head, 1, request.promptTokens)
           + kTravel;
}

struct Plan
{
    const EndpointView *head = nullptr;
    std::vector<const EndpointView *> helpers;
    FloatMillis firstEvent{0};
    FloatMillis part{0}; ///< Reading time of each reader.
};

struct Division
{
    unsigned readers = 1;
    unsigned holders = 0;                ///< Helpers that hold memory besides the head.
    bool late = false;                   ///< The first event will not be on time.
    std::uint64_t kvTokensPerHolder = 0; ///< Of the head and each holder.
};

std::vector<Candidate> candidatesFor(const PlacementRequest &request, const EngineModel &engine,
                                     std::span<const EndpointView> endpoints,
                                     const Division &division)
{
    const bool joint = division.readers > 1;
    const FloatMillis part = prefillTime(engine, request.promptTokens) / division.readers;
    std::vector<Candidate> candidates;
    for (const EndpointView &endpoint : endpoints) {
        if (!canRead(engine, endpoint, part, joint))
            continue;
        candidates.push_back({&endpoint, backlog(engine, endpoint, joint),
                              canHead(request, engine, endpoint, division.kvTokensPerHolder, joint,
                                      division.late),
                              hasMemory(engine, endpoint, division.kvTokensPerHolder)});
    }
    std::ranges::sort(candidates, readerBefore);
    return candidates;
}

/// The helpers for a head: holders of memory first, then the best of the others; empty when there
/// are not enough.
std::vector<const Candidate *> helpersFor(const std::vector<Candidate> &candidates,
                                          std::size_t head, const Division &division)
{
    std::vector<const Candidate *> helpers;
    for (std::size_t i = 0; i < candidates.size() && helpers.size() < division.holders; ++i) {
        if (i != head && candidates[i].memory)
            helpers.push_back(&candidates[i]);
    }
    if (helpers.size() < division.holders)
        return {};
    for (std::size_t i = 0; i < candidates.size() && helpers.size() + 1 < division.readers; ++i) {
        if (i != head && std::ranges::find(helpers, &candidates[i]) == helpers.end())
            helpers.push_back(&candidates[i]);
    }
    return helpers.size() + 1 == division.readers ? helpers : std::vector<const Candidate *>();
}

/// The best plan for a division; without a head when there is none.
Plan planFor(const PlacementRequest &request, const EngineModel &engine,
             std::span<const EndpointView> endpoints, const Division &division, FloatMillis limit)
{
    const FloatMillis part = prefillTime(engine, request.promptTokens) / division.readers;
    const auto candidates = candidatesFor(request, engine, endpoints, division);
    Plan best;
    if (candidates.size() < division.readers)
        return best;
    double bestRank = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &head = candidates[index];
        const double rank = headRank(request, head);
        if (!head.head || rank >= bestRank)
            continue;
        const auto helpers = helpersFor(candidates, index, division);
        if (helpers.size() + 1 != division.readers)
            continue;
        FloatMillis slowest = head.backlog;
        for (const Candidate *helper : helpers)
            slowest = std::max(slowest, helper->backlog);
        const FloatMillis expected = firstEvent(request, engine, *head.endpoint, slowest, part);
        if (expected > limit)
            continue;
        bestRank = rank;
        best.head = head.endpoint;
        best.firstEvent = expected;
        best.part = part;
        best.helpers.clear();
        for (const Candidate *helper : helpers)
            best.helpers.push_back(helper->endpoint);
    }
    return best;
}

/// Divides the memory of a prompt among as few endpoints as can hold it; one when it fits.
Division memoryDivision(const EngineModel &engine, std::uint64_t tokens)
{
    const double each = kGroupShare * static_cast<double>(engine.kvCapacityTokens);
    Division division;
    if (tokens <= engine.kvCapacityTokens) {
        division.kvTokensPerHolder = tokens;
        return division;
    }
    const auto members = static_cast<unsigned>(std::ceil(static_cast<double>(tokens) / each));
    division.holders = members - 1;
    division.kvTokensPerHolder = tokens / members + 1;
    return division;
}

/// The plan with the fewest readers that keeps the limit, at the least division of memory that is
/// free.
std::optional<std::pair<Plan, Division>> divide(const PlacementRequest &request,
                                                const EngineModel &engine,
                                                std::span<const EndpointView> endpoints,
                                                const Division &least, FloatMillis limit)
{
    const std::uint64_t tokens = request.promptTokens + request.answerTokens;
    const FloatMillis whole = prefillTime(engine, request.promptTokens);
    for (unsigned more = 0; more <= kMoreMembers; ++more) {
        Division division = least;
        division.holders += more;
        division.kvTokensPerHolder = tokens / (division.holders + 1) + 1;
        // A small prompt finds memory without the cost of reservations.
        if (more > 0
            && static_cast<double>(tokens)
                       < kGroupWorth * static_cast<double>(engine.kvCapacityTokens))
            break;
        for (const unsigned readers : kReaders) {
            if (whole / readers > limit || readers <= division.holders)
                continue;
            division.readers = readers;
            const Plan plan = planFor(request, engine, endpoints, division, limit);
            if (plan.head)
                return std::make_pair(plan, division);
        }
    }
    return std::nullopt;
}

bool hasSpareReaders(std::span<const EndpointView> endpoints)
{
    const auto spare = std::ranges::count_if(endpoints, [](const EndpointView &endpoint) {
        return endpoint.usable && endpoint.load.pendingPrefill <= FloatMillis(0);
    });
    return static_cast<double>(spare) >= kSpareReaders * static_cast<double>(endpoints.size());
}

Placement toPlacement(const Plan &plan, const Division &division, bool onTime)
{
    Placement placement;
    placement.outcome = PlacementOutcome::Send;
    placement.head = plan.head->key;
    for (const EndpointView *helper : plan.helpers)
        placement.helpers.push_back(helper->key);
    placement.holders = division.holders;
    placement.kvTokensPerHolder = division.kvTokensPerHolder;
    placement.prefillTime = plan.part;
    placement.firstEvent = plan.firstEvent;
    placement.onTime = onTime;
    placement.reason = onTime ? "on time" : "late";
    return placement;
}

} // namespace

FloatMillis prefillTime(const EngineModel &engine, std::uint64_t promptTokens)
{
    const auto tokens = static_cast<double>(promptTokens);
    const double millionPairs = tokens * tokens / 2 / 1e6;
    return FloatMillis(tokens / engine.prefillTokensPerMs)
           + engine.prefillPerMillionPairs * millionPairs;
}

FloatMillis decodePassTime(const EngineModel &engine, unsigned decodingSequences,
                           std::uint64_t contextTokens)
{
    if (decodingSequences == 0)
        return FloatMillis(0);
    return engine.stride
           * (engine.step + engine.stepPerSequence * decodingSequences
              + engine.stepPerThousandContext * (static_cast<double>(contextTokens) / 1000));
}

FloatMillis decodeTime(const EngineModel &engine, std::uint64_t answerTokens,
                       unsigned decodingSequences, std::uint64_t contextTokens)
{
    const double passes
            = std::ceil(static_cast<double>(answerTokens) / std::max(1U, engine.stride));
    return passes * decodePassTime(engine, std::max(1U, decodingSequences), contextTokens);
}

Placement placeStream(const PlacementRequest &request, const EngineModel &engine,
                      std::span<const EndpointView> endpoints)
{
    Placement placement;
    Division division = memoryDivision(engine, request.promptTokens + request.answerTokens);
    if (division.holders >= std::min<std::size_t>(kReaders.back(), endpoints.size())) {
        placement.outcome = PlacementOutcome::Reject;
        placement.reason = "larger than the memory of all endpoints together";
        return placement;
    }
    const FloatMillis whole = prefillTime(engine, request.promptTokens);
    // The estimate of the answer is often far too high.
    const FloatMillis writing
            = kCertainAnswer * decodeTime(engine, request.answerTokens, 1, request.promptTokens);
    if (whole / kReaders.back() + writing > request.untilDeadline) {
        placement.outcome = PlacementOutcome::Reject;
        placement.reason = "too little time is left to read and write it";
        return placement;
    }
    const FloatMillis soonest
            = whole / kReaders.back() + decodePassTime(engine, 1, request.promptTokens) + kTravel;
    const FloatMillis limits[]
            = {kObjectiveShare * request.untilObjective, request.untilDeadline - writing};
    for (const FloatMillis limit : limits) {
        const bool onTime = limit == limits[0];
        division.late = !onTime;
        if (!onTime && isLongPrefill(engine, request.promptTokens) && !hasSpareReaders(endpoints)) {
            placement.outcome = PlacementOutcome::Reject;
            placement.reason = "late, and others need the readers";
            return placement;
        }
        if (const auto found = divide(request, engine, endpoints, division, limit))
            return toPlacement(found->first, found->second, onTime);
        // A request that may still be on time waits for that instead of starting late.
        if (limits[0] > soonest)
            break;
    }
    placement.reason = "no endpoint can take it without delaying others";
    return placement;
}

bool isLongPrefill(const EngineModel &engine, std::uint64_t promptTokens)
{
    return prefillTime(engine, promptTokens) > kLongRead;
}

FloatMillis meanBacklog(std::span<const EndpointView> endpoints)
{
    FloatMillis sum{0};
    for (const EndpointView &endpoint : endpoints)
        sum += endpoint.slowdown * endpoint.load.pendingPrefill;
    return endpoints.empty() ? sum : sum / static_cast<double>(endpoints.size());
}

WaitReasons explainWait(const PlacementRequest &request, const EngineModel &engine,
                        std::span<const EndpointView> endpoints)
{
    WaitReasons reasons;
    const Division division = memoryDivision(engine, request.promptTokens + request.answerTokens);
    const FloatMillis part = prefillTime(engine, request.promptTokens) / kReaders.back();
    for (const EndpointView &endpoint : endpoints) {
        ++reasons.endpoints;
        if (!endpoint.usable || endpoint.load.helperPrefills >= endpoint.slots)
            ++reasons.unusable;
        else if (!keepsSlack(endpoint, part))
            ++reasons.slack;
        else if (!keepsGaps(engine, endpoint, part))
            ++reasons.gap;
        else if (canHead(request, engine, endpoint, division.kvTokensPerHolder, true, false))
            ++reasons.heads;
    }
    return reasons;
}

Placement placeCall(std::span<const EndpointView> endpoints, std::uint64_t tieBreaker)
{
    Placement placement;
    double best = std::numeric_limits<double>::max();
    for (const EndpointView &endpoint : endpoints) {
        if (!endpoint.usable)
            continue;
        const double taken = static_cast<double>(endpoint.load.sequences) / endpoint.slots;
        if (taken >= 1 + kCallQueuePerSlot)
            continue;
        const double tie = static_cast<double>(mix64(endpoint.key ^ tieBreaker) >> 40) * 1e-9;
        // A free slot of a slow endpoint may be worse than a short queue at a fast one.
        const double rank
                = (1 + taken) * endpoint.slowdown + (endpoint.inOwnDomain ? 0 : 0.01) + tie;
        if (rank >= best)
            continue;
        best = rank;
        placement.outcome = PlacementOutcome::Send;
        placement.head = endpoint.key;
        placement.onTime = true;
        placement.reason = "least work";
    }
    if (placement.outcome != PlacementOutcome::Send)
        placement.reason = "all endpoints are full";
    return placement;
}

} // namespace cicadafork::gateway
