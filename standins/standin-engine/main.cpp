// Stand-in of a model engine.

// GCC 12 reports a false overlap (GCC bug 105329) in string code that is inlined from cxxopts.
#ifndef __clang__
    #pragma GCC diagnostic ignored "-Wrestrict"
#endif

#include "base/log.h"
#include "standin-engine/engineserver.h"

#include <fmt/format.h>

#include <cstdio>

using namespace cicadafork;
using namespace cicadafork::standin;

namespace {

// A leaving engine waits at most this long for its streams.
constexpr Millis kDrainLimit{600'000};

template <class T, class Target>
void overrideBy(const cxxopts::ParseResult &flags, const char *name, Target &target)
{
    if (flags.count(name) > 0)
        target = Target(flags[name].as<T>());
}

EngineOptions engineOptions(const cxxopts::ParseResult &flags)
{
    EngineOptions options;
    if (flags.count("config") > 0)
        options.parameters = loadEngineParameters(flags["config"].as<std::string>());
    EngineParameters &p = options.parameters;
    overrideBy<double>(flags, "time-scale", p.timeScale);
    overrideBy<double>(flags, "prefill-rate", p.prefillTokensPerSecond);
    overrideBy<std::uint64_t>(flags, "chunk", p.chunkTokens);
    overrideBy<std::uint64_t>(flags, "kv-capacity", p.kvCapacityTokens);
    overrideBy<std::int64_t>(flags, "memory-wait-ms", p.memoryWait);
    overrideBy<std::int64_t>(flags, "orphan-grace-ms", p.orphanGrace);
    overrideBy<std::int64_t>(flags, "status-lag-ms", p.statusLag);
    overrideBy<std::string>(flags, "id", options.id);
    overrideBy<std::string>(flags, "role", options.role);
    if (flags.count("models") > 0)
        options.models = flags["models"].as<std::vector<std::string>>();
    if (flags.count("weights") == 0)
        return options;
    const auto weights = capture([&] { return parseAddress(flags["weights"].as<std::string>()); });
    if (!weights)
        throw std::invalid_argument(fmt::format("--weights: {}", weights.error().message));
    options.weights = *weights;
    return options;
}

void addEngineFlags(cxxopts::Options &options)
{
    const auto text = [] { return cxxopts::value<std::string>(); };
    const auto count = [] { return cxxopts::value<std::uint64_t>(); };
    const auto millis = [] { return cxxopts::value<std::int64_t>(); };
    auto add = options.add_options();
    add("config", "YAML file of parameters, see config/engine.yaml", text());
    add("id", "endpoint id", text());
    add("role", "role at start", text());
    add("models", "models at start, separated by commas",
        cxxopts::value<std::vector<std::string>>());
    add("weights", "address of the weight store", text());
    add("time-scale", "speeds steps and transfers up", cxxopts::value<double>());
    add("prefill-rate", "prompt tokens per second", cxxopts::value<double>());
    add("chunk", "most prompt tokens of a step", count());
    add("kv-capacity", "KV memory in tokens", count());
    add("memory-wait-ms", "longest wait for KV memory", millis());
    add("orphan-grace-ms", "life of a stream without a connection", millis());
    add("status-lag-ms", "age that a status report reaches", millis());
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-engine", "Stand-in of a model engine");
    // 1,200 streams and some control calls.
    addCommonFlags(options, 1300);
    addEngineFlags(options);
    const auto flags = parseFlags(options, argc, argv);
    blockSignals();
    EngineOptions engineFlags;
    try {
        engineFlags = engineOptions(flags);
    } catch (const std::exception &problem) {
        std::fprintf(stderr, "%s\n", problem.what());
        return 2;
    }
    FaultGate gate;
    EngineServer engine(engineFlags, gate);
    HttpServerOptions serverFlags = serverOptions(flags);
    // A segment of 400,000 tokens is 1.6 MB, of which JSON escapes may make several times as much.
    serverFlags.maxBodyBytes = 64 * 1024 * 1024;
    HttpServer server(serverFlags);
    engine.installRoutes(server);
    installFaults(
            server, gate, [&](const nlohmann::json &f) { engine.applyFaults(f); }, flags);
    const auto started = capture([&] { return server.start(); });
    if (!started) {
        logEvent(LogLevel::Error, "listen_failed", {{"error", started.error().message}});
        return 1;
    }
    engine.start();
    logEvent(LogLevel::Info, "listening", {{"program", "standin-engine"}});
    while (!waitForSignal(Millis(1000))) {
    }
    // The first signal drains, a second one ends at once.
    engine.leave();
    const TimePoint limit = steadyNow() + kDrainLimit;
    while (engine.liveStreams() > 0 && steadyNow() < limit && !waitForSignal(Millis(100))) {
    }
    // Readers still send the last events of streams that ended just now.
    waitForSignal(Millis(300));
    gate.stop();
    engine.stop();
    server.stop();
    return 0;
}
