#pragma once

// Decides what to do with a request for which no endpoint accepts requests at the moment, because
// the endpoints have said that they leave or have asked for some time without requests.
//
//   switch (decideByAvailability(endpoints.availability(service, now), giveUp)) { ... }

#include "base/clock.h"

#include <cstddef>
#include <optional>

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
    /// Have had all that this daemon may send them for now; firstAccepts and lastAccepts include
    /// them.
    unsigned limited = 0;
    unsigned leftToOthers = 0; ///< Have a limit of which this daemon may use nothing.
    /// Requests a second that this daemon may send to all endpoints with a limit together.
    double perSecond = 0;
    /// When the first of the cold endpoints may be sent any number of requests again.
    std::optional<TimePoint> limitEnds = {};
};

enum class AvailabilityDecision {
    Place,
    Wait,   ///< An endpoint may accept the request before it gives up.
    Refuse, ///< No known endpoint will.
};

/// A request that may have to wait.
struct WaitingFacts
{
    /// Its deadline or the end of its time in the queue, whichever is earlier.
    TimePoint giveUp{};
    std::size_t before = 0; ///< Requests for the service that wait already.
    bool waits = false;     ///< It is one of those that wait.
};

/// A request waits for new endpoints if all known ones leave or are evacuated. With limits, no more
/// requests wait than endpoints will accept from this daemon, unless the limit of a cold endpoint
/// ends in time.
AvailabilityDecision decideByAvailability(const ServiceAvailability &availability,
                                          const WaitingFacts &facts, TimePoint now);

struct RetryAfterRange
{
    Millis earliest{0};
    Millis latest{0};
};

/// When callers may come back if only quiet endpoints and such with a limit are left: from the time
/// at which the first accepts requests, but not before the waiting requests have been sent, to that
/// of the last one, but over `minSpread` at least.
RetryAfterRange retryAfterQuiet(const ServiceAvailability &availability, Millis minSpread,
                                std::size_t waiting, TimePoint now);

} // namespace cicadafork::gateway
