#include "frontend/silence.h"

namespace cicadafork {

bool watches(SilenceWatchState &state, Millis limit, TimePoint now)
{
    if (now - state.lastTick > kOwnPause)
        state.watchFrom = now + limit;
    state.lastTick = now;
    return now >= state.watchFrom;
}

bool waitsForSilentEndpoint(const RequestView &request, Millis reportAge, Millis limit)
{
    // It could not go to another endpoint, and this one may still answer.
    if (request.nonRepeatable)
        return false;
    switch (request.state) {
    case RequestState::Prefilling:
    case RequestState::Dispatched:
    case RequestState::Streaming:
    case RequestState::Resuming:
        return reportAge >= limit && request.sinceProgress >= limit;
    case RequestState::Queued:
    case RequestState::Claiming:
    case RequestState::Reserving:
    case RequestState::Retrying:
        break;
    }
    return false;
}

} // namespace cicadafork
