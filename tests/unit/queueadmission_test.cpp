#include "admission/queueadmission.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

// After the standard headers: it defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace cicadafork;

namespace {

/// One service whose endpoints are set by the test. Sent requests count as unreported.
class TestFleet : public Fleet
{
public:
    explicit TestFleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            EndpointView endpoint;
            endpoint.id = "e" + std::to_string(100 + i);
            endpoint.sendPermitted = true;
            endpoint.kvCapacityTokens = 100'000;
            endpoint.prefillTokensPerSecond = 100'000;
            endpoints_.push_back(endpoint);
        }
    }

    FleetView view(const std::string &, TimePoint) const override
    {
        const std::lock_guard lock(mutex_);
        FleetView result;
        result.endpoints = endpoints_;
        return result;
    }
    std::vector<PeerView> peers(TimePoint) const override { return {}; }
    bool sendPermitted(const std::string &, TimePoint) const override { return true; }
    void noteSent(const std::string &id, std::uint64_t tokens, TimePoint) override
    {
        change(id, [&](EndpointView &endpoint) {
            endpoint.unreportedTokens += tokens;
            ++endpoint.unreportedRequests;
            ++sent_;
        });
    }
    void noteFinished(const std::string &id, const AttemptObservation &observation,
                      TimePoint) override
    {
        change(id, [&](EndpointView &endpoint) {
            endpoint.unreportedTokens -= observation.promptTokens;
            --endpoint.unreportedRequests;
        });
    }

    void change(const std::string &id, const std::function<void(EndpointView &)> &function)
    {
        const std::lock_guard lock(mutex_);
        for (EndpointView &endpoint : endpoints_) {
            if (id.empty() || endpoint.id == id)
                function(endpoint);
        }
    }
    /// Sets the used memory of every endpoint.
    void use(std::uint64_t tokens)
    {
        change("", [&](EndpointView &endpoint) { endpoint.kvUsedTokens = tokens; });
    }
    int sent() const
    {
        const std::lock_guard lock(mutex_);
        return sent_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<EndpointView> endpoints_;
    int sent_ = 0;
};

PlacementRequest request(const std::string &id, std::uint64_t tokens, Millis timeout)
{
    PlacementRequest result;
    result.requestId = id;
    result.workspace = "w";
    result.service = "s";
    result.route.promptTokens = tokens;
    result.deadline = steadyNow() + timeout;
    return result;
}

bool placed(const PlaceResult &result)
{
    return std::holds_alternative<Placement>(result);
}

} // namespace

TEST_GROUP(QueueAdmission)
{
    TestFleet fleet{3};
    Settings settings;
    PrefixIndex prefixes;
    Metrics metrics;
    std::vector<std::jthread> threads;
    std::mutex mutex;
    std::map<std::string, PlaceResult> results;

    void teardown() override
    {
        for (std::jthread &thread : threads)
            thread.join();
    }

    /// Calls place() in a new thread and returns when the request is queued or has a result.
    void placeInThread(QueueAdmission & admission, const PlacementRequest &r)
    {
        threads.emplace_back([this, &admission, r] {
            PlaceResult result = admission.place(r, [] { return false; });
            const std::lock_guard lock(mutex);
            results.insert_or_assign(r.requestId, std::move(result));
        });
        waitUntil([&] { return has(r.requestId) || isQueued(admission, r.requestId); });
    }

    static bool isQueued(const QueueAdmission &admission, const std::string &id)
    {
        const std::vector<QueuedRequestView> queued = admission.queued(steadyNow());
        return std::any_of(queued.begin(), queued.end(),
                           [&](const QueuedRequestView &view) { return view.requestId == id; });
    }

    bool has(const std::string &id)
    {
        const std::lock_guard lock(mutex);
        return results.contains(id);
    }

    bool isPlaced(const std::string &id)
    {
        const std::lock_guard lock(mutex);
        return results.contains(id) && placed(results.at(id));
    }

    /// True if the request is placed, false if a dispatch leaves it in the queue. A request is also
    /// in the queue for a moment before its own thread dispatches it.
    bool isPlacedByDispatch(QueueAdmission & admission, const std::string &id)
    {
        admission.dispatchQueued(steadyNow());
        waitUntil([&] { return has(id) || isQueued(admission, id); });
        return isPlaced(id);
    }

    static bool waitUntil(const std::function<bool()> &condition)
    {
        const TimePoint end = steadyNow() + Millis(5000);
        while (!condition()) {
            if (steadyNow() > end)
                return false;
            std::this_thread::sleep_for(Millis(1));
        }
        return true;
    }
};

// Guards against refusals that are late or have the wrong reason.
TEST(QueueAdmission, unservableRequestsAreRefusedAtOnce)
{
    struct Case
    {
        const char *name;
        std::uint64_t tokens;
        Millis timeout;
        std::uint64_t used;
        bool permitted;
        RefusalReason reason;
    };
    const std::vector<Case> cases = {
            {"too large", 300'001, Millis(60'000), 0, true, RefusalReason::PromptTooLarge},
            {"too little time", 50'000, Millis(100), 0, true, RefusalReason::DeadlineTooShort},
            {"too little time, full", 50'000, Millis(100), 90'000, true,
             RefusalReason::DeadlineTooShort},
            {"nothing usable", 100, Millis(60'000), 0, false, RefusalReason::NoEndpoint},
    };
    QueueAdmission admission(fleet, settings, prefixes, metrics, 1);
    for (const Case &c : cases) {
        fleet.change("", [&](EndpointView &endpoint) {
            endpoint.kvUsedTokens = c.used;
            endpoint.sendPermitted = c.permitted;
        });
        const TimePoint start = steadyNow();
        const PlaceResult result = admission.place(request("r", c.tokens, c.timeout), nullptr);
        CHECK_FALSE_TEXT(placed(result), c.name);
        CHECK_TRUE_TEXT(std::get<Refusal>(result).reason == c.reason, c.name);
        CHECK_TRUE_TEXT(steadyNow() - start < Millis(90), c.name);
    }
    LONGS_EQUAL(0, fleet.sent());
}

TEST(QueueAdmission, rateLimitAppliesToFirstAttemptsOfOneWorkspace)
{
    QueueAdmission admission(fleet, settings, prefixes, metrics, 1);
    PlacementRequest limited = request("r", 10, Millis(60'000));
    limited.workspaceRateLimit = 2;
    CHECK_TRUE(placed(admission.place(limited, nullptr)));
    CHECK_TRUE(placed(admission.place(limited, nullptr)));
    const PlaceResult third = admission.place(limited, nullptr);
    CHECK_TRUE(std::get<Refusal>(third).reason == RefusalReason::RateLimited);
    CHECK_TRUE(std::get<Refusal>(third).retryAfter > Millis(0));
    limited.retry = true;
    CHECK_TRUE(placed(admission.place(limited, nullptr)));
    limited.retry = false;
    limited.workspace = "other";
    CHECK_TRUE(placed(admission.place(limited, nullptr)));
}

// Guards against a queued request that does not return, or that still counts as sent, after the
// caller has gone or the deadline has passed.
TEST(QueueAdmission, queuedRequestEndsOnCancelAndOnDeadline)
{
    QueueAdmission admission(fleet, settings, prefixes, metrics, 1);
    fleet.use(95'000);
    TimePoint start = steadyNow();
    const PlaceResult gone
            = admission.place(request("r1", 10'000, Millis(60'000)), [] { return true; });
    CHECK_TRUE(std::get<Refusal>(gone).reason == RefusalReason::Cancelled);
    CHECK_TRUE(steadyNow() - start < Millis(400));
    start = steadyNow();
    const PlaceResult late = admission.place(request("r2", 10'000, Millis(300)), nullptr);
    CHECK_TRUE(std::get<Refusal>(late).reason == RefusalReason::DeadlineExceeded);
    CHECK_TRUE(steadyNow() - start < Millis(550));
    LONGS_EQUAL(0, admission.queued(steadyNow()).size());
    LONGS_EQUAL(0, fleet.sent());
}

// Guards against priority inversion in the queue, and against urgent requests that queue behind
// others although an endpoint is free.
TEST(QueueAdmission, freedCapacityGoesToTheHighestPriority)
{
    QueueAdmission admission(fleet, settings, prefixes, metrics, 1);
    fleet.use(100'000);
    PlacementRequest background = request("background", 60'000, Millis(60'000));
    background.route.priority = Priority::Background;
    PlacementRequest urgent = request("urgent", 60'000, Millis(60'000));
    urgent.route.priority = Priority::Urgent;
    placeInThread(admission, background);
    placeInThread(admission, request("normal", 60'000, Millis(60'000)));
    placeInThread(admission, urgent);
    for (const char *expected : {"urgent", "normal", "background"}) {
        CHECK_FALSE(isPlaced(expected));
        fleet.change("e100", [](EndpointView &endpoint) {
            endpoint.kvUsedTokens = 0;
            endpoint.unreportedTokens = 0;
        });
        admission.dispatchQueued(steadyNow());
        CHECK_TRUE_TEXT(waitUntil([&] { return isPlaced(expected); }), expected);
    }
    LONGS_EQUAL(3, fleet.sent());
}

// Guards against starvation of a group by small requests, and against engines that stay idle while
// it waits: small requests are backfilled up to a limit, and then the endpoints of the group are
// reserved for it.
TEST(QueueAdmission, backfillAheadOfAWaitingGroupIsLimited)
{
    QueueAdmission admission(fleet, settings, prefixes, metrics, 1);
    fleet.use(30'000);
    placeInThread(admission, request("group", 250'000, Millis(60'000)));
    CHECK_FALSE(isPlaced("group"));
    int backfilled = 0;
    for (int i = 0; i < 40; ++i) {
        const std::string id = "small" + std::to_string(i);
        placeInThread(admission, request(id, 10'000, Millis(60'000)));
        if (!isPlacedByDispatch(admission, id))
            break;
        ++backfilled;
        // The small request finishes at once, so that only the backfill limit can stop the next
        // one.
        fleet.change("", [](EndpointView &endpoint) {
            endpoint.unreportedTokens = 0;
            endpoint.unreportedRequests = 0;
        });
    }
    CHECK_TRUE(backfilled >= 5);
    CHECK_TRUE(backfilled <= 14);
    fleet.use(0);
    admission.dispatchQueued(steadyNow());
    CHECK_TRUE(waitUntil([&] { return isPlaced("group"); }));
    const Placement &placement = std::get<Placement>(results.at("group"));
    CHECK_TRUE(placement.outcome == RouteOutcome::Group);
    LONGS_EQUAL(3, placement.endpoints.size());
    CHECK_TRUE(placement.endpoints[0].id < placement.endpoints[1].id
               && placement.endpoints[1].id < placement.endpoints[2].id);
    // The small request that was blocked runs once the group has finished.
    fleet.change("", [](EndpointView &endpoint) { endpoint.unreportedTokens = 0; });
    admission.dispatchQueued(steadyNow());
    const std::string blocked = "small" + std::to_string(backfilled);
    CHECK_TRUE(waitUntil([&] { return isPlaced(blocked); }));
}

// Guards against lost wake-ups, duplicate placements and leaked queue entries under concurrent
// calls of place(), dispatchQueued() and reportFinished().
TEST(QueueAdmission, everyCallerGetsExactlyOneResultUnderLoad)
{
    QueueAdmission admission(fleet, settings, prefixes, metrics, 1);
    constexpr int kThreads = 24;
    constexpr int kRequests = 30;
    std::atomic<int> succeeded{0};
    std::atomic<int> refused{0};
    std::vector<std::jthread> callers;
    for (int t = 0; t < kThreads; ++t) {
        callers.emplace_back([&, t] {
            for (int i = 0; i < kRequests; ++i) {
                PlacementRequest r = request(std::to_string(t) + "-" + std::to_string(i), 45'000,
                                             Millis(20'000));
                r.workspace = t % 2 == 0 ? "even" : "odd";
                const PlaceResult result = admission.place(r, nullptr);
                if (!placed(result)) {
                    ++refused;
                    continue;
                }
                ++succeeded;
                std::this_thread::sleep_for(Millis(1));
                AttemptObservation observation;
                observation.succeeded = true;
                observation.promptTokens = 45'000;
                fleet.noteFinished(std::get<Placement>(result).endpoints.front().id, observation,
                                   steadyNow());
                admission.reportFinished(r.workspace, "s", true);
                admission.dispatchQueued(steadyNow());
            }
        });
    }
    for (std::jthread &caller : callers)
        caller.join();
    LONGS_EQUAL(kThreads * kRequests, succeeded + refused);
    LONGS_EQUAL(succeeded, fleet.sent());
    LONGS_EQUAL(0, admission.queued(steadyNow()).size());
    LONGS_EQUAL(0, refused);
}

// Guards against an endpoint that gets its full traffic right after an ejection.
TEST(QueueAdmission, endpointThatReturnsFromEjectionGetsAShareOfTraffic)
{
    settings.routing.policy = RoutingPolicy::RoundRobin;
    OutlierDetector outliers(16, [](const std::string &, bool) {});
    outliers.setPool("s", {"e100", "e101", "e102"});
    const TimePoint past = steadyNow() - kMinEjectionTime;
    for (unsigned i = 0; i < kFailuresToEject; ++i)
        outliers.observe("e101", false, 0, past);
    outliers.tick(past);
    outliers.tick(steadyNow());
    CHECK_TRUE(outliers.state("e101") == OutlierState::Probing);
    QueueAdmission admission(fleet, settings, prefixes, metrics, 1, &outliers);
    int returned = 0;
    for (int i = 0; i < 600; ++i) {
        const PlaceResult result = admission.place(request("r", 1, Millis(60'000)), nullptr);
        if (std::get<Placement>(result).endpoints.front().id == "e101")
            ++returned;
    }
    CHECK_TRUE(returned > 0);
    CHECK_TRUE(returned < 40);
}
