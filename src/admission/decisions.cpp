#include "admission/decisions.h"

#include <algorithm>
#include <cmath>

namespace cicadafork {

namespace {

constexpr Millis kRetryAfterNoEndpoint{2000};
/// Retry-After is sent in whole seconds, so one second is the shortest value that has an effect.
constexpr Millis kRetryAfterMinimum{1000};
constexpr Millis kRetryAfterMaximum{60'000};

struct RefusalText
{
    ErrorCode code;
    const char *message;
    const char *remedy;
};

RefusalText refusalText(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return {ErrorCode::ResourceExhausted, "the queue is full", "retry after the stated time"};
    case RefusalReason::DeadlineTooShort:
        return {ErrorCode::DeadlineExceeded, "the request cannot finish within its timeout",
                "retry after the stated time or with a longer X-Request-Timeout-Ms"};
    case RefusalReason::RateLimited:
        return {ErrorCode::ResourceExhausted, "the workspace exceeds its request rate",
                "retry after the stated time or ask an operator for a higher rate"};
    case RefusalReason::LoadShed:
        return {ErrorCode::ResourceExhausted,
                "requests of this priority are refused under overload",
                "retry after the stated time"};
    case RefusalReason::NoEndpoint:
        return {ErrorCode::Unavailable, "no endpoint of the service can be used",
                "retry after the stated time"};
    case RefusalReason::PromptTooLarge:
        return {ErrorCode::InvalidArgument,
                "prompt and max_tokens exceed the memory of the service",
                "shorten the prompt or lower max_tokens"};
    case RefusalReason::DeadlineExceeded:
        return {ErrorCode::DeadlineExceeded, "the timeout passed while the request was queued",
                "retry after the stated time or with a longer X-Request-Timeout-Ms"};
    case RefusalReason::Cancelled:
        break;
    }
    return {ErrorCode::Cancelled, "the caller closed the connection", "send the request again"};
}

} // namespace

const char *toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::DeadlineTooShort:
        return "deadline_too_short";
    case RefusalReason::RateLimited:
        return "rate_limited";
    case RefusalReason::LoadShed:
        return "load_shed";
    case RefusalReason::NoEndpoint:
        return "no_endpoint";
    case RefusalReason::PromptTooLarge:
        return "prompt_too_large";
    case RefusalReason::DeadlineExceeded:
        return "deadline_exceeded";
    case RefusalReason::Cancelled:
        break;
    }
    return "cancelled";
}

Millis jittered(Millis base, Random &random)
{
    const Millis bounded = std::clamp(base, kRetryAfterMinimum, kRetryAfterMaximum);
    return bounded
           + Millis(std::uniform_int_distribution<Millis::rep>(0, bounded.count() / 2)(random));
}

Refusal makeRefusal(RefusalReason reason, Millis retryAfter)
{
    const RefusalText text = refusalText(reason);
    return {reason, Error{text.code, text.message, text.remedy}, retryAfter};
}

std::size_t queueLimit(Priority priority, std::size_t limit)
{
    switch (priority) {
    case Priority::Urgent:
        return limit;
    case Priority::Normal:
        return limit - limit / 10;
    case Priority::Background:
        break;
    }
    return limit / 2;
}

Millis estimatedPrefillTime(double queuedTokens, const FleetView &view, const RouteRequest &request)
{
    const double fallbackRate = defaultPrefillRate(view);
    double rate = 0;
    for (const EndpointView &endpoint : view.endpoints) {
        if (isUsable(endpoint, request))
            rate += effectivePrefillRate(endpoint, fallbackRate);
    }
    return Millis(rate > 0 ? std::llround(queuedTokens / rate * 1000) : 0);
}

std::optional<Refusal> refuseByDecision(const RouteDecision &decision, Millis queueing,
                                        Millis remaining, Random &random)
{
    if (decision.outcome == RouteOutcome::Impossible)
        return makeRefusal(RefusalReason::PromptTooLarge, Millis(0));
    if (decision.outcome == RouteOutcome::NoEndpoint)
        return makeRefusal(RefusalReason::NoEndpoint, jittered(kRetryAfterNoEndpoint, random));
    const Millis expected = queueing + decision.expectedFirstToken;
    if (expected >= remaining)
        return makeRefusal(RefusalReason::DeadlineTooShort,
                           jittered(expected - std::max(remaining, Millis(0)), random));
    return std::nullopt;
}

std::set<std::size_t> waitingTargets(const RouteRequest &request, const FleetView &view)
{
    const std::uint64_t needed = neededTokens(request);
    const bool group = needsGroup(request, view);
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < view.endpoints.size(); ++i) {
        const EndpointView &endpoint = view.endpoints[i];
        if (isUsable(endpoint, request)
            && (group || endpoint.kvCapacityTokens == 0 || endpoint.kvCapacityTokens >= needed))
            usable.push_back(i);
    }
    std::sort(usable.begin(), usable.end(), [&](std::size_t a, std::size_t b) {
        return freeTokens(view.endpoints[a]) > freeTokens(view.endpoints[b]);
    });
    std::set<std::size_t> targets;
    std::uint64_t capacity = 0;
    for (const std::size_t index : usable) {
        if (!targets.empty() && (!group || capacity >= needed))
            break;
        targets.insert(index);
        capacity += view.endpoints[index].kvCapacityTokens;
    }
    return targets;
}

void applyPlacement(FleetView &view, const RouteDecision &decision, std::uint64_t promptTokens)
{
    if (decision.chosen.empty())
        return;
    ++view.sequence;
    for (const std::size_t index : decision.chosen) {
        EndpointView &endpoint = view.endpoints[index];
        ++endpoint.unreportedRequests;
        ++endpoint.ownOutstanding;
        endpoint.unreportedTokens += promptTokens / decision.chosen.size();
    }
}

} // namespace cicadafork
