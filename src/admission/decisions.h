#pragma once

// Admission decisions as free functions over plain values.
//
//   if (std::optional<Refusal> refusal = refuseByDecision(decision, queueing, remaining, random))
//       return *refusal;

#include "admission/admission.h"
#include "routing/choose.h"

#include <optional>
#include <set>

namespace cicadafork {

/// Limit of the tokens that may be backfilled ahead of a waiting request, as a share of the tokens
/// that this request needs.
inline constexpr double kBackfillShare = 0.5;

/// Uniform between base and 1.5 * base, so that refused callers do not retry at the same time. The
/// base is limited to 1 s to 60 s.
Millis jittered(Millis base, Random &random);

/// A refusal with its error text. A retryAfter of 0 means that a retry cannot succeed.
Refusal makeRefusal(RefusalReason reason, Millis retryAfter);

/// Queue length from which requests of the priority are no longer accepted: half of the limit for
/// background, nine tenths for normal, the whole limit for urgent.
std::size_t queueLimit(Priority priority, std::size_t limit);

/// Time that the endpoints usable for the request need to prefill queuedTokens; 0 if there are
/// none.
Millis estimatedPrefillTime(double queuedTokens, const FleetView &view,
                            const RouteRequest &request);

/// Refuses requests without a usable endpoint, requests that exceed the memory of the service, and
/// requests whose first token is expected after the remaining time. The time of generation is not
/// included, because max_tokens is a limit and not the expected length of an answer.
std::optional<Refusal> refuseByDecision(const RouteDecision &decision, Millis queueing,
                                        Millis remaining, Random &random);

/// The endpoints that a waiting request will use: those with the most free memory whose combined
/// capacity suffices. They accept no other work once kBackfillShare is reached.
std::set<std::size_t> waitingTargets(const RouteRequest &request, const FleetView &view);

/// Adds a placement to a view, so that the next decision on the same view takes it into account.
void applyPlacement(FleetView &view, const RouteDecision &decision, std::uint64_t promptTokens);

} // namespace cicadafork
