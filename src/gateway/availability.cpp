#include "gateway/availability.h"

#include <algorithm>

namespace cicadafork::gateway {

namespace {

// Longest Retry-After; callers come back within a part of their deadlines or not at all.
constexpr std::chrono::duration<double> kLongestQueue{30};

} // namespace

AvailabilityDecision decideByAvailability(const ServiceAvailability &availability,
                                          const WaitingFacts &facts, TimePoint now)
{
    if (availability.accepting > 0)
        return AvailabilityDecision::Place;
    if (availability.quiet == 0 && availability.limited == 0) {
        return availability.leftToOthers > 0 ? AvailabilityDecision::Refuse
                                             : AvailabilityDecision::Wait;
    }
    if (availability.firstAccepts >= facts.giveUp)
        return AvailabilityDecision::Refuse;
    if (availability.limitEnds && *availability.limitEnds < facts.giveUp)
        return AvailabilityDecision::Wait;
    if (availability.quiet > 0 || facts.waits)
        return AvailabilityDecision::Wait;
    const double left = std::chrono::duration<double>(facts.giveUp - now).count();
    const double sent = availability.perSecond * left;
    return static_cast<double>(facts.before) < sent ? AvailabilityDecision::Wait
                                                    : AvailabilityDecision::Refuse;
}

RetryAfterRange retryAfterQuiet(const ServiceAvailability &availability, Millis minSpread,
                                std::size_t waiting, TimePoint now)
{
    const Millis first = std::chrono::ceil<Millis>(availability.firstAccepts - now);
    const Millis last = std::chrono::ceil<Millis>(availability.lastAccepts - now);
    Millis earliest = std::max(Millis(0), first);
    if (availability.quiet == 0 && availability.perSecond > 0) {
        const std::chrono::duration<double> queued(static_cast<double>(waiting)
                                                   / availability.perSecond);
        earliest = std::max(earliest, std::chrono::ceil<Millis>(std::min(queued, kLongestQueue)));
    }
    return {earliest, std::max(last, earliest + minSpread)};
}

} // namespace cicadafork::gateway
