#include "daemon/daemon.h"

#include "base/ids.h"
#include "base/json.h"
#include "base/log.h"
#include "config/fold.h"
#include "daemon/rows.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace cicadafork {

namespace {

// Health checks and operators must find a thread while all streams are in use. A daemon for few
// streams keeps fewer: the thread ids of one machine run out at 32,768 in all.
constexpr std::size_t kMinSpareServerThreads = 8;
constexpr std::size_t kMaxSpareServerThreads = 64;
constexpr std::size_t kStreamsPerSpareThread = 16;
// A silent endpoint holds a thread for the status timeout; 16 carry 32 such endpoints at the
// default interval.
constexpr std::size_t kEndpointThreads = 16;
constexpr Millis kHeartbeatTimeout{1000};
// Measured with scripts/capacity.sh at 8 daemons: 19.5 KB/s sent for 32.5 heartbeats per second.
constexpr double kAssumedDigestBytes = 600;
// The platform's balancer needs to see the failed readiness before the listener closes.
constexpr Millis kReadinessLead{500};
constexpr Millis kDrainPoll{20};
constexpr Millis kClaimFlushTimeout{5000};
constexpr Millis kVmListPoll{50};
// Orders, sweeps and pools tolerate this delay. At every tick of 20 ms, copying 600 endpoints alone
// would take more than the control plane's share of a core.
constexpr Millis kSlowTick{200};

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

FleetOptions fleetOptions(const Settings &settings, const std::string &incarnation)
{
    FleetOptions options;
    options.selfId = settings.memberId;
    options.selfDomain = settings.failureDomain;
    options.callerAddress = settings.callerAddress;
    options.peerAddress = settings.peerAddress;
    options.incarnation = incarnation;
    options.sendPermission = settings.timing.sendPermission;
    options.statusInterval = settings.timing.statusInterval;
    options.heartbeatMinimum = settings.timing.heartbeatMinimum;
    options.controlBytesPerSecond = settings.controlBytesPerSecond;
    options.assumedDigestBytes = kAssumedDigestBytes;
    return options;
}

HttpServerOptions serverOptions(const Settings &settings)
{
    HttpServerOptions options;
    options.address = settings.callerAddress;
    options.threads = settings.limits.maxStreams
                      + std::clamp(settings.limits.maxStreams / kStreamsPerSpareThread,
                                   kMinSpareServerThreads, kMaxSpareServerThreads);
    options.maxBodyBytes = settings.limits.maxBodyBytes;
    return options;
}

PeerClientOptions peerClientOptions(const Settings &settings, const std::string &incarnation,
                                    Metrics &metrics)
{
    PeerClientOptions options;
    options.self = {settings.memberId, incarnation};
    options.sourceIp = settings.peerAddress.ip;
    options.meters.connections = makeTrafficMeter(metrics, "peer");
    options.meters.heartbeats = makeTrafficMeter(metrics, "peer_heartbeat");
    options.meters.configuration = makeTrafficMeter(metrics, "peer_configuration");
    options.meters.claims = makeTrafficMeter(metrics, "peer_claims");
    options.meters.streams = makeTrafficMeter(metrics, "peer_streams");
    options.meters.queries = makeTrafficMeter(metrics, "peer_queries");
    return options;
}

PeerServerOptions peerServerOptions(const Settings &settings, const std::string &incarnation,
                                    Metrics &metrics)
{
    PeerServerOptions options;
    options.self = {settings.memberId, incarnation};
    options.address = settings.peerAddress;
    options.meter = makeTrafficMeter(metrics, "peer");
    return options;
}

ConfigStoreOptions storeOptions(const Settings &settings)
{
    ConfigStoreOptions options;
    options.requestTimeout = settings.platform.requestTimeout;
    return options;
}

} // namespace

Daemon::Daemon(Settings settings)
    : settings_(std::move(settings))
    , incarnation_(newUuidV7(wallNow()))
    , log_(settings_.platform.log,
           {makeTrafficMeter(metrics_, "log_append"), makeTrafficMeter(metrics_, "log_read")})
    , countedLog_(log_, metrics_)
    , vmList_(settings_.platform.vmList, makeTrafficMeter(metrics_, "vm_list"))
    , fleet_(fleetOptions(settings_, incarnation_))
    , store_(countedLog_, storeOptions(settings_))
    , outliers_(kMaxEndpoints, [this](const std::string &endpointId,
                                      bool ejected) { fleet_.setEjected(endpointId, ejected); })
    , observedFleet_(fleet_, outliers_)
    , admission_(observedFleet_, settings_, prefixes_, metrics_, randomSeed(), &outliers_)
    , client_(loop_, peerClientOptions(settings_, incarnation_, metrics_))
    , calls_(fleet_, client_, directory_, metrics_,
             {.selfId = settings_.memberId, .failureDomain = settings_.failureDomain})
    , claims_(countedLog_, claimsSettings(),
              [this](std::size_t shard, const std::string &batch, Millis timeout) {
                  return calls_.forwardClaims(shard, batch, timeout);
              })
    , countedClaims_(claims_, metrics_)
    , frontend_(settings_, store_, observedFleet_, admission_, countedClaims_, metrics_,
                incarnation_, frontendHooks())
    , operatorService_(store_, operatorHooks())
    , operatorRoutes_(settings_, operatorService_, metrics_, routeHooks())
    , server_(serverOptions(settings_))
    , peerServer_(loop_, peerServerOptions(settings_, incarnation_, metrics_), peerHandlers())
    , sync_(store_, fleet_, client_, {.selfId = settings_.memberId})
    , heartbeats_(fleet_, client_, kHeartbeatTimeout)
    , poller_(fleet_, endpointPool_, {.meter = makeTrafficMeter(metrics_, "endpoint_status")})
    , care_(fleet_, store_, endpointPool_, metrics_,
            {.selfId = settings_.memberId, .selfIncarnation = incarnation_})
    , endpointPool_(kEndpointThreads)
    , tickTime_(metrics_.histogram("cicadafork_tick_seconds", "Duration of a control tick",
                                   {0.0001, 0.0005, 0.001, 0.005, 0.02, 0.1}))
{
    store_.onChange([this](const std::shared_ptr<const Configuration> &configuration) {
        fleet_.applyConfiguration(configuration);
        frontend_.endStopped(*configuration);
    });
}

Daemon::~Daemon()
{
    stopThreads();
}

LogClaimsSettings Daemon::claimsSettings() const
{
    LogClaimsSettings claims;
    claims.memberId = settings_.memberId;
    claims.incarnation = incarnation_;
    claims.validity = settings_.timing.claimValidity;
    claims.logTimeout = settings_.platform.requestTimeout;
    claims.logRetention = settings_.platform.logRetention;
    claims.fold.keys.window = settings_.timing.deduplicationWindow;
    return claims;
}

FrontendHooks Daemon::frontendHooks()
{
    FrontendHooks hooks;
    hooks.noteStream = [this](const std::string &requestKey, const EndpointView &endpoint) {
        calls_.noteStream(requestKey, endpoint.id);
    };
    hooks.findStream
            = [this](const std::string &requestKey) { return calls_.findStream(requestKey); };
    hooks.prefixHashes = [](std::string_view prompt) { return prefixHashes(prompt); };
    hooks.notePrefix
            = [this](const EndpointView &endpoint, const std::vector<std::uint64_t> &hashes) {
                  prefixes_.recordDispatch(endpoint.id, hashes, steadyNow());
              };
    return hooks;
}

PeerHandlers Daemon::peerHandlers()
{
    PeerHandlers handlers;
    handlers.accept = [this](const std::string &memberId, const std::string &ip) {
        return fleet_.isKnownMember(memberId, ip);
    };
    handlers.heartbeat
            = [this](const Digest &digest) { return fleet_.applyDigest(digest, steadyNow()); };
    handlers.noteStream = [this](const std::string &requestKey, const std::string &endpointId) {
        directory_.note(requestKey, endpointId, steadyNow());
    };
    handlers.findStream = [this](const std::string &requestKey) {
        return directory_.find(requestKey, steadyNow());
    };
    handlers.pushConfig = [this](const std::string &text) {
        if (const auto update = capture([&] { return decodeUpdate(text); }))
            store_.applyPushed(*update);
        return store_.nextOffset().value_or(0);
    };
    handlers.pullConfig = [this](Offset from) { return encodeUpdate(store_.updateSince(from)); };
    handlers.claim = [this](const std::string &batch) {
        return Expected<std::string>(claims_.handleForwardedBatch(batch));
    };
    handlers.runQuery = [this](const std::string &text) { return answerQuery(text); };
    handlers.dump = [this] { return Expected<std::string>(dump().dump()); };
    return handlers;
}

OperatorHooks Daemon::operatorHooks()
{
    OperatorHooks hooks;
    hooks.localRows = [this](Subject subject) { return localRows(subject); };
    hooks.queryMembers = [this](Subject subject, Millis timeout) {
        return calls_.askAll(nlohmann::json{{"show", toString(subject)}}.dump(), timeout);
    };
    hooks.explainLocally
            = [this](const std::string &requestId) { return explainLocally(requestId); };
    hooks.explainOnMembers = [this](const std::string &requestId, Millis timeout) {
        return calls_.askAll(nlohmann::json{{"why", requestId}}.dump(), timeout);
    };
    hooks.preview = [this](const Command &command) { return previewCommand(command); };
    return hooks;
}

OperatorRouteHooks Daemon::routeHooks()
{
    OperatorRouteHooks hooks;
    hooks.dump = [this] { return dump(); };
    hooks.notReadyReason = [this] { return notReadyReason(); };
    hooks.updateGauges = [this] { updateGauges(); };
    return hooks;
}

Result<void> Daemon::start()
{
    frontend_.registerRoutes(server_.routes());
    operatorRoutes_.registerRoutes(server_.routes());
    BOOST_LEAF_CHECK(peerServer_.start());
    BOOST_LEAF_CHECK(server_.start());
    startThreads();
    logEvent(LogLevel::Info, "daemon_started",
             {{"caller_address", toString(settings_.callerAddress)},
              {"peer_address", toString(settings_.peerAddress)},
              {"incarnation", incarnation_}});
    return {};
}

void Daemon::startThreads()
{
    started_ = true;
    scheduleTick();
    controlThread_ = std::thread([this] { control_.run(); });
    vmListThread_ = std::thread([this] { runVmList(); });
    readerThread_ = std::thread([this] {
        while (!stopping_)
            sync_.runReader();
    });
    repairThread_ = std::thread([this] {
        while (!stopping_)
            sync_.runRepair();
    });
    // Reads the retained claims, so that the first keyed request does not pay for it.
    warmUpThread_
            = std::thread([this] { claims_.warmUp(steadyNow() + settings_.timing.claimValidity); });
}

void Daemon::scheduleTick()
{
    tickTimer_.expires_after(settings_.timing.tick);
    tickTimer_.async_wait([this](const asio::error_code &error) {
        if (error || stopping_)
            return;
        const TimePoint begin = steadyNow();
        tick(begin);
        tickTime_.Observe(std::chrono::duration<double>(steadyNow() - begin).count());
        scheduleTick();
    });
}

void Daemon::tick(TimePoint now)
{
    fleet_.setRequestsInProgress(static_cast<std::uint32_t>(frontend_.requests(now).size()));
    poller_.tick(now);
    heartbeats_.tick(now);
    if (now >= nextSlowTick_) {
        care_.tick(now);
        updatePools();
        breakOffSilent(now);
        nextSlowTick_ = now + kSlowTick;
    }
    outliers_.tick(now);
    admission_.dispatchQueued(now);
    directory_.tick(now);
}

void Daemon::updatePools()
{
    for (auto &[service, endpoints] : fleet_.endpointIds())
        outliers_.setPool(service, std::move(endpoints));
}

void Daemon::breakOffSilent(TimePoint now)
{
    std::map<std::string, Millis> reportAges;
    for (const std::string &service : fleet_.services()) {
        for (const EndpointView &endpoint : fleet_.view(service, now).endpoints)
            reportAges[endpoint.id] = endpoint.reportAge;
    }
    frontend_.breakOffSilent(reportAges, now);
}

void Daemon::runVmList()
{
    bool reachable = true;
    while (!stopping_) {
        const auto list = capture([&] { return vmList_.fetch(settings_.platform.requestTimeout); });
        if (list)
            fleet_.applyVmList(*list, steadyNow());
        if (reachable != static_cast<bool>(list)) {
            reachable = !reachable;
            logEvent(LogLevel::Warning, "vm_list_reachable_changed",
                     {{"reachable", reachable ? "yes" : "no"}});
        }
        const TimePoint next = steadyNow() + settings_.platform.vmListInterval;
        while (!stopping_ && steadyNow() < next)
            std::this_thread::sleep_for(kVmListPoll);
    }
}

void Daemon::shutDown()
{
    logEvent(LogLevel::Info, "shutdown_started",
             {{"requests", std::to_string(frontend_.requests(steadyNow()).size())}});
    const TimePoint begin = steadyNow();
    frontend_.beginDrain();
    fleet_.setLeaving();
    // Every request ends by its own deadline, so this loop ends.
    while (!frontend_.drained() || steadyNow() - begin < kReadinessLead)
        std::this_thread::sleep_for(kDrainPoll);
    server_.stop();
    claims_.flush(steadyNow() + kClaimFlushTimeout);
    stopThreads();
    logEvent(LogLevel::Info, "shutdown_finished");
}

void Daemon::stopThreads()
{
    if (!started_ || stopping_.exchange(true))
        return;
    server_.stop();
    control_.stop();
    for (std::thread *thread :
         {&controlThread_, &vmListThread_, &readerThread_, &repairThread_, &warmUpThread_}) {
        if (thread->joinable())
            thread->join();
    }
    peerServer_.stop();
    endpointPool_.join();
}

ResultTable Daemon::localRows(Subject subject)
{
    const TimePoint now = steadyNow();
    if (subject == Subject::Requests)
        return requestRows(settings_.memberId, frontend_.requests(now));
    if (subject == Subject::EntryVms)
        return entryVmRows(allMembers(now));
    if (subject == Subject::Endpoints) {
        std::vector<std::pair<std::string, FleetView>> views;
        for (const std::string &service : fleet_.services())
            views.emplace_back(service, fleet_.view(service, now));
        return endpointRows(views, store_.current().get(), settings_.timing.sendPermission);
    }
    return configurationRow(settings_.memberId, settings_.failureDomain, store_.nextOffset(),
                            !notReadyReason());
}

std::vector<PeerView> Daemon::allMembers(TimePoint now) const
{
    std::vector<PeerView> members = fleet_.peers(now);
    members.push_back({settings_.memberId, settings_.failureDomain, settings_.callerAddress,
                       settings_.peerAddress, true, incarnation_, store_.nextOffset().value_or(0),
                       Millis(0)});
    std::ranges::sort(members, {}, &PeerView::id);
    return members;
}

ResultTable Daemon::explainLocally(const std::string &requestId)
{
    const TimePoint now = steadyNow();
    return explainRows(settings_.memberId, frontend_.requests(now), admission_.queued(now),
                       requestId);
}

Expected<std::string> Daemon::answerQuery(const std::string &text)
{
    const auto query = parseJson(text);
    if (query.is_object() && query.contains("why") && query["why"].is_string())
        return toJson(explainLocally(query["why"].get<std::string>())).dump();
    if (query.is_object() && query.contains("show")) {
        for (Subject subject : {Subject::Requests, Subject::Configuration}) {
            if (query["show"] == toString(subject))
                return toJson(localRows(subject)).dump();
        }
    }
    return Error{ErrorCode::InvalidArgument, "unknown query of a member",
                 "run the same version of cicadafork on all entry VMs"};
}

Verdict Daemon::previewCommand(const Command &command) const
{
    Configuration copy = *store_.current();
    const LogRecord record{copy.nextOffset, wallNow(), encodeCommand(command)};
    const auto verdict = applyRecord(copy, record);
    return verdict.value_or(Verdict{});
}

std::optional<std::string> Daemon::notReadyReason() const
{
    if (!frontend_.accepting())
        return "shutting down";
    if (!store_.current())
        return "no configuration is known: neither the log nor a peer has answered";
    return std::nullopt;
}

nlohmann::json Daemon::dump()
{
    const TimePoint now = steadyNow();
    nlohmann::json json;
    json["member_id"] = settings_.memberId;
    json["failure_domain"] = settings_.failureDomain;
    json["incarnation"] = incarnation_;
    json["not_ready_reason"] = notReadyReason().value_or("");
    json["config_next_offset"] = store_.nextOffset().value_or(0);
    json["log_available"] = claims_.logAvailable();
    json["requests"] = toJson(localRows(Subject::Requests));
    json["endpoints"] = toJson(localRows(Subject::Endpoints));
    json["queued"] = nlohmann::json::array();
    for (const QueuedRequestView &queued : admission_.queued(now)) {
        json["queued"].push_back({{"id", queued.requestId},
                                  {"workspace", queued.workspace},
                                  {"service", queued.service},
                                  {"priority", toString(queued.priority)},
                                  {"prompt_tokens", queued.promptTokens},
                                  {"waited_ms", queued.waited.count()},
                                  {"reason", queued.reason}});
    }
    json["membership"] = fleet_.dump(now);
    json["stream_locations"] = directory_.size();
    json["prefix_entries"] = prefixes_.size();
    return json;
}

void Daemon::updateGauges()
{
    const auto set = [this](const char *name, const char *help, double value) {
        metrics_.gauge(name, help).Set(value);
    };
    const TimePoint now = steadyNow();
    set("cicadafork_requests_in_progress", "Rows of the request table",
        static_cast<double>(frontend_.requests(now).size()));
    set("cicadafork_requests_limit", "Limit of the request table",
        static_cast<double>(settings_.limits.maxRequests));
    set("cicadafork_stream_locations", "Rows of the stream directory",
        static_cast<double>(directory_.size()));
    set("cicadafork_stream_locations_limit", "Limit of the stream directory",
        static_cast<double>(kStreamDirectoryRows));
    set("cicadafork_prefix_entries", "Rows of the prefix index",
        static_cast<double>(prefixes_.size()));
    set("cicadafork_prefix_entries_limit", "Limit of the prefix index",
        static_cast<double>(prefixes_.limit()));
    set("cicadafork_peers_alive", "Members with a fresh heartbeat",
        static_cast<double>(std::ranges::count_if(fleet_.peers(now), &PeerView::alive)));
    set("cicadafork_config_next_offset", "All configuration records before this are in force",
        static_cast<double>(store_.nextOffset().value_or(0)));
    set("cicadafork_log_available", "1 while calls to the log succeed",
        claims_.logAvailable() ? 1 : 0);
    updateTableGauges(now);
    set("cicadafork_claim_records_dropped", "Outcomes and withdrawals that could not be stored",
        static_cast<double>(claims_.droppedRecords()));
}

void Daemon::updateTableGauges(TimePoint now)
{
    const auto set = [this](const char *table, std::size_t rows, std::size_t limit) {
        metrics_.gauge("cicadafork_table_rows", "Rows of a bounded table", {{"table", table}})
                .Set(static_cast<double>(rows));
        metrics_.gauge("cicadafork_table_limit", "Limit of a bounded table", {{"table", table}})
                .Set(static_cast<double>(limit));
    };
    std::size_t endpoints = 0;
    for (const std::string &service : fleet_.services())
        endpoints += fleet_.view(service, now).endpoints.size();
    set("requests", frontend_.requests(now).size(), settings_.limits.maxRequests);
    set("queue", admission_.queued(now).size(), settings_.limits.maxQueued);
    set("members", fleet_.peers(now).size() + 1, kMaxMembers);
    set("endpoints", endpoints, kMaxEndpoints);
    set("stream_locations", directory_.size(), kStreamDirectoryRows);
    set("prefix_index", prefixes_.size(), prefixes_.limit());
    set("claim_attempts", claims_.attempts(), claims_.attemptsLimit());
    set("claim_keys", claims_.claimedKeys(), claims_.claimedKeysLimit());
    set("peer_connections", peerServer_.connections(), PeerServerOptions().maxConnections);
    const auto configuration = store_.current();
    set("history", configuration ? configuration->history.size() : 0, kHistoryLimit);
}

} // namespace cicadafork
