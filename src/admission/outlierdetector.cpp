#include "admission/outlierdetector.h"

#include "base/log.h"

#include <algorithm>
#include <set>

namespace cicadafork {

namespace {

constexpr double kSlowFactorSmoothing = 0.2;
/// After this time in the healthy state, the next ejection lasts kMinEjectionTime again.
constexpr Millis kEjectionCountResetTime{300'000};

} // namespace

const char *toString(OutlierState state)
{
    switch (state) {
    case OutlierState::Healthy:
        return "healthy";
    case OutlierState::Ejected:
        return "ejected";
    case OutlierState::Probing:
        return "probing";
    case OutlierState::SlowStart:
        return "slow_start";
    }
    return "healthy";
}

bool shouldEject(const OutlierRow &row, double medianSlowFactor)
{
    if (row.state == OutlierState::Ejected)
        return false;
    if (row.state == OutlierState::Probing && row.consecutiveFailures > 0)
        return true;
    return row.consecutiveFailures >= kFailuresToEject
           || (row.samples >= kMinSlowFactorSamples
               && row.slowFactor > kEjectionSlowFactorRatio * std::max(medianSlowFactor, 1.0));
}

std::size_t ejectionLimit(std::size_t poolSize)
{
    return poolSize / 3;
}

void eject(OutlierRow &row, TimePoint now)
{
    if (row.state == OutlierState::Healthy && now - row.since > kEjectionCountResetTime)
        row.ejections = 0;
    const Millis length
            = std::min(kMaxEjectionTime, kMinEjectionTime * (1 << std::min(row.ejections, 10U)));
    ++row.ejections;
    row.state = OutlierState::Ejected;
    row.since = now;
    row.until = now + length;
}

void applyObservation(OutlierRow &row, bool succeeded, double observedOverExpected, TimePoint now)
{
    if (!succeeded) {
        ++row.consecutiveFailures;
        return;
    }
    row.consecutiveFailures = 0;
    if (observedOverExpected > 0) {
        row.slowFactor += (observedOverExpected - row.slowFactor)
                          * (row.samples == 0 ? 1 : kSlowFactorSmoothing);
        ++row.samples;
    }
    if (row.state == OutlierState::Probing) {
        row.state = OutlierState::SlowStart;
        row.since = now;
        row.until = now + kSlowStartTime;
    }
}

void advanceState(OutlierRow &row, TimePoint now)
{
    if (now < row.until)
        return;
    if (row.state == OutlierState::Ejected) {
        row.state = OutlierState::Probing;
        row.consecutiveFailures = 0;
        // Measurements from before the ejection no longer describe the endpoint.
        row.samples = 0;
        row.slowFactor = 1;
        row.since = now;
    } else if (row.state == OutlierState::SlowStart) {
        row.state = OutlierState::Healthy;
        row.since = now;
    }
}

double trafficShare(const OutlierRow &row, TimePoint now)
{
    switch (row.state) {
    case OutlierState::Healthy:
        return 1;
    case OutlierState::Ejected:
        return 0;
    case OutlierState::Probing:
        return kProbeShare;
    case OutlierState::SlowStart:
        break;
    }
    const double done = std::chrono::duration<double>(now - row.since)
                        / std::chrono::duration<double>(kSlowStartTime);
    return std::clamp(done, 2 * kProbeShare, 1.0);
}

OutlierDetector::OutlierDetector(std::size_t limit, Callback callback)
    : rows_(limit)
    , callback_(std::move(callback))
{
}

void OutlierDetector::setPool(const std::string &service, std::vector<std::string> endpoints)
{
    const std::lock_guard lock(mutex_);
    auto &pool = pools_[service];
    if (pool == endpoints)
        return;
    pool = std::move(endpoints);
    if (pool.empty())
        pools_.erase(service);
    std::set<std::string> pooled;
    for (const auto &entry : pools_)
        pooled.insert(entry.second.begin(), entry.second.end());
    rows_.eraseIf([&](const std::string &id, const OutlierRow &) { return !pooled.contains(id); });
}

void OutlierDetector::observe(const std::string &endpoint, bool succeeded,
                              double observedOverExpected, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (OutlierRow *row = rows_.insert(endpoint))
        applyObservation(*row, succeeded, observedOverExpected, now);
}

void OutlierDetector::tick(TimePoint now)
{
    std::vector<std::pair<std::string, bool>> changes;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &entry : pools_)
            updatePool(entry.second, now);
        changes.swap(changes_);
    }
    for (const auto &[endpoint, ejected] : changes) {
        logEvent(LogLevel::Warning, "endpoint_ejection_changed",
                 {{"endpoint", endpoint}, {"ejected", ejected ? "true" : "false"}});
        callback_(endpoint, ejected);
    }
}

double OutlierDetector::trafficShare(const std::string &endpoint, TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    const OutlierRow *row = rows_.find(endpoint);
    return row == nullptr ? 1 : cicadafork::trafficShare(*row, now);
}

OutlierState OutlierDetector::state(const std::string &endpoint) const
{
    const std::lock_guard lock(mutex_);
    const OutlierRow *row = rows_.find(endpoint);
    return row == nullptr ? OutlierState::Healthy : row->state;
}

void OutlierDetector::updatePool(const std::vector<std::string> &pool, TimePoint now)
{
    std::size_t ejected = 0;
    for (const std::string &id : pool) {
        OutlierRow *row = rows_.find(id);
        if (row == nullptr)
            continue;
        const bool wasEjected = row->state == OutlierState::Ejected;
        advanceState(*row, now);
        if (wasEjected && row->state != OutlierState::Ejected)
            changes_.emplace_back(id, false);
        if (row->state == OutlierState::Ejected)
            ++ejected;
    }
    const std::size_t limit = ejectionLimit(pool.size());
    const double median = medianSlowFactor(pool);
    for (const std::string &id : pool) {
        OutlierRow *row = rows_.find(id);
        if (row == nullptr || ejected >= limit || !shouldEject(*row, median))
            continue;
        eject(*row, now);
        ++ejected;
        changes_.emplace_back(id, true);
    }
}

double OutlierDetector::medianSlowFactor(const std::vector<std::string> &pool) const
{
    std::vector<double> factors;
    for (const std::string &id : pool) {
        const OutlierRow *row = rows_.find(id);
        if (row != nullptr && row->samples >= kMinSlowFactorSamples)
            factors.push_back(row->slowFactor);
    }
    // A median of fewer than three measured endpoints is no basis for a comparison.
    if (factors.size() < 3)
        return 1e9;
    const auto middle = factors.begin() + static_cast<std::ptrdiff_t>(factors.size() / 2);
    std::nth_element(factors.begin(), middle, factors.end());
    return *middle;
}

} // namespace cicadafork
