#include "membership/fleettable.h"

#include "base/log.h"

#include <algorithm>
#include <set>

namespace cicadafork {

namespace {

constexpr double kDigestSizeSmoothing = 0.1;
/// Ranking the members on every 20 ms tick exceeded the CPU share of the control plane with 360
/// members and 600 endpoints.
constexpr Millis kCoordinatorUpdateInterval{100};
/// Heartbeats are not checked on every tick either, for the same reason. A heartbeat may therefore
/// be late by this fraction (1/n) of the interval.
constexpr int kHeartbeatChecksPerInterval = 10;

std::string stateName(const EndpointRow &row)
{
    if (row.statusLeaving || row.listLeaving)
        return "leaving";
    return row.drained ? "drained" : row.reported ? "live" : "unknown";
}

} // namespace

FleetTable::FleetTable(FleetOptions options)
    : options_(std::move(options))
    , digestBytes_(options_.assumedDigestBytes)
{
    MemberRow *self = state_.members.insert(options_.selfId);
    self->id = options_.selfId;
    self->self = true;
    self->domain = options_.selfDomain;
    self->callerAddress = options_.callerAddress;
    self->peerAddress = options_.peerAddress;
    self->incarnation = options_.incarnation;
}

FleetView FleetTable::view(const std::string &service, TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    FleetView view;
    view.ownDomain = options_.selfDomain;
    state_.endpoints.forEach([&](const auto &, const EndpointRow &row) {
        if (row.service == service)
            view.endpoints.push_back(makeEndpointView(row, options_.sendPermission, now));
    });
    std::sort(view.endpoints.begin(), view.endpoints.end(),
              [](const auto &left, const auto &right) { return left.id < right.id; });
    return view;
}

std::vector<PeerView> FleetTable::peers(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<PeerView> peers;
    state_.members.forEach([&](const auto &, const MemberRow &row) {
        if (row.self)
            return;
        const Millis age = row.heartbeatReceived
                                   ? std::chrono::duration_cast<Millis>(now - row.lastHeartbeat)
                                   : Millis::max();
        peers.push_back({row.id, row.domain, row.callerAddress, row.peerAddress, isAlive(row, now),
                         row.incarnation, row.configOffset, age});
    });
    std::sort(peers.begin(), peers.end(),
              [](const auto &left, const auto &right) { return left.id < right.id; });
    return peers;
}

bool FleetTable::sendPermitted(const std::string &endpointId, TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    const EndpointRow *row = state_.endpoints.find(endpointId);
    return row && cicadafork::sendPermitted(*row, options_.sendPermission, now);
}

void FleetTable::noteSent(const std::string &endpointId, std::uint64_t promptTokens, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    EndpointRow *row = state_.endpoints.find(endpointId);
    if (!row)
        return;
    ++row->ownOutstanding;
    row->unreported.push_back({now, promptTokens});
}

void FleetTable::noteFinished(const std::string &endpointId, const AttemptObservation &observation,
                              TimePoint now)
{
    const std::lock_guard lock(mutex_);
    EndpointRow *row = state_.endpoints.find(endpointId);
    if (!row)
        return;
    row->ownOutstanding -= std::min(row->ownOutstanding, 1U);
    // Requests with the same number of tokens are interchangeable here.
    const auto sent = std::find_if(
            row->unreported.begin(), row->unreported.end(),
            [&](const UnreportedRequest &s) { return s.tokens == observation.promptTokens; });
    if (sent != row->unreported.end())
        row->unreported.erase(sent);
    applyObservation(*row, observation, now);
}

void FleetTable::applyVmList(const VmList &list, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    cicadafork::applyVmList(state_, list, now);
    nextCoordinatorUpdate_ = now;
    if (configuration_)
        applyIntents(state_, *configuration_);
}

void FleetTable::applyConfiguration(std::shared_ptr<const Configuration> configuration)
{
    const std::lock_guard lock(mutex_);
    configuration_ = std::move(configuration);
    applyIntents(state_, *configuration_);
    if (MemberRow *self = state_.members.find(options_.selfId))
        self->configOffset = configuration_->nextOffset;
}

void FleetTable::setEjected(const std::string &endpointId, bool ejected)
{
    const std::lock_guard lock(mutex_);
    if (EndpointRow *row = state_.endpoints.find(endpointId))
        row->ejected = ejected;
}

void FleetTable::setLeaving()
{
    const std::lock_guard lock(mutex_);
    leaving_ = true;
    if (MemberRow *self = state_.members.find(options_.selfId))
        self->leaving = true;
}

void FleetTable::setRequestsInProgress(std::uint32_t requests)
{
    const std::lock_guard lock(mutex_);
    requestsInProgress_ = requests;
}

std::vector<PollRequest> FleetTable::pollsDue(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (now >= nextCoordinatorUpdate_) {
        updateCoordinators(state_, now);
        nextCoordinatorUpdate_ = now + kCoordinatorUpdateInterval;
    }
    return cicadafork::pollsDue(state_, options_.selfId, options_.statusInterval, now);
}

void FleetTable::applyStatus(const std::string &endpointId, const EndpointStatus &status,
                             TimePoint requestedAt, TimePoint now)
{
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        EndpointRow *row = state_.endpoints.find(endpointId);
        if (!row)
            return;
        row->polling = false;
        const bool wasLeaving = row->statusLeaving;
        const bool wasPolledLocally = row->polledLocally;
        cicadafork::applyStatus(*row, status, requestedAt, now);
        row->polledLocally = row->polledLocally || row->reportAt == requestedAt;
        if (row->polledLocally && !wasPolledLocally)
            row->detailsChangedAt = now;
        changed = wasLeaving != row->statusLeaving;
    }
    if (changed) {
        logEvent(LogLevel::Info, "endpoint_state_changed",
                 {{"endpoint", endpointId}, {"state", status.leaving ? "leaving" : "live"}});
    }
}

void FleetTable::applyStatusFailure(const std::string &endpointId)
{
    const std::lock_guard lock(mutex_);
    if (EndpointRow *row = state_.endpoints.find(endpointId))
        row->polling = false;
}

Millis FleetTable::heartbeatInterval(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    const auto targets = heartbeatTargets(state_, options_.selfId, now);
    return cicadafork::heartbeatInterval(options_.heartbeatMinimum, targets.size(), digestBytes_,
                                         options_.controlBytesPerSecond);
}

std::vector<HeartbeatDue> FleetTable::heartbeatsDue(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (now < nextHeartbeatCheck_)
        return {};
    const auto targets = heartbeatTargets(state_, options_.selfId, now);
    const Millis interval
            = cicadafork::heartbeatInterval(options_.heartbeatMinimum, targets.size(), digestBytes_,
                                            options_.controlBytesPerSecond);
    nextHeartbeatCheck_ = now + interval / kHeartbeatChecksPerInterval;
    const MemberRow *self = state_.members.find(options_.selfId);
    const bool relays = isRelay(state_, options_.selfId, now);
    std::vector<HeartbeatDue> due;
    for (const std::string &id : targets) {
        MemberRow *peer = state_.members.find(id);
        if (!peer || now - peer->lastSent < interval)
            continue;
        peer->lastSent = now;
        Digest digest;
        digest.memberId = options_.selfId;
        digest.incarnation = options_.incarnation;
        digest.sequence = ++sequence_;
        digest.leaving = leaving_;
        digest.interval = interval;
        digest.configOffset = self->configOffset;
        digest.requestsInProgress = requestsInProgress_;
        fillDigest(state_, options_.selfId, id, relays, now, digest);
        due.push_back({id, peer->peerAddress, std::move(digest), now});
    }
    return due;
}

void FleetTable::noteDigestBytes(std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    const auto sample = static_cast<double>(bytes);
    digestBytes_ = digestBytes_ == 0
                           ? sample
                           : digestBytes_ + kDigestSizeSmoothing * (sample - digestBytes_);
}

DigestReply FleetTable::applyDigest(const Digest &digest, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    cicadafork::applyDigest(state_, digest, options_.incarnation, now);
    const MemberRow *self = state_.members.find(options_.selfId);
    return {options_.incarnation, std::chrono::duration_cast<Millis>(now.time_since_epoch()),
            self->configOffset};
}

void FleetTable::applyReply(const HeartbeatDue &sent, const DigestReply &reply, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    MemberRow *row = state_.members.find(sent.peerId);
    if (!row)
        return;
    // A reply from another run of the peer does not acknowledge anything for the current one.
    const bool sameRun = row->incarnation == reply.incarnation;
    row->acknowledgedUntil = sameRun ? std::max(row->acknowledgedUntil, sent.builtAt) : TimePoint{};
    row->echoIncarnation = reply.incarnation;
    row->echoClock = reply.clock;
    row->echoReceived = now;
}

bool FleetTable::isKnownMember(const std::string &memberId, const std::string &ip) const
{
    const std::lock_guard lock(mutex_);
    const MemberRow *row = state_.members.find(memberId);
    return row && !row->self && row->peerAddress.ip == ip;
}

std::vector<std::string> FleetTable::liveInOwnDomain(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    return liveMembers(state_, options_.selfDomain, now);
}

std::string FleetTable::delegateOfOwnDomain(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    return delegateOf(state_, options_.selfDomain, now);
}

bool FleetTable::isCoordinator(const std::string &endpointId) const
{
    const std::lock_guard lock(mutex_);
    const EndpointRow *row = state_.endpoints.find(endpointId);
    return row && row->coordinator == options_.selfId;
}

std::vector<CoordinatedEndpoint> FleetTable::coordinatedEndpoints() const
{
    const std::lock_guard lock(mutex_);
    std::vector<CoordinatedEndpoint> found;
    state_.endpoints.forEach([&](const auto &, const EndpointRow &row) {
        const bool leaving = row.listLeaving || row.statusLeaving;
        if (row.coordinator == options_.selfId && row.reported && !leaving)
            found.push_back({row.id, row.address, row.service, row.status.models, row.status.role});
    });
    return found;
}

std::optional<Address> FleetTable::addressOf(const std::string &endpointId) const
{
    const std::lock_guard lock(mutex_);
    const EndpointRow *row = state_.endpoints.find(endpointId);
    return row ? std::optional(row->address) : std::nullopt;
}

std::vector<std::string> FleetTable::services() const
{
    const std::lock_guard lock(mutex_);
    std::set<std::string> names;
    state_.endpoints.forEach(
            [&](const auto &, const EndpointRow &row) { names.insert(row.service); });
    return {names.begin(), names.end()};
}

std::map<std::string, std::vector<std::string>> FleetTable::endpointIds() const
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::vector<std::string>> ids;
    state_.endpoints.forEach(
            [&](const std::string &id, const EndpointRow &row) { ids[row.service].push_back(id); });
    for (auto &[service, endpoints] : ids)
        std::sort(endpoints.begin(), endpoints.end());
    return ids;
}

nlohmann::json FleetTable::dump(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    nlohmann::json members = nlohmann::json::array();
    state_.members.forEach([&](const auto &, const MemberRow &row) {
        members.push_back({{"id", row.id},
                           {"domain", row.domain},
                           {"alive", isAlive(row, now)},
                           {"leaving", row.leaving || row.listLeaving},
                           {"incarnation", row.incarnation},
                           {"config_offset", row.configOffset},
                           {"requests", row.requestsInProgress}});
    });
    nlohmann::json endpoints = nlohmann::json::array();
    state_.endpoints.forEach([&](const auto &, const EndpointRow &row) {
        const EndpointView view = makeEndpointView(row, options_.sendPermission, now);
        endpoints.push_back({{"id", row.id},
                             {"service", row.service},
                             {"domain", row.domain},
                             {"state", stateName(row)},
                             {"send_permitted", view.sendPermitted},
                             {"ejected", row.ejected},
                             {"report_age_ms", row.reported ? view.reportAge.count() : -1},
                             {"running", view.running},
                             {"waiting", view.waiting},
                             {"unreported_requests", view.unreportedRequests},
                             {"own_outstanding", view.ownOutstanding},
                             {"prefill_tokens_per_second", view.prefillTokensPerSecond},
                             {"slow_factor", view.slowFactor}});
    });
    return {{"vm_list_version", state_.listVersion},
            {"members", members},
            {"endpoints", endpoints}};
}

} // namespace cicadafork
