// Gateway: attempts at endpoints and relaying of their answers.

#include "base/hash.h"
#include "base/jitter.h"
#include "base/log.h"
#include "gateway/gateway.h"
#include "gateway/handover.h"
#include "gateway/requestparts.h"
#include "net/wholebody.h"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace cicadafork::gateway {

namespace {

// The stream is aborted when the caller has not read this much of it.
constexpr std::size_t kMaxUnsentBytes = 4 * 1024 * 1024;
// Typical events are a few hundred bytes.
constexpr std::size_t kMaxEventBytes = 1024 * 1024;
// A request that may not run twice is sent over a new or recently used connection only. If the
// server closes an idle connection at that moment, it is unknown whether the request ran.
constexpr Millis kMaxIdleIfUnrepeatable{250};
// A job whose end is not reported still counts as load for this time after its deadline.
constexpr Millis kJobExpiryMargin{2000};
// Delay before the next attempt when memory could not be reserved, so that other requests can end.
constexpr Millis kMemoryRetryDelay{150};
// Delay before the next attempt when all endpoints were tried and the last one could not be
// connected to. It doubles with each attempt.
constexpr Millis kMinReconnectDelay{20};
constexpr Millis kMaxReconnectDelay{160};
// A request is written within this time of its placement or not at all, as its place in a limit may
// have ended since. Connecting takes 150 ms at most.
constexpr Millis kMaxSendDelay{500};
// Expected time of a call to a service without an engine model.
constexpr FloatMillis kExpectedCallTime{30};

} // namespace

void Gateway::send(Exchange &exchange, const Placement &placement)
{
    const EndpointRow *head = endpoints_.find(placement.head);
    if (!head)
        return;
    const TimePoint now = steadyNow();
    if (exchange.sendCount > 0 && !retryBudget_.take(exchange.service, daemonCount(), now)) {
        onAttemptFailed(exchange, EndpointFailure::Refused, false, "no_retry_budget");
        return;
    }
    std::erase(waiting_, exchange.id);
    endBooking(exchange, "sent");
    auto attempt = std::make_unique<Attempt>();
    attempt->endpoint = head->key;
    attempt->endpointId = head->record.id;
    attempt->address = head->record.address;
    attempt->sentAt = now;
    attempt->lastProgressAt = now;
    attempt->expected
            = placement.firstEvent > FloatMillis(0) ? placement.firstEvent : kExpectedCallTime;
    attempt->prefixSaving = placement.prefixSaving;
    attempt->prefixTokens = placement.prefixTokens;
    const EngineModel *engine = settings_.prefixPlacement ? engineFor(exchange) : nullptr;
    // The first event of a stream that goes on is not the first one of its prefill.
    if (engine && !exchange.lastEventId)
        attempt->prefixUse = prefixCache_.noteSent(exchange.fields, placement, *engine, now);
    attempt->job = {incarnation_, ++nextJob_};
    const std::string ticket = fmt::format("{:016x}-{}", incarnation_, attempt->job.number);
    std::string helperIds;
    for (const EndpointKey helper : placement.helpers) {
        const EndpointRow *row = endpoints_.find(helper);
        if (!row)
            continue;
        const bool holds = attempt->helpers.size() < placement.holders;
        attempt->helperKeys.push_back(helper);
        attempt->helpers.push_back({row->record.address, holds ? ticket : std::string()});
        if (!helperIds.empty())
            helperIds += ',';
        helperIds += row->record.id;
    }
    exchange.attempt = std::move(attempt);
    announceJob(exchange, placement);
    logEvent(LogLevel::Info, "sent",
             {{"request", exchange.requestId},
              {"route", exchange.route.name},
              {"endpoint", exchange.attempt->endpointId},
              {"helpers", helperIds},
              {"holders", std::to_string(placement.holders)},
              {"prompt_tokens", std::to_string(exchange.fields.promptTokens)},
              {"parts", toString(promptParts(exchange.fields.sharedPromptParts))},
              {"expected_ms", fmt::format("{:.0f}", placement.firstEvent.count())},
              {"waited_ms", fmt::format("{:.1f}", FloatMillis(now - exchange.arrivedAt).count())},
              {"reason", placement.reason},
              {"waiting_elsewhere", std::to_string(placement.waitingElsewhere)},
              {"send", std::to_string(exchange.sendCount + 1)},
              {"config", std::to_string(exchange.config->version)}});
    ++exchange.sendCount;
    limits_.take(placement.head, now);
    if (std::ranges::find(exchange.triedEndpoints, placement.head) == exchange.triedEndpoints.end())
        exchange.triedEndpoints.push_back(placement.head);
    if (exchange.state == ExchangeState::Waiting)
        exchange.state = ExchangeState::Sent;
    if (placement.holders > 0)
        reserve(exchange, placement);
    else
        startCall(exchange);
    armTimer(exchange);
}

// Long prefills are few, and a second one on an endpoint delays the first by seconds. So all
// failure domains hear of them, even in a fleet that announces other jobs only where they matter.
void Gateway::announceJob(const Exchange &exchange, const Placement &placement)
{
    const TimePoint now = steadyNow();
    Job job;
    job.id = exchange.attempt->job;
    job.promptTokens = static_cast<std::uint32_t>(exchange.fields.promptTokens);
    job.answerTokens = static_cast<std::uint32_t>(
            exchange.fields.answerHint.value_or(exchange.fields.maxAnswerTokens));
    if (exchange.route.kind == RouteKind::Stream)
        job.maxEventGap = exchange.route.maxEventGap;
    job.placed = now;
    job.expectedPrefillEnd
            = now + std::chrono::duration_cast<SteadyClock::duration>(placement.firstEvent);
    job.dueBy = exchange.objective;
    job.expires = exchange.deadline + kJobExpiryMargin;
    const auto memory = static_cast<std::uint32_t>(placement.kvTokensPerHolder);
    job.parts.push_back({placement.head, placement.prefillTime, true, memory});
    for (std::size_t i = 0; i < placement.helpers.size(); ++i)
        job.parts.push_back({placement.helpers[i], placement.prefillTime, false,
                             i < placement.holders ? memory : 0});
    job.workspace = exchange.workspaceKey;
    const EngineModel *engine = engineFor(exchange);
    const bool isLong = engine && isLongPrefill(*engine, exchange.fields.promptTokens);
    loadTracker_.place(job);
    if (job.workspace != 0)
        countUsage(job);
    mesh_.placed(job, isLong ? endpoints_.failureDomains() : endpoints_.failureDomainsOf(job));
}

void Gateway::reserve(Exchange &exchange, const Placement &placement)
{
    Attempt &attempt = *exchange.attempt;
    std::vector<ReservationTarget> targets;
    for (unsigned i = 0; i < placement.holders; ++i) {
        if (const EndpointRow *row = endpoints_.find(placement.helpers[i]))
            targets.push_back({row->record.address, row->record.id, placement.kvTokensPerHolder});
    }
    attempt.reservation = std::make_unique<Reservation>(
            context_, orders_, attempt.helpers.front().ticket, std::move(targets));
    attempt.reservation->acquire([this, id = exchange.id, job = attempt.job](bool held) {
        Exchange *waiting = find(id);
        if (!waiting || !waiting->attempt || !(waiting->attempt->job == job))
            return;
        const bool accepted = mayStart(*waiting->attempt);
        if (held && accepted) {
            waiting->attempt->reservation->watchUse([this, id, job] { onMemoryUnused(id, job); });
            startCall(*waiting);
            return;
        }
        undoSend(*waiting, *waiting->attempt);
        waiting->notBefore = steadyNow() + kMemoryRetryDelay;
        onAttemptFailed(*waiting, EndpointFailure::Refused, false,
                        accepted ? "memory_not_reserved" : "endpoint_withdrew");
    });
}

void Gateway::onMemoryUnused(std::uint64_t id, JobId job)
{
    Exchange *exchange = find(id);
    if (Attempt *attempt = exchange ? findAttempt(*exchange, job) : nullptr)
        failAttempt(*exchange, *attempt, EndpointFailure::NoAnswer, true, "memory_unused");
}

void Gateway::startCall(Exchange &exchange)
{
    Attempt &attempt = *exchange.attempt;
    DispatchFields dispatch;
    dispatch.endpointId = attempt.endpointId;
    dispatch.workspace = exchange.workspace;
    dispatch.deadline = std::chrono::duration_cast<Millis>(exchange.deadline - steadyNow());
    dispatch.lastEventId = exchange.lastEventId;
    dispatch.helpers = attempt.helpers;
    HeaderList headers = exchange.request.headers;
    protocol_.prepareForEndpoint(headers, dispatch);
    startCall(exchange, std::move(headers));
}

void Gateway::startCall(Exchange &exchange, HeaderList headers)
{
    Attempt &attempt = *exchange.attempt;
    if (!exchange.request.body.empty() || exchange.request.method != "GET")
        headers.set("Content-Length", std::to_string(exchange.request.body.size()));
    UpstreamRequest request;
    request.head = serializeRequestHead(exchange.request.method, exchange.request.target, headers);
    request.borrowedBody = exchange.request.body;
    request.idHash = fnv1a64(exchange.requestId);
    request.sendBy = std::min(exchange.deadline, steadyNow() + kMaxSendDelay);
    attempt.sendBy = request.sendBy;
    if (!isRepeatable(exchange.route))
        request.maxIdleTime = kMaxIdleIfUnrepeatable;
    const std::uint64_t id = exchange.id;
    const JobId job = attempt.job;
    UpstreamHandlers handlers;
    if (attempt.peer.empty())
        handlers.connected = [this, service = exchange.service] { reach_.noteConnected(service); };
    handlers.head = [this, id, job](HttpResponseHead &&received) {
        return onHead(id, job, std::move(received));
    };
    handlers.body = [this, id, job](std::string_view bytes) { onBody(id, job, bytes); };
    handlers.end = [this, id, job](UpstreamOutcome end) { onEnd(id, job, end); };
    attempt.call = pool_.call(attempt.address, std::move(request), std::move(handlers));
}

HeadAction Gateway::onHead(std::uint64_t id, JobId job, HttpResponseHead &&head)
{
    Exchange *exchange = find(id);
    Attempt *found = exchange ? findAttempt(*exchange, job) : nullptr;
    if (!found)
        return HeadAction::Skip;
    Attempt &attempt = *found;
    ReplyFields reply = protocol_.readReply(head);
    if (attempt.peer.empty())
        noteStatement(attempt.endpoint, reply.statement, exchange->requestId);
    if (!reply.requestId.empty() && reply.requestId != exchange->requestId) {
        logEvent(LogLevel::Warning, "stray_answer",
                 {{"request", exchange->requestId},
                  {"endpoint", attempt.endpointId},
                  {"answer_of", reply.requestId}});
        return HeadAction::Skip;
    }
    const bool namesRequest = !reply.requestId.empty();
    attempt.headSeen = true;
    attempt.notRun = reply.notRun;
    const bool isStream = exchange->route.kind == RouteKind::Stream;
    if (head.status / 100 == 2)
        attempt.bodyFault = bodyFault(head, isStream ? BodyKind::Events : BodyKind::Any);
    attempt.streams = head.status == 200 && reply.sealed && isStream && !attempt.bodyFault;
    attempt.reply = std::move(reply);
    attempt.head = std::move(head);
    if (!attempt.peer.empty())
        noteAnswerOfPeer(*exchange, attempt);
    return namesRequest ? HeadAction::Accept : HeadAction::AcceptLast;
}

void Gateway::onBody(std::uint64_t id, JobId job, std::string_view bytes)
{
    Exchange *exchange = find(id);
    Attempt *attempt = exchange ? findAttempt(*exchange, job) : nullptr;
    if (!attempt)
        return;
    if (attempt->bodyFault) {
        failInvalidAnswer(*exchange, *attempt);
        return;
    }
    if (attempt->streams) {
        append(attempt->pendingEvents, bytes);
        relayEvents(*exchange, *attempt);
        return;
    }
    attempt->body += bytes;
    noteProgress(*exchange, *attempt);
}

void Gateway::relayEvents(Exchange &exchange, Attempt &attempt)
{
    // Written together, as a write for each of many short events would hold up the event loop.
    std::string relayed;
    const char *fault = nullptr;
    while (!fault) {
        const std::string event = takeEvent(attempt.pendingEvents);
        if (event.empty())
            break;
        // An endpoint that has stalled may go on sending single bytes or comments.
        fault = isComment(event) ? relayComment(exchange, attempt, event, relayed)
                                 : relayEvent(exchange, attempt, event, relayed);
    }
    if (!fault && rest(attempt.pendingEvents).size() > kMaxEventBytes)
        fault = "event_too_large";
    attempt.call->setHeldBytes(rest(attempt.pendingEvents).size() + attempt.comments.size());
    exchange.caller->write(relayed);
    if (!exchange.attempt)
        return; // The caller has disconnected.
    if (fault)
        failAttempt(exchange, attempt, EndpointFailure::Broken, true, fault);
    else if (exchange.caller->unsentBytes() > kMaxUnsentBytes)
        abortStream(exchange, "slow_caller");
}

const char *Gateway::relayEvent(Exchange &exchange, Attempt &attempt, const std::string &event,
                                std::string &relayed)
{
    if (!isWellFormedEvent(event)) {
        noteBrokenAnswer(exchange, attempt);
        return "event_malformed";
    }
    noteProgress(exchange, attempt);
    const auto id = eventId(event);
    const bool resumes = exchange.lastEventId && attempt.events == 0;
    if (resumes && !id) {
        // Ids tell where a stream goes on, so this belongs to another kind of answer.
        noteBrokenAnswer(exchange, attempt);
        return "event_without_id";
    }
    if (attempt.events++ == 0)
        noteFirstEvent(attempt);
    // Drops events that the caller already has. An endpoint that was given the last event id
    // sends only later events; one that starts from the beginning repeats the earlier ones.
    if (id && exchange.lastEventId && *id <= *exchange.lastEventId)
        return nullptr;
    settleOn(exchange, attempt);
    if (exchange.state != ExchangeState::Relaying)
        beginRelay(exchange);
    if (id)
        exchange.lastEventId = id;
    const Job *job = loadTracker_.find(attempt.job);
    const bool first = exchange.eventsRelayed == 0 || !job || !job->started;
    if (first)
        noteFirstAnswer(exchange);
    const TimePoint now = steadyNow();
    if (exchange.eventsRelayed > 0)
        exchange.longestGap
                = std::max(exchange.longestGap, FloatMillis(now - exchange.lastEventAt));
    exchange.lastEventAt = now;
    ++exchange.eventsRelayed;
    if (first)
        armTimer(exchange); // The limit of a silence is lower from now on.
    relayed += attempt.comments;
    relayed += event;
    attempt.comments.clear();
    return nullptr;
}

const char *Gateway::relayComment(const Exchange &exchange, Attempt &attempt,
                                  const std::string &comment, std::string &relayed)
{
    const bool isDecided = exchange.state == ExchangeState::Relaying
                           && exchange.silentAttempts.empty() && attempt.comments.empty();
    if (isDecided) {
        relayed += comment;
        return nullptr;
    }
    attempt.comments += comment;
    return attempt.comments.size() <= kMaxEventBytes ? nullptr : "event_too_large";
}

void Gateway::noteFirstEvent(Attempt &attempt)
{
    attempt.firstEventAt = steadyNow();
    if (attempt.reservation)
        attempt.reservation->endWatch();
}

void Gateway::beginRelay(Exchange &exchange)
{
    exchange.state = ExchangeState::Relaying;
    HeaderList headers = exchange.attempt->head.headers;
    headers.removeHopByHop();
    headers.remove("Content-Length");
    if (exchange.fromPeer) {
        removeHandoverFields(headers); // What an endpoint writes there is no statement of a peer.
        stateTried(exchange, headers);
    }
    exchange.caller->beginStream(exchange.attempt->head.status, std::move(headers));
}

void Gateway::noteFirstAnswer(Exchange &exchange)
{
    const TimePoint now = steadyNow();
    Attempt &attempt = *exchange.attempt;
    const FloatMillis took = now - attempt.sentAt;
    if (attempt.peer.empty()) {
        loadTracker_.started(attempt.job, now);
        mesh_.started(attempt.job);
        const bool hasPrompt = exchange.fields.promptTokens > 0;
        endpoints_.noteSuccess(attempt.endpoint,
                               hasPrompt ? took / (attempt.expected - attempt.prefixSaving) : 1.0);
        notePrefilled(exchange, attempt, took);
    }
    if (exchange.eventsRelayed == 0)
        counters_.firstEventSeconds.Observe(
                std::chrono::duration<double>(now - exchange.arrivedAt).count());
    logEvent(LogLevel::Info, "first_event",
             {{"request", exchange.requestId},
              {"endpoint", attempt.endpointId},
              {"took_ms", fmt::format("{:.1f}", took.count())},
              {"expected_ms", fmt::format("{:.0f}", attempt.expected.count())}});
    scheduleDispatch();
}

void Gateway::notePrefilled(const Exchange &exchange, const Attempt &attempt, FloatMillis took)
{
    // Of an endpoint that has left or was restarted, nothing is recorded.
    if (attempt.prefixUse.prefixes.empty() || !endpoints_.find(attempt.endpoint)
        || endpoints_.isLeaving(attempt.endpoint))
        return;
    if (attempt.prefixUse.hit) {
        counters_.prefixHits.Increment();
        counters_.prefixTokensSaved.Increment(static_cast<double>(attempt.prefixTokens));
        logEvent(LogLevel::Info, "prefix_hit",
                 {{"request", exchange.requestId},
                  {"endpoint", attempt.endpointId},
                  {"saving_ms", fmt::format("{:.0f}", attempt.prefixSaving.count())},
                  {"tokens", std::to_string(attempt.prefixTokens)}});
    }
    const bool saved = prefixCache_.saves(exchange.service);
    prefixCache_.noteFirstEvent(exchange.service, attempt.endpoint, attempt.prefixUse, took,
                                attempt.expected, steadyNow());
    if (prefixCache_.saves(exchange.service) == saved)
        return;
    const SavingEstimate estimate = prefixCache_.estimate(exchange.service);
    logEvent(LogLevel::Info, "prefix_saving_changed",
             {{"service", exchange.service},
              {"share", fmt::format("{:.2f}", estimate.share)},
              {"confidence", fmt::format("{:.1f}", estimate.confidence)},
              {"pairs", fmt::format("{:.0f}", estimate.pairs)}});
}

void Gateway::onEnd(std::uint64_t id, JobId job, UpstreamOutcome end)
{
    Exchange *exchange = find(id);
    Attempt *found = exchange ? findAttempt(*exchange, job) : nullptr;
    if (!found)
        return;
    Attempt &attempt = *found;
    // The connection of this call is idle now.
    if (endpoints_.isLeaving(attempt.endpoint))
        pool_.closeIdle(attempt.address);
    switch (end) {
    case UpstreamOutcome::NotSent:
        undoSend(*exchange, attempt);
        if (steadyNow() >= attempt.sendBy) {
            // This process was paused, so it does not show that the endpoint is unreachable.
            failAttempt(*exchange, attempt, EndpointFailure::Refused, false, "not_sent_in_time");
            return;
        }
        if (!attempt.peer.empty()) {
            failAttempt(*exchange, attempt, EndpointFailure::NoConnection, false, "no_peer");
            return;
        }
        reach_.noteNotConnected(exchange->service, attempt.endpoint);
        if (&attempt == exchange->attempt.get())
            delayReconnect(*exchange);
        failAttempt(*exchange, attempt, EndpointFailure::NoConnection, false, "no_connection");
        return;
    case UpstreamOutcome::NoAnswer:
        noteBrokenAnswer(*exchange, attempt);
        failAttempt(*exchange, attempt, EndpointFailure::NoAnswer, true, "no_answer");
        return;
    case UpstreamOutcome::Broken:
        noteBrokenAnswer(*exchange, attempt);
        // The endpoint's statement that it did not run the request is in the head, so it holds even
        // if the body is truncated.
        failAttempt(*exchange, attempt, EndpointFailure::Broken, !attempt.notRun, "broken_answer");
        return;
    case UpstreamOutcome::TooLarge:
    case UpstreamOutcome::NoRoom:
        failAttempt(*exchange, attempt, EndpointFailure::Broken, !attempt.notRun,
                    end == UpstreamOutcome::TooLarge ? "answer_too_large" : "no_room_for_answer");
        return;
    case UpstreamOutcome::Complete:
        break;
    }
    if (attempt.notRun) {
        failAttempt(*exchange, attempt, EndpointFailure::Refused, false,
                    attempt.peer.empty() ? "endpoint_refused" : "peer_refused");
        return;
    }
    if (attempt.streams)
        finishRelay(*exchange, attempt);
    else
        forwardWholeAnswer(*exchange, attempt);
}

void Gateway::undoSend(Exchange &exchange, const Attempt &attempt)
{
    limits_.giveBack(attempt.endpoint, attempt.sentAt, steadyNow());
    if (--exchange.sendCount > 0)
        retryBudget_.refund(exchange.service);
}

void Gateway::delayReconnect(Exchange &exchange)
{
    if (!untriedViews(exchange).empty())
        return;
    exchange.reconnectDelay
            = std::clamp(2 * exchange.reconnectDelay, kMinReconnectDelay, kMaxReconnectDelay);
    exchange.notBefore
            = steadyNow() + randomMillis(exchange.reconnectDelay / 2, exchange.reconnectDelay);
}

void Gateway::finishRelay(Exchange &exchange, Attempt &attempt)
{
    const bool endsWithinEvent = !rest(attempt.pendingEvents).empty();
    if (attempt.events == 0 && !endsWithinEvent && attempt.head.bodyEndsAtClose) {
        // Nothing shows that the answer is whole: an endpoint that crashes may end it like this.
        noteBrokenAnswer(exchange, attempt);
        failAttempt(exchange, attempt, EndpointFailure::Broken, true, "no_events");
        return;
    }
    if (endsWithinEvent) {
        noteBrokenAnswer(exchange, attempt);
        failAttempt(exchange, attempt, EndpointFailure::Broken, true, "event_incomplete");
        return;
    }
    settleOn(exchange, attempt);
    if (exchange.state != ExchangeState::Relaying)
        beginRelay(exchange);
    if (attempt.events > 0)
        crashWatch_.noteCompleted(partsOf(exchange));
    if (!attempt.comments.empty())
        exchange.caller->write(attempt.comments);
    if (!exchange.attempt)
        return; // The caller has disconnected.
    exchange.caller->finish();
    finish(exchange, "completed", 200);
}

void Gateway::failInvalidAnswer(Exchange &exchange, Attempt &attempt)
{
    logEvent(LogLevel::Info, "invalid_answer",
             {{"request", exchange.requestId},
              {"endpoint", attempt.endpointId},
              {"fault", attempt.bodyFault ? attempt.bodyFault : "unsigned"}});
    failAttempt(exchange, attempt, EndpointFailure::Broken, true, "invalid_answer");
}

void Gateway::forwardWholeAnswer(Exchange &exchange, Attempt &attempt)
{
    const int status = attempt.head.status;
    const bool success = status / 100 == 2;
    if (success && (!attempt.reply.sealed || attempt.bodyFault)) {
        failInvalidAnswer(exchange, attempt);
        return;
    }
    // Whether endpoints crash on its prompt, only an answer that was begun shows.
    if (attempt.reply.sealed && crashWatch_.knowsCrashes())
        crashWatch_.noteCompleted({wholeRequest(
                requestDigest(exchange.request, exchange.fields, exchange.workspace))});
    // Without a statement that it has not run, the request may have run, so its caller must not get
    // a status that promises otherwise.
    if (isPromiseOfNotRun(status)) {
        failAttempt(exchange, attempt, EndpointFailure::Refused, true, "refused_without_promise");
        return;
    }
    if (status >= 500 && isRepeatable(exchange.route)) {
        failAttempt(exchange, attempt, EndpointFailure::Error, true, "endpoint_error");
        return;
    }
    if (exchange.state == ExchangeState::Relaying) {
        failAttempt(exchange, attempt, EndpointFailure::Error, true, "endpoint_error");
        return;
    }
    settleOn(exchange, attempt);
    if (success) {
        endpoints_.noteSuccess(attempt.endpoint, 1);
        counters_.answerSeconds.Observe(
                std::chrono::duration<double>(steadyNow() - exchange.arrivedAt).count());
    } else {
        endpoints_.noteFailure(attempt.endpoint, EndpointFailure::Error, steadyNow());
    }
    forwardAnswer(exchange, attempt, success ? "completed" : "endpoint_error");
}

void Gateway::failAttempt(Exchange &exchange, Attempt &attempt, EndpointFailure failure,
                          bool mayHaveRun, const char *reason)
{
    if (&attempt == exchange.attempt.get())
        onAttemptFailed(exchange, failure, mayHaveRun, reason);
    else
        endSilentAttempt(exchange, attempt, failure, reason);
}

FailureFacts Gateway::failureFacts(const Exchange &exchange, bool attemptMayHaveRun, TimePoint now)
{
    FailureFacts facts;
    facts.repeatable = isRepeatable(exchange.route);
    facts.attemptMayHaveRun = attemptMayHaveRun;
    facts.anyAttemptMayHaveRun = exchange.mayHaveRun || attemptMayHaveRun;
    facts.relaying = exchange.state == ExchangeState::Relaying;
    facts.sendCount = exchange.sendCount;
    facts.maxEndpoints = exchange.route.maxEndpoints;
    facts.crashesEndpoints = crashWatch_.findBlocked(partsOf(exchange)) != nullptr;
    facts.refusedByPeer = exchange.refusedByPeer;
    facts.suspected = attemptMayHaveRun && hasMetCrashes(exchange);
    facts.retryBudgetLeft = exchange.sendCount == 0
                            || retryBudget_.available(exchange.service, daemonCount(), now);
    facts.timeLeft = std::chrono::duration_cast<Millis>(exchange.deadline - now);
    return facts;
}

void Gateway::onAttemptFailed(Exchange &exchange, EndpointFailure failure, bool mayHaveRun,
                              const char *reason)
{
    const TimePoint now = steadyNow();
    counters_.attemptFailure(reason).Increment();
    std::unique_ptr<Attempt> attempt;
    if (exchange.attempt) {
        if (endpoints_.noteFailure(exchange.attempt->endpoint, failure, now)) {
            logEvent(LogLevel::Warning, "endpoint_suspended",
                     {{"endpoint", exchange.attempt->endpointId}, {"reason", reason}});
        }
        attempt = endAttempt(exchange);
        attempt->call.reset();
    }
    exchange.mayHaveRun = exchange.mayHaveRun || mayHaveRun;
    const FailureFacts facts = failureFacts(exchange, mayHaveRun, now);
    const Recovery recovery = recoverFrom(facts);
    logEvent(LogLevel::Info, "attempt_failed",
             {{"request", exchange.requestId},
              {"endpoint", attempt ? attempt->endpointId : "none"},
              {"reason", reason},
              {"digest", mayHaveRun ? hex64(requestDigest(exchange.request, exchange.fields,
                                                          exchange.workspace))
                                    : std::string()},
              {"status", std::to_string(attempt ? attempt->head.status : 0)},
              {"events", std::to_string(attempt ? attempt->events : 0)},
              {"may_have_run", mayHaveRun ? "yes" : "no"},
              {"sends", std::to_string(exchange.sendCount)},
              {"silent_ms",
               fmt::format("{:.0f}",
                           attempt ? FloatMillis(now - attempt->lastProgressAt).count() : 0)},
              {"left_ms", std::to_string(facts.timeLeft.count())},
              {"again", recovery == Recovery::Retry ? "yes" : "no"}});
    if (!exchange.silentAttempts.empty()) {
        exchange.attempt = std::move(exchange.silentAttempts.back());
        exchange.silentAttempts.pop_back();
        if (exchange.attempt->silent)
            onSilence(exchange);
        else
            armTimer(exchange);
        return;
    }
    const bool forwardsError = attempt && attempt->headSeen && attempt->head.status >= 400
                               && failure == EndpointFailure::Error;
    switch (recovery) {
    case Recovery::Retry:
        if (facts.relaying)
            counters_.resumes.Increment();
        if (!facts.relaying)
            exchange.state = ExchangeState::Waiting;
        if (const std::uint64_t id = exchange.id; !tryPlace(exchange) && find(id))
            enqueue(exchange);
        return;
    case Recovery::RefuseNotRun:
        if (facts.crashesEndpoints)
            refuseCrashingRequest(exchange);
        else
            refuse(exchange, reason);
        return;
    case Recovery::AbortStream:
        abortStream(exchange, reason);
        return;
    case Recovery::FailMayHaveRun:
        break;
    }
    if (!forwardsError) {
        fail(exchange, 502, reason);
        return;
    }
    forwardAnswer(exchange, *attempt, "endpoint_error");
}

void Gateway::forwardAnswer(Exchange &exchange, Attempt &attempt, const char *outcome)
{
    const int status = attempt.head.status;
    HeaderList headers = std::move(attempt.head.headers);
    headers.removeHopByHop();
    stateSends(exchange, headers);
    exchange.caller->respond(status, std::move(headers), attempt.body);
    finish(exchange, outcome, status);
}

std::unique_ptr<Attempt> Gateway::endAttempt(Exchange &exchange)
{
    std::unique_ptr<Attempt> attempt = std::move(exchange.attempt);
    if (attempt)
        noteJobEnded(*attempt);
    return attempt;
}

void Gateway::noteJobEnded(const Attempt &attempt)
{
    if (!attempt.peer.empty())
        return; // It is the peer's job.
    loadTracker_.ended(attempt.job, steadyNow());
    mesh_.ended(attempt.job);
}

} // namespace cicadafork::gateway
