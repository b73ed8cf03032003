#pragma once

// Decides whether, when and where a request runs.
//
//   PlaceResult result = admission.place(request, cancelled); // Blocks while queued.
//   if (auto *refusal = std::get_if<Refusal>(&result))
//       return problem(refusal->error, refusal->retryAfter);
//   const Placement &placement = std::get<Placement>(result);
//
// place() records the placement with Fleet::noteSent, so that the next decision takes it into
// account. The caller reports the end of every attempt with Fleet::noteFinished and the end of the
// request with reportFinished().

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
    DeadlineTooShort, ///< On arrival: the first token is expected after the deadline.
    RateLimited,      ///< The workspace exceeds its requests per second.
    LoadShed,         ///< Refused or displaced from the queue under overload.
    NoEndpoint,       ///< Requests may not be sent to any endpoint of the service.
    PromptTooLarge,   ///< The request exceeds the memory of the whole service.
    DeadlineExceeded, ///< The deadline passed while the request was queued.
    Cancelled,        ///< The caller closed the connection.
};

const char *toString(RefusalReason reason);

struct Refusal
{
    RefusalReason reason = RefusalReason::NoEndpoint;
    Error error;
    Millis retryAfter{0}; ///< 0: a retry cannot succeed.
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
    bool retry = false; ///< A further attempt of an admitted request: no rate limit or shedding.
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
    std::string reason; ///< Why the request waits.
};

class Admission
{
public:
    virtual ~Admission() = default;

    /// Admits and places a request. Refuses a request that cannot be served in time at once.
    /// Otherwise blocks until an endpoint can accept it, it is refused or displaced from the queue,
    /// the deadline passes, or cancelled() returns true (polled every 100 ms).
    virtual PlaceResult place(const PlacementRequest &request,
                              const std::function<bool()> &cancelled)
            = 0;

    /// Places queued requests where capacity is free. Call it on each tick and after each finished
    /// attempt.
    virtual void dispatchQueued(TimePoint now) = 0;

    /// Reports the end of an admitted request; successes refill the retry budget.
    virtual void reportFinished(const std::string &workspace, const std::string &service,
                                bool succeeded)
            = 0;

    /// Takes one retry from the budget of the workspace for the service. Returns false if the
    /// request must not be retried.
    virtual bool takeRetry(const std::string &workspace, const std::string &service) = 0;

    /// Delay before the next attempt: exponential backoff with full jitter.
    virtual Millis retryDelay(unsigned attempt) = 0;

    virtual std::vector<QueuedRequestView> queued(TimePoint now) const = 0;
};

} // namespace cicadafork
