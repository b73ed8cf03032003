// Decision times. The counter p99_us is the 99th percentile over all iterations; the design limits
// it to 50 us at 75 endpoints.

#include "admission/queueadmission.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace cicadafork;

namespace {

FleetView makeView(std::size_t count)
{
    FleetView view;
    view.ownDomain = "a";
    view.now = steadyNow();
    Random random(5);
    for (std::size_t i = 0; i < count; ++i) {
        EndpointView endpoint;
        endpoint.id = "report-writer-endpoint-" + std::to_string(i);
        endpoint.failureDomain = i % 3 == 0 ? "a" : "b";
        endpoint.sendPermitted = true;
        endpoint.models = {"estate-large", "estate-small:gate@3", "summary"};
        endpoint.kvCapacityTokens = 400'000;
        endpoint.kvUsedTokens = random() % 200'000;
        endpoint.waitingTokens = random() % 8'000;
        endpoint.running = static_cast<std::uint32_t>(random() % 32);
        endpoint.prefillTokensPerSecond = 20'000;
        view.endpoints.push_back(endpoint);
    }
    return view;
}

class FixedFleet : public Fleet
{
public:
    explicit FixedFleet(std::size_t count)
        : view_(makeView(count))
    {
    }
    FleetView view(const std::string &, TimePoint) const override { return view_; }
    std::vector<PeerView> peers(TimePoint) const override { return {}; }
    bool sendPermitted(const std::string &, TimePoint) const override { return true; }
    void noteSent(const std::string &, std::uint64_t, TimePoint) override {}
    void noteFinished(const std::string &, const AttemptObservation &, TimePoint) override {}

private:
    FleetView view_;
};

RouteRequest makeRequest(std::uint64_t tokens)
{
    RouteRequest request;
    request.model = "summary";
    request.promptTokens = tokens;
    request.maxTokens = 250;
    request.prefixHashes = prefixHashes(std::string(tokens * 4, 'x'));
    return request;
}

void fillIndex(PrefixIndex &index, const FleetView &view, const RouteRequest &request)
{
    for (std::uint64_t hash = 0; index.size() < 60'000; ++hash)
        index.recordAdded(view.endpoints[hash % view.endpoints.size()].id, hash, view.now);
    for (std::size_t i = 0; i < std::min<std::size_t>(4, view.endpoints.size()); ++i)
        index.recordDispatch(view.endpoints[i].id, request.prefixHashes, view.now);
}

/// Measures each call and reports the 99th percentile.
template <class Function>
void measure(benchmark::State &state, Function function)
{
    std::vector<double> times;
    for (auto _ : state) {
        const TimePoint start = steadyNow();
        function();
        times.push_back(std::chrono::duration<double, std::micro>(steadyNow() - start).count());
    }
    const auto p99 = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 99 / 100);
    std::nth_element(times.begin(), p99, times.end());
    state.counters["p99_us"] = *p99;
}

void benchmarkChoose(benchmark::State &state, RoutingPolicy policy, PoolMode mode)
{
    const FleetView view = makeView(static_cast<std::size_t>(state.range(0)));
    const RouteRequest request = makeRequest(100'000);
    PrefixIndex prefixes;
    fillIndex(prefixes, view, request);
    Random random(1);
    const RoutingSettings settings{policy, mode};
    measure(state, [&] {
        benchmark::DoNotOptimize(chooseEndpoint(request, view, settings, prefixes, random));
    });
}

void benchmarkGroup(benchmark::State &state)
{
    const FleetView view = makeView(static_cast<std::size_t>(state.range(0)));
    RouteRequest request;
    request.promptTokens = 600'000;
    measure(state, [&] { benchmark::DoNotOptimize(planGroup(request, view)); });
}

void benchmarkPlace(benchmark::State &state)
{
    FixedFleet fleet(static_cast<std::size_t>(state.range(0)));
    const Settings settings;
    PrefixIndex prefixes;
    Metrics metrics;
    OutlierDetector outliers(4096, [](const std::string &, bool) {});
    PlacementRequest request;
    request.workspace = "estate";
    request.workspaceRateLimit = 1e9;
    request.service = "report-writer";
    request.route = makeRequest(1'000);
    fillIndex(prefixes, fleet.view("", steadyNow()), request.route);
    QueueAdmission admission(fleet, settings, prefixes, metrics, 1, &outliers);
    measure(state, [&] {
        request.deadline = steadyNow() + Millis(60'000);
        benchmark::DoNotOptimize(admission.place(request, nullptr));
    });
}

/// The part of place() that belongs to the fleet.
void benchmarkViewCopy(benchmark::State &state)
{
    const FixedFleet fleet(static_cast<std::size_t>(state.range(0)));
    measure(state, [&] { benchmark::DoNotOptimize(fleet.view("", steadyNow())); });
}

void benchmarkPrefixHashes(benchmark::State &state)
{
    const std::string prompt(static_cast<std::size_t>(state.range(0)), 'x');
    measure(state, [&] { benchmark::DoNotOptimize(prefixHashes(prompt)); });
}

void sizes(benchmark::internal::Benchmark *benchmark)
{
    for (const int size : {3, 23, 75, 192})
        benchmark->Arg(size);
}

} // namespace

BENCHMARK_CAPTURE(benchmarkChoose, adaptive, RoutingPolicy::Adaptive, PoolMode::Shared)
        ->Apply(sizes);
BENCHMARK_CAPTURE(benchmarkChoose, partitioned, RoutingPolicy::Adaptive, PoolMode::Partitioned)
        ->Apply(sizes);
BENCHMARK_CAPTURE(benchmarkChoose, reservedShare, RoutingPolicy::Adaptive, PoolMode::ReservedShare)
        ->Apply(sizes);
BENCHMARK_CAPTURE(benchmarkChoose, roundRobin, RoutingPolicy::RoundRobin, PoolMode::Shared)
        ->Apply(sizes);
BENCHMARK_CAPTURE(benchmarkChoose, leastOutstanding, RoutingPolicy::LeastOutstanding,
                  PoolMode::Shared)
        ->Apply(sizes);
BENCHMARK_CAPTURE(benchmarkChoose, powerOfTwo, RoutingPolicy::PowerOfTwo, PoolMode::Shared)
        ->Apply(sizes);
BENCHMARK(benchmarkGroup)->Apply(sizes);
BENCHMARK(benchmarkPlace)->Apply(sizes);
BENCHMARK(benchmarkViewCopy)->Apply(sizes);
BENCHMARK(benchmarkPrefixHashes)->Arg(4 << 10)->Arg(400 << 10)->Arg(4 << 20);
