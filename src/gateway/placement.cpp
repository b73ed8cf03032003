#include "gateway/placement.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <limits>
#include <optional>
#include <utility>

namespace cicadafork::gateway {

namespace {

// Share of the event gap that a pass may take. The rest covers placements that peers make at the
// same time and deviations of engines from their model.
constexpr double kEventGapShare = 0.85;
// Share of the time left until the objective within which the first event must be expected.
constexpr double kObjectiveShare = 0.85;
// Streams with event gaps shorter than this are packed together.
constexpr Millis kShortEventGap{300};
// Larger than any other difference in rank, so that endpoints in other failure domains come last.
constexpr double kOtherDomainPenalty = 1000;
// Pending prefill that counts as much as one sequence less when streams with short event gaps are
// packed together. Prompts that arrive together would otherwise all queue at the fullest endpoint.
constexpr FloatMillis kPendingPrefillPerSequence{30};
// Free slots that a stream with a short event gap leaves at an endpoint if it can. Daemons that
// place at the same moment would otherwise take the last slot together, and one would wait for
// another stream to end.
constexpr unsigned kSpareSlots = 1;
// What taking a spare slot counts, as a share of the slots: less full endpoints come before it,
// almost empty ones, which can take long prefills, do not.
constexpr double kSpareSlotPenalty = 0.6;
// Range of the tie breaker, as a share of the slots: daemons that place at the same moment choose
// different endpoints.
constexpr double kPackingTieShare = 1;
// The same for prefills, as a time: less than the rest of a pass, so that an endpoint without
// streams stays first.
constexpr FloatMillis kPrefillTieRange{20};
// Added to the time of an endpoint in another failure domain, where other daemons place.
constexpr FloatMillis kOtherDomainPrefill{20};
// Added to the time of an endpoint with streams of short event gaps.
constexpr FloatMillis kShortGapPrefill{10'000};
// Expected remaining share of the pass that is running when a request arrives.
constexpr double kRemainingPassShare = 0.5;
// Share of the KV memory that may be assigned. The rest is for answers longer than announced.
constexpr double kAssignableKvShare = 0.97;
// Share of an endpoint's KV memory that a prompt may use if it is divided among endpoints.
constexpr double kDividedKvShare = 0.8;
// Prompts that need a smaller share of an endpoint's KV memory are not divided among endpoints.
constexpr double kMinDividedKvShare = 0.4;
// Holders that are tried in addition to the minimum number if KV memory is scarce.
constexpr unsigned kMaxExtraHolders = 1;
// Network time from the gateway to an endpoint and back.
constexpr FloatMillis kNetworkRoundTrip{3};
// Share of the estimated decode time that is assumed when deciding whether the time left suffices.
// The estimated length of the answer is often far too high.
constexpr double kAssumedDecodeShare = 0.5;
// Share of an endpoint's slots that late requests may use. The others are kept for requests that
// can still be on time.
constexpr double kLateSlotShare = 0.75;
// A late request with a longer prefill is rejected while less than kMinIdleShare of the endpoints
// have no pending prefill: it would occupy endpoints for seconds that other requests need to be on
// time.
constexpr FloatMillis kLongPrefill{300};
constexpr double kMinIdleShare = 0.25;
// The same for prompts that exceed the KV memory of one endpoint. They are seldom on time under
// load, and with the larger share they would hardly ever be served.
constexpr double kMinIdleShareIfDivided = 0.12;
// A prompt may book endpoints if its prefill takes longer at one endpoint than so many times its
// objective. Smaller ones need few endpoints, which they find.
constexpr double kMinBookingObjectives = 2;
// Time that the streams of an endpoint are assumed to need to end; a typical answer.
constexpr FloatMillis kAnswerTime{1500};
// Share of the time left within which the first event of a prompt with a booking is to be expected.
// The rest covers reads that are slower than the model.
constexpr double kBookingTimeShare = 0.8;
// Numbers of parts of a prefill that are tried. The protocol allows 16 helpers.
constexpr std::array<unsigned, 9> kPartCounts = {1, 2, 3, 4, 6, 8, 11, 14, 17};
// Queued calls per slot of a plain endpoint; further calls wait in the gateway.
constexpr double kCallQueuePerSlot = 1.0;

FloatMillis decodePassAt(const EngineModel &engine, const EndpointView &endpoint,
                         unsigned addedSequences, std::uint64_t addedContext)
{
    return endpoint.slowdown
           * decodePassTime(engine, endpoint.load.decodingSequences + addedSequences,
                            endpoint.load.contextTokens + addedContext);
}

/// Time until the endpoint starts the prefill. A part of a split prefill runs before all other
/// prefills, including earlier split ones.
FloatMillis backlog(const EngineModel &engine, const EndpointView &endpoint, bool split)
{
    const FloatMillis pass = kRemainingPassShare * decodePassAt(engine, endpoint, 0, 0);
    return split ? pass : pass + endpoint.slowdown * endpoint.load.pendingPrefill;
}

/// A pass that includes the part does not exceed the event gap of any stream on the endpoint.
bool keepsEventGaps(const EngineModel &engine, const EndpointView &endpoint, FloatMillis partTime)
{
    if (endpoint.load.shortestEventGap == Millis::max())
        return true;
    const FloatMillis pass = decodePassAt(engine, endpoint, 0, 0)
                             + endpoint.slowdown * (endpoint.load.pendingPrefill + partTime);
    return pass <= kEventGapShare * FloatMillis(endpoint.load.shortestEventGap);
}

/// The pending prefills stay on time if a part of a split prefill runs before them.
bool fitsSlack(const EndpointView &endpoint, FloatMillis partTime)
{
    return partTime <= endpoint.load.prefillSlack;
}

bool canPrefill(const EngineModel &engine, const EndpointView &endpoint, FloatMillis partTime,
                bool split)
{
    return endpoint.usable && endpoint.load.helperPrefills < endpoint.slots
           && (!split || fitsSlack(endpoint, partTime))
           && keepsEventGaps(engine, endpoint, partTime);
}

bool hasMemory(const EngineModel &engine, const EndpointView &endpoint, std::uint64_t tokens)
{
    return static_cast<double>(endpoint.load.kvTokens + tokens)
           <= kAssignableKvShare * static_cast<double>(engine.kvCapacityTokens);
}

bool canBeHead(const PlacementRequest &request, const EngineModel &engine,
               const EndpointView &endpoint, std::uint64_t tokens, bool split, bool late)
{
    if (!endpoint.receives)
        return false;
    const double allowedSlots = late ? kLateSlotShare * endpoint.slots : endpoint.slots;
    if (endpoint.load.sequences >= allowedSlots || !hasMemory(engine, endpoint, tokens))
        return false;
    const Millis gap = std::min(request.maxEventGap, endpoint.load.shortestEventGap);
    FloatMillis pass = decodePassAt(engine, endpoint, 1, tokens);
    // The prefills that a part of a split prefill has overtaken run during the decoding.
    if (split)
        pass += endpoint.slowdown * endpoint.load.pendingPrefill;
    return pass <= kEventGapShare * FloatMillis(gap);
}

struct Candidate
{
    const EndpointView *endpoint = nullptr;
    FloatMillis backlog{0};
    FloatMillis rank{0}; ///< See prefillRank().
    bool head = false;   ///< Can be the head.
    bool memory = false; ///< Has KV memory for the share of a holder.
};

bool hasShortEventGap(const EndpointView &endpoint)
{
    return endpoint.load.shortestEventGap < kShortEventGap;
}

/// Rank of an endpoint for a prefill; lower is better. Idle endpoints of the own failure domain
/// come first, each daemon with its own order.
FloatMillis prefillRank(const EngineModel &engine, const EndpointView &endpoint)
{
    return backlog(engine, endpoint, false) + endpoint.tieBreaker * kPrefillTieRange
           + (endpoint.inOwnDomain ? FloatMillis(0) : kOtherDomainPrefill)
           + (hasShortEventGap(endpoint) ? kShortGapPrefill : FloatMillis(0));
}

/// Rank of the head for a stream with a short event gap; lower is better. Such streams go to the
/// endpoint with the most sequences that has no queue of prefills.
double packingRank(const EndpointView &endpoint)
{
    const bool takesSpareSlot = endpoint.load.sequences + kSpareSlots >= endpoint.slots;
    return (endpoint.inOwnDomain ? 0 : kOtherDomainPenalty) - endpoint.load.sequences
           + (takesSpareSlot ? kSpareSlotPenalty * endpoint.slots : 0)
           + endpoint.slowdown * (endpoint.load.pendingPrefill / kPendingPrefillPerSequence)
           + endpoint.tieBreaker * kPackingTieShare * endpoint.slots;
}

double headRank(const PlacementRequest &request, const Candidate &candidate)
{
    return request.maxEventGap < kShortEventGap ? packingRank(*candidate.endpoint)
                                                : candidate.rank.count();
}

FloatMillis expectedFirstEvent(const PlacementRequest &request, const EngineModel &engine,
                               const EndpointView &head, FloatMillis longestBacklog,
                               FloatMillis partTime)
{
    return longestBacklog + head.slowdown * partTime
           + decodePassAt(engine, head, 1, request.promptTokens) + kNetworkRoundTrip;
}

struct Plan
{
    const EndpointView *head = nullptr;
    std::vector<const EndpointView *> helpers;
    FloatMillis firstEvent{0};
    FloatMillis partTime{0}; ///< Prefill time of each part.
};

/// How a request is divided among endpoints.
struct Division
{
    unsigned parts = 1;   ///< Of the prefill; the head and its helpers take one each.
    unsigned holders = 0; ///< Helpers that hold a share of the KV cache.
    bool late = false;    ///< The first event is expected after the objective.
    std::uint64_t kvTokensPerHolder = 0; ///< KV memory at the head and at each holder.
};

std::vector<Candidate> findCandidates(const PlacementRequest &request, const EngineModel &engine,
                                      std::span<const EndpointView> endpoints,
                                      const Division &division)
{
    const bool split = division.parts > 1;
    const FloatMillis partTime = prefillTime(engine, request.promptTokens) / division.parts;
    std::vector<Candidate> candidates;
    for (const EndpointView &endpoint : endpoints) {
        if (!canPrefill(engine, endpoint, partTime, split))
            continue;
        candidates.push_back({&endpoint, backlog(engine, endpoint, split),
                              prefillRank(engine, endpoint),
                              canBeHead(request, engine, endpoint, division.kvTokensPerHolder,
                                        split, division.late),
                              hasMemory(engine, endpoint, division.kvTokensPerHolder)});
    }
    std::ranges::sort(candidates, {}, &Candidate::rank);
    return candidates;
}

/// The helpers for a head: holders first, then the best of the others. Empty if there are not
/// enough.
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
    for (std::size_t i = 0; i < candidates.size() && helpers.size() + 1 < division.parts; ++i) {
        if (i != head && std::ranges::find(helpers, &candidates[i]) == helpers.end())
            helpers.push_back(&candidates[i]);
    }
    return helpers.size() + 1 == division.parts ? helpers : std::vector<const Candidate *>();
}

/// The best plan for a division whose first event is expected within the limit. The head is null if
/// there is none.
Plan bestPlan(const PlacementRequest &request, const EngineModel &engine,
              std::span<const EndpointView> endpoints, const Division &division, FloatMillis limit)
{
    const FloatMillis partTime = prefillTime(engine, request.promptTokens) / division.parts;
    const auto candidates = findCandidates(request, engine, endpoints, division);
    Plan best;
    if (candidates.size() < division.parts)
        return best;
    double bestRank = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &head = candidates[index];
        const double rank = headRank(request, head);
        if (!head.head || rank >= bestRank)
            continue;
        const auto helpers = helpersFor(candidates, index, division);
        if (helpers.size() + 1 != division.parts)
            continue;
        FloatMillis longestBacklog = head.backlog;
        for (const Candidate *helper : helpers)
            longestBacklog = std::max(longestBacklog, helper->backlog);
        const FloatMillis expected
                = expectedFirstEvent(request, engine, *head.endpoint, longestBacklog, partTime);
        if (expected > limit)
            continue;
        bestRank = rank;
        best.head = head.endpoint;
        best.firstEvent = expected;
        best.partTime = partTime;
        best.helpers.clear();
        for (const Candidate *helper : helpers)
            best.helpers.push_back(helper->endpoint);
    }
    return best;
}

FloatMillis latestFirstEvent(const PlacementRequest &request, const EngineModel &engine)
{
    const FloatMillis minDecodeTime
            = kAssumedDecodeShare
              * decodeTime(engine, request.answerTokens, 1, request.promptTokens);
    return std::min(request.untilDeadline - minDecodeTime, request.untilCallerLeaves);
}

/// Divides the KV memory among as few endpoints as can hold it.
Division memoryDivision(const EngineModel &engine, std::uint64_t tokens)
{
    const double each = kDividedKvShare * static_cast<double>(engine.kvCapacityTokens);
    Division division;
    if (tokens <= engine.kvCapacityTokens) {
        division.kvTokensPerHolder = tokens;
        return division;
    }
    const auto endpointCount = static_cast<unsigned>(std::ceil(static_cast<double>(tokens) / each));
    division.holders = endpointCount - 1;
    division.kvTokensPerHolder = tokens / endpointCount + 1;
    return division;
}

/// The plan with the fewest holders, and then the fewest parts, whose first event is expected
/// within the limit.
std::optional<std::pair<Plan, Division>>
planWithFewestParts(const PlacementRequest &request, const EngineModel &engine,
                    std::span<const EndpointView> endpoints, const Division &least,
                    FloatMillis limit)
{
    const std::uint64_t tokens = request.promptTokens + request.answerTokens;
    const FloatMillis wholePrefill = prefillTime(engine, request.promptTokens);
    for (unsigned extra = 0; extra <= kMaxExtraHolders; ++extra) {
        Division division = least;
        division.holders += extra;
        division.kvTokensPerHolder = tokens / (division.holders + 1) + 1;
        // Dividing needs reservations, and an endpoint with enough memory for a small prompt is
        // soon found.
        if (extra > 0
            && static_cast<double>(tokens)
                       < kMinDividedKvShare * static_cast<double>(engine.kvCapacityTokens))
            break;
        for (const unsigned parts : kPartCounts) {
            if (wholePrefill / parts > limit || parts <= division.holders)
                continue;
            division.parts = parts;
            const Plan plan = bestPlan(request, engine, endpoints, division, limit);
            if (plan.head)
                return std::make_pair(plan, division);
        }
    }
    return std::nullopt;
}

bool hasIdleEndpoints(std::span<const EndpointView> endpoints, double minShare)
{
    const auto idle = std::ranges::count_if(endpoints, [](const EndpointView &endpoint) {
        return endpoint.usable && endpoint.load.pendingPrefill <= FloatMillis(0);
    });
    return static_cast<double>(idle) >= minShare * static_cast<double>(endpoints.size());
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
    placement.prefillTime = plan.partTime;
    placement.firstEvent = plan.firstEvent;
    placement.onTime = onTime;
    placement.reason = onTime ? "on time" : "late";
    return placement;
}

/// The prompt needs so many endpoints that it would hardly find them by itself.
bool mayBook(const PlacementRequest &request, const EngineModel &engine)
{
    return request.objective > Millis(0)
           && prefillTime(engine, request.promptTokens)
                      >= kMinBookingObjectives * FloatMillis(request.objective);
}

SteadyClock::duration toDuration(FloatMillis time)
{
    return std::chrono::duration_cast<SteadyClock::duration>(time);
}

/// An endpoint that may be kept free for a prompt.
struct Bookable
{
    const EndpointView *endpoint = nullptr;
    FloatMillis untilClear{0};
    FloatMillis rank{0};
};

/// Expected time until the endpoint has done the work that it has now.
FloatMillis timeUntilClear(const EndpointView &endpoint)
{
    return endpoint.slowdown * endpoint.load.pendingPrefill
           + (endpoint.load.sequences > 0 ? kAnswerTime : FloatMillis(0));
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

bool canBeOnTime(const PlacementRequest &request, const EngineModel &engine)
{
    const FloatMillis earliestFirstEvent
            = prefillTime(engine, request.promptTokens) / kPartCounts.back()
              + decodePassTime(engine, 1, request.promptTokens) + kNetworkRoundTrip;
    return kObjectiveShare * request.untilObjective > earliestFirstEvent;
}

Placement placeStream(const PlacementRequest &request, const EngineModel &engine,
                      std::span<const EndpointView> endpoints)
{
    Placement placement;
    Division division = memoryDivision(engine, request.promptTokens + request.answerTokens);
    if (division.holders >= std::min<std::size_t>(kPartCounts.back(), endpoints.size())) {
        placement.outcome = PlacementOutcome::Reject;
        placement.reason = "the prompt and answer exceed the KV memory available to one request";
        return placement;
    }
    const FloatMillis wholePrefill = prefillTime(engine, request.promptTokens);
    const FloatMillis latest = latestFirstEvent(request, engine);
    if (wholePrefill / kPartCounts.back() > latest) {
        placement.outcome = PlacementOutcome::Reject;
        placement.reason = "too little time is left before the caller leaves";
        return placement;
    }
    const FloatMillis limits[] = {kObjectiveShare * request.untilObjective, latest};
    for (const FloatMillis limit : limits) {
        const bool onTime = limit == limits[0];
        division.late = !onTime;
        const bool divided = division.holders > 0;
        if (!onTime && isLongPrefill(engine, request.promptTokens)
            && !hasIdleEndpoints(endpoints, divided ? kMinIdleShareIfDivided : kMinIdleShare)) {
            placement.outcome = PlacementOutcome::Reject;
            placement.reason = "too late for the objective, and too few endpoints are idle";
            return placement;
        }
        if (const auto found = planWithFewestParts(request, engine, endpoints, division, limit))
            return toPlacement(found->first, found->second, onTime);
        // A request that can still be on time waits for an endpoint instead of starting late.
        if (canBeOnTime(request, engine))
            break;
    }
    placement.reason = "no endpoint can take the request without delaying others";
    return placement;
}

Placement placeStreamInDomainFirst(const PlacementRequest &request, const EngineModel &engine,
                                   std::span<const EndpointView> endpoints)
{
    std::vector<EndpointView> own;
    std::ranges::copy_if(endpoints, std::back_inserter(own), &EndpointView::inOwnDomain);
    Placement placement = placeStream(request, engine, own);
    if (placement.outcome == PlacementOutcome::Send && placement.onTime)
        return placement;
    return placeStream(request, engine, endpoints);
}

std::optional<Placement> bookEndpoints(const PlacementRequest &request, const EngineModel &engine,
                                       std::span<const EndpointView> endpoints)
{
    if (!mayBook(request, engine) || canBeOnTime(request, engine))
        return std::nullopt;
    const Division division = memoryDivision(engine, request.promptTokens + request.answerTokens);
    const FloatMillis wholePrefill = prefillTime(engine, request.promptTokens);
    std::vector<Bookable> candidates;
    for (const EndpointView &endpoint : endpoints) {
        const FloatMillis clear = timeUntilClear(endpoint);
        if (endpoint.usable && endpoint.receives && clear <= FloatMillis(kMaxBookingWait)
            && !hasShortEventGap(endpoint)
            && hasMemory(engine, endpoint, division.kvTokensPerHolder))
            candidates.push_back(
                    {&endpoint, clear, clear + endpoint.tieBreaker * kPrefillTieRange});
    }
    std::ranges::sort(candidates, {}, &Bookable::rank);
    const FloatMillis limit = kBookingTimeShare * latestFirstEvent(request, engine);
    for (const unsigned parts : kPartCounts) {
        if (parts <= division.holders || parts > candidates.size())
            continue;
        const FloatMillis wait = candidates[parts - 1].untilClear;
        Plan plan;
        plan.head = candidates.front().endpoint;
        plan.partTime = wholePrefill / parts;
        plan.firstEvent
                = expectedFirstEvent(request, engine, *plan.head, FloatMillis(0), plan.partTime);
        if (wait + plan.firstEvent > limit)
            continue;
        for (unsigned i = 1; i < parts; ++i)
            plan.helpers.push_back(candidates[i].endpoint);
        return toPlacement(plan, division, false);
    }
    return std::nullopt;
}

std::vector<Job> bookingJobs(const Placement &booking, const PlacementRequest &request,
                             std::uint64_t owner, std::uint32_t &nextJob, TimePoint now)
{
    std::vector<EndpointKey> endpoints = {booking.head};
    endpoints.insert(endpoints.end(), booking.helpers.begin(), booking.helpers.end());
    std::vector<Job> jobs;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        Job job;
        job.id = {owner, ++nextJob};
        job.promptTokens = static_cast<std::uint32_t>(request.promptTokens);
        job.answerTokens = static_cast<std::uint32_t>(request.answerTokens);
        job.placed = now;
        job.expectedPrefillEnd = now + kMaxBookingWait + toDuration(booking.prefillTime);
        job.dueBy = now;
        job.expires = now + 2 * kMaxBookingWait;
        const bool holds = i <= booking.holders;
        job.parts = {{endpoints[i], booking.prefillTime, false,
                      holds ? static_cast<std::uint32_t>(booking.kvTokensPerHolder) : 0}};
        jobs.push_back(std::move(job));
    }
    return jobs;
}

bool isClear(const PlacementRequest &request, const EngineModel &engine, const Placement &booking,
             std::span<const EndpointView> endpoints)
{
    std::size_t clear = 0;
    for (const EndpointView &endpoint : endpoints) {
        const bool head = endpoint.key == booking.head;
        if (!head && std::ranges::find(booking.helpers, endpoint.key) == booking.helpers.end())
            continue;
        if (endpoint.load.pendingPrefill > FloatMillis(0)
            || !canPrefill(engine, endpoint, booking.prefillTime, true)
            || (head
                && !canBeHead(request, engine, endpoint, booking.kvTokensPerHolder, true, false)))
            return false;
        ++clear;
    }
    return clear == booking.helpers.size() + 1;
}

std::optional<FloatMillis> firstEventIfHead(const PlacementRequest &request,
                                            const EngineModel &engine, const Placement &placement,
                                            const EndpointView &from, const EndpointView &to)
{
    const bool shortGap = request.maxEventGap < kShortEventGap;
    const auto takesSpareSlot = [](const EndpointView &endpoint) {
        return endpoint.load.sequences + kSpareSlots >= endpoint.slots;
    };
    if ((from.inOwnDomain && !to.inOwnDomain) || (takesSpareSlot(to) && !takesSpareSlot(from)))
        return std::nullopt;
    if (shortGap ? hasShortEventGap(from) && !hasShortEventGap(to)
                 : hasShortEventGap(to) && !hasShortEventGap(from))
        return std::nullopt;
    // Not to a less full endpoint than the range of the tie breaker allows.
    if (shortGap && to.load.sequences + kPackingTieShare * to.slots / 2 < from.load.sequences)
        return std::nullopt;
    const bool late = !placement.onTime;
    if (!canPrefill(engine, to, placement.prefillTime, false)
        || !canBeHead(request, engine, to, placement.kvTokensPerHolder, false, late))
        return std::nullopt;
    const FloatMillis limit
            = late ? latestFirstEvent(request, engine) : kObjectiveShare * request.untilObjective;
    const FloatMillis expected = expectedFirstEvent(request, engine, to, backlog(engine, to, false),
                                                    placement.prefillTime);
    return expected <= limit ? std::optional(expected) : std::nullopt;
}

bool isLongPrefill(const EngineModel &engine, std::uint64_t promptTokens)
{
    return prefillTime(engine, promptTokens) > kLongPrefill;
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
    const FloatMillis partTime = prefillTime(engine, request.promptTokens) / kPartCounts.back();
    for (const EndpointView &endpoint : endpoints) {
        ++reasons.endpoints;
        if (!endpoint.usable || endpoint.load.helperPrefills >= endpoint.slots)
            ++reasons.unusable;
        else if (!fitsSlack(endpoint, partTime))
            ++reasons.slack;
        else if (!keepsEventGaps(engine, endpoint, partTime))
            ++reasons.gap;
        else if (canBeHead(request, engine, endpoint, division.kvTokensPerHolder, true, false))
            ++reasons.heads;
    }
    return reasons;
}

unsigned callCapacity(unsigned slots)
{
    return static_cast<unsigned>(std::ceil(slots * (1 + kCallQueuePerSlot)));
}

Placement placeCall(std::span<const EndpointView> endpoints, std::uint64_t tieBreaker)
{
    Placement placement;
    double best = std::numeric_limits<double>::max();
    for (const EndpointView &endpoint : endpoints) {
        if (!endpoint.usable || !endpoint.receives)
            continue;
        const double taken = static_cast<double>(endpoint.load.sequences) / endpoint.slots;
        if (taken >= 1 + kCallQueuePerSlot)
            continue;
        const double tie = static_cast<double>(mix64(endpoint.key ^ tieBreaker) >> 40) * 1e-9;
        // A free slot at a slow endpoint can be worse than a short queue at a fast one.
        const double rank
                = (1 + taken) * endpoint.slowdown + (endpoint.inOwnDomain ? 0 : 0.01) + tie;
        if (rank >= best)
            continue;
        best = rank;
        placement.outcome = PlacementOutcome::Send;
        placement.head = endpoint.key;
        placement.onTime = true;
        placement.reason = "fewest requests per slot";
    }
    if (placement.outcome != PlacementOutcome::Send)
        placement.reason = "all endpoints are at capacity";
    return placement;
}

} // namespace cicadafork::gateway
