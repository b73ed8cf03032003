#pragma once

// State of one attempt to run a request, as its front sees it, and the check of an idempotency key.
// The functions are pure; the caller passes the time.

#include "claims/claimrecord.h"

#include <string_view>

namespace cicadafork {

enum class AttemptState { Pending, Won, Dispatched, Withdrawn, Done };

struct ClaimAttempt
{
    ClaimKey key;
    TimePoint started; ///< Monotonic clock before the claim was appended.
    Millis validity{0};
    AttemptState state = AttemptState::Pending;
};

/// The attempt may still dispatch at this time.
bool claimValid(const ClaimAttempt &attempt, TimePoint now);
/// Pending to Won; false when the attempt is not pending or its validity has ended.
bool winAttempt(ClaimAttempt &attempt, TimePoint now);
/// Won to Dispatched; true at most once for an attempt, and only within its validity.
bool dispatchAttempt(ClaimAttempt &attempt, TimePoint now);
/// Pending or Won to Withdrawn; false when the attempt was dispatched or has ended.
bool withdrawAttempt(ClaimAttempt &attempt);
/// Dispatched to Done.
bool finishAttempt(ClaimAttempt &attempt);

enum class KeyCheck { Valid, Malformed, TooOld, FromFuture };

struct KeyLimits
{
    Millis window{600'000}; ///< De-duplication window; shorter than the retention of the log.
    Millis skew{5'000};     ///< How far the clock of a caller may be ahead.
};

KeyCheck checkClaimKey(std::string_view key, WallTime now, const KeyLimits &limits);

} // namespace cicadafork
