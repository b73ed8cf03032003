#include "prefixcache/prefixcache.h"

#include "prefixcache/promptprefix.h"

#include <algorithm>
#include <cmath>
#include <cstring>

namespace cicadafork::gateway {

namespace {

/// A request whose endpoint has less than this share of a prefix, by age, counts as a miss.
constexpr double kMaxMissShare = 0.05;

/// The index names holders by text. The bytes of the key fit into a string without an allocation.
std::string holderName(EndpointKey key)
{
    std::string name(sizeof key, '\0');
    std::memcpy(name.data(), &key, sizeof key);
    return name;
}

EndpointKey keyOf(const std::string &holder)
{
    EndpointKey key = 0;
    std::memcpy(&key, holder.data(), sizeof key);
    return key;
}

/// Prefill time of the recorded prefix, weighted by its age.
FloatMillis heldPrefill(const EngineModel &engine, const PrefixHit &hit)
{
    if (hit.tokens == 0)
        return FloatMillis(0);
    return prefillTime(engine, hit.tokens)
           * (hit.discountedTokens / static_cast<double>(hit.tokens));
}

bool isComparable(FloatMillis held, FloatMillis prefill)
{
    return held >= kMinHeldPrefill && held >= kMinHeldShare * prefill;
}

} // namespace

bool PrefixCache::saves(const std::string &service) const
{
    return !savings_.empty() && savings_.contains(service);
}

SavingEstimate PrefixCache::estimate(const std::string &service) const
{
    const auto found = histories_.find(service);
    return found == histories_.end() ? SavingEstimate() : estimateSaving(found->second);
}

Placement PrefixCache::prefer(const std::string &service, const CallerFields &fields,
                              const Placement &placement, const PlacementRequest &request,
                              const EngineModel &engine, std::span<const EndpointView> endpoints,
                              TimePoint now) const
{
    if (savings_.empty() || placement.outcome != PlacementOutcome::Send
        || !placement.helpers.empty())
        return placement;
    const auto saving = savings_.find(service);
    if (saving == savings_.end())
        return placement;
    std::vector<HeldPrefix> held;
    for (const PrefixHit &hit : index_.find(promptPrefixes(fields), now)) {
        const double share = saving->second.share;
        held.push_back({keyOf(hit.endpoint),
                        static_cast<std::uint64_t>(share * hit.discountedTokens),
                        share * heldPrefill(engine, hit)});
    }
    return held.empty() ? placement : preferHolder(placement, held, request, engine, endpoints);
}

PrefixUse PrefixCache::noteSent(const CallerFields &fields, const Placement &placement,
                                const EngineModel &engine, TimePoint now) const
{
    PrefixUse use;
    // Which parts of a divided prompt an endpoint keeps is unknown.
    if (!placement.helpers.empty())
        return use;
    use.prefixes = promptPrefixes(fields);
    if (use.prefixes.empty())
        return use;
    const FloatMillis prefill = placement.prefillTime;
    const auto found = index_.findAt(holderName(placement.head), use.prefixes, now);
    const FloatMillis held = found ? heldPrefill(engine, *found) : FloatMillis(0);
    const FloatMillis longest = prefillTime(engine, use.prefixes.back().tokens);
    const bool miss = held <= kMaxMissShare * longest;
    use.hit = found && !miss;
    if (miss ? isComparable(longest, prefill) : isComparable(held, prefill)) {
        use.observation = {.prefill = prefill,
                           .heldPrefill = miss ? FloatMillis(0) : held,
                           .expectedWait = placement.firstEvent - prefill};
    }
    return use;
}

void PrefixCache::noteFirstEvent(const std::string &service, EndpointKey endpoint,
                                 const PrefixUse &use, FloatMillis took, FloatMillis expected,
                                 TimePoint now)
{
    if (use.prefixes.empty())
        return;
    index_.recordDispatch(holderName(endpoint), std::span<const Prefix>(use.prefixes), now);
    if (!use.observation)
        return;
    if (!histories_.contains(service) && histories_.size() >= kMaxServices)
        return;
    FirstEventObservation observation = *use.observation;
    observation.deviation = took - expected;
    SavingHistory &history = histories_[service];
    cicadafork::gateway::noteFirstEvent(history, observation, now);
    const SavingEstimate estimate = estimateSaving(history);
    if (estimate.share > 0)
        savings_[service] = estimate;
    else
        savings_.erase(service);
}

void PrefixCache::forget(EndpointKey endpoint)
{
    index_.removeEndpoint(holderName(endpoint));
}

} // namespace cicadafork::gateway
