// What finished attempts show about their endpoint; see systems.h.

#include "membership/systems.h"

#include <algorithm>
#include <cmath>

namespace cicadafork {

namespace {

/// Smallest prompt that tells something about the prefill rate; fixed costs dominate below.
constexpr std::uint64_t kMinLearnTokens = 256;
/// Waiting in the queue only ever lowers a rate sample, so rises are believed faster than falls.
constexpr double kRateRise = 0.3;
constexpr double kRateFall = 0.05;
constexpr double kSlowSmoothing = 0.1;
/// A longer pause is a freeze and not a speed: at 100, one pause counted as a slowdown by 11, and
/// long prompts were refused for tens of seconds.
constexpr double kMaxSlowSample = 10;
constexpr Millis kSlowHalfLife{10'000};

Millis since(TimePoint then, TimePoint now)
{
    return std::chrono::duration_cast<Millis>(now - then);
}

} // namespace

void learn(EndpointRow &row, const AttemptObservation &observation, TimePoint now)
{
    if (!observation.succeeded || observation.firstToken <= Millis(0))
        return;
    const auto elapsed = static_cast<double>(observation.firstToken.count());
    if (observation.promptTokens >= kMinLearnTokens) {
        const double sample = static_cast<double>(observation.promptTokens) * 1000 / elapsed;
        double &rate = row.prefillTokensPerSecond;
        rate = rate == 0 ? sample
                         : rate + (sample > rate ? kRateRise : kRateFall) * (sample - rate);
    }
    if (observation.expectedFirstToken > Millis(0)) {
        const double sample
                = std::min(kMaxSlowSample,
                           elapsed / static_cast<double>(observation.expectedFirstToken.count()));
        const double factor = currentSlowFactor(row, now);
        row.slowFactor = factor + kSlowSmoothing * (sample - factor);
        row.slowObserved = now;
    }
}

double currentSlowFactor(const EndpointRow &row, TimePoint now)
{
    if (row.slowObserved == TimePoint{})
        return 1;
    const double halfLives = static_cast<double>(since(row.slowObserved, now).count())
                             / static_cast<double>(kSlowHalfLife.count());
    return 1 + (row.slowFactor - 1) * std::exp2(-halfLives);
}

} // namespace cicadafork
