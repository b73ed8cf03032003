#include "support/workload.h"

#include "routing/choose.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace cicadafork::test {

namespace {

/// Requests generated to find the mean work of a mix, whose longest prompts are rare.
constexpr Millis kPilotDuration{3'600'000};
constexpr double kPilotRate = 10;
/// Connections and timers need some real time at every time scale.
constexpr Millis kShortestTimeout{2000};

std::vector<TraceRequest> generate(const GenerateOptions &options)
{
    const auto trace = capture([&] { return generateTrace(options); });
    if (!trace)
        throw std::runtime_error(trace.error().message);
    return *trace;
}

double seconds(Millis time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double workSeconds(const standin::EngineParameters &engine, const TraceRequest &request)
{
    if (request.kind != RequestKind::Completion)
        return 0;
    const auto prompt = static_cast<double>(request.promptTokens);
    const double micros = 1e6 * prompt / engine.prefillTokensPerSecond
                          + static_cast<double>(engine.stepBase.count()) * prompt
                                    / static_cast<double>(engine.chunkTokens)
                          + static_cast<double>(engine.decodePerSequence.count())
                                    * static_cast<double>(request.maxTokens);
    return micros / 1e6 / engine.timeScale;
}

double workSeconds(const standin::EngineParameters &engine, const std::vector<TraceRequest> &trace)
{
    double work = 0;
    for (const TraceRequest &request : trace)
        work += workSeconds(engine, request);
    return work;
}

double idealFirstTokenMs(const standin::EngineParameters &engine, std::uint64_t promptTokens)
{
    const std::uint64_t steps = (promptTokens + engine.chunkTokens - 1) / engine.chunkTokens;
    const double micros
            = 1e6 * static_cast<double>(promptTokens) / engine.prefillTokensPerSecond
              + static_cast<double>(engine.stepBase.count()) * static_cast<double>(steps);
    return micros / 1000 / engine.timeScale;
}

std::vector<TraceRequest> traceAtLoad(const GenerateOptions &options, const FleetLoad &fleet,
                                      const standin::EngineParameters &engine)
{
    GenerateOptions pilot = options;
    pilot.duration = kPilotDuration;
    pilot.rate = kPilotRate;
    const std::vector<TraceRequest> sample = generate(pilot);
    const double meanWork = workSeconds(engine, sample) / static_cast<double>(sample.size());
    const double capacity = fleet.load * static_cast<double>(fleet.engines);

    GenerateOptions wanted = options;
    wanted.duration = fleet.duration;
    wanted.rate = capacity / meanWork;
    std::vector<TraceRequest> trace = generate(wanted);
    const double stretch = workSeconds(engine, trace) / (capacity * seconds(fleet.duration));
    for (TraceRequest &request : trace) {
        request.offset
                = Millis(std::llround(static_cast<double>(request.offset.count()) * stretch));
        const Millis scaled(
                std::llround(static_cast<double>(request.timeout.count()) / engine.timeScale));
        request.timeout = std::max(scaled, kShortestTimeout);
    }
    return trace;
}

std::vector<TraceRequest> withoutLong(const std::vector<TraceRequest> &trace)
{
    std::vector<TraceRequest> kept;
    std::copy_if(trace.begin(), trace.end(), std::back_inserter(kept),
                 [](const TraceRequest &r) { return r.promptTokens < kLongPromptTokens; });
    return kept;
}

} // namespace cicadafork::test
