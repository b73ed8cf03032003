#pragma once

// Finds requests that wait for an endpoint that gives no sign of life.
//
//   if (watches(state, limit, now))
//       for (RequestView &view : views)
//           if (waitsForSilentEndpoint(view, reportAge(view.endpoint), limit))
//               interrupt(view);
//
// An engine may legitimately be silent for minutes during a long prefill, and it then still reports
// its status. Without tokens and without a status report it is frozen or cut off, and waiting for
// the deadline would only hold the final answer back.

#include "base/clock.h"
#include "frontend/requesttable.h"

namespace cicadafork {

/// When this process itself was last seen to run.
struct SilenceWatchState
{
    TimePoint lastTick;
    TimePoint watchFrom;
};

/// Gap between two ticks after which all ages say more about this process than about endpoints.
inline constexpr Millis kOwnPause{500};

/// Call on each tick. False until this process has run for the limit without a pause, because after
/// a pause every report is old.
bool watches(SilenceWatchState &state, Millis limit, TimePoint now);

/// True when the request is at an endpoint, may go to another one, and neither a token nor a status
/// report of the endpoint has arrived for the limit.
bool waitsForSilentEndpoint(const RequestView &request, Millis reportAge, Millis limit);

} // namespace cicadafork
