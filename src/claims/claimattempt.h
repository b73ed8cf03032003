#pragma once

// State machine of one attempt to run a request, kept by the daemon that received the request, and
// validation of idempotency keys. No function reads a clock; the caller passes the time.

#include "claims/claimrecord.h"

#include <string_view>

namespace cicadafork {

enum class AttemptState { Pending, Won, Dispatched, Withdrawn, Done };

struct ClaimAttempt
{
    ClaimKey key;
    TimePoint started; ///< Monotonic time before the claim was appended.
    Millis validity{0};
    AttemptState state = AttemptState::Pending;
};

/// True until the validity of the claim ends. After that the request must not be dispatched.
bool claimValid(const ClaimAttempt &attempt, TimePoint now);
/// Changes Pending to Won. False when the attempt is not pending or its validity has ended.
bool winAttempt(ClaimAttempt &attempt, TimePoint now);
/// Changes Won to Dispatched. True at most once for an attempt, and only within its validity.
bool dispatchAttempt(ClaimAttempt &attempt, TimePoint now);
/// Changes Pending or Won to Withdrawn. False when the attempt was dispatched or has ended.
bool withdrawAttempt(ClaimAttempt &attempt);
/// Changes Dispatched to Done. False in any other state.
bool finishAttempt(ClaimAttempt &attempt);

enum class KeyCheck { Valid, Malformed, TooOld, FromFuture };

struct KeyLimits
{
    Millis window{600'000}; ///< De-duplication window; must be shorter than the log's retention.
    Millis skew{5'000};     ///< How far the caller's clock may be ahead.
};

KeyCheck checkClaimKey(std::string_view key, WallTime now, const KeyLimits &limits);

} // namespace cicadafork
