// Gateway: endpoints that are cold, and the limits that the configuration sets for them.

#include "base/hash.h"
#include "base/log.h"
#include "gateway/gateway.h"
#include "gateway/meshwire.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cicadafork::gateway {

bool Gateway::noteColdRecord(const EndpointRecord &record)
{
    const bool changed = cold_.noteRecord(endpointKey(record), record.revision,
                                          record.slowStartRemaining, steadyNow());
    if (!changed || !coldLimitOf(record.service))
        return false;
    coldChanged_ = true;
    return true;
}

void Gateway::updateColdLimitsIfChanged()
{
    if (coldChanged_)
        updateColdLimits();
}

void Gateway::noteColdAnswer(EndpointKey endpoint, Millis left)
{
    const EndpointRow *row = endpoints_.find(endpoint);
    if (!cold_.noteAnswer(endpoint, left, steadyNow()) || !row || !coldLimitOf(row->record.service))
        return;
    updateColdLimits();
    if (left <= Millis(0))
        return;
    EndpointRecord stated = withColdTime(row->record);
    stated.revision = 0;
    mesh_.sendEndpointUpdates({{stated.id, std::move(stated)}});
}

void Gateway::noteColdFromPeer(const EndpointRecord &record)
{
    // What is said of another instance counts with its record.
    if (!endpoints_.find(endpointKey(record)))
        return;
    if (!statesOnlyCold(record)) {
        noteColdRecord(record);
        return;
    }
    if (cold_.noteAnswerToPeer(endpointKey(record), record.slowStartRemaining, steadyNow()))
        coldChanged_ = true;
}

EndpointRecord Gateway::withColdTime(EndpointRecord record) const
{
    record.slowStartRemaining = cold_.left(endpointKey(record), steadyNow());
    return record;
}

std::optional<double> Gateway::coldLimitOf(const std::string &service) const
{
    if (!config_)
        return std::nullopt;
    const auto found = config_->services.find(service);
    return found == config_->services.end() ? std::nullopt : found->second.coldRequestsPerSecond;
}

std::vector<DaemonKey> Gateway::coldLimitSharers(TimePoint now)
{
    for (const auto &[ip, peer] : mesh_.peers()) {
        if (peer.heard)
            limitSharers_.noteHeard(fnv1a64(ip), peer.lastHeard, peer.leaving);
        else
            limitSharers_.noteListed(fnv1a64(ip), now);
    }
    std::vector<DaemonKey> sharers = limitSharers_.sharers(now);
    if (draining_)
        std::erase(sharers, fnv1a64(settings_.peers.ip));
    return sharers;
}

void Gateway::updateColdLimits()
{
    const TimePoint now = steadyNow();
    coldChanged_ = false;
    std::vector<ColdLimit> limits;
    for (const ColdEndpoint &cold : cold_.cold(now)) {
        const EndpointRow *row = endpoints_.find(cold.endpoint);
        const auto perSecond = row ? coldLimitOf(row->record.service) : std::nullopt;
        if (perSecond)
            limits.push_back({cold.endpoint, *perSecond, cold.until});
    }
    if (limits.empty() && coldLimited_.empty())
        return;
    limits_.setColdLimits(limits, coldLimitSharers(now), now);
    const std::set<EndpointKey> before = std::exchange(coldLimited_, {});
    TimePoint next = TimePoint::max();
    for (const ColdLimit &limit : limits) {
        coldLimited_.insert(limit.endpoint);
        next = std::min(next, limit.until);
        if (before.contains(limit.endpoint))
            continue;
        counters_.coldTimes.Increment();
        const double own = limits_.ownPerSecond(limit.endpoint, now);
        logEvent(LogLevel::Info, "endpoint_cold",
                 {{"endpoint", nameOf(limit.endpoint)},
                  {"left_ms", std::to_string(cold_.left(limit.endpoint, now).count())},
                  {"per_s", fmt::format("{}", limit.requestsPerSecond)},
                  {"own_per_s", fmt::format("{:.2f}", own)}});
    }
    for (const EndpointKey endpoint : before) {
        if (!coldLimited_.contains(endpoint))
            logEvent(LogLevel::Info, "endpoint_warm", {{"endpoint", nameOf(endpoint)}});
    }
    counters_.coldEndpoints.Set(static_cast<double>(coldLimited_.size()));
    coldTimer_.cancel();
    if (!limits.empty()) {
        coldTimer_.expires_at(std::min(next, limitSharers_.nextChange(now).value_or(next)));
        coldTimer_.async_wait([this](const asio::error_code &error) {
            if (!error)
                updateColdLimits();
        });
    }
    scheduleDispatch();
}

} // namespace cicadafork::gateway
