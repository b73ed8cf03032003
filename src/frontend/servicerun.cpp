#include "frontend/servicerun.h"

#include <algorithm>

namespace cicadafork {

namespace {

constexpr unsigned kMaxAttempts = 3;
/// The same key may be sent again after this time: it never runs twice, and the outcome may be
/// known.
constexpr Millis kUnknownRetryAfter{1000};

ServiceAnswer answerWith(Problem problem)
{
    ServiceAnswer answer;
    answer.problem = std::move(problem);
    return answer;
}

Problem unknownOutcome()
{
    return {502,
            "outcome-unknown",
            "the operation was sent and no whole answer arrived",
            "check whether the operation ran; do not send it under a new key before",
            Execution::MayHaveRun,
            kUnknownRetryAfter};
}

Problem notRun(const Error &error)
{
    return {503,          "endpoint-unavailable", error.message,
            error.remedy, Execution::NotRun,      Millis(1000)};
}

ServiceAnswer replay(const StoredOutcome &outcome)
{
    ServiceAnswer answer;
    answer.replayed = true;
    if (!outcome.ran) {
        answer.problem = notRun({ErrorCode::Unavailable, "the service stated that it did not run",
                                 "send the operation under a new Idempotency-Key"});
    } else if (outcome.status == kStatusUnknown) {
        answer.problem = unknownOutcome();
    } else {
        answer.status = outcome.status;
        answer.contentType = outcome.contentType;
        answer.body = outcome.body;
        answer.bodyNotStored = outcome.truncated;
    }
    return answer;
}

/// execution is what is known without the decision.
Problem problemOf(const ClaimDecision &decision, Execution execution)
{
    Problem problem{503,
                    "claim",
                    decision.error.message,
                    decision.error.remedy,
                    execution,
                    decision.retryAfter};
    switch (decision.kind) {
    case ClaimDecisionKind::InProgress:
        problem.status = 409;
        problem.type = "in-progress";
        problem.execution = Execution::MayHaveRun;
        break;
    case ClaimDecisionKind::MayHaveRun:
        return unknownOutcome();
    case ClaimDecisionKind::KeyReused:
        problem.status = 422;
        problem.type = "key-reused";
        problem.execution = Execution::MayHaveRun;
        problem.retryAfter = Millis(0);
        break;
    case ClaimDecisionKind::KeyInvalid:
        problem.status = 400;
        problem.type = "key-invalid";
        problem.retryAfter = Millis(0);
        break;
    default:
        problem.type = "log-unavailable";
        problem.retryAfter = std::max(problem.retryAfter, Millis(1000));
        break;
    }
    return problem;
}

StoredOutcome storedOutcome(const PlainResult &result)
{
    StoredOutcome outcome;
    outcome.ran = result.execution != Execution::NotRun;
    outcome.status = result.execution == Execution::Ran ? result.status : kStatusUnknown;
    outcome.contentType = result.contentType;
    outcome.truncated = result.body.size() > kMaxStoredBodyBytes;
    if (!outcome.truncated && result.execution == Execution::Ran)
        outcome.body = result.body;
    return outcome;
}

class ServiceRun
{
public:
    ServiceRun(RunContext &context, ActiveRequest &request, const ServiceWork &work)
        : context_(context)
        , request_(request)
        , work_(work)
    {
    }

    ServiceAnswer run()
    {
        if (work_.nonRepeatable) {
            request_.setState(RequestState::Claiming, "the log, which orders the claim");
            claim_ = context_.claims.claim(
                    {request_.facts().workspace, work_.idempotencyKey, work_.requestSha256},
                    request_.facts().deadline);
            if (claim_.kind == ClaimDecisionKind::Duplicate && claim_.outcome) {
                context_.counters.replays.Increment();
                return replay(*claim_.outcome);
            }
            if (claim_.kind != ClaimDecisionKind::Won)
                return answerWith(problemOf(claim_, request_.execution()));
            request_.excludeEarlierAttempts();
        }
        ServiceAnswer answer = runAttempts();
        // A claim that was never dispatched must not block the key.
        if (work_.nonRepeatable && !claimEnded_)
            context_.claims.withdraw(claim_.attemptId);
        return answer;
    }

private:
    PlacementRequest placementRequest(unsigned attempt) const
    {
        PlacementRequest placement;
        placement.requestId = request_.key();
        placement.workspace = request_.facts().workspace;
        placement.workspaceShare = work_.workspaceShare;
        placement.workspaceRateLimit = work_.workspaceRateLimit;
        placement.service = request_.facts().service;
        placement.route.promptTokens = request_.facts().promptTokens;
        placement.route.priority = request_.facts().priority;
        placement.route.excluded = excluded_;
        placement.deadline = request_.facts().deadline;
        // A queued request cannot be dispatched after the end of its claim's validity.
        if (work_.nonRepeatable)
            placement.deadline = std::min(placement.deadline,
                                          steadyNow() + context_.settings.timing.claimValidity);
        placement.retry = attempt > 1;
        return placement;
    }

    ServiceAnswer runAttempts()
    {
        std::optional<ServiceAnswer> last;
        for (unsigned attempt = 1;; ++attempt) {
            request_.setState(RequestState::Queued, "admission: capacity of the endpoints");
            const PlaceResult placed = context_.admission.place(placementRequest(attempt), [this] {
                return request_.cancelled() || request_.waitingEnded();
            });
            if (const auto *refusal = std::get_if<Refusal>(&placed)) {
                if (!last && request_.waitingEnded())
                    return answerWith(serviceProblem(request_.facts().service,
                                                     ServiceState::Stopped, request_.execution()));
                ServiceAnswer refused
                        = last ? *last
                               : answerWith(cicadafork::problemOf(*refusal, request_.execution()));
                if (last)
                    finished(false);
                return refused;
            }
            const Placement &placement = std::get<Placement>(placed);
            request_.setAttempt(attempt, placement.expectedFirstToken);
            const PlainResult result = send(placement);
            last = answerOf(result);
            const bool mayRetry = result.execution != Execution::Ran && !claimEnded_
                                  && !request_.cancelled() && attempt < kMaxAttempts
                                  && context_.admission.takeRetry(request_.facts().workspace,
                                                                  request_.facts().service);
            if (!mayRetry) {
                finished(result.execution == Execution::Ran);
                return *last;
            }
            context_.counters.retries.Increment();
            excluded_.push_back(placement.endpoints.front().id);
            request_.setState(RequestState::Retrying, "delay before the next attempt");
            if (!request_.pauseBeforeAttempt(context_.admission.retryDelay(attempt))) {
                finished(false);
                return *last;
            }
        }
    }

    PlainResult send(const Placement &placement)
    {
        const EndpointView &endpoint = placement.endpoints.front();
        request_.setState(RequestState::Dispatched, "the service's answer", endpoint.id);
        PlainRequest plain;
        plain.operation = work_.operation;
        plain.body = work_.body;
        plain.deadline = request_.facts().deadline;
        plain.idempotencyKey = work_.idempotencyKey;
        plain.requestId = request_.facts().requestId;
        plain.traceparent = work_.traceparent;
        if (work_.nonRepeatable)
            plain.fencingNumber = claim_.fencingNumber;
        plain.beforeSend = [&] { return mayDispatch(endpoint.id); };
        const TimePoint sentAt = steadyNow();
        PlainResult result = PlainServiceClient(endpoint.address).call(plain, request_.stop());
        if (result.dispatched && work_.nonRepeatable)
            context_.claims.complete(claim_.attemptId, storedOutcome(result));
        request_.attemptEnded(result.execution == Execution::NotRun ? AttemptStatus::Refused
                                                                    : AttemptStatus::Failed);
        AttemptObservation observation;
        observation.succeeded = result.execution == Execution::Ran;
        observation.promptTokens = request_.facts().promptTokens;
        observation.firstToken = std::chrono::duration_cast<Millis>(steadyNow() - sentAt);
        observation.expectedFirstToken = placement.expectedFirstToken;
        context_.fleet.noteFinished(endpoint.id, observation, steadyNow());
        context_.admission.dispatchQueued(steadyNow());
        return result;
    }

    /// The claim's validity is the last check, so that nothing comes between it and the send.
    bool mayDispatch(const std::string &endpointId)
    {
        if (!context_.fleet.sendPermitted(endpointId, steadyNow()) || !request_.beginSend())
            return false;
        if (!work_.nonRepeatable)
            return true;
        claimEnded_ = true;
        return context_.claims.beginDispatch(claim_.attemptId, steadyNow());
    }

    ServiceAnswer answerOf(const PlainResult &result) const
    {
        if (result.execution == Execution::MayHaveRun)
            return answerWith(unknownOutcome());
        if (result.execution == Execution::NotRun) {
            Problem problem = notRun(result.error);
            problem.execution = request_.execution();
            return answerWith(std::move(problem));
        }
        ServiceAnswer answer;
        answer.status = result.status;
        answer.contentType = result.contentType;
        answer.body = result.body;
        return answer;
    }

    void finished(bool succeeded)
    {
        (succeeded ? context_.counters.completed : context_.counters.failed).Increment();
        context_.admission.reportFinished(request_.facts().workspace, request_.facts().service,
                                          succeeded);
    }

    RunContext &context_;
    ActiveRequest &request_;
    const ServiceWork &work_;
    ClaimDecision claim_;
    bool claimEnded_ = false; ///< Dispatched, or withdrawn by beginDispatch().
    std::vector<std::string> excluded_;
};

} // namespace

ServiceAnswer runServiceCall(RunContext &context, ActiveRequest &request, const ServiceWork &work)
{
    return ServiceRun(context, request, work).run();
}

} // namespace cicadafork
