#pragma once

// Decides what to do with a request for which no endpoint accepts requests at the moment, because
// the endpoints have said that they leave or have asked for some time without requests.
//
//   switch (decideByAvailability(endpoints.availability(service, now), giveUp)) { ... }

#include "base/clock.h"

namespace cicadafork::gateway {

/// What the endpoints of a service have said about themselves, and the operators about their
/// failure domains. Only those whose record is ready count.
struct ServiceAvailability
{
    unsigned accepting = 0; ///< None of the following.
    unsigned quiet = 0;     ///< Want no requests for some time.
    unsigned leaving = 0;
    TimePoint firstAccepts{}; ///< The first of the quiet ones accepts requests again.
    TimePoint lastAccepts{};  ///< The last one does.
    unsigned evacuated = 0;   ///< In an evacuated failure domain, and not leaving.
};

enum class AvailabilityDecision {
    Place,
    Wait,   ///< An endpoint may accept the request before it gives up.
    Refuse, ///< No known endpoint will.
};

/// `giveUp` is the deadline of the request or the end of its time in the queue, whichever is
/// earlier. A request waits for new endpoints if all known ones leave or are evacuated.
AvailabilityDecision decideByAvailability(const ServiceAvailability &availability,
                                          TimePoint giveUp);

struct RetryAfterRange
{
    Millis earliest{0};
    Millis latest{0};
};

/// When callers may come back if only quiet endpoints are left: from the time at which the first
/// accepts requests to that of the last one, but over `minSpread` at least.
RetryAfterRange retryAfterQuiet(const ServiceAvailability &availability, Millis minSpread,
                                TimePoint now);

} // namespace cicadafork::gateway
