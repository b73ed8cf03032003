#pragma once

// Decides whether the engines of a service keep the KV cache of prompts after their requests, and
// which share of the expected prefill a hit saves, from observed times to the first event. A hit is
// a request at an endpoint that has prefilled a prefix of its prompt; a miss names a prefix that
// the endpoint has not prefilled.
//
//   SavingHistory history;
//   noteFirstEvent(history, observation, now);
//   const SavingEstimate estimate = estimateSaving(history);
//   if (estimate.share > 0)
//       ...
//
// Each hit is compared with one miss of about the same prefill and expected wait that was observed
// shortly before or after it, in turn. If nothing is saved, either of the two is as likely to be
// the faster one, whatever the distribution of the times, how fast the endpoints are and how the
// load changes. Then the sum of the differences exceeds z times the root of the sum of their
// squares with a probability of at most exp(-z*z/2). Nothing is sent for the sake of learning: hits
// occur by chance, so placements do not change while nothing is known to be saved.

#include "base/clock.h"
#include "gateway/model.h"

#include <array>
#include <optional>

namespace cicadafork::gateway {

/// What was observed of one request that one endpoint prefilled alone.
struct FirstEventObservation
{
    FloatMillis prefill{0};      ///< Expected time of the whole prefill.
    FloatMillis heldPrefill{0};  ///< Part of it that the recorded prefix stands for; 0 for a miss.
    FloatMillis expectedWait{0}; ///< Expected time until the prefill starts.
    FloatMillis deviation{0};    ///< Observed time to the first event less the expected one.
};

/// Hits with a shorter prefix are not observed: the time to the first event varies by up to a pass
/// of an engine, some tens of milliseconds.
inline constexpr FloatMillis kMinHeldPrefill{20};
/// The same as a share of the prefill.
inline constexpr double kMinHeldShare = 0.2;

/// Pairs of a hit and a miss that are needed for an estimate, and the bound z. With 4.5, a service
/// that saves nothing passes with a probability of at most 4e-5 for each set of independent pairs.
inline constexpr double kMinPairs = 24;
inline constexpr double kMinConfidence = 4.5;
/// Smaller shares count as none.
inline constexpr double kMinSavedShare = 0.1;

/// Classes of comparable requests: by the prefill, two for each doubling, and by whether a wait is
/// expected.
inline constexpr std::size_t kPrefillClasses = 24;
inline constexpr std::size_t kWaitClasses = 2;

struct SavingHistory
{
    struct Unpaired
    {
        double relativeDeviation = 0;
        double heldShare = 0; ///< 0 for a miss.
        TimePoint at{};
    };
    struct Class
    {
        std::optional<Unpaired> first;
        bool hitFirst = false; ///< The next pair begins with a hit.
    };

    std::array<Class, kPrefillClasses * kWaitClasses> classes;
    // Sums over the pairs with a falling weight; h is the held share and d the difference of the
    // deviations, both relative to the prefill.
    double pairs = 0;
    double sumHd = 0;
    double sumHh = 0;
    // Of the squares of h * d and of h * (d - s * h) for any s, with the squares of the weights.
    double sumHdSquared = 0;
    double sumHhHd = 0;
    double sumHhSquared = 0;
};

struct SavingEstimate
{
    /// Share of the held prefill that a hit saves, at most 1: one standard error below the mean.
    /// Exactly 0 until enough pairs show a saving with enough confidence.
    double share = 0;
    double confidence = 0; ///< The z that the pairs reach; negative if hits are slower.
    double pairs = 0;      ///< Weight of the pairs.
};

void noteFirstEvent(SavingHistory &history, const FirstEventObservation &observation,
                    TimePoint now);

SavingEstimate estimateSaving(const SavingHistory &history);

} // namespace cicadafork::gateway
