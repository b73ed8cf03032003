#pragma once

// Ejects endpoints that fail, or that are much slower than their pool, for a limited time.
//
//   OutlierDetector detector(4096, [&](const std::string &endpoint, bool ejected) {
//       membership.setEjected(endpoint, ejected);
//   });
//   detector.setPool("report-writer", endpointIds);                   // On each tick.
//   detector.observe(endpoint, succeeded, observedOverExpected, now); // After each attempt.
//   detector.tick(now);                                               // On each tick.
//
// States: healthy -> ejected -> probing -> slow start -> healthy. An ejection lasts 5 s; the time
// doubles with each consecutive ejection, up to 2 min. A failure while probing ejects the endpoint
// again. At most a third of a pool is ejected, so no endpoint of a pool of one or two.

#include "base/clock.h"
#include "base/table.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cicadafork {

enum class OutlierState { Healthy, Ejected, Probing, SlowStart };

const char *toString(OutlierState state);

struct OutlierRow
{
    OutlierState state = OutlierState::Healthy;
    unsigned consecutiveFailures = 0;
    unsigned ejections = 0; ///< Consecutive, without 5 min of healthy state in between.
    unsigned samples = 0;   ///< Number of successes in slowFactor.
    double slowFactor = 1;  ///< Observed / expected time to first token, smoothed.
    TimePoint since;        ///< Start of the state.
    TimePoint until;        ///< End of the ejection or the slow start.
};

inline constexpr unsigned kFailuresToEject = 5;
inline constexpr unsigned kMinSlowFactorSamples = 10;
/// An endpoint is ejected above this ratio of its slow factor to the median of the pool. An
/// endpoint that is ten times slower must not raise p95 by more than a fifth, but a ratio of 2 is
/// normal under uneven load.
inline constexpr double kEjectionSlowFactorRatio = 4;
inline constexpr Millis kMinEjectionTime{5'000};
inline constexpr Millis kMaxEjectionTime{120'000};
inline constexpr Millis kSlowStartTime{10'000};
/// Share of its normal traffic that an endpoint gets while probing.
inline constexpr double kProbeShare = 0.05;

/// True if the endpoint meets the conditions for an ejection, apart from ejectionLimit().
bool shouldEject(const OutlierRow &row, double medianSlowFactor);
/// Number of endpoints of a pool that may be ejected at the same time.
std::size_t ejectionLimit(std::size_t poolSize);
void eject(OutlierRow &row, TimePoint now);
void applyObservation(OutlierRow &row, bool succeeded, double observedOverExpected, TimePoint now);
/// Ends an ejection or a slow start whose time is over.
void advanceState(OutlierRow &row, TimePoint now);
/// Share of normal traffic, 0 to 1.
double trafficShare(const OutlierRow &row, TimePoint now);

/// Thread-safe. The callback is called by tick(), without the lock held.
class OutlierDetector
{
public:
    using Callback = std::function<void(const std::string &endpoint, bool ejected)>;

    OutlierDetector(std::size_t limit, Callback callback);

    /// Sets the endpoints of a pool. Rows of endpoints that are in no pool are removed.
    void setPool(const std::string &service, std::vector<std::string> endpoints);

    /// Records the result of an attempt. observedOverExpected is the observed divided by the
    /// expected time to first token, or 0 if no first token was measured.
    void observe(const std::string &endpoint, bool succeeded, double observedOverExpected,
                 TimePoint now);

    void tick(TimePoint now);

    double trafficShare(const std::string &endpoint, TimePoint now) const;
    OutlierState state(const std::string &endpoint) const;

private:
    void updatePool(const std::vector<std::string> &pool, TimePoint now);
    double medianSlowFactor(const std::vector<std::string> &pool) const;

    mutable std::mutex mutex_;
    Table<std::string, OutlierRow> rows_;
    std::map<std::string, std::vector<std::string>> pools_;
    std::vector<std::pair<std::string, bool>> changes_;
    Callback callback_;
};

} // namespace cicadafork
