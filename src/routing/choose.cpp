#include "routing/choose.h"

#include "base/hash.h"
#include "routing/prefixindex.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>

namespace cicadafork {

namespace {

/// Prefill rate assumed while no rate of the service is known, in tokens/s.
constexpr double kFallbackPrefillRate = 20'000;
/// Delay of the first token per running sequence, in seconds. With a batch of 32, a step takes
/// about twice its base time.
constexpr double kSecondsPerRunningSequence = 0.001;
/// Extra latency of another failure domain, in seconds: two one-way latencies of just under 1 ms.
constexpr double kCrossDomainPenaltySeconds = 0.002;
constexpr std::uint32_t kMaxWaitingRequests = 64;
constexpr std::size_t kMinSampleSize = 2;
/// More candidates are sampled, up to half of the pool, while the best one is expected to take
/// longer than the prefill alone by the smaller of these two limits: a multiple of the prefill, and
/// a time. They are equal for a 1k prompt at 20,000 tokens/s; faster engines need the multiple.
/// Lower limits make processes choose the same endpoint between two reports: with multiples of 0.25
/// and 2 the unit tests of spreading and of a pool with few long prompts fail.
constexpr double kExtraSamplesPrefillMultiple = 5;
constexpr double kExtraSamplesSeconds = 0.25;
/// A prompt spills over to the other partition if its expected time there is shorter by this
/// factor. For a short prompt, which occupies an endpoint only briefly, any improvement suffices.
constexpr double kSpillFactor = 2;
/// Spilling is considered above the smaller of this queueing time and this multiple of the prefill.
constexpr double kSpillQueueingSeconds = 0.5;
constexpr double kSpillPrefillMultiple = 0.25;
constexpr std::chrono::duration<double> kLoadHalfLife{30};

struct ScoredEndpoint
{
    std::size_t index = 0;
    double queueing = 0; ///< Expected queueing time in seconds.
    double total = 0;    ///< Queueing, prefill and domain penalty in seconds.
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
           + kSecondsPerRunningSequence
                     * (endpoint.running + endpoint.waiting + endpoint.unreportedRequests);
}

ScoredEndpoint score(const ScoreInput &input, std::size_t index)
{
    const EndpointView &endpoint = input.view.endpoints[index];
    const double rate = effectivePrefillRate(endpoint, input.defaultPrefillRate);
    ScoredEndpoint scored;
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
        scored.total += kCrossDomainPenaltySeconds;
    return scored;
}

/// True if the endpoint has enough free memory, and no more queued work than it needs to stay busy.
bool canAccept(const EndpointView &endpoint, const RouteRequest &request, Millis queueTarget,
               double defaultPrefillRate)
{
    if (freeTokens(endpoint) < neededTokens(request))
        return false;
    const double allowance = request.priority == Priority::Urgent ? 2 : 1;
    const double tokens = static_cast<double>(endpoint.waitingTokens + endpoint.unreportedTokens);
    const double target = std::chrono::duration<double>(queueTarget).count();
    // The engine runs these before the prompts in its queue (see enginePriority).
    const bool overtakes
            = enginePriority(request.priority, request.promptTokens) == Priority::Urgent;
    return (overtakes
            || tokens / effectivePrefillRate(endpoint, defaultPrefillRate) < allowance * target)
           && endpoint.waiting + endpoint.unreportedRequests < allowance * kMaxWaitingRequests;
}

/// Sorts by a hash of the id, so that all processes divide a pool in the same way.
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

struct Partitions
{
    std::vector<std::size_t> own;
    std::vector<std::size_t> other; ///< Used only if prompts spill over.
};

Partitions partitionPool(std::vector<std::size_t> usable, const RouteRequest &request,
                         const FleetView &view, PoolMode mode)
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
    std::vector<std::size_t> longPartition(usable.begin(), middle);
    std::vector<std::size_t> shortPartition(middle, usable.end());
    if (isLong)
        return {std::move(longPartition), std::move(shortPartition)};
    return {std::move(shortPartition), std::move(longPartition)};
}

/// Moves a random sample of `count` elements to the front.
void sampleToFront(std::vector<std::size_t> &values, std::size_t count, Random &random)
{
    for (std::size_t i = 0; i < count; ++i) {
        std::uniform_int_distribution<std::size_t> pick(i, values.size() - 1);
        std::swap(values[i], values[pick(random)]);
    }
}

/// Returns the best of a random sample and of the endpoint with the best prefix hit. If every
/// process compared the whole pool, all would choose the endpoint that was idle in the last report.
///
/// Long prompts compare the whole pool: few of them are sent between two reports, and one that
/// misses the last idle endpoint waits for seconds.
ScoredEndpoint bestOfSample(std::vector<std::size_t> partition, const ScoreInput &input,
                            Random &random)
{
    const bool isLong = input.request.promptTokens >= kLongPromptTokens;
    const std::size_t maxSampleSize
            = isLong ? partition.size()
                     : std::min(partition.size(), std::max<std::size_t>(2, partition.size() / 2));
    double bestHit = 0;
    std::size_t holder = partition.front();
    for (const std::size_t index : partition) {
        for (const PrefixHit &hit : input.hits) {
            if (hit.discountedTokens > bestHit && hit.endpoint == input.view.endpoints[index].id) {
                bestHit = hit.discountedTokens;
                holder = index;
            }
        }
    }
    const double prefill
            = static_cast<double>(input.request.promptTokens) / input.defaultPrefillRate;
    const double acceptableDelay
            = std::min(kExtraSamplesSeconds, kExtraSamplesPrefillMultiple * prefill);
    sampleToFront(partition, maxSampleSize, random);
    ScoredEndpoint best = score(input, partition.front());
    for (std::size_t i = 1; i < maxSampleSize; ++i) {
        if (i >= kMinSampleSize && best.total - prefill <= acceptableDelay)
            break;
        const ScoredEndpoint candidate = score(input, partition[i]);
        if (candidate.total < best.total)
            best = candidate;
    }
    if (bestHit > 0) {
        const ScoredEndpoint candidate = score(input, holder);
        if (candidate.total < best.total)
            best = candidate;
    }
    return best;
}

ScoredEndpoint bestOfAll(const std::vector<std::size_t> &indices, const ScoreInput &input)
{
    ScoredEndpoint best = score(input, indices.front());
    for (const std::size_t index : indices) {
        const ScoredEndpoint candidate = score(input, index);
        if (candidate.total < best.total)
            best = candidate;
    }
    return best;
}

RouteDecision makeDecision(RouteOutcome outcome, const ScoredEndpoint &scored)
{
    RouteDecision decision;
    decision.outcome = outcome;
    if (outcome == RouteOutcome::Endpoint)
        decision.chosen = {scored.index};
    decision.expectedFirstToken = Millis(std::llround(std::ceil(scored.total * 1000)));
    decision.prefixHitTokens = static_cast<std::uint64_t>(scored.hitTokens);
    return decision;
}

RouteDecision adaptiveDecision(const Partitions &partitions, const ScoreInput &input,
                               Millis queueTarget, Random &random)
{
    const auto accepting = [&](const std::vector<std::size_t> &partition) {
        std::vector<std::size_t> result;
        for (const std::size_t index : partition) {
            if (canAccept(input.view.endpoints[index], input.request, queueTarget,
                          input.defaultPrefillRate))
                result.push_back(index);
        }
        return result;
    };
    const std::vector<std::size_t> own = accepting(partitions.own);
    const std::vector<std::size_t> other = accepting(partitions.other);
    if (own.empty() && other.empty()) {
        const std::vector<std::size_t> &any
                = partitions.own.empty() ? partitions.other : partitions.own;
        return makeDecision(RouteOutcome::Wait, bestOfAll(any, input));
    }
    if (own.empty())
        return makeDecision(RouteOutcome::Endpoint, bestOfSample(other, input, random));
    const ScoredEndpoint best = bestOfSample(own, input, random);
    const double prefill
            = static_cast<double>(input.request.promptTokens) / input.defaultPrefillRate;
    if (!other.empty()
        && best.queueing > std::min(kSpillQueueingSeconds, kSpillPrefillMultiple * prefill)) {
        const ScoredEndpoint spill = bestOfSample(other, input, random);
        const bool isShort = input.request.promptTokens <= kShortPromptTokens;
        if (spill.total * (isShort ? 1 : kSpillFactor) < best.total)
            return makeDecision(RouteOutcome::Endpoint, spill);
    }
    return makeDecision(RouteOutcome::Endpoint, best);
}

std::size_t baselineChoice(std::vector<std::size_t> partition, const FleetView &view,
                           RoutingPolicy policy, Random &random)
{
    const auto outstanding
            = [&](std::size_t index) { return view.endpoints[index].ownOutstanding; };
    if (policy == RoutingPolicy::RoundRobin) {
        std::sort(partition.begin(), partition.end(), [&](std::size_t a, std::size_t b) {
            return view.endpoints[a].id < view.endpoints[b].id;
        });
        return partition[view.sequence % partition.size()];
    }
    if (policy == RoutingPolicy::PowerOfTwo) {
        const std::size_t sampleSize = std::min<std::size_t>(2, partition.size());
        sampleToFront(partition, sampleSize, random);
        return outstanding(partition[sampleSize - 1]) < outstanding(partition[0])
                       ? partition[sampleSize - 1]
                       : partition[0];
    }
    // Ties are broken at random; otherwise processes without outstanding requests would all choose
    // the first endpoint.
    sampleToFront(partition, partition.size() - 1, random);
    return *std::min_element(partition.begin(), partition.end(), [&](std::size_t a, std::size_t b) {
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

bool hasCapacityFor(const EndpointView &endpoint, std::uint64_t tokens)
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
        return hasCapacityFor(endpoint, neededTokens(request));
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
            && hasCapacityFor(view.endpoints[i], neededTokens(request)))
            usable.push_back(i);
    }
    // No usable endpoint can hold the request alone; a group of endpoints may.
    if (usable.empty())
        return view.endpoints.empty() ? RouteDecision() : planGroup(request, view);
    const std::vector<PrefixHit> hits = request.prefixHashes.empty()
                                                ? std::vector<PrefixHit>()
                                                : prefixes.find(request.prefixHashes, view.now);
    const ScoreInput input{request, view, hits, defaultPrefillRate(view)};
    const Partitions partitions
            = partitionPool(std::move(usable), request, view, settings.poolMode);
    if (settings.policy == RoutingPolicy::Adaptive)
        return adaptiveDecision(partitions, input, settings.queueTarget, random);
    const std::size_t index = baselineChoice(partitions.own, view, settings.policy, random);
    return makeDecision(RouteOutcome::Endpoint, score(input, index));
}

} // namespace cicadafork
