// Gateways of which some are cut off from all endpoints.

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

// From the users' rule RECOVER: the time from the cut on that does not count.
constexpr Millis kStabilityWindow{3000};
// The project's goal: first attempts at daemons that are cut off, against those at the others. The
// users' bound is two thirds.
constexpr double kServedShare = 0.95;

struct Cut
{
    const char *name;
    OpenConnections open;
    bool refusesNew;
};

const Cut kCuts[] = {{"connections hang", OpenConnections::Silent, false},
                     {"connections are reset, new ones refused", OpenConnections::Reset, true},
                     {"connections are reset, new ones hang", OpenConnections::Reset, false},
                     {"connections live on, new ones are refused", OpenConnections::LiveOn, true}};

} // namespace

TEST_GROUP_BASE(GatewayRelay, GatewayFleet)
{
    static constexpr unsigned kEndpoints = 6;
    static constexpr unsigned kPlainEndpoints = 3;

    void startBoth(unsigned daemonCount)
    {
        for (unsigned i = 0; i < kPlainEndpoints; ++i)
            addEndpoint(true, kPlain);
        start(daemonCount, kEndpoints);
    }

    /// A request of each route.
    std::vector<const Answer *> sendEach(const Daemon &daemon)
    {
        return {&send(daemon, "a1:40,c1:20"), &sendRequest(daemon, "/safe/x", "card"),
                &sendRequest(daemon, "/once/x", "alert")};
    }

    bool haveEnded(const std::vector<const Answer *> &sent)
    {
        return runUntil([&] {
            return std::ranges::all_of(sent, [](const Answer *answer) { return answer->ended; });
        });
    }

    static std::size_t served(const std::vector<const Answer *> &sent)
    {
        return static_cast<std::size_t>(std::ranges::count_if(sent, [](const Answer *answer) {
            return answer->status == 200 && answer->complete;
        }));
    }
};

// Guards against callers that fail because their daemon reaches no endpoint, while its peers do.
TEST(GatewayRelay, daemonsThatAreCutOffFromAllEndpointsServeTheirCallers)
{
    constexpr unsigned kDaemons = 4;
    constexpr unsigned kCutOff = 2;
    constexpr unsigned kRounds = 25;
    constexpr Millis kInterval{80};
    for (const Cut &cut : kCuts) {
        reset();
        startBoth(kDaemons);
        std::vector<const Answer *> before;
        for (const auto &daemon : daemons)
            std::ranges::copy(sendEach(*daemon), std::back_inserter(before));
        CHECK_TRUE_TEXT(haveEnded(before), cut.name);
        LONGS_EQUAL_TEXT(before.size(), served(before), cut.name);
        for (unsigned i = 0; i < kCutOff; ++i)
            cutOff(*daemons[i], cut.open, cut.refusesNew);
        const TimePoint windowEnd = steadyNow() + kStabilityWindow;
        while (steadyNow() < windowEnd) {
            for (const auto &daemon : daemons)
                sendEach(*daemon);
            serveFor(kInterval);
        }
        std::vector<const Answer *> sent;
        for (unsigned round = 0; round < kRounds; ++round) {
            for (unsigned i = 0; i < kCutOff; ++i)
                std::ranges::copy(sendEach(*daemons[i]), std::back_inserter(sent));
            serveFor(kInterval);
        }
        CHECK_TRUE_TEXT(haveEnded(sent), cut.name);
        CHECK_TRUE_TEXT(static_cast<double>(served(sent))
                                >= kServedShare * static_cast<double>(sent.size()),
                        fmt::format("{}: {} of {}", cut.name, served(sent), sent.size()).c_str());
    }
}
