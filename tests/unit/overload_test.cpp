// Which daemon's waiting request may take a free slot of an endpoint.

#include "overload/demand.h"
#include "overload/turn.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::overload;

namespace {

const TimePoint kNow = TimePoint(std::chrono::hours(1000));
constexpr ServiceId kService = 7;
constexpr Millis kJustChanged{0};
constexpr Millis kLongUnchanged{60'000};

WaitingRank rank(int priority, int dueInMillis, std::uint32_t tie)
{
    return {priority, kNow + Millis(dueInMillis), tie};
}

} // namespace

TEST_GROUP(Turn){};

// Guards against several daemons that send to the last free slot of an endpoint at once, and
// against a slot that none of them may take.
TEST(Turn, eachSlotBelongsToOneOfTheRequestsThatComeFirst)
{
    constexpr std::uint64_t kEndpoints = 60;
    for (const std::uint32_t daemons : {2U, 8U, 30U, 88U, 295U}) {
        std::vector<WaitingRank> all;
        for (std::uint32_t i = 0; i < daemons; ++i)
            all.push_back(rank(0, 100 + static_cast<int>(i), 1000 + i));
        std::vector<unsigned> owned(daemons);
        for (std::uint64_t endpoint = 1; endpoint <= kEndpoints; ++endpoint) {
            unsigned owners = 0;
            for (std::uint32_t i = 0; i < daemons; ++i) {
                std::vector<WaitingRank> others = all;
                others.erase(others.begin() + i);
                const Turn turn = turnAt(endpoint, {all[i], true}, others, kNow);
                if (mayTake(turn, kJustChanged, 0)) {
                    ++owners;
                    ++owned[i];
                }
            }
            LONGS_EQUAL(1, owners);
        }
        // No request gets most of the slots.
        CHECK_TRUE(*std::ranges::max_element(owned) <= kEndpoints / 2 + kEndpoints / 4);
    }
}

// Guards against requests that are late already, or less urgent, and take the room of others.
TEST(Turn, lateAndLessUrgentRequestsComeLast)
{
    struct Case
    {
        const char *name;
        WaitingRank own;
        bool told;
        std::vector<WaitingRank> others;
        Millis sinceChange;
        double draw;
        bool takes;
    };
    const WaitingRank onTime = rank(0, 200, 1);
    const Case cases[] = {
            {"alone", onTime, true, {}, kJustChanged, 0.99, true},
            {"alone, just arrived", onTime, false, {}, kJustChanged, 0.99, true},
            {"others are late",
             onTime,
             true,
             {rank(0, -1, 2), rank(0, -9, 3)},
             kJustChanged,
             0.99,
             true},
            {"late, one is on time", rank(0, -1, 1), true, {rank(0, 50, 2)}, Millis(100), 0, false},
            {"late and more urgent, one is on time",
             rank(0, -1, 1),
             true,
             {rank(2, 50, 2)},
             Millis(100),
             0,
             false},
            {"late, and nobody uses the endpoint",
             rank(0, -1, 1),
             true,
             {rank(0, 50, 2)},
             kLongUnchanged,
             0,
             true},
            {"less urgent", rank(2, 200, 1), true, {rank(0, 200, 2)}, kJustChanged, 0, false},
            {"less urgent, after a while",
             rank(2, 200, 1),
             true,
             {rank(0, 200, 2)},
             Millis(20),
             0,
             true},
            {"more urgent", onTime, true, {rank(2, 10, 2)}, kJustChanged, 0.99, true},
            {"just arrived", onTime, false, {rank(2, 10, 2)}, kJustChanged, 0, false},
            {"just arrived, idle endpoint",
             onTime,
             false,
             {rank(2, 10, 2)},
             kLongUnchanged,
             0,
             true},
            {"idle endpoint, another one's try",
             rank(2, 200, 1),
             true,
             {rank(0, 200, 2), rank(0, 200, 3)},
             kLongUnchanged,
             0.9,
             false},
    };
    for (const Case &row : cases) {
        const Turn turn = turnAt(42, {row.own, row.told}, row.others, kNow);
        CHECK_EQUAL_TEXT(row.takes, mayTake(turn, row.sinceChange, row.draw), row.name);
    }
}

// Guards against a request with objectives that other daemons see a few milliseconds later, so that
// both take themselves for the first.
TEST(Turn, theTimeOfADatagramDoesNotChangeTheOwner)
{
    for (std::uint64_t endpoint = 1; endpoint <= 100; ++endpoint) {
        const WaitingRank left = rank(0, 120, 11);
        const WaitingRank right = rank(0, 121, 12);
        const auto seenLate = [](WaitingRank told) {
            told.objective += Millis(4);
            return told;
        };
        const bool leftOwns
                = turnAt(endpoint, {left, true}, std::vector{seenLate(right)}, kNow).owner;
        const bool rightOwns
                = turnAt(endpoint, {right, true}, std::vector{seenLate(left)}, kNow).owner;
        CHECK_TRUE(leftOwns != rightOwns);
    }
}

TEST_GROUP(DemandTable){};

// Guards against daemons that hold up the others with requests that no longer wait: because they
// said so, because they are paused or cut off, or because they ended.
TEST(DemandTable, whatADaemonHasToldLapses)
{
    DemandTable table(4);
    const auto demand = [](std::uint32_t waiting) {
        return std::vector<ServiceDemand>{{kService, waiting, {rank(0, 100, 1), rank(0, 90, 2)}}};
    };
    table.note(1, demand(2), kNow);
    table.note(2, demand(5), kNow);
    LONGS_EQUAL(7, table.countWaiting(kService, kNow));
    LONGS_EQUAL(4, table.waiting(kService, kNow).size());
    LONGS_EQUAL(0, table.countWaiting(kService + 1, kNow));
    table.note(2, {}, kNow);
    LONGS_EQUAL(2, table.countWaiting(kService, kNow));
    LONGS_EQUAL(2, table.countWaiting(kService, kNow + kDemandLifetime));
    LONGS_EQUAL(0, table.countWaiting(kService, kNow + kDemandLifetime + Millis(1)));
    CHECK_TRUE(table.waiting(kService, kNow + kDemandLifetime + Millis(1)).empty());
}

// Guards against memory that grows with the number of daemons that ever existed.
TEST(DemandTable, theNumberOfDaemonsIsBounded)
{
    constexpr std::size_t kMaxDaemons = 4;
    DemandTable table(kMaxDaemons);
    for (DaemonId daemon = 1; daemon <= 10; ++daemon)
        table.note(daemon, {{kService, 1, {rank(0, 100, 1)}}}, kNow);
    LONGS_EQUAL(kMaxDaemons, table.countWaiting(kService, kNow));
    const TimePoint later = kNow + kDemandLifetime + Millis(1);
    table.note(99, {{kService, 1, {rank(0, 100, 1)}}}, later);
    LONGS_EQUAL(1, table.countWaiting(kService, later));
}
