#pragma once

// At-most-once execution of non-repeatable requests.
//
//   ClaimDecision decision = claims.claim(request, deadline); // blocks up to the deadline
//   if (decision.kind == ClaimDecisionKind::Won) {
//       if (!claims.beginDispatch(decision.attemptId, steadyNow()))
//           return notRun();                    // the validity ended; the claim was withdrawn
//       StoredOutcome outcome = send(request, decision.fencingNumber);
//       claims.complete(decision.attemptId, outcome);
//   }

#include "base/clock.h"
#include "base/error.h"
#include "logservice/logclient.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cicadafork {

/// Largest response body that is stored for replay to duplicates.
inline constexpr std::size_t kMaxStoredBodyBytes = 16 * 1024;

struct ClaimRequest
{
    std::string workspace;
    std::string key;           ///< UUIDv7 from the Idempotency-Key header.
    std::string requestSha256; ///< Hash of the canonical form of the request.
};

/// The endpoint's response, as replayed to duplicates.
struct StoredOutcome
{
    bool ran = true; ///< False when the endpoint reported that it did not execute the request.
    int status = 0;
    std::string contentType;
    std::string body;
    bool truncated = false; ///< The body was dropped: it or all stored bodies exceeded a limit.
};

enum class ClaimDecisionKind {
    Won,         ///< This attempt may dispatch the request once.
    Duplicate,   ///< An earlier attempt finished; outcome is set.
    InProgress,  ///< An earlier attempt holds the key; the caller may retry after retryAfter.
    MayHaveRun,  ///< An earlier attempt was lost after it may have dispatched.
    KeyReused,   ///< The key was used for a different request.
    KeyInvalid,  ///< Not a UUIDv7 created within the de-duplication window.
    Unavailable, ///< This attempt will not run; nothing is known about earlier ones.
};

struct ClaimDecision
{
    ClaimDecisionKind kind = ClaimDecisionKind::Unavailable;
    std::string attemptId;
    Offset fencingNumber = 0; ///< Offset of the winning claim, for endpoints that check it.
    std::optional<StoredOutcome> outcome;
    Millis retryAfter{1000};
    Error error; ///< Message and remedy for the caller when not Won and not Duplicate.
};

class Claims
{
public:
    virtual ~Claims() = default;

    /// Claims a key; blocks up to the deadline. Never throws. Reports Won again for a key only when
    /// every earlier winner withdrew before dispatch or was not executed by the endpoint.
    virtual ClaimDecision claim(const ClaimRequest &request, TimePoint deadline) = 0;

    /// To be called immediately before the request is sent to the endpoint. On false the request
    /// must not be sent: the validity of the claim has ended, for example because the process was
    /// paused, and the claim is withdrawn, or the attempt was dispatched or has ended before.
    virtual bool beginDispatch(const std::string &attemptId, TimePoint now) = 0;

    /// Records the outcome of a dispatched attempt. Returns at once; the append is retried in the
    /// background.
    virtual void complete(const std::string &attemptId, const StoredOutcome &outcome) = 0;

    /// Withdraws a won claim that was not dispatched. Returns at once.
    virtual void withdraw(const std::string &attemptId) = 0;
};

} // namespace cicadafork
