#pragma once

// Takes endpoints that fail or are much slower than their pool out of service for a while.
//
//   OutlierDetector detector(4096, [&](const std::string &endpoint, bool ejected) {
//       membership.setEjected(endpoint, ejected);
//   });
//   detector.setPool("report-writer", endpointIds);              // each tick
//   detector.observe(endpoint, succeeded, observedOverExpected, now); // after each attempt
//   detector.tick(now);                                          // each tick
//
// States: healthy -> ejected -> probing -> slow start -> healthy. An ejection lasts 5 s and doubles
// with each one in a row up to 2 min. A failure while probing ejects again. At most a third of a
// pool is ejected; a pool of one or two never loses an endpoint.

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
    unsigned ejections = 0; ///< In a row, without a long healthy time between them.
    unsigned samples = 0;   ///< Successes that slowFactor is made of.
    double slowFactor = 1;  ///< Observed over expected time to first token, smoothed.
    TimePoint since;        ///< Start of the state.
    TimePoint until;        ///< End of the ejection or the slow start.
};

inline constexpr unsigned kFailuresToEject = 5;
inline constexpr unsigned kMinSlowFactorSamples = 10;
/// Slow factor against the pool's median that ejects. One endpoint ten times slower must not raise
/// p95 by more than a fifth, while a factor of 2 is normal under uneven load.
inline constexpr double kEjectionSlowFactorRatio = 4;
inline constexpr Millis kMinEjectionTime{5'000};
inline constexpr Millis kMaxEjectionTime{120'000};
inline constexpr Millis kSlowStartTime{10'000};
/// Share of its normal traffic that an endpoint gets while it is probed.
inline constexpr double kProbeShare = 0.05;

/// True when the endpoint is bad enough to be ejected, before the floor is applied.
bool shouldEject(const OutlierRow &row, double medianSlowFactor);
/// Endpoints of a pool that may be ejected at the same time.
std::size_t ejectionLimit(std::size_t poolSize);
void eject(OutlierRow &row, TimePoint now);
void applyObservation(OutlierRow &row, bool succeeded, double observedOverExpected, TimePoint now);
/// Moves a row whose time is over to its next state.
void advanceState(OutlierRow &row, TimePoint now);
/// Share of normal traffic, 0 to 1.
double trafficShare(const OutlierRow &row, TimePoint now);

/// Thread-safe. The callback runs without the lock.
class OutlierDetector
{
public:
    using Callback = std::function<void(const std::string &endpoint, bool ejected)>;

    OutlierDetector(std::size_t limit, Callback callback);

    /// The endpoints that belong to a pool now; rows of endpoints in no pool are removed.
    void setPool(const std::string &service, std::vector<std::string> endpoints);

    /// Result of one attempt. Pass 0 as observedOverExpected when no first token was measured.
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
