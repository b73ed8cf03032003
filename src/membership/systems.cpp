#include "membership/systems.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cicadafork {

namespace {

constexpr int kMissedHeartbeats = 3;
/// Members and endpoints that a delegate passes on with one digest; about 900 bytes.
constexpr std::size_t kRelayedPerDigest = 4;
/// Members are passed on in turn and over two hops, so that these rows live longer than the ones
/// heard directly: at least this long, and longer where a turn takes more time.
constexpr Millis kRelayedMemberLife{10'000};
/// A receiver that lacks the details of a brief report gets them with the next full digest.
constexpr std::uint64_t kFullDigestEvery = 4;
/// A member that left the list and is silent for this long is forgotten.
constexpr Millis kForgetAfter{30'000};
/// A list service that restarts its versions is believed again after this time.
constexpr Millis kListVersionLife{30'000};
/// Age of the newest report at which the second in rank asks the endpoint too.
constexpr Millis kBackupAfter{1000};
/// A poll that never reported back is given up after this time.
constexpr Millis kPollGiveUp{5000};
/// Period for trying the next candidate while no delegate of a domain is known to be alive.
constexpr Millis kDelegateProbe{2000};
/// Reports older than this renew nothing and are not worth sending.
constexpr Millis kReportLife{2500};

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

void listMember(MemberTable &members, const VmRow &vm)
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

void listEndpoint(EndpointTable &endpoints, const VmRow &vm)
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

void removeReported(EndpointRow &row, TimePoint reportAt)
{
    while (!row.sent.empty() && row.sent.front().at <= reportAt)
        row.sent.pop_front();
    std::erase_if(row.peerSent, [&](const auto &entry) { return entry.second.at <= reportAt; });
}

/// Upper bound of the time that the digest spent on its way; nothing when it cannot be told.
std::optional<Millis> transitBound(const Digest &digest, const std::string &selfIncarnation,
                                   TimePoint now)
{
    const Millis clock = std::chrono::duration_cast<Millis>(now.time_since_epoch());
    const Millis sent = digest.echoClock + digest.echoAge;
    if (digest.echoClock == Millis(0) || digest.echoIncarnation != selfIncarnation || sent > clock)
        return std::nullopt;
    return clock - sent;
}

/// Life of a member that a delegate passes on in turn with all others.
Millis relayedLife(const FleetTables &tables, Millis interval)
{
    const auto turns = static_cast<std::int64_t>(tables.members.size() / kRelayedPerDigest + 1);
    return std::max(kRelayedMemberLife, kMissedHeartbeats * turns * interval);
}

void applySummary(FleetTables &tables, const MemberSummary &summary, Millis transit,
                  Millis interval, TimePoint now)
{
    MemberRow *row = tables.members.find(summary.id);
    const TimePoint heardAt = now - transit - summary.age;
    if (!row || row->self || (row->heard && heardAt <= row->lastHeartbeat)
        || summary.incarnation < row->incarnation)
        return;
    if (row->incarnation != summary.incarnation)
        row->sequence = 0;
    row->incarnation = summary.incarnation;
    row->heard = true;
    row->lastHeartbeat = heardAt;
    row->life = relayedLife(tables, interval);
    row->leaving = summary.leaving;
    row->configOffset = std::max(row->configOffset, summary.configOffset);
}

/// Up to kRelayedPerDigest of the ids, in ascending order after the last one and round again.
std::vector<std::string> nextInTurn(std::vector<std::string> ids, std::string &last)
{
    std::sort(ids.begin(), ids.end());
    const auto begin = std::upper_bound(ids.begin(), ids.end(), last);
    std::rotate(ids.begin(), begin, ids.end());
    ids.resize(std::min(ids.size(), kRelayedPerDigest));
    if (!ids.empty())
        last = ids.back();
    return ids;
}

std::size_t listedMembers(const MemberTable &members)
{
    std::size_t count = 0;
    members.forEach([&](const auto &, const MemberRow &row) { count += row.listed || row.self; });
    return count;
}

/// The delegate of another domain, or a candidate that changes with time while none is alive.
std::string delegateToContact(const FleetTables &tables, const std::string &domain, TimePoint now)
{
    std::string delegate = delegateOf(tables, domain, now);
    if (!delegate.empty())
        return delegate;
    const auto candidates = sortedIds(tables.members, [&](const MemberRow &row) {
        return row.domain == domain && row.listed;
    });
    if (candidates.empty())
        return {};
    const auto period = now.time_since_epoch() / kDelegateProbe;
    return candidates[static_cast<std::size_t>(period) % candidates.size()];
}

} // namespace

void applyVmList(FleetTables &tables, const VmList &list, TimePoint now)
{
    const bool known = tables.listAccepted != TimePoint{};
    if (known && list.version < tables.listVersion
        && since(tables.listAccepted, now) < kListVersionLife)
        return;
    tables.listVersion = list.version;
    tables.listAccepted = now;
    tables.members.forEach([](const auto &, MemberRow &row) { row.listed = false; });
    tables.endpoints.forEach([](const auto &, EndpointRow &row) {
        row.listed = false;
        row.listLeaving = true;
    });
    for (const VmRow &vm : list.vms) {
        if (vm.kind == VmKind::Entry)
            listMember(tables.members, vm);
        else
            listEndpoint(tables.endpoints, vm);
    }
    tables.members.eraseIf([&](const auto &, const MemberRow &row) {
        return !row.self && !row.listed && since(row.lastHeartbeat, now) > kForgetAfter;
    });
    tables.endpoints.eraseIf([&](const auto &, const EndpointRow &row) {
        return !row.listed && row.ownOutstanding == 0 && since(row.reportAt, now) > kForgetAfter;
    });
}

void applyIntents(FleetTables &tables, const Configuration &configuration)
{
    tables.endpoints.forEach([&](const std::string &id, EndpointRow &row) {
        const auto found = configuration.endpointIntents.find(id);
        row.drained = found != configuration.endpointIntents.end() && found->second.drained;
    });
}

bool isAlive(const MemberRow &row, TimePoint now)
{
    return row.self || (row.heard && now - row.lastHeartbeat <= row.life);
}

std::vector<std::string> liveMembers(const FleetTables &tables, const std::string &domain,
                                     TimePoint now)
{
    return sortedIds(tables.members, [&](const MemberRow &row) {
        return isAlive(row, now) && !row.leaving && !row.listLeaving
               && (domain.empty() || row.domain == domain);
    });
}

void updateCoordinators(FleetTables &tables, TimePoint now)
{
    std::map<std::string, std::vector<std::string>> live;
    const auto all = liveMembers(tables, "", now);
    live[""] = all;
    for (const std::string &id : all)
        live[tables.members.find(id)->domain].push_back(id);
    const auto liveFor = [](const auto &sets, const std::string &domain) {
        const auto found = sets.find(domain);
        return found == sets.end() ? sets.find("") : found;
    };
    tables.endpoints.forEach([&](const std::string &id, EndpointRow &row) {
        const auto now = liveFor(live, row.domain);
        const auto before = liveFor(tables.coordinatorsFor, row.domain);
        if (!row.coordinator.empty() && before != tables.coordinatorsFor.end()
            && before->second == now->second)
            return;
        const auto order = rendezvousOrder(id, now->second);
        row.coordinator = order.empty() ? std::string() : order[0];
        row.backup = order.size() < 2 ? std::string() : order[1];
    });
    tables.coordinatorsFor = std::move(live);
}

std::vector<PollRequest> pollsDue(FleetTables &tables, const std::string &selfId, Millis interval,
                                  TimePoint now)
{
    std::vector<PollRequest> due;
    tables.endpoints.forEach([&](const std::string &id, EndpointRow &row) {
        const Millis sinceLast = since(row.lastPoll, now);
        if (!row.listed || sinceLast < interval || (row.polling && sinceLast < kPollGiveUp))
            return;
        const bool overdue = !row.reported || since(row.reportAt, now) > kBackupAfter;
        if (row.coordinator != selfId && (row.backup != selfId || !overdue))
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
        // The time of arrival is kept, because the time of the report may be estimated too early:
        // a live report must be certainly newer to revoke this.
        row.statusLeaving = true;
        row.leavingSeen = now;
    } else if (row.statusLeaving && reportAt > row.leavingSeen) {
        row.statusLeaving = false;
    }
    if (row.reported && reportAt <= row.reportAt)
        return;
    const std::uint64_t details = detailsHash(status);
    if (!row.reported || details != row.detailsHash)
        row.detailsAt = now;
    row.detailsHash = details;
    row.reported = true;
    row.status = status;
    row.reportAt = reportAt;
    row.updatedAt = now;
    row.polledHere = false;
    removeReported(row, reportAt);
}

bool sendPermitted(const EndpointRow &row, Millis life, TimePoint now)
{
    return row.listed && !row.listLeaving && !row.drained && !row.statusLeaving && row.reported
           && now - row.reportAt < life;
}

bool applyDigest(FleetTables &tables, const Digest &digest, const std::string &selfIncarnation,
                 TimePoint now)
{
    MemberRow *row = tables.members.find(digest.memberId);
    if (!row || row->self)
        return false;
    // Incarnations are UUIDv7s, which sort by time. An older one counts again only once the newer
    // one is silent, for the case of a clock that was set back.
    const bool older = digest.incarnation < row->incarnation && isAlive(*row, now);
    const bool repeated
            = digest.incarnation == row->incarnation && digest.sequence <= row->sequence;
    if (older || repeated)
        return false;
    if (digest.incarnation != row->incarnation)
        row->acknowledged = {};
    row->incarnation = digest.incarnation;
    row->sequence = digest.sequence;
    row->heard = true;
    row->lastHeartbeat = now;
    row->life = kMissedHeartbeats * digest.interval;
    row->leaving = digest.leaving;
    row->configOffset = digest.configOffset;
    row->requestsInProgress = digest.requestsInProgress;

    const std::optional<Millis> transit = transitBound(digest, selfIncarnation, now);
    for (const EndpointReport &report : digest.reports) {
        EndpointRow *endpoint = tables.endpoints.find(report.endpointId);
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
        applyStatus(*endpoint, status, now - transit.value_or(kReportLife) - report.age, now);
    }
    tables.endpoints.forEach(
            [&](const auto &, EndpointRow &endpoint) { endpoint.peerSent.erase(digest.memberId); });
    for (const SentLoad &load : digest.sent) {
        if (EndpointRow *endpoint = tables.endpoints.find(load.endpointId))
            endpoint->peerSent[digest.memberId] = {load.requests, load.tokens, now};
    }
    for (const MemberSummary &summary : digest.members) {
        if (transit)
            applySummary(tables, summary, *transit, digest.interval, now);
    }
    return true;
}

std::string delegateOf(const FleetTables &tables, const std::string &domain, TimePoint now)
{
    const auto order = rendezvousOrder("delegate-" + domain, liveMembers(tables, domain, now));
    return order.empty() ? std::string() : order.front();
}

std::vector<std::string> heartbeatTargets(const FleetTables &tables, const std::string &selfId,
                                          TimePoint now)
{
    const MemberRow *self = tables.members.find(selfId);
    const bool fullMesh = listedMembers(tables.members) <= kFullMeshMembers;
    auto targets = sortedIds(tables.members, [&](const MemberRow &row) {
        return !row.self && (row.listed || isAlive(row, now))
               && (fullMesh || row.domain == self->domain);
    });
    if (fullMesh || delegateOf(tables, self->domain, now) != selfId)
        return targets;
    std::set<std::string> domains;
    tables.members.forEach([&](const auto &, const MemberRow &row) { domains.insert(row.domain); });
    domains.erase(self->domain);
    for (const std::string &domain : domains) {
        const std::string delegate = delegateToContact(tables, domain, now);
        if (!delegate.empty())
            targets.push_back(delegate);
    }
    return targets;
}

bool isRelay(const FleetTables &tables, const std::string &selfId, TimePoint now)
{
    const MemberRow *self = tables.members.find(selfId);
    return listedMembers(tables.members) > kFullMeshMembers
           && delegateOf(tables, self->domain, now) == selfId;
}

void fillDigest(FleetTables &tables, const std::string &selfId, const std::string &peerId,
                bool relays, TimePoint now, Digest &digest)
{
    const MemberRow *self = tables.members.find(selfId);
    MemberRow *peer = tables.members.find(peerId);
    if (!peer)
        return;
    digest.echoIncarnation = peer->echoIncarnation;
    digest.echoClock = peer->echoClock;
    digest.echoAge = since(peer->echoReceived, now);
    const bool full = ++peer->digests % kFullDigestEvery == 0 || peer->acknowledged == TimePoint{};
    // A delegate passes on its own domain to other domains, and these to its own domain.
    const bool crossDomain = peer->domain != self->domain;
    std::vector<std::string> relayed;
    const auto addReport = [&](const std::string &id, const EndpointRow &row) {
        EndpointReport report{id, since(row.reportAt, now), row.status};
        report.detailsHash = row.detailsHash;
        report.brief = !full && row.detailsAt < peer->acknowledged;
        if (report.brief) {
            report.status.incarnation.clear();
            report.status.role.clear();
            report.status.models.clear();
            report.status.kvCapacityTokens = 0;
        }
        digest.reports.push_back(std::move(report));
    };
    tables.endpoints.forEach([&](const std::string &id, const EndpointRow &row) {
        if (!row.sent.empty()) {
            SentLoad load{id, static_cast<std::uint32_t>(row.sent.size()), 0};
            for (const SentRecord &record : row.sent)
                load.tokens += record.tokens;
            digest.sent.push_back(load);
        }
        const bool passedOn = relays && (row.domain == self->domain) == crossDomain;
        const bool fresh = row.reported && since(row.reportAt, now) < kReportLife;
        const bool lacking = row.updatedAt >= peer->acknowledged;
        if (!lacking || (!fresh && !row.status.leaving))
            return;
        if (row.polledHere || (passedOn && row.status.leaving))
            addReport(id, row);
        else if (passedOn)
            relayed.push_back(id);
    });
    for (const std::string &id : nextInTurn(std::move(relayed), peer->relayedEndpoint))
        addReport(id, *tables.endpoints.find(id));
    if (!relays)
        return;
    auto members = sortedIds(tables.members, [&](const MemberRow &row) {
        return !row.self && isAlive(row, now) && (row.domain == self->domain) == crossDomain;
    });
    for (const std::string &id : nextInTurn(std::move(members), peer->relayedMember)) {
        const MemberRow &row = *tables.members.find(id);
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

EndpointView viewOf(const EndpointRow &row, Millis permissionLife, TimePoint now)
{
    EndpointView view;
    view.id = row.id;
    view.address = row.address;
    view.failureDomain = row.domain;
    view.sendPermitted = sendPermitted(row, permissionLife, now);
    view.ejected = row.ejected;
    view.models = row.status.models;
    view.running = row.status.running;
    view.waiting = row.status.waiting;
    view.waitingTokens = row.status.waitingTokens;
    view.kvUsedTokens = row.status.kvUsedTokens;
    view.kvCapacityTokens = row.status.kvCapacityTokens;
    view.reportAge = row.reported ? since(row.reportAt, now) : Millis::max();
    view.unreportedRequests = static_cast<std::uint32_t>(row.sent.size());
    for (const SentRecord &record : row.sent)
        view.unreportedTokens += record.tokens;
    for (const auto &[peer, sent] : row.peerSent) {
        view.unreportedRequests += sent.requests;
        view.unreportedTokens += sent.tokens;
    }
    view.ownOutstanding = row.ownOutstanding;
    view.prefillTokensPerSecond = row.prefillTokensPerSecond;
    view.slowFactor = currentSlowFactor(row, now);
    return view;
}

} // namespace cicadafork
