#include "claims/claimattempt.h"

#include "base/ids.h"

namespace cicadafork {

bool claimValid(const ClaimAttempt &attempt, TimePoint now)
{
    return now < attempt.started + attempt.validity;
}

bool winAttempt(ClaimAttempt &attempt, TimePoint now)
{
    if (attempt.state != AttemptState::Pending || !claimValid(attempt, now))
        return false;
    attempt.state = AttemptState::Won;
    return true;
}

bool dispatchAttempt(ClaimAttempt &attempt, TimePoint now)
{
    if (attempt.state != AttemptState::Won || !claimValid(attempt, now))
        return false;
    attempt.state = AttemptState::Dispatched;
    return true;
}

bool withdrawAttempt(ClaimAttempt &attempt)
{
    if (attempt.state != AttemptState::Pending && attempt.state != AttemptState::Won)
        return false;
    attempt.state = AttemptState::Withdrawn;
    return true;
}

bool finishAttempt(ClaimAttempt &attempt)
{
    if (attempt.state != AttemptState::Dispatched)
        return false;
    attempt.state = AttemptState::Done;
    return true;
}

KeyCheck checkClaimKey(std::string_view key, WallTime now, const KeyLimits &limits)
{
    // Timestamps of 0x0800'0000'0000 ms (the year 2248) and later overflow WallTime, which counts
    // nanoseconds.
    if (key.substr(0, 2) >= "08")
        return KeyCheck::FromFuture;
    const std::optional<WallTime> created = uuidV7Time(key);
    if (!created)
        return KeyCheck::Malformed;
    if (*created > now + limits.skew)
        return KeyCheck::FromFuture;
    return *created + limits.window < now ? KeyCheck::TooOld : KeyCheck::Valid;
}

} // namespace cicadafork
