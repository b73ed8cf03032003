// How the gateway discovers configuration, endpoints and members through the platform's store, and
// the handlers of its control port.

#include "base/hash.h"
#include "base/jitter.h"
#include "base/log.h"
#include "gateway/blockedrecord.h"
#include "gateway/gateway.h"
#include "gateway/readerrole.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace cicadafork::gateway {

namespace {

constexpr const char *kSharedPath = "/v1/shared";
constexpr const char *kMetricsPath = "/metrics";
constexpr const char *kDumpPath = "/debug/dump";
// Added to the read interval: a store silent for longer has missed two reads and is unavailable.
constexpr Millis kStoreSilenceLimit{1800};
constexpr Millis kRegisterTimeout{1500};
constexpr Millis kRegisterRetry{1000};
// When a peer reaches the store again, a daemon that has lost it tries within this time.
constexpr Millis kEarlyRetrySpread{1000};
// Shortest time between two such attempts: the store may turn away this daemon and serve others.
constexpr Millis kMinEarlyRetryInterval{5000};
// In a new era of the store, the readers read all records again within this time. An endpoint that
// drains must be noticed within 2 s of its record.
constexpr Millis kReaderRereadSpread{250};
// The other daemons learn from the readers, and read again in case all messages of these are lost.
constexpr Millis kStandbyRereadSpread{60'000};
// What daemons add to the head of a request that they hand over: two numbers and a list of regions.
constexpr std::size_t kHandoverHeaderBytes = 2048;
// In a new era of the store, all daemons write their member records again within this time.
constexpr Millis kReregisterSpread{3000};

} // namespace

void Gateway::onConfigSnapshot(const std::vector<StoreRecord> &records)
{
    onConfigRecords(records);
    std::set<std::string> listed;
    for (const StoreRecord &record : records) {
        if (record.key.starts_with(layout_.evacuationPrefix))
            listed.insert(record.key.substr(layout_.evacuationPrefix.size()));
    }
    // In a new era of the store, the operators write again what the older copy lacks.
    const auto mayReturnUntil = storeOutage_.absentRecordMayReturnUntil(steadyNow());
    const StorePosition end = configFollower_.snapshotEnd();
    if (!mayReturnUntil) {
        endUnlistedEvacuations(listed, end);
        return;
    }
    evacuationTimer_.expires_at(*mayReturnUntil);
    evacuationTimer_.async_wait([this, listed, end](const asio::error_code &error) {
        if (!error)
            endUnlistedEvacuations(listed, end);
    });
}

void Gateway::onConfigRecords(const std::vector<StoreRecord> &records)
{
    std::vector<Evacuation> orders;
    for (const StoreRecord &record : records) {
        if (record.key == layout_.configKey && record.value) {
            applyConfig(*record.value, kFromStore);
        } else if (record.key.starts_with(layout_.evacuationPrefix)) {
            orders.push_back({record.key.substr(layout_.evacuationPrefix.size()),
                              {configFollower_.position().era, record.offset},
                              record.value.has_value()});
        }
    }
    noteEvacuations(orders, kFromStore);
}

void Gateway::endUnlistedEvacuations(const std::set<std::string> &listed, const StorePosition &end)
{
    noteEvacuations(unlistedEvacuations(evacuations_, listed, end), kFromStore);
}

void Gateway::noteEvacuations(const std::vector<Evacuation> &orders, const char *source)
{
    const std::set<std::string> before = evacuatedDomains(evacuations_);
    bool isNew = false;
    for (const Evacuation &order : orders) {
        if (!noteEvacuation(evacuations_, order))
            continue;
        isNew = true;
        if (order.inForce == before.contains(order.failureDomain))
            continue;
        logEvent(LogLevel::Info, "evacuation_changed",
                 {{"domain", order.failureDomain},
                  {"in_force", order.inForce ? "yes" : "no"},
                  {"source", source},
                  {"position", std::to_string(order.position.offset)}});
    }
    if (!isNew)
        return;
    endpoints_.setEvacuated(evacuatedDomains(evacuations_));
    counters_.evacuatedDomains.Set(static_cast<double>(evacuatedDomains(evacuations_).size()));
    if (std::string_view(source) == kFromStore && announcesStoreChanges_)
        mesh_.sendEvacuations();
    scheduleDispatch();
}

void Gateway::onMemberRecords(const std::vector<StoreRecord> &records)
{
    for (const StoreRecord &record : records) {
        if (isBlockedKey(record.key))
            readBlocks(record);
        else
            mesh_.addPeer(record.key, record.value.value_or(std::string()));
        if (record.value && !isBlockedKey(record.key))
            limitSharers_.noteListed(fnv1a64(*record.value), steadyNow());
    }
    limitSharers_.noteListRead();
    updateColdLimits();
}

bool Gateway::applyConfig(const std::string &text, const char *source)
{
    auto decoded = capture([&] { return layout_.readConfig(text); });
    if (!decoded) {
        logEvent(LogLevel::Warning, "configuration_unreadable",
                 {{"source", source}, {"error", decoded.error().message}});
        return false;
    }
    const std::uint64_t before = configs_.newest();
    if (config_ && decoded->version <= before)
        return false;
    config_ = std::make_shared<const RoutingConfig>(std::move(*decoded));
    configs_.add(config_->version, text);
    behindSince_ = {};
    const CallerLimits &limits = config_->limits;
    callers_.setLimits({limits.maxHeaderBytes, limits.maxBodyBytes}, limits.headerTimeout,
                       limits.idleTimeout);
    handovers_.setLimits({limits.maxHeaderBytes + kHandoverHeaderBytes, limits.maxBodyBytes},
                         limits.headerTimeout, limits.idleTimeout);
    logEvent(LogLevel::Info, "configuration_in_force",
             {{"version", std::to_string(config_->version)},
              {"before", std::to_string(before)},
              {"source", source},
              {"keys", std::to_string(config_->workspaceByKey.size())}});
    updateColdLimits();
    // If a standby reads a change before the readers have sent it, the readers have missed it.
    const bool missedByReaders = before != 0 && std::string_view(source) == kFromStore;
    if (announcesStoreChanges_ || missedByReaders) {
        if (const auto change = configs_.changeFrom(before))
            mesh_.sendConfigChange(*change);
        else
            mesh_.sendStatus();
    }
    return true;
}

void Gateway::onEndpointSnapshot(const std::vector<StoreRecord> &records)
{
    if (endpointsKnown_ && endpointFollower_.position() < positionFromPeers_)
        return;
    std::set<std::string> listed;
    for (const StoreRecord &record : records) {
        listed.insert(record.key);
        applyEndpoint(record);
    }
    const TimePoint now = steadyNow();
    // An absent value is less than any time.
    const auto mayReturnUntil = std::max(storeOutage_.recordMayReturnUntil(now),
                                         storeOutage_.absentRecordMayReturnUntil(now));
    for (const std::string &id : endpoints_.ids()) {
        if (!listed.contains(id))
            onEndpointMissing(id, {.storeEra = endpointFollower_.position().era}, mayReturnUntil);
    }
    if (!endpointsKnown_) {
        logEvent(LogLevel::Info, "endpoints_known",
                 {{"count", std::to_string(endpoints_.size())}, {"source", kFromStore}});
        // Peers already know what is new to a starting process. Otherwise hundreds of daemons that
        // start together would send each other thousands of endpoints.
        pendingUpdates_.clear();
    }
    endpointsKnown_ = true;
    announceEndpointChanges();
    scheduleDispatch();
}

void Gateway::onEndpointChanges(const std::vector<StoreRecord> &records)
{
    // The store may return a state that is seconds old, when peers have already sent a newer one.
    if (endpointFollower_.position() < positionFromPeers_)
        return;
    for (const StoreRecord &record : records)
        applyEndpoint(record);
    announceEndpointChanges();
}

void Gateway::announceEndpointChanges()
{
    updateColdLimitsIfChanged();
    for (EndpointUpdate &update : pendingUpdates_) {
        if (update.record)
            update.record = withColdTime(std::move(*update.record));
    }
    if (!pendingUpdates_.empty() && announcesStoreChanges_)
        mesh_.sendEndpointUpdates(pendingUpdates_);
    pendingUpdates_.clear();
}

void Gateway::updateReaderRole()
{
    if (steadyNow() - startedAt_ < kRoleDelay)
        return;
    std::vector<ReaderCandidate> others;
    for (const auto &[ip, peer] : mesh_.peers()) {
        if (peer.alive && !peer.leaving && peer.failureDomain == settings_.failureDomain)
            others.push_back({peer.incarnation, peer.storeLost});
    }
    const ReaderRole role = chooseReaderRole({incarnation_, storeLost_}, others);
    const ReadSchedule schedule = readScheduleFor(role);
    const bool becomesReader = role != ReaderRole::Standby && !announcesStoreChanges_;
    isPrimaryReader_ = role == ReaderRole::Primary;
    announcesStoreChanges_ = role != ReaderRole::Standby;
    saveBlocks();
    if (schedule.endpointInterval == endpointFollower_.interval())
        return;
    logEvent(LogLevel::Info, "reader_role_changed",
             {{"duty", toString(role)},
              {"interval_ms", std::to_string(schedule.endpointInterval.count())}});
    endpointFollower_.setReadTiming(schedule.endpointInterval, Millis(0));
    configFollower_.setReadTiming(schedule.configInterval, schedule.configWait);
    // A new reader may have lost the store without having noticed. Its read of the endpoints shows
    // that, and its answer resumes the configuration.
    if (becomesReader && config_)
        configFollower_.pause();
}

StorePosition Gateway::sharedPosition() const
{
    // While endpoints are unconfirmed, the table is not the state of the store at this position,
    // and peers must not take it as such.
    return unconfirmedEndpoints_.empty() ? endpointsPosition() : StorePosition{};
}

StorePosition Gateway::endpointsPosition() const
{
    return std::max(endpointFollower_.position(), positionFromPeers_);
}

void Gateway::applyEndpoint(const StoreRecord &stored)
{
    const std::string &id = stored.key;
    const std::uint64_t era = endpointFollower_.position().era;
    const auto decode = [&](const std::string &value) {
        return capture([&] { return layout_.readEndpoint(id, value); });
    };
    if (!stored.value) {
        EndpointVersion last{.storeEra = era};
        if (stored.deletedValue) {
            if (const auto deleted = decode(*stored.deletedValue))
                last = {deleted->bornMs, deleted->revision, era};
        }
        onEndpointMissing(id, last, storeOutage_.recordMayReturnUntil(steadyNow()));
        return;
    }
    auto record = decode(*stored.value);
    if (!record) {
        // The endpoint's record was overwritten, so its previous contents are no longer valid.
        removeEndpoint(id, "record unreadable", {.storeEra = era});
        logEvent(LogLevel::Warning, "endpoint_unreadable",
                 {{"endpoint", id}, {"error", record.error().message}});
        return;
    }
    record->storeEra = era;
    const bool restored = unconfirmedEndpoints_.contains(id);
    // Other daemons may have found the record missing too, and do not read again in time.
    if (updateEndpoint(*record, kFromStore) && restored)
        pendingUpdates_.push_back({id, std::move(*record)});
}

void Gateway::onEndpointMissing(const std::string &id, const EndpointVersion &last,
                                std::optional<TimePoint> mayReturnUntil)
{
    if (!mayReturnUntil || !endpoints_.findById(id)) {
        removeEndpoint(id, "record removed", last);
        return;
    }
    if (unconfirmedEndpoints_.insert(id).second) {
        logEvent(LogLevel::Info, "endpoint_unconfirmed",
                 {{"endpoint", id},
                  {"reason", "its record may return after an outage or a new era of the store"}});
    }
    unconfirmedTimer_.expires_at(*mayReturnUntil);
    unconfirmedTimer_.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        const auto unconfirmed = std::move(unconfirmedEndpoints_);
        unconfirmedEndpoints_.clear();
        for (const std::string &endpointId : unconfirmed)
            removeEndpoint(endpointId, "record was not restored", {.storeEra = storeEra_.known()});
        announceEndpointChanges();
    });
}

bool Gateway::updateEndpoint(EndpointRecord record, const char *source)
{
    const TimePoint now = steadyNow();
    unconfirmedEndpoints_.erase(record.id);
    const EndpointRow *row = endpoints_.findById(record.id);
    const bool outdated
            = row ? undoesDraining(record, row->record) : departed_.outdates(record, now);
    if (outdated) {
        const bool fromStore = std::string_view(source) == kFromStore;
        logEvent(fromStore ? LogLevel::Info : LogLevel::Debug, "endpoint_record_outdated",
                 {{"endpoint", record.id},
                  {"source", source},
                  {"era", std::to_string(record.storeEra)},
                  {"revision", std::to_string(record.revision)}});
        return false;
    }
    // An older copy shows lower revisions than were known.
    if (row && row->record.bornMs == record.bornMs)
        record.revision = std::max(record.revision, row->record.revision);
    departed_.forget(record.id);
    const EndpointKey before = row ? row->key : 0;
    const EndpointChange change = endpoints_.update(record, now);
    if (change == EndpointChange::Restarted)
        prefixCache_.forget(before);
    noteEndpointChange(record.id, change, source);
    const bool coldChanged = noteColdRecord(record);
    if (coldChanged && change == EndpointChange::None && std::string_view(source) == kFromStore)
        pendingUpdates_.push_back({record.id, record});
    return true;
}

void Gateway::noteEndpointChange(const std::string &id, EndpointChange change, const char *source)
{
    if (change == EndpointChange::None)
        return;
    const EndpointRow *row = endpoints_.findById(id);
    if (row && std::string_view(source) == kFromStore)
        pendingUpdates_.push_back({id, row->record});
    if (change == EndpointChange::Draining && row && !endpoints_.isLeaving(row->key))
        counters_.leavingEndpoints("record").Increment();
    // The event endpoints_known counts those from the first read.
    if (!endpointsKnown_ && change == EndpointChange::Joined)
        return;
    logEvent(LogLevel::Info, "endpoint_changed",
             {{"endpoint", id},
              {"change", toString(change)},
              {"source", source},
              {"address", row ? toString(row->record.address) : "none"},
              {"position", std::to_string(endpointFollower_.position().offset)}});
    if (change == EndpointChange::Joined || change == EndpointChange::Ready)
        scheduleDispatch();
}

void Gateway::removeEndpoint(const std::string &id, const char *why, const EndpointVersion &last,
                             Millis goneFor)
{
    const EndpointRow *row = endpoints_.findById(id);
    EndpointVersion version = last;
    if (row) {
        const EndpointVersion known = versionOf(row->record);
        const bool includesKnown = last.bornMs == known.bornMs && last.revision >= known.revision;
        if (!includesKnown)
            version = {known.bornMs, known.revision, std::max(known.storeEra, last.storeEra)};
    }
    const TimePoint now = steadyNow();
    departed_.expire(now);
    if (row || version.revision > 0)
        departed_.note(id, {version, now - goneFor});
    if (!row)
        return;
    pool_.closeIdle(row->record.address);
    prefixCache_.forget(row->key);
    endpoints_.remove(id);
    pendingUpdates_.push_back({id, std::nullopt, version, goneFor});
    logEvent(LogLevel::Info, "endpoint_changed",
             {{"endpoint", id}, {"change", toString(EndpointChange::Gone)}, {"reason", why}});
}

void Gateway::onConfigContact(bool reached)
{
    // Only the reads of the endpoints decide whether the store is lost.
    if (!reached && configReached_)
        endpointFollower_.retryWithin(Millis(0));
    configReached_ = reached;
}

void Gateway::onStoreContact(bool reached)
{
    if (reached)
        configFollower_.resume();
    if (reached ? storeReached_ : storeLost_)
        return;
    const bool regained = reached && storeLost_;
    storeReached_ = reached;
    storeLost_ = !reached;
    if (reached)
        storeOutage_.noteReadSucceeded(steadyNow());
    else
        storeOutage_.noteReadFailed(steadyNow());
    // The reads of the endpoints show when the store is available again; further calls would only
    // add load.
    if (regained)
        memberFollower_.resume();
    if (storeLost_) {
        configFollower_.pause();
        memberFollower_.pause();
    }
    if (regained && !registered_)
        registerMember();
    logEvent(reached ? LogLevel::Info : LogLevel::Warning, reached ? "store_reached" : "store_lost",
             {{"position", std::to_string(endpointFollower_.position().offset)}});
    updateReaderRole();
    if (regained || storeLost_)
        mesh_.sendStatus();
}

void Gateway::onNewStoreEra(std::uint64_t before, const char *source)
{
    counters_.storeEras.Increment();
    logEvent(LogLevel::Warning, "store_era_changed",
             {{"before", std::to_string(before)},
              {"era", std::to_string(storeEra_.known())},
              {"source", source}});
    storeOutage_.noteNewEra(steadyNow());
    // A daemon that the store has just answered is one of few; the others wait for their peers.
    const bool reads = announcesStoreChanges_ || std::string_view(source) == kFromStore;
    const Millis spread = reads ? kReaderRereadSpread : kStandbyRereadSpread;
    endpointFollower_.startOver(spread);
    configFollower_.startOver(spread);
    memberFollower_.startOver(kStandbyRereadSpread);
    registered_ = false;
    // While the store is lost, the member registers when it is reached again.
    if (!storeLost_)
        registerMemberAfter(randomMillis(Millis(0), kReregisterSpread));
}

void Gateway::learnStoreEra(const PeerInfo &peer)
{
    if (const auto before = storeEra_.noteFromPeer(peer.storeEra))
        onNewStoreEra(*before, kFromPeer);
}

bool Gateway::isStoreUnavailable() const
{
    return !storeReached_
           || steadyNow() - endpointFollower_.lastContact()
                      > endpointFollower_.interval() + kStoreSilenceLimit;
}

void Gateway::registerMember()
{
    if (draining_)
        return;
    store_.put(layout_.membersTopic, settings_.member, settings_.peers.ip, kRegisterTimeout,
               [this](StoreFailure failure, std::optional<std::uint64_t>) {
                   registered_ = failure == StoreFailure::None;
                   if (registered_ || draining_ || storeLost_)
                       return;
                   registerMemberAfter(kRegisterRetry);
               });
}

void Gateway::registerMemberAfter(Millis delay)
{
    if (draining_)
        return;
    drainTimer_.expires_after(delay);
    drainTimer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            registerMember();
    });
}

void Gateway::onPeerChanged(const PeerInfo &peer)
{
    const bool discovered = peer.alive && !peer.leaving && !peer.returned;
    const char *event = !peer.alive ? "peer_down" : peer.leaving ? "peer_leaving" : "peer_up";
    logEvent(discovered ? LogLevel::Debug : LogLevel::Info, discovered ? "peer_discovered" : event,
             {{"peer", peer.name},
              {"failure_domain", peer.failureDomain},
              {"config", std::to_string(peer.configVersion)}});
    updateReaderRole();
    if (peer.heard)
        limitSharers_.noteHeard(fnv1a64(peer.ip), peer.lastHeard, peer.leaving);
    assignLimitOwners();
    if (!peer.alive) {
        scheduleDispatch();
        // The limit of a silence is another one now.
        for (const auto &[id, exchange] : exchanges_) {
            if (exchange->attempt && exchange->attempt->peer == peer.ip)
                armTimer(*exchange);
        }
    }
    const TimePoint now = steadyNow();
    const bool mayHaveReturned = storeLost_ && peer.alive && !peer.storeLost
                                 && peer.failureDomain == settings_.failureDomain;
    if (!mayHaveReturned || now - lastEarlyRetry_ < kMinEarlyRetryInterval)
        return;
    lastEarlyRetry_ = now;
    endpointFollower_.retryWithin(kEarlyRetrySpread);
}

void Gateway::onControl(const std::shared_ptr<HttpServerConnection> &caller,
                        const HttpRequest &request)
{
    HeaderList headers;
    if (request.method != "GET") {
        caller->respond(405, {}, {});
    } else if (request.target.starts_with(kSharedPath)) {
        answerPull(caller, request.target);
    } else if (request.target == kMetricsPath) {
        headers.add("Content-Type", "text/plain; version=0.0.4");
        counters_.bodyBytes.Set(static_cast<double>(bodyRoom_.used));
        counters_.answerBytes.Set(static_cast<double>(pool_.answerRoom().used()));
        counters_.answersGivenUp.Set(static_cast<double>(pool_.answerRoom().givenUp()));
        caller->respond(200, std::move(headers), metrics_.serialize());
    } else if (request.target == kDumpPath) {
        headers.add("Content-Type", "application/json");
        caller->respond(200, std::move(headers), dump());
    } else {
        caller->respond(404, {}, {});
    }
}

std::string Gateway::dump() const
{
    const TimePoint now = steadyNow();
    const auto age = [&](TimePoint time) {
        return std::chrono::duration_cast<Millis>(now - time).count();
    };
    nlohmann::json json;
    json["member"] = settings_.member;
    json["ready"] = ready();
    json["draining"] = draining_;
    json["region"] = settings_.regions.own;
    json["config_version"] = configs_.newest();
    json["store"] = {{"reached", storeReached_},
                     {"era", storeEra_.known()},
                     {"endpoints_era", endpointFollower_.position().era},
                     {"endpoints_position", endpointFollower_.position().offset},
                     {"last_contact_ms_ago", age(endpointFollower_.lastContact())}};
    json["reader_role"] = toString(isPrimaryReader_         ? ReaderRole::Primary
                                   : announcesStoreChanges_ ? ReaderRole::Secondary
                                                            : ReaderRole::Standby);
    json["evacuated"] = evacuatedDomains(evacuations_);
    json["blocked_parts"] = nlohmann::json::array();
    for (const BlockedParts &blocked : crashWatch_.blocked())
        json["blocked_parts"].push_back(
                {{"parts", toString(blocked.parts)}, {"crashes", blocked.crashes}});
    if (config_ && config_->hasWorkspaces) {
        std::map<overload::WorkspaceKey, std::string> names;
        for (const auto &[key, workspace] : config_->workspaceByKey)
            names.emplace(overload::workspaceKey(workspace.name), workspace.name);
        for (const auto &[service, usage] : workspaceUsage_.all(now)) {
            for (const auto &[key, used] : usage) {
                const auto name = names.find(key);
                json["workspace_usage"][service][name == names.end() ? hex64(key) : name->second]
                        = used;
            }
        }
    }
    json["known_crashes"] = crashWatch_.evidence().crashes.size();
    json["services_out_of_reach"] = reach_.cutOffServices();
    json["requests"] = exchanges_.size();
    json["waiting"] = waiting_.size();
    json["jobs"] = loadTracker_.size();
    json["datagrams_sent"] = mesh_.counters().datagramsSent;
    json["datagrams_received"] = mesh_.counters().datagramsReceived;
    for (const auto &[ip, peer] : mesh_.peers()) {
        json["peers"].push_back({{"name", peer.name},
                                 {"ip", ip},
                                 {"alive", peer.alive},
                                 {"failure_domain", peer.failureDomain},
                                 {"config_version", peer.configVersion},
                                 {"heard_ms_ago", age(peer.lastHeard)}});
    }
    for (const auto &[id, row] : endpoints_.rows()) {
        const EndpointLoad load = loadTracker_.load(row.key, now);
        json["endpoints"].push_back({{"id", id},
                                     {"service", row.record.service},
                                     {"address", toString(row.record.address)},
                                     {"draining", row.record.state == EndpointState::Draining},
                                     {"leaving", endpoints_.isLeaving(row.key)},
                                     {"accepts", endpoints_.accepts(row.key, now)},
                                     {"limited", !limits_.allows(row.key, now)},
                                     {"cold_ms", cold_.left(row.key, now).count()},
                                     {"own_per_s", limits_.ownPerSecond(row.key, now)},
                                     {"suspended", row.suspendedUntil > now},
                                     {"pace", row.slowdown},
                                     {"error_share", row.errorRate},
                                     {"requests", load.sequences},
                                     {"pending_read_ms", load.pendingPrefill.count()}});
    }
    for (const auto &[service, history] : prefixCache_.histories()) {
        const SavingEstimate saving = estimateSaving(history);
        json["prefix_saving"].push_back({{"service", service},
                                         {"share", saving.share},
                                         {"confidence", saving.confidence},
                                         {"pairs", saving.pairs}});
    }
    for (const auto &[id, exchange] : exchanges_) {
        json["in_progress"].push_back(
                {{"request", exchange->requestId},
                 {"route", exchange->route.name},
                 {"age_ms", age(exchange->arrivedAt)},
                 {"endpoint", exchange->attempt ? exchange->attempt->endpointId : ""},
                 {"sends", exchange->sendCount},
                 {"events", exchange->eventsRelayed}});
    }
    // Callers may name their requests with bytes that are not UTF-8.
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cicadafork::gateway
