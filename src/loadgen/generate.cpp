#include "loadgen/generate.h"

#include "base/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace cicadafork {

namespace {

/// One kind of request of a user's day.
struct Template
{
    const char *target;
    const char *operation; ///< Empty for a completion.
    double share;          ///< Of the requests; the shares of a profile add up to 1.
    std::size_t minTokens;
    std::size_t maxTokens;
    std::size_t prefixTokens; ///< Instructions shared by a workspace's requests of this kind.
    std::size_t answerTokens;
    const char *priority;
    bool keyed;
    Millis timeout;
};

// The last entry of a profile holds the prompts above 100k tokens, one request in fifty.
const std::vector<Template> kKarriRidge = {
        {"gate-alarm", "", 0.38, 600, 1'600, 400, 24, "urgent", false, Millis(10'000)},
        {"field-app", "arrival-text", 0.14, 40, 200, 0, 0, "urgent", true, Millis(10'000)},
        {"handover", "", 0.34, 4'000, 16'000, 2'000, 120, "normal", false, Millis(60'000)},
        {"damage-report", "", 0.12, 40'000, 100'000, 8'000, 250, "background", false,
         Millis(300'000)},
        {"damage-report", "", 0.02, 100'001, 1'000'000, 8'000, 250, "background", false,
         Millis(900'000)},
};

const std::vector<Template> kCoop = {
        {"platform-outlook", "", 0.40, 700, 1'800, 500, 48, "normal", false, Millis(10'000)},
        {"line-summary", "", 0.26, 4'000, 20'000, 3'000, 120, "normal", false, Millis(60'000)},
        {"rider", "station-card", 0.14, 100, 400, 0, 0, "normal", false, Millis(10'000)},
        {"rider", "crowding-alert", 0.10, 40, 200, 0, 0, "urgent", true, Millis(10'000)},
        {"seasonal-review", "", 0.08, 40'000, 100'000, 8'000, 250, "background", false,
         Millis(300'000)},
        {"seasonal-review", "", 0.02, 100'001, 1'000'000, 8'000, 250, "background", false,
         Millis(900'000)},
};

/// Ten workspaces, the first two large, as in both users' fleets.
constexpr int kWorkspaces = 10;
constexpr Millis kBurstPeriod{5000};
constexpr Millis kBurstLength{1000};
/// A burst has four fifths of the arrivals in a fifth of the time.
constexpr double kBurstRate = 4.0;
constexpr double kCalmRate = 0.25;

// The distributions of the standard library differ between implementations; these do not.
double unit(std::mt19937_64 &random)
{
    return (static_cast<double>(random() >> 11) + 0.5) / 9007199254740992.0;
}

double rateFactor(Arrivals arrivals, double millis)
{
    if (arrivals == Arrivals::Poisson)
        return 1;
    const double phase = std::fmod(millis, static_cast<double>(kBurstPeriod.count()));
    return phase < static_cast<double>(kBurstLength.count()) ? kBurstRate : kCalmRate;
}

const Template &pickTemplate(const std::vector<Template> &profile, double position)
{
    for (const Template &kind : profile) {
        position -= kind.share;
        if (position < 0)
            return kind;
    }
    return profile.front();
}

std::size_t logUniform(std::mt19937_64 &random, const Template &kind)
{
    const double low = std::log(static_cast<double>(kind.minTokens));
    const double high = std::log(static_cast<double>(kind.maxTokens));
    const double value = std::exp(low + unit(random) * (high - low));
    return std::clamp(static_cast<std::size_t>(std::lround(value)), kind.minTokens, kind.maxTokens);
}

int pickWorkspace(std::mt19937_64 &random)
{
    const double position = unit(random);
    if (position < 0.6)
        return position < 0.3 ? 0 : 1;
    return 2 + static_cast<int>(unit(random) * (kWorkspaces - 2));
}

TraceRequest makeRequest(const GenerateOptions &options, const Template &kind, Millis offset,
                         std::mt19937_64 &random)
{
    TraceRequest request;
    request.offset = offset;
    request.workspace = fmt::format("{}-{}", options.profile, pickWorkspace(random));
    request.credential = request.workspace + "-key";
    request.target = kind.target;
    request.operation = kind.operation;
    request.kind = request.operation.empty() ? RequestKind::Completion : RequestKind::Call;
    request.promptTokens = logUniform(random, kind);
    request.promptSeed = random();
    request.prefixTokens = kind.prefixTokens;
    request.prefixSeed = fnv1a64(request.workspace + '/' + request.target, options.seed);
    request.maxTokens = kind.answerTokens;
    request.priority = kind.priority;
    request.keyed = kind.keyed;
    request.stream = request.kind == RequestKind::Completion;
    request.timeout = kind.timeout;
    return request;
}

} // namespace

Result<std::vector<TraceRequest>> generateTrace(const GenerateOptions &options)
{
    constexpr Millis kDay = std::chrono::hours(24);
    const bool karri = options.profile == "karri-ridge";
    if (!karri && options.profile != "coop") {
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("unknown profile '{}'", options.profile),
                    "use karri-ridge or coop");
    }
    if (!(options.rate > 0 && options.rate <= 10'000) || options.duration <= Millis(0)
        || options.duration > kDay) {
        return fail(ErrorCode::InvalidArgument, "rate or duration is out of range",
                    "use a rate above 0 up to 10000 and a duration above 0 up to a day");
    }
    const std::vector<Template> &profile = karri ? kKarriRidge : kCoop;
    std::mt19937_64 random(options.seed);
    std::vector<TraceRequest> trace;
    const auto end = static_cast<double>(options.duration.count());
    const double peak = options.arrivals == Arrivals::Bursty ? kBurstRate : 1;
    // Arrivals at the peak rate are thinned to the rate of the moment.
    for (double at = 0; (at -= 1000 * std::log(unit(random)) / (options.rate * peak)) < end;) {
        if (unit(random) * peak >= rateFactor(options.arrivals, at))
            continue;
        const Template &kind = pickTemplate(profile, unit(random));
        trace.push_back(makeRequest(options, kind, Millis(static_cast<Millis::rep>(at)), random));
    }
    return trace;
}

} // namespace cicadafork
