#include "gateway/endpoints.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cicadafork::gateway {

namespace {

// The first suspension; doubled with each consecutive failure.
constexpr Millis kFirstSuspension{250};
constexpr Millis kLongestSuspension{4000};
// Suspension after a refusal: gives a full endpoint time to shorten its queue.
constexpr Millis kRefusalSuspension{60};
// A failure domain counts as unreachable once connections to this many of its endpoints have failed
// with no answer from the domain in between. It counts as reachable again when the last failure is
// older than kUnreachablePeriod.
constexpr std::size_t kMinUnreachableEndpoints = 3;
constexpr Millis kUnreachablePeriod{800};
// Weights of a new observation in the moving averages.
constexpr double kErrorWeight = 0.15;
constexpr double kSlowdownWeight = 0.25;
constexpr double kMinSlowdown = 0.7;
constexpr double kMaxSlowdown = 20;
// An endpoint is avoided if its error rate exceeds the mean of its service by more than this.
constexpr double kErrorMargin = 0.25;
// Maps a 53-bit integer to the range from 0 to 0.5.
constexpr double kTieScale = 0.5 / 9007199254740992.0;
// Largest share of a service's endpoints that may be avoided for their errors.
constexpr double kMaxAvoidedShare = 0.34;
// Limit of the remembered statements, as a multiple of that of the endpoints: half of them can
// belong to instances whose record is gone.
constexpr std::size_t kStatementsPerEndpoint = 2;

bool counts(const EndpointRow &row, const DomainFilter &allowed)
{
    return !allowed || allowed(row.record.failureDomain);
}

std::uint64_t digestOf(const EndpointRow &row)
{
    const EndpointRecord &record = row.record;
    std::uint64_t hash = fnv1a64(record.service, row.key);
    hash = fnv1a64(toString(record.address), hash);
    return mix64(hash + (record.state == EndpointState::Draining ? 1 : 0));
}

} // namespace

std::size_t endpointGroup(const std::string &id)
{
    return mix64(fnv1a64(id)) % kEndpointGroups;
}

const char *toString(EndpointChange change)
{
    switch (change) {
    case EndpointChange::None:
        return "none";
    case EndpointChange::Joined:
        return "joined";
    case EndpointChange::Restarted:
        return "restarted";
    case EndpointChange::Draining:
        return "draining";
    case EndpointChange::Ready:
        return "ready";
    case EndpointChange::Moved:
        return "moved";
    case EndpointChange::Gone:
        return "gone";
    }
    return "none";
}

EndpointTable::EndpointTable(std::size_t limit)
    : limit_(limit)
{
}

EndpointChange EndpointTable::update(const EndpointRecord &record, TimePoint now)
{
    const auto found = rows_.find(record.id);
    const std::uint64_t before = found == rows_.end() ? 0 : digestOf(found->second);
    const EndpointChange change = apply(record, now);
    if (change != EndpointChange::None)
        changeDigest(record.id, digestOf(rows_.at(record.id)) - before);
    return change;
}

void EndpointTable::changeDigest(const std::string &id, std::uint64_t by)
{
    digest_ += by;
    groupSums_[endpointGroup(id)] += by;
}

GroupDigests EndpointTable::groupDigests() const
{
    GroupDigests digests{};
    for (std::size_t i = 0; i < kEndpointGroups; ++i)
        digests[i] = static_cast<std::uint32_t>(mix64(groupSums_[i]));
    return digests;
}

EndpointChange EndpointTable::apply(const EndpointRecord &record, TimePoint now)
{
    const auto found = rows_.find(record.id);
    if (found == rows_.end()) {
        if (rows_.size() >= limit_)
            return EndpointChange::None;
        EndpointRow row;
        row.record = record;
        row.key = endpointKey(record);
        row.suspendedUntil = now;
        idByKey_[row.key] = record.id;
        rows_.emplace(record.id, std::move(row));
        return EndpointChange::Joined;
    }
    EndpointRow &row = found->second;
    const EndpointRecord before = row.record;
    row.record = record;
    if (before.bornMs != record.bornMs) {
        idByKey_.erase(row.key);
        row = {};
        row.record = record;
        row.key = endpointKey(record);
        row.suspendedUntil = now;
        idByKey_[row.key] = record.id;
        return EndpointChange::Restarted;
    }
    if (before.address != record.address || before.service != record.service)
        return EndpointChange::Moved;
    if (before.state == record.state)
        return EndpointChange::None;
    return record.state == EndpointState::Draining ? EndpointChange::Draining
                                                   : EndpointChange::Ready;
}

EndpointChange EndpointTable::remove(const std::string &id)
{
    const auto found = rows_.find(id);
    if (found == rows_.end())
        return EndpointChange::None;
    changeDigest(id, 0 - digestOf(found->second));
    idByKey_.erase(found->second.key);
    rows_.erase(found);
    return EndpointChange::Gone;
}

std::vector<std::string> EndpointTable::ids() const
{
    std::vector<std::string> ids;
    for (const auto &[id, row] : rows_)
        ids.push_back(id);
    return ids;
}

std::set<std::string> EndpointTable::failureDomains() const
{
    std::set<std::string> domains;
    for (const auto &[id, row] : rows_)
        domains.insert(row.record.failureDomain);
    return domains;
}

std::set<std::string> EndpointTable::failureDomainsOf(const Job &job) const
{
    std::set<std::string> domains;
    for (const JobPart &part : job.parts) {
        if (const EndpointRow *endpoint = find(part.endpoint))
            domains.insert(endpoint->record.failureDomain);
    }
    return domains;
}

void EndpointTable::noteSuccess(EndpointKey key, double observedSlowdown)
{
    EndpointRow *found = row(key);
    if (!found)
        return;
    unreachable_.erase(found->record.failureDomain);
    found->consecutiveFailures = 0;
    found->suspendedUntil = {};
    found->errorRate *= 1 - kErrorWeight;
    const double slowdown = std::clamp(observedSlowdown, kMinSlowdown, kMaxSlowdown);
    found->slowdown += kSlowdownWeight * (slowdown - found->slowdown);
}

void EndpointTable::endSuspensions(const std::string &service)
{
    for (auto &[id, row] : rows_) {
        if (row.record.service != service)
            continue;
        row.consecutiveFailures = 0;
        row.suspendedUntil = {};
        unreachable_.erase(row.record.failureDomain);
    }
}

void EndpointTable::noteAlive(EndpointKey key)
{
    EndpointRow *found = row(key);
    if (!found)
        return;
    unreachable_.erase(found->record.failureDomain);
    found->consecutiveFailures = 0;
    found->suspendedUntil = {};
}

bool EndpointTable::isAvailable(EndpointKey key, TimePoint now) const
{
    const EndpointRow *found = find(key);
    return found && found->record.state == EndpointState::Ready && found->suspendedUntil <= now;
}

bool EndpointTable::noteFailure(EndpointKey key, EndpointFailure failure, TimePoint now)
{
    EndpointRow *found = row(key);
    if (!found)
        return false;
    found->errorRate += kErrorWeight * (1 - found->errorRate);
    switch (failure) {
    case EndpointFailure::Error:
    case EndpointFailure::Broken:
        return false;
    case EndpointFailure::Refused:
        found->suspendedUntil = std::max(found->suspendedUntil, now + kRefusalSuspension);
        return false;
    case EndpointFailure::NoConnection:
    case EndpointFailure::NoAnswer:
        break;
    }
    if (failure == EndpointFailure::NoConnection) {
        Unreachable &domain = unreachable_[found->record.failureDomain];
        if (now - domain.lastFailure > kUnreachablePeriod)
            domain.endpoints.clear();
        domain.endpoints.insert(key);
        domain.lastFailure = now;
    }
    const bool wasSuspended = found->suspendedUntil > now;
    const unsigned doublings = std::min(found->consecutiveFailures, 4U);
    ++found->consecutiveFailures;
    found->suspendedUntil = now + std::min(kLongestSuspension, kFirstSuspension * (1 << doublings));
    return !wasSuspended;
}

EndpointTable::Statement &EndpointTable::statement(EndpointKey key)
{
    const auto found = statements_.find(key);
    if (found != statements_.end())
        return found->second;
    if (statements_.size() >= kStatementsPerEndpoint * limit_) {
        const auto gone = std::ranges::find_if(
                statementOrder_, [this](EndpointKey old) { return !idByKey_.contains(old); });
        statements_.erase(*gone);
        statementOrder_.erase(gone);
    }
    statementOrder_.push_back(key);
    return statements_[key];
}

bool EndpointTable::noteLeaving(EndpointKey key)
{
    return !std::exchange(statement(key).leaving, true);
}

void EndpointTable::noteQuiet(EndpointKey key, TimePoint until)
{
    TimePoint &quietUntil = statement(key).quietUntil;
    quietUntil = std::max(quietUntil, until);
}

bool EndpointTable::noteUnreadable(EndpointKey key)
{
    return !std::exchange(statement(key).unreadable, true);
}

bool EndpointTable::isLeaving(EndpointKey key) const
{
    const auto found = statements_.find(key);
    return found != statements_.end() && found->second.leaving;
}

void EndpointTable::setEvacuated(std::set<std::string> failureDomains)
{
    evacuated_ = std::move(failureDomains);
}

bool EndpointTable::isEvacuated(EndpointKey key) const
{
    const EndpointRow *found = evacuated_.empty() ? nullptr : find(key);
    return found && evacuated_.contains(found->record.failureDomain);
}

bool EndpointTable::accepts(EndpointKey key, TimePoint now) const
{
    if (isEvacuated(key))
        return false;
    const auto found = statements_.find(key);
    return found == statements_.end()
           || (!found->second.leaving && found->second.quietUntil <= now);
}

std::vector<EndpointKey> EndpointTable::leaving() const
{
    std::vector<EndpointKey> keys;
    for (const EndpointKey key : statementOrder_) {
        if (isLeaving(key) && idByKey_.contains(key))
            keys.push_back(key);
    }
    return keys;
}

bool EndpointTable::anyAccepts(const std::string &service, const EndpointLimits &limits,
                               TimePoint now, const DomainFilter &allowed) const
{
    return std::ranges::any_of(rows_, [&](const auto &entry) {
        const EndpointRow &row = entry.second;
        return row.record.service == service && row.record.state == EndpointState::Ready
               && counts(row, allowed) && accepts(row.key, now) && limits.allows(row.key, now);
    });
}

ServiceAvailability EndpointTable::availability(const std::string &service,
                                                const EndpointLimits &limits, TimePoint now,
                                                const DomainFilter &allowed) const
{
    ServiceAvailability availability;
    const auto addWaiting = [&](unsigned &count, TimePoint until) {
        const bool first = availability.quiet + availability.limited == 0;
        ++count;
        availability.firstAccepts = first ? until : std::min(availability.firstAccepts, until);
        availability.lastAccepts = std::max(availability.lastAccepts, until);
    };
    for (const auto &[id, row] : rows_) {
        if (row.record.service != service || row.record.state != EndpointState::Ready
            || !counts(row, allowed))
            continue;
        if (accepts(row.key, now)) {
            availability.perSecond += limits.ownPerSecond(row.key, now);
            if (const auto end = limits.endsAt(row.key, now))
                availability.limitEnds = std::min(availability.limitEnds.value_or(*end), *end);
            if (limits.allows(row.key, now))
                ++availability.accepting;
            else if (const auto next = limits.nextAt(row.key, now))
                addWaiting(availability.limited, *next);
            else
                ++availability.leftToOthers;
        } else if (isLeaving(row.key)) {
            ++availability.leaving;
        } else if (isEvacuated(row.key)) {
            ++availability.evacuated;
        } else {
            addWaiting(availability.quiet, statements_.at(row.key).quietUntil);
        }
    }
    return availability;
}

bool EndpointTable::anyInService(const std::string &service, const DomainFilter &allowed,
                                 TimePoint now) const
{
    return std::ranges::any_of(rows_, [&](const auto &entry) {
        const EndpointRow &row = entry.second;
        return row.record.service == service && row.record.state == EndpointState::Ready
               && counts(row, allowed) && !isLeaving(row.key) && !isEvacuated(row.key)
               && !seemsUnreachable(row, now);
    });
}

bool EndpointTable::seemsUnreachable(const EndpointRow &row, TimePoint now) const
{
    if (seemsCutOff(row.record.failureDomain, now))
        return true;
    const auto found = unreachable_.find(row.record.failureDomain);
    return row.suspendedUntil > now && found != unreachable_.end()
           && found->second.endpoints.contains(row.key);
}

bool EndpointTable::seemsCutOff(const std::string &failureDomain, TimePoint now) const
{
    const auto found = unreachable_.find(failureDomain);
    return found != unreachable_.end() && found->second.endpoints.size() >= kMinUnreachableEndpoints
           && now - found->second.lastFailure <= kUnreachablePeriod;
}

const EndpointRow *EndpointTable::find(EndpointKey key) const
{
    const auto id = idByKey_.find(key);
    return id == idByKey_.end() ? nullptr : &rows_.at(id->second);
}

EndpointRow *EndpointTable::row(EndpointKey key)
{
    const auto id = idByKey_.find(key);
    return id == idByKey_.end() ? nullptr : &rows_.at(id->second);
}

const EndpointRow *EndpointTable::findById(const std::string &id) const
{
    const auto found = rows_.find(id);
    return found == rows_.end() ? nullptr : &found->second;
}

std::vector<EndpointView>
EndpointTable::views(const std::string &service, const std::string &ownDomain, std::uint64_t daemon,
                     const std::vector<EndpointKey> &excluded,
                     const std::function<bool(const std::string &)> &cutOff,
                     const LoadTracker &loadTracker, TimePoint now,
                     const DomainFilter &allowed) const
{
    std::vector<EndpointView> views;
    std::vector<const EndpointRow *> rows;
    double errorSum = 0;
    for (const auto &[id, row] : rows_) {
        if (row.record.service != service || row.record.state != EndpointState::Ready
            || !counts(row, allowed))
            continue;
        if (!accepts(row.key, now) || std::ranges::find(excluded, row.key) != excluded.end())
            continue;
        rows.push_back(&row);
        errorSum += row.errorRate;
    }
    const double meanError = rows.empty() ? 0 : errorSum / static_cast<double>(rows.size());
    auto avoidable = static_cast<std::size_t>(kMaxAvoidedShare * static_cast<double>(rows.size()));
    bool anyUsable = false;
    for (const EndpointRow *row : rows) {
        EndpointView view;
        view.key = row->key;
        view.load = loadTracker.load(row->key, now);
        view.slots = std::max(1U, row->record.slots);
        view.slowdown = row->slowdown;
        view.tieBreaker = static_cast<double>(mix64(row->key ^ daemon) >> 11) * kTieScale;
        view.inOwnDomain = row->record.failureDomain == ownDomain;
        view.usable = row->suspendedUntil <= now && !cutOff(row->record.failureDomain)
                      && !seemsCutOff(row->record.failureDomain, now);
        if (view.usable && avoidable > 0 && row->errorRate > meanError + kErrorMargin) {
            view.usable = false;
            --avoidable;
        }
        anyUsable = anyUsable || view.usable;
        views.push_back(view);
    }
    if (!anyUsable) {
        for (EndpointView &view : views)
            view.usable = true;
    }
    return views;
}

} // namespace cicadafork::gateway
