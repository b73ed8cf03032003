// Measures what one daemon adds: time to first token of an idle daemon over calling the engine
// directly, and 1,000 concurrent streams.
//
//   CICADAFORK_BIN_DIR=build build/overhead

#include "endpoint/engineclient.h"
#include "loadgen/runner.h"
#include "support/cpuusage.h"
#include "support/tracecluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <thread>

// After the other headers, because it defines new as a macro.

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

// Targets of section 12 of the design page.
constexpr double kMostAddedMs = 2;
constexpr std::size_t kStreams = 1000;

constexpr int kPairs = 200;
/// Arrivals of the streams; each then lasts about 9 s, as at the target scale.
constexpr Millis kStreamArrivals{3000};
constexpr std::size_t kStreamTokens = 400;
constexpr const char *kModel = "overhead";

TraceRequest requestOf(std::size_t promptTokens, std::size_t maxTokens, std::uint64_t seed)
{
    TraceRequest request;
    request.workspace = "overhead";
    request.credential = "overhead-key";
    request.target = kModel;
    request.promptTokens = promptTokens;
    request.promptSeed = seed;
    request.maxTokens = maxTokens;
    request.stream = true;
    return request;
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double directFirstToken(const Address &engine, const TraceRequest &request)
{
    EngineRequest direct;
    direct.requestId = fmt::format("direct-{}", request.promptSeed);
    direct.model = kModel;
    direct.prompt = makePrompt(request);
    direct.maxTokens = static_cast<std::uint32_t>(request.maxTokens);
    direct.deadline = steadyNow() + request.timeout;
    direct.holder = "overhead";
    direct.incarnation = "overhead";
    const TimePoint begin = steadyNow();
    double elapsed = -1;
    EngineHandlers handlers;
    handlers.event = [&](const EngineEvent &) {
        if (elapsed < 0)
            elapsed = std::chrono::duration<double, std::milli>(steadyNow() - begin).count();
        return true;
    };
    AttemptStop stop;
    EngineClient(engine).complete(direct, stop, handlers);
    if (elapsed < 0)
        throw std::runtime_error("the engine did not answer a direct call");
    return elapsed;
}

bool measureFirstToken(TestCluster &cluster)
{
    std::vector<double> direct;
    std::vector<double> relayed;
    for (int i = 0; i < kPairs; ++i) {
        const auto seed = static_cast<std::uint64_t>(2 * i);
        const TraceRequest own = requestOf(1000, 2, seed);
        direct.push_back(directFirstToken(cluster.engine(0).address, own));
        const auto results = runLoad({requestOf(1000, 2, seed + 1)},
                                     {.targets = {cluster.daemon(0).address}, .workers = 1});
        if (!results[0].firstToken)
            throw std::runtime_error("the daemon did not answer: " + results[0].reason);
        relayed.push_back(*results[0].firstToken);
    }
    fmt::print("time to first token of 1k prompts, ms, {} calls each\n", kPairs);
    for (const double share : {0.5, 0.95, 0.99})
        fmt::print("  p{:<3.0f} direct {:.2f}  through the daemon {:.2f}  added {:.2f}\n",
                   100 * share, percentile(direct, share), percentile(relayed, share),
                   percentile(relayed, share) - percentile(direct, share));
    const bool met = percentile(relayed, 0.95) - percentile(direct, 0.95) <= kMostAddedMs;
    fmt::print("  target: at most {} ms added at p95: {}\n", kMostAddedMs, met ? "met" : "MISSED");
    return met;
}

bool measureStreams(TestCluster &cluster)
{
    std::vector<TraceRequest> trace;
    for (std::size_t i = 0; i < kStreams; ++i) {
        TraceRequest request = requestOf(64, kStreamTokens, 1'000'000 + i);
        request.offset = Millis(kStreamArrivals.count() * static_cast<Millis::rep>(i)
                                / static_cast<Millis::rep>(kStreams));
        trace.push_back(request);
    }
    const pid_t daemon = cluster.daemon(0).process->id();
    const std::size_t before = residentBytes(daemon);
    const double cpuBefore = cpuSeconds(daemon);
    const TimePoint begin = steadyNow();
    std::atomic<bool> ended{false};
    std::size_t most = before;
    std::jthread sampler([&] {
        while (!ended) {
            most = std::max(most, residentBytes(daemon));
            std::this_thread::sleep_for(Millis(100));
        }
    });
    const auto results
            = runLoad(trace, {.targets = {cluster.daemon(0).address}, .workers = kStreams});
    ended = true;
    sampler.join();
    const double wall = std::chrono::duration<double>(steadyNow() - begin).count();
    const auto completed = static_cast<std::size_t>(
            std::count_if(results.begin(), results.end(), [](const RequestResult &r) {
                return r.outcome == RequestOutcome::Completed;
            }));
    // All are open at once when the last one starts before the first one ends.
    double firstEnd = 1e9;
    for (std::size_t i = 0; i < results.size(); ++i)
        firstEnd = std::min(firstEnd,
                            static_cast<double>(trace[i].offset.count()) + results[i].finished);
    const bool together = firstEnd > static_cast<double>(trace.back().offset.count());
    fmt::print("{} streams of {} tokens: {} whole answers, all open at once: {}\n", kStreams,
               kStreamTokens, completed, together ? "yes" : "no");
    fmt::print("  memory {:.1f} MB before, {:.1f} MB at most, {:.1f} KB for each stream; {:.2f} "
               "cores on average\n",
               static_cast<double>(before) / 1e6, static_cast<double>(most) / 1e6,
               static_cast<double>(most - before) / 1e3 / kStreams,
               (cpuSeconds(daemon) - cpuBefore) / wall);
    std::map<std::string, int> reasons;
    for (const RequestResult &result : results) {
        if (result.outcome != RequestOutcome::Completed)
            ++reasons[fmt::format("status {}: {}", result.status, result.reason)];
    }
    for (const auto &[reason, count] : reasons)
        fmt::print("  not whole: {} with {}\n", count, reason);
    const bool met = completed == kStreams && together;
    fmt::print("  target: none refused or broken: {}\n", met ? "met" : "MISSED");
    return met;
}

int run()
{
    const TraceFacts facts = factsOf({requestOf(1000, 2, 0)});
    ClusterOptions options = traceClusterOptions(facts);
    options.daemons = 1;
    options.engines = 1;
    options.engineThreads = "1100";
    options.otherThreads = "48";
    TestCluster cluster(options);
    cluster.start();
    configureForTrace(cluster, options, facts);
    const bool fast = measureFirstToken(cluster);
    const bool carried = measureStreams(cluster);
    return fast && carried ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main()
{
    try {
        return run();
    } catch (const std::exception &exception) {
        fmt::print(stderr, "error: {}\n", exception.what());
        return EXIT_FAILURE;
    }
}
