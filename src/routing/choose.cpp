#include "routing/choose.h"

#include "base/hash.h"
#include "routing/prefixindex.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>

namespace cicadafork {

namespace {

/// Prefill rate assumed before any endpoint's rate is learnt, in tokens/s.
constexpr double kFallbackPrefillRate = 20'000;
/// Delay of the first token for each sequence in the running batch, in seconds. A batch of 32
/// slows a step by about a base step.
constexpr double kSecondsPerRunning = 0.001;
/// Cost of another failure domain: two one-way latencies of just under 1 ms, in seconds.
constexpr double kDomainPenaltySeconds = 0.002;
constexpr std::uint32_t kMaxWaitingRequests = 64;
constexpr std::size_t kRandomCandidates = 2;
/// More candidates are drawn, up to half of the pool, while the best one is expected to take longer
/// than the prefill alone by this multiple of the prefill, and by this time at most. The two are
/// equal for a 1k prompt at 20,000 tokens/s; faster engines need the multiple. Drawing more for
/// smaller differences makes processes choose the same endpoint between two reports: with multiples
/// of 0.25 and 2 the unit tests of spreading and of a pool with few long prompts fail.
constexpr double kDrawMoreShare = 5;
constexpr double kDrawMoreSeconds = 0.25;
/// A prompt moves to the other side of a divided pool when that is better by this factor; a short
/// one, whose stay is brief, when that is better at all.
constexpr double kSpillFactor = 2;
/// It is not looked at below this queueing time, nor below this multiple of the prefill.
constexpr double kSpillQueueingSeconds = 0.5;
constexpr double kSpillShare = 0.25;
constexpr std::chrono::duration<double> kLoadHalfLife{30};

struct Scored
{
    std::size_t index = 0;
    double queueing = 0; ///< Seconds.
    double total = 0;    ///< Seconds, with prefill and penalty.
    double hitTokens = 0;
};

struct ScoreInput
{
    const RouteRequest &request;
    const FleetView &view;
    const std::vector<PrefixHit> &hits;
    double defaultPrefillRate = kFallbackPrefillRate;
};

double queueingSeconds(const EndpointView &endpoint, double rate)
{
    const double tokens = static_cast<double>(endpoint.waitingTokens + endpoint.unreportedTokens);
    return tokens / rate
           + kSecondsPerRunning
                     * (endpoint.running + endpoint.waiting + endpoint.unreportedRequests);
}

Scored score(const ScoreInput &input, std::size_t index)
{
    const EndpointView &endpoint = input.view.endpoints[index];
    const double rate = effectivePrefillRate(endpoint, input.defaultPrefillRate);
    Scored scored;
    scored.index = index;
    scored.queueing = queueingSeconds(endpoint, rate);
    for (const PrefixHit &hit : input.hits) {
        if (hit.endpoint == endpoint.id)
            scored.hitTokens = hit.discountedTokens;
    }
    const double prompt = static_cast<double>(input.request.promptTokens);
    scored.hitTokens = std::min(scored.hitTokens, prompt);
    scored.total = scored.queueing + (prompt - scored.hitTokens) / rate;
    if (endpoint.failureDomain != input.view.ownDomain)
        scored.total += kDomainPenaltySeconds;
    return scored;
}

/// Enough free memory, and not more work queued than the engine needs to stay busy.
bool takesMore(const EndpointView &endpoint, const RouteRequest &request, Millis queueTarget,
               double defaultPrefillRate)
{
    if (freeTokens(endpoint) < neededTokens(request))
        return false;
    const double allowance = request.priority == Priority::Urgent ? 2 : 1;
    const double tokens = static_cast<double>(endpoint.waitingTokens + endpoint.unreportedTokens);
    const double target = std::chrono::duration<double>(queueTarget).count();
    // The engine prefills these before the prompts that are queued there (see enginePriority).
    const bool overtakes
            = enginePriority(request.priority, request.promptTokens) == Priority::Urgent;
    return (overtakes
            || tokens / effectivePrefillRate(endpoint, defaultPrefillRate) < allowance * target)
           && endpoint.waiting + endpoint.unreportedRequests < allowance * kMaxWaitingRequests;
}

/// Sorts by a hash of the id, so that all processes divide a pool at the same place.
void sortByIdHash(std::vector<std::size_t> &indices, const FleetView &view)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> keyed;
    keyed.reserve(indices.size());
    for (const std::size_t index : indices)
        keyed.emplace_back(mix64(fnv1a64(view.endpoints[index].id)), index);
    std::sort(keyed.begin(), keyed.end());
    for (std::size_t i = 0; i < keyed.size(); ++i)
        indices[i] = keyed[i].second;
}

struct Sides
{
    std::vector<std::size_t> own;
    std::vector<std::size_t> other; ///< Only for spilling.
};

Sides divide(std::vector<std::size_t> usable, const RouteRequest &request, const FleetView &view,
             PoolMode mode)
{
    const bool isLong = request.promptTokens >= kLongPromptTokens;
    if (mode == PoolMode::Shared || usable.size() < 2)
        return {std::move(usable), {}};
    sortByIdHash(usable, view);
    if (mode == PoolMode::ReservedShare) {
        const auto allowed = static_cast<std::ptrdiff_t>(
                std::floor(kLongPromptEndpointShare * static_cast<double>(usable.size())));
        const auto reservedFrom = usable.begin() + std::max<std::ptrdiff_t>(allowed, 1);
        std::vector<std::size_t> reserved(reservedFrom, usable.end());
        usable.erase(reservedFrom, usable.end());
        if (isLong)
            return {std::move(usable), {}};
        if (request.promptTokens <= kShortPromptTokens)
            return {std::move(reserved), std::move(usable)};
        return {std::move(usable), std::move(reserved)};
    }
    const std::size_t boundary = longPartitionSize(usable.size(), view.longTokenShare);
    const auto middle = usable.begin() + static_cast<std::ptrdiff_t>(boundary);
    std::vector<std::size_t> longSide(usable.begin(), middle);
    std::vector<std::size_t> shortSide(middle, usable.end());
    if (isLong)
        return {std::move(longSide), std::move(shortSide)};
    return {std::move(shortSide), std::move(longSide)};
}

/// Moves `count` random elements to the front.
void drawToFront(std::vector<std::size_t> &values, std::size_t count, Random &random)
{
    for (std::size_t i = 0; i < count; ++i) {
        std::uniform_int_distribution<std::size_t> pick(i, values.size() - 1);
        std::swap(values[i], values[pick(random)]);
    }
}

/// The better of a few random candidates and the best prefix holder. Processes that all saw the
/// whole pool would all choose the endpoint that the last report showed as idle.
///
/// Long prompts look at the whole pool: few of them are sent between two reports, and one that
/// misses the last idle endpoint waits for seconds.
Scored chooseAdaptive(std::vector<std::size_t> side, const ScoreInput &input, Random &random)
{
    const bool isLong = input.request.promptTokens >= kLongPromptTokens;
    const std::size_t most
            = isLong ? side.size()
                     : std::min(side.size(), std::max<std::size_t>(2, side.size() / 2));
    double bestHit = 0;
    std::size_t holder = side.front();
    for (const std::size_t index : side) {
        for (const PrefixHit &hit : input.hits) {
            if (hit.discountedTokens > bestHit && hit.endpoint == input.view.endpoints[index].id) {
                bestHit = hit.discountedTokens;
                holder = index;
            }
        }
    }
    const double prefill
            = static_cast<double>(input.request.promptTokens) / input.defaultPrefillRate;
    const double enough = std::min(kDrawMoreSeconds, kDrawMoreShare * prefill);
    drawToFront(side, most, random);
    Scored best = score(input, side.front());
    for (std::size_t i = 1; i < most; ++i) {
        if (i >= kRandomCandidates && best.total - prefill <= enough)
            break;
        const Scored candidate = score(input, side[i]);
        if (candidate.total < best.total)
            best = candidate;
    }
    if (bestHit > 0) {
        const Scored candidate = score(input, holder);
        if (candidate.total < best.total)
            best = candidate;
    }
    return best;
}

Scored bestOf(const std::vector<std::size_t> &indices, const ScoreInput &input)
{
    Scored best = score(input, indices.front());
    for (const std::size_t index : indices) {
        const Scored candidate = score(input, index);
        if (candidate.total < best.total)
            best = candidate;
    }
    return best;
}

RouteDecision decided(RouteOutcome outcome, const Scored &scored)
{
    RouteDecision decision;
    decision.outcome = outcome;
    if (outcome == RouteOutcome::Endpoint)
        decision.chosen = {scored.index};
    decision.expectedFirstToken = Millis(std::llround(std::ceil(scored.total * 1000)));
    decision.prefixHitTokens = static_cast<std::uint64_t>(scored.hitTokens);
    return decision;
}

RouteDecision adaptive(const Sides &sides, const ScoreInput &input, Millis queueTarget,
                       Random &random)
{
    const auto ready = [&](const std::vector<std::size_t> &side) {
        std::vector<std::size_t> result;
        for (const std::size_t index : side) {
            if (takesMore(input.view.endpoints[index], input.request, queueTarget,
                          input.defaultPrefillRate))
                result.push_back(index);
        }
        return result;
    };
    const std::vector<std::size_t> own = ready(sides.own);
    const std::vector<std::size_t> other = ready(sides.other);
    if (own.empty() && other.empty()) {
        const std::vector<std::size_t> &any = sides.own.empty() ? sides.other : sides.own;
        return decided(RouteOutcome::Wait, bestOf(any, input));
    }
    if (own.empty())
        return decided(RouteOutcome::Endpoint, chooseAdaptive(other, input, random));
    const Scored best = chooseAdaptive(own, input, random);
    const double prefill
            = static_cast<double>(input.request.promptTokens) / input.defaultPrefillRate;
    if (!other.empty() && best.queueing > std::min(kSpillQueueingSeconds, kSpillShare * prefill)) {
        const Scored spill = chooseAdaptive(other, input, random);
        const bool isShort = input.request.promptTokens <= kShortPromptTokens;
        if (spill.total * (isShort ? 1 : kSpillFactor) < best.total)
            return decided(RouteOutcome::Endpoint, spill);
    }
    return decided(RouteOutcome::Endpoint, best);
}

std::size_t baseline(std::vector<std::size_t> side, const FleetView &view, RoutingPolicy policy,
                     Random &random)
{
    const auto outstanding
            = [&](std::size_t index) { return view.endpoints[index].ownOutstanding; };
    if (policy == RoutingPolicy::RoundRobin) {
        std::sort(side.begin(), side.end(), [&](std::size_t a, std::size_t b) {
            return view.endpoints[a].id < view.endpoints[b].id;
        });
        return side[view.sequence % side.size()];
    }
    if (policy == RoutingPolicy::PowerOfTwo) {
        const std::size_t draws = std::min<std::size_t>(2, side.size());
        drawToFront(side, draws, random);
        return outstanding(side[draws - 1]) < outstanding(side[0]) ? side[draws - 1] : side[0];
    }
    // Ties are broken at random; otherwise idle processes would all prefer the first endpoint.
    drawToFront(side, side.size() - 1, random);
    return *std::min_element(side.begin(), side.end(), [&](std::size_t a, std::size_t b) {
        return outstanding(a) < outstanding(b);
    });
}

bool hasModel(const EndpointView &endpoint, std::string_view model)
{
    if (model.empty())
        return true;
    return std::any_of(endpoint.models.begin(), endpoint.models.end(), [&](std::string_view entry) {
        return entry.starts_with(model)
               && (entry.size() == model.size() || entry[model.size()] == ':'
                   || entry[model.size()] == '@');
    });
}

bool couldHold(const EndpointView &endpoint, std::uint64_t tokens)
{
    return endpoint.kvCapacityTokens == 0 || endpoint.kvCapacityTokens >= tokens;
}

} // namespace

Priority enginePriority(Priority priority, std::uint64_t promptTokens)
{
    if (priority == Priority::Normal && promptTokens <= kShortPromptTokens)
        return Priority::Urgent;
    return priority;
}

std::uint64_t neededTokens(const RouteRequest &request)
{
    return request.promptTokens + request.maxTokens;
}

std::uint64_t freeTokens(const EndpointView &endpoint)
{
    if (endpoint.kvCapacityTokens == 0)
        return std::numeric_limits<std::uint64_t>::max();
    const std::uint64_t used = endpoint.kvUsedTokens + endpoint.unreportedTokens;
    return used >= endpoint.kvCapacityTokens ? 0 : endpoint.kvCapacityTokens - used;
}

bool isUsable(const EndpointView &endpoint, const RouteRequest &request)
{
    return endpoint.sendPermitted && !endpoint.ejected && hasModel(endpoint, request.model)
           && std::find(request.excluded.begin(), request.excluded.end(), endpoint.id)
                      == request.excluded.end();
}

bool needsGroup(const RouteRequest &request, const FleetView &view)
{
    return std::none_of(view.endpoints.begin(), view.endpoints.end(), [&](const auto &endpoint) {
        return couldHold(endpoint, neededTokens(request));
    });
}

double effectivePrefillRate(const EndpointView &endpoint, double defaultPrefillRate)
{
    const double rate = endpoint.prefillTokensPerSecond > 0 ? endpoint.prefillTokensPerSecond
                                                            : defaultPrefillRate;
    return std::max(rate / std::max(endpoint.slowFactor, 0.1), 1.0);
}

double defaultPrefillRate(const FleetView &view)
{
    double sum = 0;
    int known = 0;
    for (const EndpointView &endpoint : view.endpoints) {
        if (endpoint.prefillTokensPerSecond > 0) {
            sum += endpoint.prefillTokensPerSecond;
            ++known;
        }
    }
    return known == 0 ? kFallbackPrefillRate : sum / known;
}

void recordPrompt(TokenLoad &load, std::uint64_t promptTokens, TimePoint now)
{
    if (now > load.updated) {
        const std::chrono::duration<double> age = now - load.updated;
        const double remaining = std::exp2(-age / kLoadHalfLife);
        load.shortTokens *= remaining;
        load.longTokens *= remaining;
        load.updated = now;
    }
    (promptTokens >= kLongPromptTokens ? load.longTokens : load.shortTokens)
            += static_cast<double>(promptTokens);
}

double longTokenShare(const TokenLoad &load)
{
    const double total = load.shortTokens + load.longTokens;
    return total > 0 ? load.longTokens / total : 0.5;
}

std::size_t longPartitionSize(std::size_t endpoints, double longTokenShare)
{
    if (endpoints < 2)
        return endpoints;
    const auto size = static_cast<std::size_t>(
            std::llround(std::clamp(longTokenShare, 0.0, 1.0) * static_cast<double>(endpoints)));
    return std::clamp<std::size_t>(size, 1, endpoints - 1);
}

RouteDecision planGroup(const RouteRequest &request, const FleetView &view)
{
    const std::uint64_t needed = neededTokens(request);
    std::uint64_t serviceCapacity = 0;
    bool unknownCapacity = false;
    std::uint64_t usableFree = 0;
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < view.endpoints.size(); ++i) {
        const EndpointView &endpoint = view.endpoints[i];
        serviceCapacity += endpoint.kvCapacityTokens;
        unknownCapacity = unknownCapacity || endpoint.kvCapacityTokens == 0;
        if (isUsable(endpoint, request)) {
            usable.push_back(i);
            usableFree += freeTokens(endpoint);
        }
    }
    RouteDecision decision;
    if (serviceCapacity < needed && !unknownCapacity) {
        decision.outcome = RouteOutcome::Impossible;
        return decision;
    }
    if (usable.empty())
        return decision;
    const auto freeOf = [&](std::size_t index) { return freeTokens(view.endpoints[index]); };
    std::sort(usable.begin(), usable.end(),
              [&](std::size_t a, std::size_t b) { return freeOf(a) > freeOf(b); });
    const double rate = defaultPrefillRate(view);
    double expected = 0;
    std::uint64_t collected = 0;
    for (const std::size_t index : usable) {
        if (collected >= needed)
            break;
        const EndpointView &endpoint = view.endpoints[index];
        const double memberRate = effectivePrefillRate(endpoint, rate);
        const std::uint64_t segment = std::min(freeOf(index), needed - collected);
        expected += queueingSeconds(endpoint, memberRate)
                    + static_cast<double>(segment) / memberRate;
        collected += segment;
        decision.chosen.push_back(index);
    }
    decision.expectedFirstToken = Millis(std::llround(std::ceil(expected * 1000)));
    decision.outcome = RouteOutcome::Group;
    if (usableFree < needed) {
        decision.outcome = RouteOutcome::Wait;
        decision.chosen.clear();
    }
    std::sort(decision.chosen.begin(), decision.chosen.end(), [&](std::size_t a, std::size_t b) {
        return view.endpoints[a].id < view.endpoints[b].id;
    });
    return decision;
}

RouteDecision chooseEndpoint(const RouteRequest &request, const FleetView &view,
                             const RoutingSettings &settings, const PrefixIndex &prefixes,
                             Random &random)
{
    if (!view.endpoints.empty() && needsGroup(request, view))
        return planGroup(request, view);
    std::vector<std::size_t> usable;
    usable.reserve(view.endpoints.size());
    for (std::size_t i = 0; i < view.endpoints.size(); ++i) {
        if (isUsable(view.endpoints[i], request)
            && couldHold(view.endpoints[i], neededTokens(request)))
            usable.push_back(i);
    }
    // The endpoints that could hold it alone are away: a group of the others may.
    if (usable.empty())
        return view.endpoints.empty() ? RouteDecision() : planGroup(request, view);
    const std::vector<PrefixHit> hits = request.prefixHashes.empty()
                                                ? std::vector<PrefixHit>()
                                                : prefixes.find(request.prefixHashes, view.now);
    const ScoreInput input{request, view, hits, defaultPrefillRate(view)};
    const Sides sides = divide(std::move(usable), request, view, settings.poolMode);
    if (settings.policy == RoutingPolicy::Adaptive)
        return adaptive(sides, input, settings.queueTarget, random);
    const std::size_t index = baseline(sides.own, view, settings.policy, random);
    return decided(RouteOutcome::Endpoint, score(input, index));
}

} // namespace cicadafork
