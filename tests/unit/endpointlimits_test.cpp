// How daemons share the limits of requests that endpoints state.

#include "base/hash.h"
#include "gateway/endpointlimits.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;

namespace {

const TimePoint kStart = TimePoint(std::chrono::hours(1000));
constexpr EndpointKey kEndpoint = 7;

TimePoint at(int millis)
{
    return kStart + Millis(millis);
}

} // namespace

TEST_GROUP(EndpointLimits)
{
    static constexpr std::size_t kMaxEndpoints = 300;

    std::vector<std::unique_ptr<EndpointLimits>> fleet;
    std::vector<DaemonKey> all;

    void startFleet(unsigned daemons)
    {
        fleet.clear();
        all.clear();
        for (DaemonKey key = 1; key <= daemons; ++key) {
            fleet.push_back(std::make_unique<EndpointLimits>(key, kMaxEndpoints));
            all.push_back(key);
        }
    }

    void assign(const std::vector<DaemonKey> &daemons, TimePoint now)
    {
        for (const auto &daemon : fleet)
            daemon->assignOwners(daemons, now);
    }

    void noteAll(const EndpointLimit &limit)
    {
        for (const auto &daemon : fleet)
            daemon->note(limit);
        assign(all, limit.statedAt);
    }

    /// All daemons, or those that are alive, send whatever the limit allows them. Returns the times
    /// of the requests.
    std::vector<int> sendAll(int fromMillis, int toMillis, const std::vector<DaemonKey> &alive = {})
    {
        std::vector<int> sent;
        for (int millis = fromMillis; millis < toMillis; millis += 5) {
            for (DaemonKey key = 1; key <= fleet.size(); ++key) {
                if (!alive.empty() && std::ranges::find(alive, key) == alive.end())
                    continue;
                const auto &daemon = fleet[key - 1];
                while (daemon->allows(kEndpoint, at(millis))) {
                    daemon->take(kEndpoint, at(millis));
                    sent.push_back(millis);
                }
            }
        }
        return sent;
    }

    static std::size_t mostIn(const std::vector<int> &times, int span)
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= span)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }
};

// Guards against a fleet that exceeds a limit because each daemon may send something, and against
// one that leaves a limit unused because nobody may send a whole request.
TEST(EndpointLimits, fleetUsesALimitAndDoesNotExceedIt)
{
    constexpr int kSpanMillis = 4000;
    constexpr int kEnd = 60'000;
    constexpr double kMaxExcess = 0.1;
    constexpr double kMinUse = 0.9;
    for (const unsigned daemons : {1U, 3U, 30U, 88U, 295U}) {
        for (const double limit : {0.5, 2.0, 2.2, 20.0, 200.0}) {
            startFleet(daemons);
            noteAll({kEndpoint, limit, kStart});
            const std::vector<int> sent = sendAll(0, kEnd);
            const std::string text = fmt::format("{} daemons, {} a second", daemons, limit);
            const double inASpan = limit * kSpanMillis / 1000;
            // A whole request more fits any limit.
            CHECK_TRUE_TEXT(static_cast<double>(mostIn(sent, kSpanMillis))
                                    <= inASpan * (1 + kMaxExcess) + 1,
                            fmt::format("{}: {}", text, mostIn(sent, kSpanMillis)).c_str());
            CHECK_TRUE_TEXT(static_cast<double>(sent.size()) >= kMinUse * limit * kEnd / 1000,
                            fmt::format("{}: {}", text, sent.size()).c_str());
        }
    }
}

// Guards against daemons that own no part of any limit, and refuse callers whom others could serve,
// when all endpoints of a service have limits.
TEST(EndpointLimits, daemonsOwnAboutTheSame)
{
    struct Case
    {
        unsigned daemons;
        unsigned endpoints;
        double limit;
    };
    const Case cases[] = {{8, 21, 2}, {8, 21, 2.3}, {8, 3, 6}, {30, 60, 2}, {295, 200, 20}};
    constexpr double kMinServed = 0.95;
    for (const Case &row : cases) {
        startFleet(row.daemons);
        for (EndpointKey endpoint = 1; endpoint <= row.endpoints; ++endpoint) {
            for (const auto &daemon : fleet)
                daemon->note({mix64(endpoint), row.limit, kStart});
        }
        assign(all, kStart);
        // Callers ask each daemon for the same, together for four fifths of what the limits allow.
        const double demand = 0.8 * row.endpoints * row.limit / row.daemons;
        double served = 0;
        for (const auto &daemon : fleet) {
            double own = 0;
            for (EndpointKey endpoint = 1; endpoint <= row.endpoints; ++endpoint)
                own += daemon->ownPerSecond(mix64(endpoint), kStart);
            served += std::min(own, demand);
        }
        CHECK_TRUE_TEXT(served >= kMinServed * demand * row.daemons,
                        fmt::format("{} daemons, {} endpoints: {}", row.daemons, row.endpoints,
                                    served / (demand * row.daemons))
                                .c_str());
    }
}

// Guards against a limit that is exceeded when daemons join or fail, as others take their part
// over.
TEST(EndpointLimits, changesOfTheFleetDoNotExceedALimit)
{
    constexpr double kLimit = 2;
    constexpr int kSpanMillis = 4000;
    constexpr double kAllowed = 1.5 * kLimit * 4 + 5;
    startFleet(30);
    noteAll({kEndpoint, kLimit, kStart});
    std::vector<int> sent;
    std::vector<DaemonKey> alive;
    for (DaemonKey key = 1; key <= 30; ++key)
        alive.push_back(key);
    for (int second = 0; second < 60; ++second) {
        const auto more = sendAll(second * 1000, second * 1000 + 1000, alive);
        sent.insert(sent.end(), more.begin(), more.end());
        // One leaves or comes back each second.
        const DaemonKey changed = 1 + static_cast<DaemonKey>(second * 7 % 25);
        if (std::erase(alive, changed) == 0)
            alive.push_back(changed);
        assign(alive, at(second * 1000 + 1000));
    }
    CHECK_TRUE(static_cast<double>(mostIn(sent, kSpanMillis)) <= kAllowed);
}

// Guards against a part of a limit that a daemon which shuts down and its successor both use.
TEST(EndpointLimits, aDaemonThatShutsDownLeavesItsPartToOthers)
{
    startFleet(8);
    noteAll({kEndpoint, 2.0, kStart});
    const auto owner = std::ranges::find_if(
            fleet, [](const auto &daemon) { return daemon->ownPerSecond(kEndpoint, kStart) > 0; });
    const DaemonKey leaving = 1 + static_cast<DaemonKey>(owner - fleet.begin());
    std::vector<DaemonKey> others;
    for (DaemonKey key = 1; key <= fleet.size(); ++key) {
        if (key != leaving)
            others.push_back(key);
    }
    assign(others, at(2000));
    CHECK_FALSE((*owner)->allows(kEndpoint, at(10'000)));
    LONGS_EQUAL(1, std::ranges::count_if(fleet, [](const auto &daemon) {
                    return daemon->ownPerSecond(kEndpoint, kStart) > 0;
                }));
}

// Guards against a limit that ends by an answer that was on its way when it began, and against one
// that comes back with an old message of a peer.
TEST(EndpointLimits, theLatestStatementCounts)
{
    struct Case
    {
        const char *name;
        int millis;
        std::optional<double> stated;
        bool changed;
        std::optional<double> inForce; ///< Afterwards.
    };
    const Case cases[] = {
            {"none", 0, {}, false, {}},
            {"the first", 100, 2.0, true, 2.0},
            {"an answer that was on its way", 150, {}, false, 2.0},
            {"the same again", 900, 2.0, false, 2.0},
            {"none, soon afterwards", 1800, {}, false, 2.0},
            {"another number", 2000, 20.0, true, 20.0},
            {"an old message of a peer", 1900, 2.0, false, 20.0},
            {"none for long enough", 3000, {}, true, {}},
            {"a message of a peer that missed the end", 2900, 20.0, false, {}},
            {"a new one", 3100, 0.5, true, 0.5},
    };
    startFleet(1);
    for (const Case &row : cases) {
        CHECK_EQUAL_TEXT(row.changed, fleet[0]->note({kEndpoint, row.stated, at(row.millis)}),
                         row.name);
        assign(all, at(row.millis));
        DOUBLES_EQUAL_TEXT(row.inForce.value_or(0),
                           fleet[0]->ownPerSecond(kEndpoint, at(row.millis)), 0.001, row.name);
    }
}

TEST(EndpointLimits, aRequestThatDidNotReachTheEndpointDoesNotCount)
{
    startFleet(1);
    noteAll({kEndpoint, 2.0, kStart});
    CHECK_FALSE(fleet[0]->allows(kEndpoint, at(499)));
    CHECK_TRUE(fleet[0]->allows(kEndpoint, at(500)));
    fleet[0]->take(kEndpoint, at(500));
    CHECK_FALSE(fleet[0]->allows(kEndpoint, at(510)));
    CHECK_TRUE(fleet[0]->nextAt(kEndpoint, at(510)) == at(1000));
    fleet[0]->giveBack(kEndpoint, at(500), at(510));
    CHECK_TRUE(fleet[0]->allows(kEndpoint, at(510)));
    CHECK_TRUE_TEXT(fleet[0]->allows(kEndpoint + 1, at(510)), "another endpoint");
}

// Guards against a limit of nothing that lets a request pass.
TEST(EndpointLimits, aLimitOfZeroAllowsNothing)
{
    startFleet(1);
    noteAll({kEndpoint, 0.0, kStart});
    CHECK_FALSE(fleet[0]->allows(kEndpoint, at(500'000)));
    CHECK_FALSE(fleet[0]->nextAt(kEndpoint, at(500'000)).has_value());
}
