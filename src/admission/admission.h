#pragma once

// Decides whether, when and where a request runs.
//
//   PlaceResult result = admission.place(request, cancelled); // blocks while the request is queued
//   if (auto *refusal = std::get_if<Refusal>(&result))
//       return problem(refusal->error, refusal->retryAfter);
//   const Placement &placement = std::get<Placement>(result);
//
// place() accounts the placement as sent (Fleet::noteSent), so that the next decision sees it. The
// caller reports the end of every attempt with Fleet::noteFinished and reportFinished().

#include "base/clock.h"
#include "base/error.h"
#include "routing/fleetview.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace cicadafork {

enum class RefusalReason {
    QueueFull,
    DeadlineTooShort, ///< The request cannot finish in time, known at arrival.
    RateLimited,      ///< The workspace exceeds its requests per second.
    LoadShed,         ///< Low priorities are refused first under overload.
    NoEndpoint,       ///< No endpoint of the service may be sent to.
    PromptTooLarge,   ///< No group of engines could hold the prompt.
    DeadlineExceeded, ///< The deadline passed while the request was queued.
    Cancelled,        ///< The caller went away.
};

const char *toString(RefusalReason reason);

struct Refusal
{
    RefusalReason reason = RefusalReason::NoEndpoint;
    Error error;
    Millis retryAfter{0}; ///< 0: repeating does not help.
};

struct PlacementRequest
{
    std::string requestId;
    std::string workspace;
    double workspaceShare = 1;     ///< Weight in fair queueing.
    double workspaceRateLimit = 0; ///< Requests per second; 0 means no limit.
    std::string service;
    RouteRequest route;
    TimePoint deadline;
    bool retry = false; ///< A repeated attempt of an admitted request: no rate limit, no shedding.
};

struct Placement
{
    RouteOutcome outcome = RouteOutcome::Endpoint; ///< Endpoint or Group.
    std::vector<EndpointView> endpoints; ///< One, or the members of the group in ascending id.
    Millis expectedFirstToken{0};
};

using PlaceResult = std::variant<Placement, Refusal>;

/// A queued request as shown to operators.
struct QueuedRequestView
{
    std::string requestId;
    std::string workspace;
    std::string service;
    Priority priority = Priority::Normal;
    std::uint64_t promptTokens = 0;
    Millis waited{0};
    std::string reason; ///< Why it waits.
};

class Admission
{
public:
    virtual ~Admission() = default;

    /// Admits and places a request. Returns a refusal at once when the request cannot finish in
    /// time; otherwise blocks until an endpoint takes it, the deadline passes, or cancelled()
    /// returns true (polled at least every 100 ms).
    virtual PlaceResult place(const PlacementRequest &request,
                              const std::function<bool()> &cancelled)
            = 0;

    /// Offers freed capacity to the queue. Call it each tick and after each finished attempt.
    virtual void dispatchQueued(TimePoint now) = 0;

    /// Reports the end of an admitted request; successes fill the retry budget.
    virtual void reportFinished(const std::string &workspace, const std::string &service,
                                bool succeeded)
            = 0;

    /// Takes one retry from the budget of the workspace and the service; false: do not retry.
    virtual bool takeRetry(const std::string &workspace, const std::string &service) = 0;

    /// Delay before the next attempt: full jitter over an exponential bound.
    virtual Millis retryDelay(unsigned attempt) = 0;

    virtual std::vector<QueuedRequestView> queued(TimePoint now) const = 0;
};

} // namespace cicadafork
