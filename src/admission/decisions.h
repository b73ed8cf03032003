#pragma once

// Admission decisions as free functions over plain values.
//
//   if (std::optional<Refusal> refusal = refuseByDecision(decision, budget, random))
//       return *refusal;

#include "admission/admission.h"
#include "routing/choose.h"

#include <optional>
#include <set>

namespace cicadafork {

/// Work that may pass a waiting request, as a share of the tokens that the request needs.
inline constexpr double kBackfillShare = 0.5;

/// Uniform between base and 1.5 * base, so that refused callers do not come back together.
Millis jittered(Millis base, Random &random);

/// A refusal with its error text. A retryAfter of 0 means that repeating does not help.
Refusal makeRefusal(RefusalReason reason, Millis retryAfter);

/// Queue length from which requests of the priority are not accepted: half of the limit for
/// background, nine tenths for normal, all of it for urgent.
std::size_t queueLimit(Priority priority, std::size_t limit);

/// Time the pool needs to prefill that many queued tokens.
Millis drainTime(double queuedTokens, const FleetView &view, const RouteRequest &request);

/// Refuses what no endpoint may or could take and what cannot start within the remaining time.
/// Generation is not counted: max_tokens is a limit and not the expected length of an answer.
std::optional<Refusal> refuseByDecision(const RouteDecision &decision, Millis queueing,
                                        Millis remaining, Random &random);

/// The endpoints that a waiting request will need: those with the most free memory whose capacity
/// suffices together. They take no other work once the request was passed too often.
std::set<std::size_t> waitingTargets(const RouteRequest &request, const FleetView &view);

/// Adds a placement to a view, so that the next decision on the same view sees it.
void applyPlacement(FleetView &view, const RouteDecision &decision, std::uint64_t promptTokens);

} // namespace cicadafork
