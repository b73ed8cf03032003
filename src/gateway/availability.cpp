#include "gateway/availability.h"

#include <algorithm>

namespace cicadafork::gateway {

AvailabilityDecision decideByAvailability(const ServiceAvailability &availability, TimePoint giveUp)
{
    if (availability.accepting > 0)
        return AvailabilityDecision::Place;
    if (availability.quiet == 0 || availability.firstAccepts < giveUp)
        return AvailabilityDecision::Wait;
    return AvailabilityDecision::Refuse;
}

RetryAfterRange retryAfterQuiet(const ServiceAvailability &availability, Millis minSpread,
                                TimePoint now)
{
    const Millis first = std::chrono::ceil<Millis>(availability.firstAccepts - now);
    const Millis last = std::chrono::ceil<Millis>(availability.lastAccepts - now);
    const Millis earliest = std::max(Millis(0), first);
    return {earliest, std::max(last, earliest + minSpread)};
}

} // namespace cicadafork::gateway
