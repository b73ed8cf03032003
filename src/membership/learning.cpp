// Estimates of an endpoint's speed from finished attempts; see systems.h.

#include "membership/systems.h"

#include <algorithm>
#include <cmath>

namespace cicadafork {

namespace {

/// Shortest prompt that gives a sample of the prefill rate. Fixed costs dominate shorter ones.
constexpr std::uint64_t kMinRateSampleTokens = 256;
/// Queueing time can only lower a rate sample, so increases are followed faster than decreases.
constexpr double kRateRiseSmoothing = 0.3;
constexpr double kRateFallSmoothing = 0.05;
constexpr double kSlowFactorSmoothing = 0.1;
/// Higher samples come from a pause of the endpoint, not from its speed. With a limit of 100, one
/// pause gave a slow factor of 11, and long prompts were refused for tens of seconds.
constexpr double kMaxSlowFactorSample = 10;
constexpr Millis kSlowFactorHalfLife{10'000};

Millis since(TimePoint then, TimePoint now)
{
    return std::chrono::duration_cast<Millis>(now - then);
}

} // namespace

void applyObservation(EndpointRow &row, const AttemptObservation &observation, TimePoint now)
{
    if (!observation.succeeded || observation.firstToken <= Millis(0))
        return;
    const auto elapsed = static_cast<double>(observation.firstToken.count());
    if (observation.promptTokens >= kMinRateSampleTokens) {
        const double sample = static_cast<double>(observation.promptTokens) * 1000 / elapsed;
        double &rate = row.prefillTokensPerSecond;
        rate = rate == 0 ? sample
                         : rate
                                   + (sample > rate ? kRateRiseSmoothing : kRateFallSmoothing)
                                             * (sample - rate);
    }
    if (observation.expectedFirstToken > Millis(0)) {
        const double sample
                = std::min(kMaxSlowFactorSample,
                           elapsed / static_cast<double>(observation.expectedFirstToken.count()));
        const double factor = currentSlowFactor(row, now);
        row.slowFactor = factor + kSlowFactorSmoothing * (sample - factor);
        row.slowFactorUpdatedAt = now;
    }
}

double currentSlowFactor(const EndpointRow &row, TimePoint now)
{
    if (row.slowFactorUpdatedAt == TimePoint{})
        return 1;
    const double halfLives = static_cast<double>(since(row.slowFactorUpdatedAt, now).count())
                             / static_cast<double>(kSlowFactorHalfLife.count());
    return 1 + (row.slowFactor - 1) * std::exp2(-halfLives);
}

} // namespace cicadafork
