#include "bench/benchrun.h"

#include "loadgen/runner.h"
#include "settings/settings.h"
#include "support/cpuusage.h"
#include "support/tracecluster.h"
#include "support/workload.h"

#include <fmt/format.h>

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>

namespace cicadafork::bench {

namespace {

using Json = nlohmann::json;
using test::idealFirstTokenMs;
using test::TestCluster;

// The present scale of both users (section 2 of the design page).
constexpr std::size_t kDaemons = 8;
constexpr std::size_t kEngines = 20;
constexpr std::size_t kServices = 3;
// Every connection is a thread at each of its ends; the defaults of daemons and engines together
// would exceed the threads that a machine allows.
constexpr std::size_t kWorkers = 600;
constexpr const char *kEngineThreads = "96";
constexpr const char *kOtherThreads = "48";
constexpr int kDaemonStreams = 160;
constexpr const char *kLengths[] = {"1k", "10k", "100k", "1m"};

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

/// Sum of CPU seconds by kind of process.
std::map<std::string, double> cpuByKind(const TestCluster &cluster)
{
    std::map<std::string, double> sums{{"load_tool", test::cpuSeconds(getpid())}};
    for (const auto &[id, member] : cluster.members())
        sums[member.program] += test::cpuSeconds(member.process->id());
    return sums;
}

struct Replay
{
    std::vector<RequestResult> results;
    Json summary;
    std::map<std::string, double> cpuCores;
};

Replay replay(const TestCluster &cluster, const std::vector<Address> &targets,
              const std::vector<TraceRequest> &trace)
{
    Replay replay;
    const auto before = cpuByKind(cluster);
    const TimePoint begin = steadyNow();
    replay.results = runLoad(trace, {.targets = targets, .workers = kWorkers});
    const double wall = std::chrono::duration<double>(steadyNow() - begin).count();
    for (const auto &[kind, seconds] : cpuByKind(cluster))
        replay.cpuCores[kind] = (seconds - before.at(kind)) / wall;
    replay.summary = summarise(trace, replay.results);
    return replay;
}

void writeRequests(const std::string &path, const Conditions &conditions,
                   const std::vector<TraceRequest> &trace, const Replay &replay)
{
    std::ofstream file(path);
    file << "offset_ms,target,prompt_tokens,outcome,status,started_ms,ideal_ms,ttft_ms,"
            "finished_ms,reason\n";
    for (std::size_t i = 0; i < trace.size(); ++i) {
        const RequestResult &result = replay.results[i];
        file << fmt::format("{},{},{},{},{},{},{:.2f},{:.2f},{:.2f},{}\n", trace[i].offset.count(),
                            trace[i].target, trace[i].promptTokens, toString(result.outcome),
                            result.status, result.started.count(),
                            idealFirstTokenMs(conditions.engine, trace[i].promptTokens),
                            result.firstToken.value_or(-1), result.finished, result.reason);
    }
}

/// Adds the figures that need the engine's parameters.
void addIdeal(Json &run, const Conditions &conditions, const Replay &replay)
{
    std::map<std::string, std::vector<double>> ideals;
    std::map<std::string, std::vector<double>> ratios;
    double useful = 0;
    for (std::size_t i = 0; i < conditions.trace.size(); ++i) {
        const TraceRequest &request = conditions.trace[i];
        const RequestResult &result = replay.results[i];
        if (request.kind != RequestKind::Completion)
            continue;
        const char *length = lengthClass(request.promptTokens);
        const double ideal = idealFirstTokenMs(conditions.engine, request.promptTokens);
        ideals[length].push_back(ideal);
        if (result.firstToken)
            ratios[length].push_back(*result.firstToken / ideal);
        if (result.outcome == RequestOutcome::Completed
            && result.finished <= static_cast<double>(request.timeout.count()))
            useful += test::workSeconds(conditions.engine, request);
    }
    for (const char *length : kLengths) {
        run["ideal_ttft_ms"][length] = {{"p50", percentile(ideals[length], 0.5)},
                                        {"p95", percentile(ideals[length], 0.95)},
                                        {"p99", percentile(ideals[length], 0.99)}};
        run["ttft_over_ideal_p95"][length] = percentile(ratios[length], 0.95);
    }
    const double offered = test::workSeconds(conditions.engine, conditions.trace);
    run["goodput_share"] = conditions.load * useful / offered;
}

test::ClusterOptions clusterOptions(const Policy &policy, const Conditions &conditions,
                                    const test::TraceFacts &facts)
{
    test::ClusterOptions options = test::traceClusterOptions(facts);
    options.daemons = kDaemons;
    options.engines = kEngines;
    options.services = kServices;
    options.timeScale = conditions.engine.timeScale;
    options.engineThreads = kEngineThreads;
    options.otherThreads = kOtherThreads;
    // The system runs at the same speed as the engines, so that a report is as old, compared with a
    // prefill, as at time scale 1. Only the processing time of the programs is not scaled.
    const auto scaled = [&](Millis time) {
        return std::max<Millis::rep>(
                1, std::llround(static_cast<double>(time.count()) / options.timeScale));
    };
    const Settings defaults;
    options.extraSettings = fmt::format(
            "routing: {{policy: {}, pool_mode: {}, queue_target: {}ms}}\n"
            "limits: {{max_streams: {}}}\n"
            "timing: {{tick: {}ms, status_interval: {}ms, heartbeat_minimum: {}ms}}\n"
            "control_bytes_per_second: {}\n",
            policy.policy, policy.poolMode, scaled(defaults.routing.queueTarget), kDaemonStreams,
            scaled(defaults.timing.tick), scaled(defaults.timing.statusInterval),
            scaled(defaults.timing.heartbeatMinimum),
            std::llround(static_cast<double>(defaults.controlBytesPerSecond) * options.timeScale));
    options.engineFlags.insert(
            options.engineFlags.end(),
            {"--status-lag-ms", std::to_string(scaled(conditions.engine.statusLag))});
    return options;
}

} // namespace

const std::vector<Policy> &allPolicies()
{
    static const std::vector<Policy> policies = {
            {"round_robin", "shared", true},    {"least_outstanding", "shared", true},
            {"power_of_two", "shared", true},   {"adaptive", "shared", false},
            {"adaptive", "partitioned", false}, {"adaptive", "reserved_share", false},
    };
    return policies;
}

Json runPolicy(const Policy &policy, const Conditions &conditions)
{
    const test::TraceFacts facts = test::factsOf(conditions.trace);
    const test::ClusterOptions options = clusterOptions(policy, conditions, facts);
    TestCluster cluster(options);
    cluster.start();
    test::configureForTrace(cluster, options, facts);
    std::vector<Address> targets;
    for (std::size_t i = 0; i < options.daemons; ++i)
        targets.push_back(cluster.daemon(i).address);

    const auto shortTrace = test::withoutLong(conditions.trace);
    const Replay shortOnly = replay(cluster, targets, shortTrace);
    const Replay mixed = replay(cluster, targets, conditions.trace);
    const std::string prefix
            = fmt::format("{}/{}-{}", conditions.directory, conditions.fleet, policy.name());
    writeRequests(prefix + "-short.csv", conditions, shortTrace, shortOnly);
    writeRequests(prefix + ".csv", conditions, conditions.trace, mixed);

    Json run = mixed.summary;
    run["fleet"] = conditions.fleet;
    run["policy"] = policy.name();
    run["baseline"] = policy.baseline;
    run["load"] = conditions.load;
    run["time_scale"] = conditions.engine.timeScale;
    run["cpu_cores"] = mixed.cpuCores;
    run["short_only_ttft_ms"] = shortOnly.summary["ttft_ms"];
    const Json &with = run["ttft_ms"]["1k"];
    const Json &without = run["short_only_ttft_ms"]["1k"];
    if (!with.is_null() && !without.is_null())
        run["short_slowdown_p95"] = with["p95"].get<double>() / without["p95"].get<double>();
    const int late
            = mixed.summary["late_starts"].get<int>() + shortOnly.summary["late_starts"].get<int>();
    run["late_starts"] = late;
    run["valid"] = late == 0;
    addIdeal(run, conditions, mixed);
    return run;
}

} // namespace cicadafork::bench
