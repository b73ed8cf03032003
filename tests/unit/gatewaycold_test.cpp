// Gateways before endpoints that are cold, for which the configuration sets a limit of requests.

#include "support/gatewayfleet.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

// From docs/hard-load.md: bounds.coldOverage and bounds.coldSlack, over one second.
constexpr double kColdOverage = 1.5;
constexpr double kColdSlack = 5;
constexpr Millis kWindow{1000};
constexpr Millis kCold{3000};
// Daemons share a limit only a second after their start.
constexpr Millis kDiscovery{1100};

/// The configuration with a limit of cold endpoints for both services.
std::string configWith(double perSecond)
{
    std::string text = kFleetConfig;
    for (const char *service : {R"("name":"pool",)", R"("name":"plain")"}) {
        const std::size_t at = text.rfind(service);
        text.insert(at, fmt::format(R"("coldPerS":{},)", perSecond));
    }
    return text;
}

} // namespace

TEST_GROUP_BASE(GatewayCold, GatewayFleet)
{
    unsigned revision = 1;

    /// Publishes a record by which the endpoint is cold for this time.
    void publishCold(const EndpointStandin &endpoint, Millis left, const char *service = kPool)
    {
        const auto index
                = std::ranges::find_if(endpoints,
                                       [&](const auto &each) { return each.get() == &endpoint; })
                  - endpoints.begin();
        store.put(kEndpointsTopic, endpoint.id,
                  fmt::format(R"({{"service":"{}","address":"{}","zone":"east","slots":4,
                      "state":"ready","seq":{},"born":{},"coldLeftMs":{}}})",
                              service, toString(endpoint.address), ++revision, index + 1,
                              left.count()));
    }

    static nlohmann::json stateAt(const Daemon &daemon, const EndpointStandin &endpoint)
    {
        const nlohmann::json state = daemon.state();
        for (const auto &row : state["endpoints"]) {
            if (row["id"] == endpoint.id)
                return row;
        }
        return {};
    }

    bool allKnow(const EndpointStandin &endpoint, bool cold)
    {
        return std::ranges::all_of(daemons, [&](const auto &daemon) {
            return (stateAt(*daemon, endpoint)["cold_ms"].template get<int>() > 0) == cold;
        });
    }

    /// Sends requests to all daemons in turn.
    std::vector<const Answer *> load(double perSecond, Millis time, const char *service = kPool)
    {
        std::vector<const Answer *> sent;
        const auto interval
                = std::chrono::duration_cast<Millis>(std::chrono::duration<double>(1 / perSecond));
        for (const TimePoint end = steadyNow() + time; steadyNow() < end;) {
            const Daemon &daemon = *daemons[requests % daemons.size()];
            sent.push_back(service == kPool ? &send(daemon, "a1:40,c1:20")
                                            : &sendRequest(daemon, "/safe/x", {}));
            serveFor(interval);
        }
        return sent;
    }

    static std::size_t arrivalsBetween(const EndpointStandin &endpoint, TimePoint from,
                                       TimePoint to)
    {
        return static_cast<std::size_t>(
                std::ranges::count_if(endpoint.log, [&](const EndpointStandin::Arrival &arrival) {
                    return !arrival.requestId.empty() && arrival.at >= from && arrival.at < to;
                }));
    }

    /// The most requests that reach the endpoint in any window after the time.
    static std::size_t mostInAWindow(const EndpointStandin &endpoint, TimePoint from, TimePoint to)
    {
        std::size_t most = 0;
        for (const EndpointStandin::Arrival &arrival : endpoint.log) {
            if (arrival.at >= from && arrival.at < to)
                most = std::max(most, arrivalsBetween(endpoint, arrival.at,
                                                      std::min(to, arrival.at + kWindow)));
        }
        return most;
    }

    EndpointStandin &busiest()
    {
        return **std::ranges::max_element(endpoints, {},
                                          [](const auto &each) { return each->arrivals; });
    }

    void checkAllComplete(const std::vector<const Answer *> &sent)
    {
        CHECK_TRUE(runUntil([&] {
            return std::ranges::all_of(sent, [](const Answer *answer) { return answer->ended; });
        }));
        for (const Answer *answer : sent)
            CHECK_TRUE_TEXT(answer->status == 200 && answer->complete,
                            fmt::format("{}", answer->status).c_str());
    }
};

// Guards against daemons that send a cold endpoint more than it tolerates, since its record is
// known to the daemons that read the store only, and against a limit that outlives the cold time.
TEST(GatewayCold, allDaemonsKeepTheLimitOfAnEndpointThatTurnsColdByItsRecord)
{
    constexpr double kColdPerSecond = 4;
    constexpr double kRequestsPerSecond = 30;
    config = configWith(kColdPerSecond);
    start(4, 4);
    load(kRequestsPerSecond, kDiscovery);
    EndpointStandin &endpoint = busiest();
    publishCold(endpoint, kCold);
    auto sent = load(kRequestsPerSecond, Millis(50));
    for (int i = 0; i < 40 && !allKnow(endpoint, true); ++i) {
        const auto more = load(kRequestsPerSecond, Millis(50));
        sent.insert(sent.end(), more.begin(), more.end());
    }
    CHECK_TRUE(allKnow(endpoint, true));
    const TimePoint known = steadyNow();
    const auto whileCold = load(kRequestsPerSecond, Millis(2500));
    const TimePoint before = steadyNow();
    const auto most = mostInAWindow(endpoint, known, before);
    CHECK_TRUE_TEXT(static_cast<double>(most) <= kColdOverage * kColdPerSecond + kColdSlack,
                    fmt::format("{} in a second", most).c_str());
    sent.insert(sent.end(), whileCold.begin(), whileCold.end());
    checkAllComplete(sent);
    CHECK_TRUE_TEXT(runUntil([&] { return allKnow(endpoint, false); }), "warm again");
    // The others are cold now, so this one gets all that they may not have.
    for (const auto &other : endpoints) {
        if (other.get() != &endpoint)
            publishCold(*other, kCold);
    }
    CHECK_TRUE(runUntil([&] {
        return std::ranges::all_of(endpoints, [&](const auto &other) {
            return other.get() == &endpoint || allKnow(*other, true);
        });
    }));
    const TimePoint warm = steadyNow();
    checkAllComplete(load(kRequestsPerSecond, kWindow));
    const std::size_t got = arrivalsBetween(endpoint, warm, warm + kWindow);
    CHECK_TRUE_TEXT(static_cast<double>(got) > kColdOverage * kColdPerSecond + kColdSlack,
                    fmt::format("{} while warm", got).c_str());
}

// Guards against a failure domain whose endpoints return cold and get all requests at once, as they
// are idle.
TEST(GatewayCold, endpointsThatJoinColdGetNoMoreThanTheirLimit)
{
    constexpr double kColdPerSecond = 3;
    constexpr std::size_t kOld = 2;
    config = configWith(kColdPerSecond);
    start(5, kOld);
    load(30, kDiscovery);
    const TimePoint joined = steadyNow();
    for (int i = 0; i < 3; ++i) {
        addEndpoint();
        publishCold(*endpoints.back(), kCold);
    }
    auto sent = load(60, Millis(2900));
    for (std::size_t i = kOld; i < endpoints.size(); ++i) {
        const auto most = mostInAWindow(*endpoints[i], joined, joined + kCold);
        CHECK_TRUE_TEXT(static_cast<double>(most) <= kColdOverage * kColdPerSecond + kColdSlack,
                        fmt::format("{} in a second", most).c_str());
        double own = 0;
        for (const auto &daemon : daemons)
            own += stateAt(*daemon, *endpoints[i])["own_per_s"].get<double>();
        DOUBLES_EQUAL(kColdPerSecond, own, 0.001);
    }
    checkAllComplete(sent);
}

// Guards against an endpoint that is cold for the daemon only which had its answer.
TEST(GatewayCold, peersLearnWhatAnEndpointStatesInAnAnswer)
{
    config = configWith(4);
    start(3, 1);
    load(20, kDiscovery);
    EndpointStandin &endpoint = *endpoints.front();
    endpoint.coldFor = kCold;
    const Answer &answer = send(*daemons[1], "a1:40");
    CHECK_TRUE(runUntil([&] { return answer.ended; }));
    endpoint.coldFor.reset();
    CHECK_TRUE_TEXT(runUntil([&] { return allKnow(endpoint, true); }, Millis(300)),
                    "they are told at once");
    double own = 0;
    for (const auto &daemon : daemons)
        own += stateAt(*daemon, endpoint)["own_per_s"].get<double>();
    DOUBLES_EQUAL(4, own, 0.001);
}

// Guards against callers that are refused, or left without an answer, because the only endpoint of
// their service is cold for a short time.
TEST(GatewayCold, requestsWaitForTheOnlyEndpointWhileItIsCold)
{
    config = configWith(2);
    start(3, 1);
    load(20, kDiscovery);
    publishCold(*endpoints.front(), Millis(800));
    CHECK_TRUE(runUntil([&] { return allKnow(*endpoints.front(), true); }));
    checkAllComplete(load(20, Millis(500)));
}

// Guards against plain calls that pass the limit of a cold endpoint.
TEST(GatewayCold, plainCallsKeepTheLimitToo)
{
    constexpr double kColdPerSecond = 4;
    config = configWith(kColdPerSecond);
    start(3, 3, kPlain);
    load(30, kDiscovery, kPlain);
    EndpointStandin &endpoint = busiest();
    publishCold(endpoint, kCold, kPlain);
    CHECK_TRUE(runUntil([&] { return allKnow(endpoint, true); }));
    const TimePoint known = steadyNow();
    checkAllComplete(load(60, Millis(1500), kPlain));
    const auto most = mostInAWindow(endpoint, known, known + Millis(1500));
    CHECK_TRUE_TEXT(static_cast<double>(most) <= kColdOverage * kColdPerSecond + kColdSlack,
                    fmt::format("{} in a second", most).c_str());
    CHECK_TRUE_TEXT(most > 0, "the limit is used");
}

// Guards against limits in deployments that have not asked for them.
TEST(GatewayCold, coldEndpointsHaveNoLimitWithoutOneInTheConfiguration)
{
    start(2, 1);
    publishCold(*endpoints.front(), kCold);
    endpoints.front()->coldFor = kCold;
    const auto sent = load(20, Millis(1200));
    for (const auto &daemon : daemons) {
        const nlohmann::json state = stateAt(*daemon, *endpoints.front());
        CHECK_FALSE(state["limited"].get<bool>());
        DOUBLES_EQUAL(0, state["own_per_s"].get<double>(), 0.001);
    }
    checkAllComplete(sent);
}
