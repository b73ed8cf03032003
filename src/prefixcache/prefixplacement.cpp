#include "prefixcache/prefixplacement.h"

#include <algorithm>

namespace cicadafork::gateway {

namespace {

/// Cost of a pause of one other stream, relative to the same time until the own first event. A
/// pause within the gap of a stream makes nothing late, but uses up its margin. In the simulated
/// fleet at 1.1 of the load, 0.25 and 1 left fewer requests on time.
constexpr double kPauseWeight = 0.1;
/// Smallest gain for which a request is moved: the range of the tie breaker among endpoints of
/// equal rank, by which daemons avoid each other.
constexpr FloatMillis kMinGain{20};
/// Streams that a holder may have in addition to those of the chosen endpoint, as a share of its
/// slots.
constexpr double kExtraStreamsShare = 0.25;

const EndpointView *findView(std::span<const EndpointView> endpoints, EndpointKey key)
{
    const auto found = std::ranges::find(endpoints, key, &EndpointView::key);
    return found == endpoints.end() ? nullptr : &*found;
}

FloatMillis savingAt(const EndpointView &endpoint, const HeldPrefix &held, FloatMillis prefill)
{
    return endpoint.slowdown * std::min(held.saving, prefill);
}

FloatMillis cost(const EndpointView &endpoint, FloatMillis firstEvent, FloatMillis prefill,
                 FloatMillis saving)
{
    const FloatMillis pause = endpoint.slowdown * prefill - saving;
    return firstEvent - saving + kPauseWeight * endpoint.load.decodingSequences * pause;
}

} // namespace

Placement preferHolder(const Placement &chosen, std::span<const HeldPrefix> held,
                       const PlacementRequest &request, const EngineModel &engine,
                       std::span<const EndpointView> endpoints)
{
    const EndpointView *from = findView(endpoints, chosen.head);
    if (chosen.outcome != PlacementOutcome::Send || !chosen.helpers.empty() || !from)
        return chosen;
    Placement best = chosen;
    const auto atChosen = std::ranges::find(held, chosen.head, &HeldPrefix::endpoint);
    if (atChosen != held.end() && atChosen->saving > FloatMillis(0)) {
        best.prefixSaving = savingAt(*from, *atChosen, chosen.prefillTime);
        best.prefixTokens = atChosen->tokens;
    }
    FloatMillis lowest
            = cost(*from, chosen.firstEvent, chosen.prefillTime, best.prefixSaving) - kMinGain;
    for (const HeldPrefix &holder : held) {
        const EndpointView *to = findView(endpoints, holder.endpoint);
        if (!to || to == from || holder.saving <= FloatMillis(0))
            continue;
        if (to->load.sequences > from->load.sequences + kExtraStreamsShare * to->slots)
            continue;
        const auto firstEvent = firstEventIfHead(request, engine, chosen, *from, *to);
        if (!firstEvent)
            continue;
        const FloatMillis saving = savingAt(*to, holder, chosen.prefillTime);
        const FloatMillis candidate = cost(*to, *firstEvent, chosen.prefillTime, saving);
        if (candidate >= lowest)
            continue;
        lowest = candidate;
        best.head = to->key;
        best.firstEvent = *firstEvent;
        best.prefixSaving = saving;
        best.prefixTokens = holder.tokens;
        best.reason = "holds a prefix of the prompt";
    }
    return best;
}

} // namespace cicadafork::gateway
