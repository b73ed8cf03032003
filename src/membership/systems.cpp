#include "membership/systems.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cicadafork {

namespace {

constexpr int kMaxMissedHeartbeats = 3;
/// Maximum number of members, and of endpoints, that a delegate relays in one digest; about 900
/// bytes.
constexpr std::size_t kMaxRelayedPerDigest = 4;
/// Relayed members are sent round robin and over two hops, so they time out later than members that
/// send their heartbeats directly: after this time, or more when a round takes longer.
constexpr Millis kMinRelayedMemberTimeout{10'000};
/// Every n-th digest to a peer contains no brief reports, so that a receiver without the details
/// gets them.
constexpr std::uint64_t kDigestsPerFullDigest = 4;
/// Members and endpoints that are no longer in the VM list are removed after this time without a
/// heartbeat or report.
constexpr Millis kRemoveAfter{30'000};
/// After this time without an accepted list, a list with a lower version is accepted: the VM list
/// service may have restarted its version numbers.
constexpr Millis kListVersionTimeout{30'000};
/// Age of the newest report from which on the backup polls the endpoint too.
constexpr Millis kBackupPollAge{1000};
/// A poll without a result for this long counts as lost, and the endpoint is polled again.
constexpr Millis kLostPollTimeout{5000};
/// Time for which one candidate is contacted while no delegate of a domain is known to be alive.
constexpr Millis kDelegateProbePeriod{2000};
/// Older reports cannot renew a send permission and are not sent to peers.
constexpr Millis kMaxReportAge{2500};

Millis since(TimePoint then, TimePoint now)
{
    return std::chrono::duration_cast<Millis>(now - then);
}

std::vector<std::string> sortedIds(const MemberTable &members, const auto &predicate)
{
    std::vector<std::string> ids;
    members.forEach([&](const std::string &id, const MemberRow &row) {
        if (predicate(row))
            ids.push_back(id);
    });
    std::sort(ids.begin(), ids.end());
    return ids;
}

void upsertMember(MemberTable &members, const VmRow &vm)
{
    MemberRow *row = members.insert(vm.id);
    if (!row)
        return;
    row->id = vm.id;
    row->domain = vm.domain;
    row->callerAddress = vm.address;
    row->peerAddress = vm.peerAddress.value_or(Address{});
    row->listed = true;
    row->listLeaving = vm.leaving;
}

void upsertEndpoint(EndpointTable &endpoints, const VmRow &vm)
{
    EndpointRow *row = endpoints.insert(vm.id);
    if (!row)
        return;
    row->id = vm.id;
    row->address = vm.address;
    row->domain = vm.domain;
    row->service = vm.service;
    row->listed = true;
    row->listLeaving = vm.leaving;
}

void removeReportedRequests(EndpointRow &row, TimePoint reportAt)
{
    while (!row.unreported.empty() && row.unreported.front().at <= reportAt)
        row.unreported.pop_front();
    std::erase_if(row.peerUnreported,
                  [&](const auto &entry) { return entry.second.at <= reportAt; });
}

/// Upper bound of the transit time of the digest; nothing when it has no usable echo of this
/// daemon's clock.
std::optional<Millis> maxTransitTime(const Digest &digest, const std::string &selfIncarnation,
                                     TimePoint now)
{
    const Millis clock = std::chrono::duration_cast<Millis>(now.time_since_epoch());
    const Millis sent = digest.echoClock + digest.echoAge;
    if (digest.echoClock == Millis(0) || digest.echoIncarnation != selfIncarnation || sent > clock)
        return std::nullopt;
    return clock - sent;
}

/// Heartbeat timeout of a member whose state is relayed round robin with all others.
Millis relayedMemberTimeout(const FleetState &state, Millis interval)
{
    const auto rounds = static_cast<std::int64_t>(state.members.size() / kMaxRelayedPerDigest + 1);
    return std::max(kMinRelayedMemberTimeout, kMaxMissedHeartbeats * rounds * interval);
}

void applySummary(FleetState &state, const MemberSummary &summary, Millis transit, Millis interval,
                  TimePoint now)
{
    MemberRow *row = state.members.find(summary.id);
    const TimePoint heartbeatAt = now - transit - summary.age;
    if (!row || row->self || (row->heartbeatReceived && heartbeatAt <= row->lastHeartbeat)
        || summary.incarnation < row->incarnation)
        return;
    if (row->incarnation != summary.incarnation)
        row->sequence = 0;
    row->incarnation = summary.incarnation;
    row->heartbeatReceived = true;
    row->lastHeartbeat = heartbeatAt;
    row->heartbeatTimeout = relayedMemberTimeout(state, interval);
    row->leaving = summary.leaving;
    row->configOffset = std::max(row->configOffset, summary.configOffset);
}

/// Up to kMaxRelayedPerDigest ids in ascending order that follow the last one, wrapping around at
/// the end. Updates last.
std::vector<std::string> nextRoundRobin(std::vector<std::string> ids, std::string &last)
{
    std::sort(ids.begin(), ids.end());
    const auto begin = std::upper_bound(ids.begin(), ids.end(), last);
    std::rotate(ids.begin(), begin, ids.end());
    ids.resize(std::min(ids.size(), kMaxRelayedPerDigest));
    if (!ids.empty())
        last = ids.back();
    return ids;
}

std::size_t countListedMembers(const MemberTable &members)
{
    std::size_t count = 0;
    members.forEach([&](const auto &, const MemberRow &row) { count += row.listed || row.self; });
    return count;
}

/// The delegate of another domain. While none is known to be alive, a listed member of the domain,
/// another one in each kDelegateProbePeriod.
std::string delegateToContact(const FleetState &state, const std::string &domain, TimePoint now)
{
    std::string delegate = delegateOf(state, domain, now);
    if (!delegate.empty())
        return delegate;
    const auto candidates = sortedIds(state.members, [&](const MemberRow &row) {
        return row.domain == domain && row.listed;
    });
    if (candidates.empty())
        return {};
    const auto period = now.time_since_epoch() / kDelegateProbePeriod;
    return candidates[static_cast<std::size_t>(period) % candidates.size()];
}

} // namespace

void applyVmList(FleetState &state, const VmList &list, TimePoint now)
{
    const bool known = state.listAcceptedAt != TimePoint{};
    if (known && list.version < state.listVersion
        && since(state.listAcceptedAt, now) < kListVersionTimeout)
        return;
    state.listVersion = list.version;
    state.listAcceptedAt = now;
    state.members.forEach([](const auto &, MemberRow &row) { row.listed = false; });
    state.endpoints.forEach([](const auto &, EndpointRow &row) {
        row.listed = false;
        row.listLeaving = true;
    });
    for (const VmRow &vm : list.vms) {
        if (vm.kind == VmKind::Entry)
            upsertMember(state.members, vm);
        else
            upsertEndpoint(state.endpoints, vm);
    }
    state.members.eraseIf([&](const auto &, const MemberRow &row) {
        return !row.self && !row.listed && since(row.lastHeartbeat, now) > kRemoveAfter;
    });
    state.endpoints.eraseIf([&](const auto &, const EndpointRow &row) {
        return !row.listed && row.ownOutstanding == 0 && since(row.reportAt, now) > kRemoveAfter;
    });
}

void applyIntents(FleetState &state, const Configuration &configuration)
{
    state.endpoints.forEach([&](const std::string &id, EndpointRow &row) {
        const auto found = configuration.endpointIntents.find(id);
        row.drained = found != configuration.endpointIntents.end() && found->second.drained;
    });
}

bool isAlive(const MemberRow &row, TimePoint now)
{
    return row.self || (row.heartbeatReceived && now - row.lastHeartbeat <= row.heartbeatTimeout);
}

std::vector<std::string> liveMembers(const FleetState &state, const std::string &domain,
                                     TimePoint now)
{
    return sortedIds(state.members, [&](const MemberRow &row) {
        return isAlive(row, now) && !row.leaving && !row.listLeaving
               && (domain.empty() || row.domain == domain);
    });
}

void updateCoordinators(FleetState &state, TimePoint now)
{
    std::map<std::string, std::vector<std::string>> live;
    const auto all = liveMembers(state, "", now);
    live[""] = all;
    for (const std::string &id : all)
        live[state.members.find(id)->domain].push_back(id);
    const auto liveFor = [](const auto &sets, const std::string &domain) {
        const auto found = sets.find(domain);
        return found == sets.end() ? sets.find("") : found;
    };
    state.endpoints.forEach([&](const std::string &id, EndpointRow &row) {
        const auto now = liveFor(live, row.domain);
        const auto before = liveFor(state.coordinatorCandidates, row.domain);
        if (!row.coordinator.empty() && before != state.coordinatorCandidates.end()
            && before->second == now->second)
            return;
        const auto order = rendezvousOrder(id, now->second);
        row.coordinator = order.empty() ? std::string() : order[0];
        row.backup = order.size() < 2 ? std::string() : order[1];
    });
    state.coordinatorCandidates = std::move(live);
}

std::vector<PollRequest> pollsDue(FleetState &state, const std::string &selfId, Millis interval,
                                  TimePoint now)
{
    std::vector<PollRequest> due;
    state.endpoints.forEach([&](const std::string &id, EndpointRow &row) {
        const Millis sinceLast = since(row.lastPoll, now);
        if (!row.listed || sinceLast < interval || (row.polling && sinceLast < kLostPollTimeout))
            return;
        const bool stale = !row.reported || since(row.reportAt, now) > kBackupPollAge;
        if (row.coordinator != selfId && (row.backup != selfId || !stale))
            return;
        row.lastPoll = now;
        row.polling = true;
        due.push_back({id, row.address});
    });
    return due;
}

std::uint64_t detailsHash(const EndpointStatus &status)
{
    std::string text = status.incarnation + '\n' + status.role;
    for (const std::string &model : status.models)
        text += '\n' + model;
    return fnv1a64(text, status.kvCapacityTokens);
}

void applyStatus(EndpointRow &row, const EndpointStatus &status, TimePoint reportAt, TimePoint now)
{
    if (status.leaving) {
        // Stores the time of arrival because reportAt may be lower than the actual time of the
        // status. Only a report that is certainly newer may revoke the leaving state.
        row.statusLeaving = true;
        row.leavingReceivedAt = now;
    } else if (row.statusLeaving && reportAt > row.leavingReceivedAt) {
        row.statusLeaving = false;
    }
    if (row.reported && reportAt <= row.reportAt)
        return;
    const std::uint64_t details = detailsHash(status);
    if (!row.reported || details != row.detailsHash)
        row.detailsChangedAt = now;
    row.detailsHash = details;
    row.reported = true;
    row.status = status;
    row.reportAt = reportAt;
    row.updatedAt = now;
    row.polledLocally = false;
    removeReportedRequests(row, reportAt);
}

bool sendPermitted(const EndpointRow &row, Millis sendPermission, TimePoint now)
{
    return row.listed && !row.listLeaving && !row.drained && !row.statusLeaving && row.reported
           && now - row.reportAt < sendPermission;
}

bool applyDigest(FleetState &state, const Digest &digest, const std::string &selfIncarnation,
                 TimePoint now)
{
    MemberRow *row = state.members.find(digest.memberId);
    if (!row || row->self)
        return false;
    // Incarnations are UUIDv7s, which sort by time. An older one is accepted only when the newer
    // one is no longer alive: the peer may have restarted after its clock was set back.
    const bool older = digest.incarnation < row->incarnation && isAlive(*row, now);
    const bool repeated
            = digest.incarnation == row->incarnation && digest.sequence <= row->sequence;
    if (older || repeated)
        return false;
    if (digest.incarnation != row->incarnation)
        row->acknowledgedUntil = {};
    row->incarnation = digest.incarnation;
    row->sequence = digest.sequence;
    row->heartbeatReceived = true;
    row->lastHeartbeat = now;
    row->heartbeatTimeout = kMaxMissedHeartbeats * digest.interval;
    row->leaving = digest.leaving;
    row->configOffset = digest.configOffset;
    row->requestsInProgress = digest.requestsInProgress;

    const std::optional<Millis> transit = maxTransitTime(digest, selfIncarnation, now);
    for (const EndpointReport &report : digest.reports) {
        EndpointRow *endpoint = state.endpoints.find(report.endpointId);
        if (!endpoint || (!transit && !report.status.leaving))
            continue;
        EndpointStatus status = report.status;
        if (report.brief) {
            const bool known = endpoint->reported && endpoint->detailsHash == report.detailsHash;
            if (!known && !status.leaving)
                continue;
            status.incarnation = endpoint->status.incarnation;
            status.role = endpoint->status.role;
            status.models = endpoint->status.models;
            status.kvCapacityTokens = endpoint->status.kvCapacityTokens;
        }
        applyStatus(*endpoint, status, now - transit.value_or(kMaxReportAge) - report.age, now);
    }
    state.endpoints.forEach([&](const auto &, EndpointRow &endpoint) {
        endpoint.peerUnreported.erase(digest.memberId);
    });
    for (const SentLoad &load : digest.sent) {
        if (EndpointRow *endpoint = state.endpoints.find(load.endpointId))
            endpoint->peerUnreported[digest.memberId] = {load.requests, load.tokens, now};
    }
    for (const MemberSummary &summary : digest.members) {
        if (transit)
            applySummary(state, summary, *transit, digest.interval, now);
    }
    return true;
}

std::string delegateOf(const FleetState &state, const std::string &domain, TimePoint now)
{
    const auto order = rendezvousOrder("delegate-" + domain, liveMembers(state, domain, now));
    return order.empty() ? std::string() : order.front();
}

std::vector<std::string> heartbeatTargets(const FleetState &state, const std::string &selfId,
                                          TimePoint now)
{
    const MemberRow *self = state.members.find(selfId);
    const bool fullMesh = countListedMembers(state.members) <= kMaxFullMeshMembers;
    auto targets = sortedIds(state.members, [&](const MemberRow &row) {
        return !row.self && (row.listed || isAlive(row, now))
               && (fullMesh || row.domain == self->domain);
    });
    if (fullMesh || delegateOf(state, self->domain, now) != selfId)
        return targets;
    std::set<std::string> domains;
    state.members.forEach([&](const auto &, const MemberRow &row) { domains.insert(row.domain); });
    domains.erase(self->domain);
    for (const std::string &domain : domains) {
        const std::string delegate = delegateToContact(state, domain, now);
        if (!delegate.empty())
            targets.push_back(delegate);
    }
    return targets;
}

bool isRelay(const FleetState &state, const std::string &selfId, TimePoint now)
{
    const MemberRow *self = state.members.find(selfId);
    return countListedMembers(state.members) > kMaxFullMeshMembers
           && delegateOf(state, self->domain, now) == selfId;
}

void fillDigest(FleetState &state, const std::string &selfId, const std::string &peerId,
                bool relays, TimePoint now, Digest &digest)
{
    const MemberRow *self = state.members.find(selfId);
    MemberRow *peer = state.members.find(peerId);
    if (!peer)
        return;
    digest.echoIncarnation = peer->echoIncarnation;
    digest.echoClock = peer->echoClock;
    digest.echoAge = since(peer->echoReceived, now);
    const bool full = ++peer->digestsSent % kDigestsPerFullDigest == 0
                      || peer->acknowledgedUntil == TimePoint{};
    // A delegate relays its own domain to other domains, and other domains to its own domain.
    const bool crossDomain = peer->domain != self->domain;
    std::vector<std::string> relayed;
    const auto addReport = [&](const std::string &id, const EndpointRow &row) {
        EndpointReport report{id, since(row.reportAt, now), row.status};
        report.detailsHash = row.detailsHash;
        report.brief = !full && row.detailsChangedAt < peer->acknowledgedUntil;
        if (report.brief) {
            report.status.incarnation.clear();
            report.status.role.clear();
            report.status.models.clear();
            report.status.kvCapacityTokens = 0;
        }
        digest.reports.push_back(std::move(report));
    };
    state.endpoints.forEach([&](const std::string &id, const EndpointRow &row) {
        if (!row.unreported.empty()) {
            SentLoad load{id, static_cast<std::uint32_t>(row.unreported.size()), 0};
            for (const UnreportedRequest &record : row.unreported)
                load.tokens += record.tokens;
            digest.sent.push_back(load);
        }
        const bool relayable = relays && (row.domain == self->domain) == crossDomain;
        const bool fresh = row.reported && since(row.reportAt, now) < kMaxReportAge;
        const bool unacknowledged = row.updatedAt >= peer->acknowledgedUntil;
        if (!unacknowledged || (!fresh && !row.status.leaving))
            return;
        if (row.polledLocally || (relayable && row.status.leaving))
            addReport(id, row);
        else if (relayable)
            relayed.push_back(id);
    });
    for (const std::string &id : nextRoundRobin(std::move(relayed), peer->lastRelayedEndpoint))
        addReport(id, *state.endpoints.find(id));
    if (!relays)
        return;
    auto members = sortedIds(state.members, [&](const MemberRow &row) {
        return !row.self && isAlive(row, now) && (row.domain == self->domain) == crossDomain;
    });
    for (const std::string &id : nextRoundRobin(std::move(members), peer->lastRelayedMember)) {
        const MemberRow &row = *state.members.find(id);
        digest.members.push_back({id, row.incarnation, since(row.lastHeartbeat, now), row.leaving,
                                  row.configOffset});
    }
}

Millis heartbeatInterval(Millis minimum, std::size_t peers, double bytesPerDigest,
                         std::size_t bytesPerSecond)
{
    if (bytesPerSecond == 0)
        return minimum;
    const double seconds
            = static_cast<double>(peers) * bytesPerDigest / static_cast<double>(bytesPerSecond);
    return std::max(minimum, Millis(static_cast<std::int64_t>(std::ceil(seconds * 1000))));
}

EndpointView makeEndpointView(const EndpointRow &row, Millis sendPermission, TimePoint now)
{
    EndpointView view;
    view.id = row.id;
    view.address = row.address;
    view.failureDomain = row.domain;
    view.sendPermitted = sendPermitted(row, sendPermission, now);
    view.ejected = row.ejected;
    view.models = row.status.models;
    view.running = row.status.running;
    view.waiting = row.status.waiting;
    view.waitingTokens = row.status.waitingTokens;
    view.kvUsedTokens = row.status.kvUsedTokens;
    view.kvCapacityTokens = row.status.kvCapacityTokens;
    view.reportAge = row.reported ? since(row.reportAt, now) : Millis::max();
    view.unreportedRequests = static_cast<std::uint32_t>(row.unreported.size());
    for (const UnreportedRequest &record : row.unreported)
        view.unreportedTokens += record.tokens;
    for (const auto &[peer, sent] : row.peerUnreported) {
        view.unreportedRequests += sent.requests;
        view.unreportedTokens += sent.tokens;
    }
    view.ownOutstanding = row.ownOutstanding;
    view.prefillTokensPerSecond = row.prefillTokensPerSecond;
    view.slowFactor = currentSlowFactor(row, now);
    return view;
}

} // namespace cicadafork
