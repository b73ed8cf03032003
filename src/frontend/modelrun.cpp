#include "frontend/modelrun.h"

#include "routing/choose.h"

#include <algorithm>

namespace cicadafork {

namespace {

constexpr unsigned kMaxAttempts = 3;
// Attempts of an earlier front that an engine may know.
constexpr unsigned kMaxKnownAttempts = kMaxAttempts;
constexpr int kMaxResumes = 2;
constexpr Millis kResumePause{50};
constexpr Millis kMemoryPauseMinimum{20};
// The engine's deadline_ms frees the memory when every cancel is lost.
constexpr int kCancelTries = 3;
constexpr Millis kCancelTimeout{1000};
// Before a retry the old attempt is cancelled once; a dead engine must not delay the retry longer.
constexpr Millis kCancelBeforeRetry{200};

/// The engine knows this attempt number: an earlier front of the request, whose caller has come
/// here since, has used it. This attempt did not run.
bool isKnownAttempt(const AttemptResult &result)
{
    return result.httpStatus == 409 && !result.accepted;
}

} // namespace

FrontendCounters::FrontendCounters(Metrics &metrics)
    : mismatches(metrics.counter("cicadafork_engine_mismatches_total",
                                 "Events of another request, attempt or sequence number"))
    , retries(metrics.counter("cicadafork_retries_total", "Attempts after the first"))
    , resumes(metrics.counter("cicadafork_stream_resumes_total",
                              "Broken streams that were resumed"))
    , completed(metrics.counter("cicadafork_requests_total", "Requests by outcome",
                                {{"outcome", "completed"}}))
    , failed(metrics.counter("cicadafork_requests_total", "Requests by outcome",
                             {{"outcome", "failed"}}))
    , cancelled(metrics.counter("cicadafork_requests_total", "Requests by outcome",
                                {{"outcome", "cancelled"}}))
    , rejected(metrics.counter("cicadafork_requests_total", "Requests by outcome",
                               {{"outcome", "rejected"}}))
    , replays(metrics.counter("cicadafork_idempotent_replays_total",
                              "Duplicates answered with the stored outcome"))
    , silences(metrics.counter("cicadafork_silent_streams_total",
                               "Streams broken off because no token arrived for too long"))
{
}

ModelRun::ModelRun(RunContext &context, ActiveRequest &request, const ModelWork &work)
    : context_(context)
    , request_(request)
    , work_(work)
{
    route_.model = work.model;
    route_.promptTokens = request.facts().promptTokens;
    route_.maxTokens = work.maxTokens;
    route_.priority = request.facts().priority;
    if (context.hooks.prefixHashes)
        route_.prefixHashes = context.hooks.prefixHashes(work.prompt);
}

PlacementRequest ModelRun::placementRequest() const
{
    PlacementRequest placement;
    placement.requestId = request_.key();
    placement.workspace = request_.facts().workspace;
    placement.workspaceShare = work_.workspaceShare;
    placement.workspaceRateLimit = work_.workspaceRateLimit;
    placement.service = request_.facts().service;
    placement.route = route_;
    placement.deadline = request_.facts().deadline;
    placement.retry = placed_;
    return placement;
}

void ModelRun::run()
{
    Next next = Next::Again;
    while (next == Next::Again) {
        ++attempt_;
        request_.setState(RequestState::Queued, "admission: capacity of the service's endpoints");
        const PlaceResult placed = context_.admission.place(placementRequest(), [this] {
            return request_.cancelled() || request_.waitingEnded();
        });
        if (const auto *refusal = std::get_if<Refusal>(&placed)) {
            if (request_.waitingEnded())
                lastProblem_ = serviceProblem(request_.facts().service, ServiceState::Stopped,
                                              request_.execution());
            end(lastProblem_ ? lastProblem_ : problemOf(*refusal, request_.execution()));
            return;
        }
        placed_ = true;
        next = attempt(std::get<Placement>(placed));
    }
}

ModelRun::Next ModelRun::attempt(const Placement &placement)
{
    request_.setAttempt(attempt_, placement.expectedFirstToken);
    firstToken_.reset();
    sentAt_ = steadyNow();
    std::optional<AttemptResult> result;
    if (placement.outcome == RouteOutcome::Group)
        result = runGroup(placement);
    else
        result = runAt(placement.endpoints.front(), engineRequest(work_.prompt));
    if (!result) {
        noteFinished(placement, AttemptStatus::Cancelled);
        request_.setState(RequestState::Retrying, "memory of a group of engines");
        if (!request_.pauseBeforeAttempt(
                    std::max(kMemoryPauseMinimum, context_.admission.retryDelay(attempt_))))
            end(request_.waitingEnded() ? serviceProblem(
                        request_.facts().service, ServiceState::Stopped, request_.execution())
                                        : deadlineProblem(request_.execution()));
        else
            return Next::Again;
        return Next::Done;
    }
    noteFinished(placement, isKnownAttempt(*result) ? AttemptStatus::Cancelled : result->status);
    request_.attemptEnded(result->status);
    if (result->status == AttemptStatus::Completed) {
        end(std::nullopt);
        return Next::Done;
    }
    return afterFailure(placement, *result);
}

ModelRun::Next ModelRun::afterFailure(const Placement &placement, const AttemptResult &result)
{
    const bool cancelled = request_.cancelled();
    if (!cancelled && isKnownAttempt(result) && knownAttempts_ < kMaxKnownAttempts) {
        // Nobody waits for the earlier front's answer any more; its memory is freed.
        ++knownAttempts_;
        cancelAt(placement, 1, kCancelBeforeRetry);
        return Next::Again;
    }
    lastProblem_ = problemOf(result, request_.execution());
    const bool mayRetry
            = !cancelled && delivered_ == 0 && attempt_ < kMaxAttempts + knownAttempts_
              && context_.admission.takeRetry(request_.facts().workspace, request_.facts().service);
    if (!mayRetry)
        end(lastProblem_);
    if (result.status != AttemptStatus::Refused) {
        if (mayRetry)
            cancelAt(placement, 1, kCancelBeforeRetry);
        else
            cancelAt(placement, kCancelTries, kCancelTimeout);
    }
    if (!mayRetry)
        return Next::Done;
    context_.counters.retries.Increment();
    route_.excluded.push_back(placement.endpoints.back().id);
    request_.setState(RequestState::Retrying, "delay before the next attempt");
    if (request_.pauseBeforeAttempt(context_.admission.retryDelay(attempt_)))
        return Next::Again;
    end(lastProblem_);
    return Next::Done;
}

EngineRequest ModelRun::engineRequest(std::string prompt) const
{
    EngineRequest request;
    request.requestId = request_.key();
    request.attempt = attempt_;
    request.model = work_.model;
    request.prompt = std::move(prompt);
    request.maxTokens = work_.maxTokens;
    request.priority = enginePriority(request_.facts().priority, request_.facts().promptTokens);
    request.deadline = request_.facts().deadline;
    request.holder = context_.settings.memberId;
    request.incarnation = context_.incarnation;
    request.traceparent = work_.traceparent;
    return request;
}

EngineHandlers ModelRun::handlers(const EndpointView &endpoint)
{
    EngineHandlers handlers;
    handlers.beforeSend = [this, id = endpoint.id] {
        return context_.fleet.sendPermitted(id, steadyNow()) && request_.beginSend();
    };
    handlers.accepted = [this, &endpoint] {
        request_.buffer().accept();
        if (context_.hooks.noteStream)
            context_.hooks.noteStream(request_.key(), endpoint);
        if (context_.hooks.notePrefix && !route_.prefixHashes.empty())
            context_.hooks.notePrefix(endpoint, route_.prefixHashes);
    };
    handlers.event = [this](const EngineEvent &event) {
        if (!firstToken_)
            firstToken_ = std::chrono::duration_cast<Millis>(steadyNow() - sentAt_);
        if (event.done) {
            usage_.promptTokens = event.promptTokens;
            usage_.completionTokens = event.completionTokens;
        }
        if (event.text.empty())
            return true;
        if (!request_.buffer().push({event.seq, event.text}))
            return false;
        ++delivered_;
        request_.noteDelivered();
        return true;
    };
    return handlers;
}

AttemptResult ModelRun::runAt(const EndpointView &endpoint, const EngineRequest &engineRequest)
{
    request_.setState(RequestState::Dispatched, "the engine's first token", endpoint.id);
    const EngineClient engine(endpoint.address,
                              [this] { context_.counters.mismatches.Increment(); });
    const EngineHandlers callbacks = handlers(endpoint);
    return resumeBroken(engine, callbacks,
                        engine.complete(engineRequest, request_.stop(), callbacks));
}

AttemptResult ModelRun::resumeBroken(const EngineClient &engine, const EngineHandlers &handlers,
                                     AttemptResult result)
{
    // Only the same engine can continue an answer: another one may generate different tokens.
    EngineHandlers resumed = handlers;
    resumed.beforeSend = [this] { return !request_.cancelled(); };
    resumed.accepted = nullptr;
    for (int i = 0; i < kMaxResumes && result.accepted && result.status == AttemptStatus::Failed;
         ++i) {
        request_.setState(RequestState::Resuming, "the engine, which resumes the stream");
        if (!request_.pause(kResumePause))
            break;
        context_.counters.resumes.Increment();
        AttemptResult next = engine.resume(request_.key(), attempt_, result.nextSeq,
                                           request_.facts().deadline, request_.stop(), resumed);
        result.nextSeq = next.nextSeq;
        if (next.status == AttemptStatus::Completed || next.status == AttemptStatus::Cancelled)
            result.status = next.status;
        if (next.httpStatus == 404)
            break;
    }
    return result;
}

std::optional<AttemptResult> ModelRun::runGroup(const Placement &placement)
{
    const auto &members = placement.endpoints;
    std::vector<std::uint64_t> weights;
    for (const EndpointView &member : members) {
        const std::uint64_t used = std::min(member.kvUsedTokens, member.kvCapacityTokens);
        weights.push_back(std::max<std::uint64_t>(1, member.kvCapacityTokens - used));
    }
    // The last member also holds the answer.
    weights.back() = std::max<std::uint64_t>(
            1, weights.back() - std::min<std::uint64_t>(weights.back(), work_.maxTokens));
    const std::vector<std::string> segments = splitPrompt(work_.prompt, weights);
    std::vector<std::uint64_t> tokens;
    for (const std::string &segment : segments)
        tokens.push_back((segment.size() + 3) / 4);
    tokens.back() += work_.maxTokens;

    request_.setState(RequestState::Reserving, "KV memory of a group of engines",
                      members.back().id);
    GroupHolds holds(context_.holds,
                     {request_.key(), context_.settings.memberId, context_.incarnation}, attempt_);
    const auto reserved
            = capture([&] { return holds.reserve(members, tokens, request_.facts().deadline); });
    if (!reserved && reserved.error().code == ErrorCode::ResourceExhausted)
        return std::nullopt;
    AttemptResult failure;
    if (!reserved) {
        failure.error = reserved.error();
        return failure;
    }
    const auto last = prefillGroup(placement, holds, segments);
    if (!last) {
        // A prefill delivers nothing and its memory is released: the request did not run.
        failure.error = last.error();
        return failure;
    }
    return runAt(members.back(), *last);
}

Expected<EngineRequest> ModelRun::prefillGroup(const Placement &placement, const GroupHolds &holds,
                                               const std::vector<std::string> &segments)
{
    const auto &members = placement.endpoints;
    EngineRequest request = engineRequest(segments.back());
    request.holdId = holds.id(members.size() - 1);
    for (std::size_t i = 0; i + 1 < members.size(); ++i) {
        request_.setState(RequestState::Prefilling, "prefill of a segment", members[i].id);
        if (request_.cancelled() || !context_.fleet.sendPermitted(members[i].id, steadyNow())) {
            return Error{ErrorCode::Unavailable, "a member of the group may not be sent to",
                         "send the request again"};
        }
        PrefillRequest prefill;
        prefill.holdId = holds.id(i);
        prefill.segment = segments[i];
        prefill.prefixDigest = request.prefixDigest;
        prefill.prior = request.prior;
        prefill.deadline = request_.facts().deadline;
        const auto digest = capture(
                [&] { return EngineClient(members[i].address).prefill(prefill, request_.stop()); });
        if (!digest)
            return digest.error();
        request.prefixDigest = *digest;
        request.prior.push_back({members[i].address, holds.id(i)});
    }
    return request;
}

void ModelRun::cancelAt(const Placement &placement, int tries, Millis timeout)
{
    const EngineClient engine(placement.endpoints.back().address);
    for (int i = 0; i < tries; ++i) {
        if (capture([&] { return engine.cancel(request_.key(), attempt_, timeout); }))
            return;
    }
}

void ModelRun::noteFinished(const Placement &placement, AttemptStatus status)
{
    // A caller that goes away or memory that is not free says nothing against the endpoint; a
    // deadline without a token does.
    const bool endpointAtFault = status != AttemptStatus::Completed
                                 && (status != AttemptStatus::Cancelled
                                     || (!firstToken_ && steadyNow() >= request_.facts().deadline));
    AttemptObservation observation;
    observation.succeeded = !endpointAtFault;
    observation.promptTokens = request_.facts().promptTokens;
    observation.firstToken = firstToken_.value_or(Millis(0));
    observation.expectedFirstToken = placement.expectedFirstToken;
    for (const EndpointView &endpoint : placement.endpoints)
        context_.fleet.noteFinished(endpoint.id, observation, steadyNow());
    context_.admission.dispatchQueued(steadyNow());
}

void ModelRun::end(std::optional<Problem> problem)
{
    const bool succeeded = !problem;
    if (succeeded)
        context_.counters.completed.Increment();
    else if (request_.cancelled())
        context_.counters.cancelled.Increment();
    else
        context_.counters.failed.Increment();
    if (placed_)
        context_.admission.reportFinished(request_.facts().workspace, request_.facts().service,
                                          succeeded);
    usage_.problem = std::move(problem);
    request_.buffer().end(usage_);
}

void runResume(RunContext &context, ActiveRequest &request, const StreamLocation &location,
               std::uint64_t from)
{
    request.setState(RequestState::Resuming, "the engine, which resumes the stream",
                     location.endpointId);
    const EngineClient engine(location.address,
                              [&context] { context.counters.mismatches.Increment(); });
    StreamEnd end;
    EngineHandlers handlers;
    handlers.beforeSend = [&] { return request.beginSend(); };
    handlers.accepted = [&] { request.buffer().accept(); };
    handlers.event = [&](const EngineEvent &event) {
        end.promptTokens = event.promptTokens;
        end.completionTokens = event.completionTokens;
        if (event.text.empty())
            return true;
        request.noteDelivered();
        return request.buffer().push({event.seq, event.text});
    };
    context.counters.resumes.Increment();
    const AttemptResult result = engine.resume(request.key(), std::nullopt, from,
                                               request.facts().deadline, request.stop(), handlers);
    request.attemptEnded(result.status);
    if (result.status != AttemptStatus::Completed) {
        // The request ran once, or its stream would not have been there.
        end.problem = problemOf(result, Execution::MayHaveRun);
        if (result.httpStatus == 404)
            end.problem->status = 404;
        context.counters.failed.Increment();
    } else {
        context.counters.completed.Increment();
    }
    request.buffer().end(end);
}

} // namespace cicadafork
