#include "prefixcache/savingestimate.h"

#include <algorithm>
#include <cmath>

namespace cicadafork::gateway {

namespace {

/// Weight of the earlier pairs after each new one: about the last 128 pairs count, so that a change
/// of the engines shows within some tens of pairs.
constexpr double kKeptWeight = 1 - 1.0 / 128;
/// Longest time between the two requests of a pair. The load changes over longer times.
constexpr Millis kMaxPairAge{300'000};
/// Limit of a deviation relative to the prefill, for hits and misses alike: a stalled request must
/// not outweigh all others.
constexpr double kMaxRelativeDeviation = 3;
/// Prefills of half this time and less are in the first class.
constexpr FloatMillis kFirstClass{8};
/// Requests whose wait is longer than this share of their prefill are not compared with others.
constexpr double kWaitClassShare = 0.25;

std::size_t classOf(const FirstEventObservation &observation)
{
    const double doublings = std::log2(std::max(observation.prefill / kFirstClass, 1.0));
    const auto prefill = std::min(static_cast<std::size_t>(2 * doublings), kPrefillClasses - 1);
    const bool waits = observation.expectedWait > kWaitClassShare * observation.prefill;
    return prefill * kWaitClasses + (waits ? 1 : 0);
}

void addPair(SavingHistory &history, double heldShare, double difference)
{
    const double hd = heldShare * difference;
    const double hh = heldShare * heldShare;
    const double squaredWeight = kKeptWeight * kKeptWeight;
    history.pairs = kKeptWeight * history.pairs + 1;
    history.sumHd = kKeptWeight * history.sumHd + hd;
    history.sumHh = kKeptWeight * history.sumHh + hh;
    history.sumHdSquared = squaredWeight * history.sumHdSquared + hd * hd;
    history.sumHhHd = squaredWeight * history.sumHhHd + hh * hd;
    history.sumHhSquared = squaredWeight * history.sumHhSquared + hh * hh;
}

} // namespace

void noteFirstEvent(SavingHistory &history, const FirstEventObservation &observation, TimePoint now)
{
    if (observation.prefill <= FloatMillis(0))
        return;
    const bool hit = observation.heldPrefill > FloatMillis(0);
    const SavingHistory::Unpaired latest{
            .relativeDeviation = std::clamp(observation.deviation / observation.prefill,
                                            -kMaxRelativeDeviation, kMaxRelativeDeviation),
            .heldShare = std::min(observation.heldPrefill / observation.prefill, 1.0),
            .at = now};
    SavingHistory::Class &group = history.classes[classOf(observation)];
    if (hit == group.hitFirst) {
        group.first = latest;
        return;
    }
    if (!group.first || now - group.first->at > kMaxPairAge)
        return;
    const SavingHistory::Unpaired &hitOfPair = hit ? latest : *group.first;
    const SavingHistory::Unpaired &missOfPair = hit ? *group.first : latest;
    addPair(history, hitOfPair.heldShare,
            missOfPair.relativeDeviation - hitOfPair.relativeDeviation);
    group.first.reset();
    group.hitFirst = !group.hitFirst;
}

SavingEstimate estimateSaving(const SavingHistory &history)
{
    SavingEstimate estimate;
    estimate.pairs = history.pairs;
    if (history.sumHh <= 0 || history.sumHdSquared <= 0)
        return estimate;
    estimate.confidence = history.sumHd / std::sqrt(history.sumHdSquared);
    if (history.pairs < kMinPairs || estimate.confidence < kMinConfidence)
        return estimate;
    const double mean = history.sumHd / history.sumHh;
    const double squaredResiduals = history.sumHdSquared - 2 * mean * history.sumHhHd
                                    + mean * mean * history.sumHhSquared;
    const double error = std::sqrt(std::max(squaredResiduals, 0.0)) / history.sumHh;
    const double share = std::min(mean - error, 1.0);
    if (share >= kMinSavedShare)
        estimate.share = share;
    return estimate;
}

} // namespace cicadafork::gateway
