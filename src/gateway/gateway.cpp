#include "gateway/gateway.h"

#include "base/hash.h"
#include "base/log.h"
#include "gateway/handover.h"
#include "gateway/readerrole.h"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace cicadafork::gateway {

namespace {

// Descriptors for files, and for connections other than those of callers and to endpoints.
constexpr std::size_t kReservedDescriptors = 300;
// One of so many of the other descriptors is for connections to endpoints, the rest for callers.
constexpr std::size_t kEndpointDescriptorShare = 4;
constexpr std::size_t kMinConnections = 64;
// Kept for refusing callers when the process has no other descriptors left.
constexpr std::size_t kSpareDescriptors = 16;
// Enough for 600 endpoints with 32 requests each.
constexpr std::size_t kMaxJobs = 32'768;
constexpr std::size_t kMaxEndpoints = 4096;
// Many times the age of a copy from which the store may come back.
constexpr Millis kDepartedLifetime{120'000};
// Concurrent requests of one daemon.
constexpr std::size_t kMaxExchanges = 2048;
// Added to the time for which a store call itself may wait for records.
constexpr Millis kStoreCallTimeout{900};
// Members learn of new ones from each other; this covers members whose messages are all lost.
constexpr Millis kMemberInterval{300'000};
// Retry-After of requests that arrive before there is a configuration.
constexpr Millis kNoConfigRetryAfter{300};
// Retry-After of requests of which another one is on trial; it takes about as long as a call.
constexpr Millis kTrialRetryAfter{100};
// Retry-After of requests that this daemon has no room for.
constexpr Millis kOverloadRetryAfter{500};
// The load balancer stops sending requests to an entry VM after two failed readiness checks, one
// second apart.
constexpr Millis kLoadBalancerDelay{3000};
constexpr Millis kDrainCheckInterval{200};
// Part of the grace period that is left for the last answers and the exit of the process.
constexpr Millis kGraceMargin{400};

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

MeshOptions meshOptions(const GatewaySettings &settings, std::uint64_t incarnation)
{
    MeshOptions options;
    options.name = settings.member;
    options.ip = settings.peers.ip;
    options.failureDomain = settings.failureDomain;
    options.incarnation = incarnation;
    options.port = settings.peers.port;
    options.seedIps = settings.seeds;
    return options;
}

/// Why the server of the callers answered a request that the gateway did not get.
const char *serverAnswerReason(int status)
{
    switch (status) {
    case 408:
        return "incomplete_request";
    case 413:
        return "body_too_large";
    case 431:
        return "head_too_large";
    case 503:
        return "too_many_connections";
    default:
        return "malformed_request";
    }
}

/// Answers with a status and no header fields or body.
void respondWithStatus(const std::shared_ptr<HttpServerConnection> &caller, int status)
{
    caller->respond(status, {}, {});
}

} // namespace

Gateway::Gateway(asio::io_context &context, GatewaySettings settings, WireProtocol protocol,
                 StoreLayout layout, StoreCalls store, OrderCalls orders, UpstreamPool &pool)
    : context_(context)
    , settings_(std::move(settings))
    , protocol_(protocol)
    , layout_(std::move(layout))
    , store_(checkEra(std::move(store), storeEra_,
                      [this](std::uint64_t before) { onNewStoreEra(before, kFromStore); }))
    , orders_(observed(std::move(orders)))
    , pool_(pool)
    , incarnation_(randomNumber())
    , counters_(metrics_)
    , loadTracker_(kMaxJobs, incarnation_)
    , endpoints_(kMaxEndpoints)
    , limits_(fnv1a64(settings_.peers.ip), kMaxEndpoints)
    , limitTimer_(context)
    , cold_(kMaxEndpoints)
    , limitSharers_(fnv1a64(settings_.peers.ip), steadyNow())
    , coldTimer_(context)
    , retryBudget_(settings_.retries)
    , crashWatch_(context, pool.dialer(), crashWatchHooks())
    , reach_(context, pool.dialer(), reachHooks())
    , crashTimer_(context)
    , saveTimer_(context)
    , mesh_(context, meshOptions(settings_, incarnation_), loadTracker_,
            {.status =
                     [this] {
                         return MeshStatus{.configVersion = configs_.newest(),
                                           .endpointsPosition = endpointsPosition(),
                                           .endpointsDigest = endpoints_.digest(),
                                           .endpointsIncomplete = !unconfirmedEndpoints_.empty(),
                                           .storeEra = storeEra_.known(),
                                           .leaving = draining_,
                                           .storeLost = storeLost_,
                                           .servicesOutOfReach = reach_.cutOffServices(),
                                           .demands = ownDemands()};
                     },
             .loadChanged = [this] { scheduleDispatch(); },
             .workspaceJobReceived = [this](const Job &job) { countUsage(job); },
             .peerChanged = [this](const PeerInfo &peer) { onPeerChanged(peer); },
             .messageReceived = [this](const PeerInfo &peer) { onPeerMessage(peer); },
             .endpointUpdatesReceived =
                     [this](const PeerInfo &peer, const std::vector<EndpointUpdate> &updates) {
                         onEndpointUpdates(peer, updates);
                     },
             .leavingEndpoints = [this] { return endpoints_.leaving(); },
             .leavingEndpointsReceived
             = [this](const std::vector<EndpointKey> &keys) { onLeavingEndpoints(keys); },
             .evacuations = [this] { return evacuations_; },
             .evacuationsReceived =
                     [this](const std::vector<Evacuation> &orders) {
                         noteEvacuations(orders, kFromPeer);
                     },
             .crashesToRepeat =
                     [this] {
                         crashWatch_.expire();
                         return crashWatch_.crashesToRepeat();
                     },
             .crashReceived = [this](const EndpointCrash &crash) { crashWatch_.noteCrash(crash); },
             .clearedPartsReceived = [this](const RequestParts &parts,
                                            TimePoint at) { crashWatch_.noteCleared(parts, at); },
             .limits =
                     [this] {
                         limits_.expire(steadyNow());
                         return limits_.limits();
                     },
             .limitReceived
             = [this](const EndpointLimit &limit) { noteLimit(limit, kFromPeer, {}); },
             .demandsReceived =
                     [this](std::uint64_t daemon, std::vector<overload::ServiceDemand> demands) {
                         demands_.note(daemon, std::move(demands), steadyNow());
                     },
             .configChangeReceived
             = [this](const PeerInfo &peer,
                      const ConfigChange &change) { onConfigChange(peer, change); },
             .isolated = [this] { onIsolated(); }})
    , evacuationTimer_(context)
    , configFollower_(context, store_,
                      {.topic = layout_.configTopic,
                       .wait = readScheduleFor(ReaderRole::Standby).configWait,
                       .interval = readScheduleFor(ReaderRole::Standby).configInterval,
                       .callTimeout = kStoreCallTimeout},
                      {[this](auto records) { onConfigSnapshot(records); },
                       [this](auto records) { onConfigRecords(records); },
                       [this](bool reached) { onConfigContact(reached); }})
    , endpointFollower_(context, store_,
                        {.topic = layout_.endpointsTopic,
                         .interval = readScheduleFor(ReaderRole::Standby).endpointInterval,
                         .callTimeout = kStoreCallTimeout},
                        {[this](auto records) { onEndpointSnapshot(records); },
                         [this](auto records) { onEndpointChanges(records); },
                         [this](bool reached) { onStoreContact(reached); }})
    , memberFollower_(context, store_,
                      {.topic = layout_.membersTopic,
                       .interval = kMemberInterval,
                       .callTimeout = kStoreCallTimeout},
                      {[this](auto records) { onMemberRecords(records); },
                       [this](auto records) { onMemberRecords(records); }, [](bool) {}})
    , departed_(kMaxEndpoints, kDepartedLifetime)
    , unconfirmedTimer_(context)
    , roleTimer_(context)
    , bodyRoom_({.limit = bodyRoomOf(settings_)})
    , callers_(context, callerOptions(),
               [this](const auto &caller, HttpRequest request) {
                   onRequest(caller, std::move(request), std::nullopt);
               })
    , readiness_(context, {.address = settings_.readiness, .answerRoom = &pool_.answerRoom()},
                 [this](const auto &caller, const HttpRequest &request) {
                     const bool known = request.target == protocol_.readinessPath;
                     respondWithStatus(caller, !known ? 404 : ready() ? 200 : 503);
                 })
    , control_(context, {.address = settings_.control, .answerRoom = &pool_.answerRoom()},
               [this](const auto &caller, const HttpRequest &request) {
                   onControl(caller, request);
               })
    , handovers_(context, handoverOptions(),
                 [this](const auto &caller, HttpRequest request) {
                     onHandedOver(caller, std::move(request));
                 })
    , dispatchTimer_(context)
    , demands_(kMaxEndpoints)
    , loadReportTimer_(context)
    , drainTimer_(context)
{
}

Gateway::~Gateway()
{
    for (auto &[id, exchange] : exchanges_)
        exchange->caller->onDisconnect(nullptr);
}

ServerOptions Gateway::callerOptions()
{
    ServerOptions options;
    options.address = settings_.callers;
    const std::size_t descriptors
            = settings_.maxDescriptors - std::min(settings_.maxDescriptors, kReservedDescriptors);
    options.maxConnections
            = std::max(kMinConnections, descriptors - descriptors / kEndpointDescriptorShare);
    options.spareDescriptors = kSpareDescriptors;
    options.connectionEnded = [this](ConnectionEnd end, std::size_t unusedBytes) {
        onCallerConnectionEnded(end, unusedBytes);
    };
    options.bodyRoom = &bodyRoom_;
    options.answerRoom = &pool_.answerRoom();
    options.serverAnswers = [this](const ServerAnswer &answer) {
        const std::optional<Millis> retryAfter
                = answer.status == 503 ? std::optional(answer.roomIn.value_or(kOverloadRetryAfter))
                                       : std::nullopt;
        return noteRejected(protocol_.readCaller(answer.head).requestId, answer.status,
                            answer.roomIn ? "no_room_for_body" : serverAnswerReason(answer.status),
                            retryAfter, false);
    };
    options.acceptFailed = [this](const std::string &error) {
        logEvent(LogLevel::Error, "accept_failed",
                 {{"error", error}, {"connections", std::to_string(callers_.connections())}});
    };
    return options;
}

Result<void> Gateway::start()
{
    for (AsyncHttpServer *server : {&callers_, &readiness_, &control_, &handovers_})
        BOOST_LEAF_CHECK(server->start());
    startedAt_ = steadyNow();
    BOOST_LEAF_CHECK(mesh_.start());
    if (settings_.metricsPort != 0) {
        metricsServer_ = std::make_unique<AsyncHttpServer>(
                context_,
                ServerOptions{.address = {settings_.peers.ip, settings_.metricsPort},
                              .answerRoom = &pool_.answerRoom()},
                [this](const auto &caller, const HttpRequest &request) {
                    onControl(caller, request);
                });
        BOOST_LEAF_CHECK(metricsServer_->start());
    }
    configFollower_.start();
    endpointFollower_.start();
    memberFollower_.start();
    registerMember();
    armLoadReports();
    roleTimer_.expires_after(kRoleDelay);
    roleTimer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            updateReaderRole();
    });
    logEvent(LogLevel::Info, "started",
             {{"callers", toString(settings_.callers)},
              {"incarnation", fmt::format("{:016x}", incarnation_)}});
    return {};
}

bool Gateway::ready() const
{
    return !draining_ && config_ && endpointsKnown_;
}

std::size_t Gateway::daemonCount() const
{
    return mesh_.alivePeerCount() + 1;
}

std::size_t Gateway::domainDaemonCount() const
{
    return mesh_.aliveDomainPeerCount() + 1;
}

Exchange *Gateway::find(std::uint64_t id)
{
    const auto found = exchanges_.find(id);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

void Gateway::onRequest(const std::shared_ptr<HttpServerConnection> &caller, HttpRequest request,
                        const std::optional<HandoverTerms> &terms)
{
    std::unique_ptr<Exchange> admitted = admit(caller, std::move(request), terms);
    if (!admitted)
        return;
    Exchange &exchange = *admitted;
    const std::uint64_t id = exchange.id;
    caller->onDisconnect([this, id] { onCallerDisconnected(id); });
    exchanges_.emplace(id, std::move(admitted));
    // The daemon of the caller counts it.
    if (!exchange.fromPeer)
        retryBudget_.noteRequest(exchange.service, steadyNow());
    // Before it waits behind others. If this daemon is cut off, a peer may have to place it.
    if (!reach_.isCutOff(exchange.service) && refuseByRegion(exchange))
        return;
    // A request for an engine must not overtake those that already wait.
    const bool mustQueue = engineFor(exchange) != nullptr && !waiting_.empty()
                           && !reach_.isCutOff(exchange.service);
    if (!mustQueue && tryPlace(exchange))
        return;
    if (find(id))
        enqueue(exchange);
}

std::unique_ptr<Exchange> Gateway::admit(const std::shared_ptr<HttpServerConnection> &caller,
                                         HttpRequest &&request,
                                         const std::optional<HandoverTerms> &terms)
{
    CallerFields fields = protocol_.readCaller(request);
    const bool fromPeer = terms.has_value();
    const auto reject = [&](int status, const char *reason, std::optional<Millis> retryAfter) {
        caller->respond(status,
                        noteRejected(fields.requestId, status, reason, retryAfter, fromPeer), {});
        return nullptr;
    };
    if (!config_)
        return reject(503, "no_configuration", kNoConfigRetryAfter);
    if (fields.requestId.empty())
        return reject(400, "no_request_id", std::nullopt);
    const std::string *host = request.headers.find("host");
    const Route *route = findRoute(*config_, host ? *host : std::string(), request.target);
    if (!route)
        return reject(404, "no_route", std::nullopt);
    std::string workspaceName;
    int priority = route->priority;
    const Workspace *workspace = nullptr;
    if (route->needsKey && config_->hasWorkspaces) {
        workspace = findWorkspace(*config_, fields.apiKey);
        if (!workspace)
            return reject(401, "unknown_key", std::nullopt);
        workspaceName = workspace->name;
        priority = workspace->priority.value_or(priority);
    }
    if (rejectCrashingRequest(caller, request, fields, workspaceName, fromPeer))
        return nullptr;
    if (!crashWatch_.onTrial().empty() && !mayTry(partsOf(request, fields, workspaceName), nullptr))
        return reject(503, "on_trial", kTrialRetryAfter);
    const TimePoint now = steadyNow();
    if (draining_ && now - drainStartedAt_ > lastArrivalDelay())
        return reject(503, "shutting_down", Millis(20));
    if (exchanges_.size() >= kMaxExchanges)
        return reject(503, "too_many_requests", kOverloadRetryAfter);
    const TimePoint arrivedAt = caller->requestStart();
    const TimePoint deadline = arrivedAt + std::min(fields.deadline, route->timeout);
    if (now >= deadline)
        return reject(503, "arrived_too_late", std::nullopt);
    auto exchange = std::make_unique<Exchange>(context_);
    exchange->id = ++nextExchange_;
    exchange->requestId = fields.requestId;
    exchange->caller = caller;
    exchange->config = config_;
    exchange->route = *route;
    exchange->fromPeer = fromPeer;
    if (terms) {
        exchange->route.maxEndpoints = std::min(route->maxEndpoints, terms->attempts);
        exchange->retriesOfLender = terms->retries;
        exchange->lenderReadsTried = terms->readsTried;
        exchange->triedEndpoints = terms->triedEndpoints;
    }
    exchange->service = pickService(*route, fields.requestId);
    exchange->workspace = std::move(workspaceName);
    exchange->workspaceKey = overload::workspaceKey(exchange->workspace);
    exchange->priority = priority;
    exchange->residency = regionsFor(*route, workspace, request, fromPeer);
    exchange->arrivedAt = arrivedAt;
    exchange->objective = exchange->arrivedAt + route->objective;
    exchange->deadline = deadline;
    exchange->lastEventId = fields.lastEventId;
    exchange->fields = std::move(fields);
    exchange->request = std::move(request);
    return exchange;
}

void Gateway::onCallerDisconnected(std::uint64_t id)
{
    Exchange *exchange = find(id);
    if (!exchange)
        return;
    counters_.cancelled.Increment();
    finish(*exchange, "caller_left", 0);
}

void Gateway::onCallerConnectionEnded(ConnectionEnd end, std::size_t unusedBytes)
{
    counters_.connectionEnd(toString(end)).Increment();
    if (end == ConnectionEnd::ByCaller || unusedBytes == 0)
        return;
    // The caller may have sent a request that this daemon has not read.
    logEvent(LogLevel::Warning, "caller_connection_ended",
             {{"reason", toString(end)},
              {"unused_bytes", std::to_string(unusedBytes)},
              {"config", std::to_string(configs_.newest())}});
}

HeaderList Gateway::noteRejected(const std::string &requestId, int status, const char *reason,
                                 std::optional<Millis> retryAfter, bool fromPeer)
{
    logEvent(LogLevel::Info, "rejected",
             {{"request", requestId},
              {"status", std::to_string(status)},
              {"reason", reason},
              {"config", std::to_string(configs_.newest())}});
    counters_.outcome(reason).Increment();
    HeaderList headers = protocol_.ownAnswerHeaders(requestId, retryAfter);
    if (fromPeer)
        headers.add(kHandoverSends, "0");
    return headers;
}

void Gateway::onDeadline(std::uint64_t id)
{
    Exchange *exchange = find(id);
    if (!exchange)
        return;
    const TimePoint now = steadyNow();
    if (now >= exchange->deadline) {
        endWithError(*exchange, 504, "deadline");
        return;
    }
    if (!exchange->attempt && now >= exchange->queueDeadline) {
        endWithError(*exchange, 502, "no_endpoint");
        return;
    }
    if (exchange->attempt && isRepeatable(exchange->route)
        && now - exchange->attempt->lastProgressAt >= silenceLimit(*exchange)
        && now >= exchange->attempt->nextSilenceCheck) {
        onSilence(*exchange);
        return;
    }
    if (exchange->attempt && !exchange->attempt->reachChecked
        && now - exchange->attempt->lastProgressAt >= reachCheckLimit(*exchange)) {
        exchange->attempt->reachChecked = true;
        reach_.noteSilence(exchange->service);
    }
    armTimer(*exchange);
}

void Gateway::armTimer(Exchange &exchange)
{
    TimePoint next = exchange.deadline;
    if (exchange.attempt && !exchange.attempt->reachChecked)
        next = std::min(next, exchange.attempt->lastProgressAt + reachCheckLimit(exchange));
    if (!exchange.attempt)
        next = std::min(next, exchange.queueDeadline);
    else if (isRepeatable(exchange.route))
        next = std::min(next, std::max(exchange.attempt->lastProgressAt + silenceLimit(exchange),
                                       exchange.attempt->nextSilenceCheck));
    exchange.timer.expires_at(next);
    exchange.timer.async_wait([this, id = exchange.id](const asio::error_code &error) {
        if (!error)
            onDeadline(id);
    });
}

void Gateway::endWithError(Exchange &exchange, int statusIfSent, const char *reason)
{
    if (exchange.state == ExchangeState::Relaying)
        abortStream(exchange, reason);
    else if (exchange.attempt || exchange.mayHaveRun)
        fail(exchange, statusIfSent, reason);
    else
        refuse(exchange, reason);
}

void Gateway::refuse(Exchange &exchange, const char *reason)
{
    const Millis retryAfter
            = exchange.peerRetryAfter ? *exchange.peerRetryAfter : suggestedRetryAfter(exchange);
    logEvent(LogLevel::Info, "refused",
             {{"request", exchange.requestId},
              {"route", exchange.route.name},
              {"reason", reason},
              {"retry_after_ms", std::to_string(retryAfter.count())},
              {"sends", std::to_string(exchange.sendCount)}});
    exchange.caller->respond(503, ownAnswerHeaders(exchange, retryAfter), {});
    finish(exchange, "refused", 503);
}

void Gateway::fail(Exchange &exchange, int status, const char *reason)
{
    logEvent(LogLevel::Info, "failed",
             {{"request", exchange.requestId},
              {"route", exchange.route.name},
              {"reason", reason},
              {"sends", std::to_string(exchange.sendCount)}});
    exchange.caller->respond(status, ownAnswerHeaders(exchange, std::nullopt), {});
    finish(exchange, "failed", status);
}

void Gateway::abortStream(Exchange &exchange, const char *reason)
{
    logEvent(LogLevel::Info, "broken_off",
             {{"request", exchange.requestId},
              {"route", exchange.route.name},
              {"reason", reason},
              {"events", std::to_string(exchange.eventsRelayed)}});
    exchange.caller->abort();
    finish(exchange, "broken_off", 0);
}

void Gateway::finish(Exchange &exchange, const char *outcome, int status)
{
    const FloatMillis took = steadyNow() - exchange.arrivedAt;
    counters_.outcome(outcome).Increment();
    logEvent(LogLevel::Info, "ended",
             {{"request", exchange.requestId},
              {"route", exchange.route.name},
              {"outcome", outcome},
              {"status", std::to_string(status)},
              {"took_ms", fmt::format("{:.1f}", took.count())},
              {"longest_gap_ms", fmt::format("{:.0f}", exchange.longestGap.count())},
              {"gap_limit_ms", std::to_string(exchange.route.maxEventGap.count())},
              {"events", std::to_string(exchange.eventsRelayed)}});
    endBooking(exchange, outcome);
    endAttempt(exchange);
    for (const auto &silent : exchange.silentAttempts)
        noteJobEnded(*silent);
    exchange.caller->onDisconnect(nullptr);
    exchange.timer.cancel();
    if (std::erase(waiting_, exchange.id) > 0)
        tellDemands();
    // Destroys the exchange on a later turn of the event loop: one of its own handlers may be
    // running now.
    const auto found = exchanges_.find(exchange.id);
    auto finished = std::shared_ptr<Exchange>(std::move(found->second));
    exchanges_.erase(found);
    asio::post(context_, [finished] {});
    scheduleDispatch(true);
}

Millis Gateway::lastArrivalDelay() const
{
    return std::min(kLoadBalancerDelay, settings_.shutdownGrace / 2);
}

void Gateway::shutDown(std::function<void()> done)
{
    if (draining_)
        return;
    logEvent(LogLevel::Info, "stopping", {{"requests", std::to_string(exchanges_.size())}});
    draining_ = true;
    drainStartedAt_ = steadyNow();
    onDrained_ = std::move(done);
    callers_.beginDrain();
    handovers_.beginDrain();
    assignLimitOwners();
    store_.put(layout_.membersTopic, settings_.member, {}, kStoreCallTimeout,
               [](StoreFailure, std::optional<std::uint64_t>) {});
    mesh_.sendStatus();
    checkDrain();
}

void Gateway::checkDrain()
{
    const auto elapsed = steadyNow() - drainStartedAt_;
    if (elapsed >= kLoadBalancerDelay) {
        callers_.closeIdleConnections();
        handovers_.closeIdleConnections();
    }
    // The process must not end before each request that arrives has its answer.
    const bool idle = elapsed >= kLoadBalancerDelay && exchanges_.empty() && !callers_.inUse()
                      && !handovers_.inUse();
    const bool overdue = elapsed >= settings_.shutdownGrace - kGraceMargin;
    if (!idle && !overdue) {
        drainTimer_.expires_after(kDrainCheckInterval);
        drainTimer_.async_wait([this](const asio::error_code &error) {
            if (!error)
                checkDrain();
        });
        return;
    }
    std::vector<std::uint64_t> left;
    for (const auto &[id, exchange] : exchanges_)
        left.push_back(id);
    for (const std::uint64_t id : left) {
        endWithError(*exchanges_.at(id), 502, "shutting_down");
    }
    logEvent(LogLevel::Info, "stopped",
             {{"cut", std::to_string(left.size())},
              {"unsent", std::to_string(callers_.connectionsWithUnsentBytes())}});
    mesh_.stop();
    configFollower_.stop();
    endpointFollower_.stop();
    memberFollower_.stop();
    onDrained_();
}

void Gateway::reload(const GatewaySettings &settings)
{
    settings_.retries = settings.retries;
    settings_.shutdownGrace = settings.shutdownGrace;
    settings_.logLevel = settings.logLevel;
    settings_.prefixPlacement = settings.prefixPlacement;
    retryBudget_.setLimits(settings.retries);
    setLogLevel(settings.logLevel);
    logEvent(LogLevel::Info, "reloaded");
}

} // namespace cicadafork::gateway
