// Records of blocked requests and parts of prompts in the store.

#include "gateway/blockedrecord.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cicadafork;
using namespace cicadafork::gateway;

namespace {

const TimePoint kNow = TimePoint(std::chrono::hours(1000));
const WallTime kWallNow = fromEpoch(Millis(1'800'000'000'000));

} // namespace

TEST_GROUP(BlockedRecord)
{
    CrashEvidence evidence;

    void setup() override
    {
        for (int i = 0; i < 4; ++i)
            noteCrash(evidence, {0xfedcba9876543210 + static_cast<EndpointKey>(i),
                                 kNow - Millis(5000 - 200 * i),
                                 {{promptPart(1), promptPart(0xbad0)}},
                                 {}});
        LONGS_EQUAL(1, evidence.blocked.size());
    }
};

// Guards against a process that starts and does not block what the last ones did, for example
// because the clocks differ.
TEST(BlockedRecord, blocksTheSameInAnotherProcess)
{
    struct Case
    {
        const char *name;
        Millis uptime; ///< The steady clock of the other process.
        Millis later;  ///< By the wall clock.
    };
    const Case cases[] = {{"soon", Millis(100), Millis(2000)},
                          {"its clock is behind", Millis(100), Millis(-8000)},
                          {"a day later", Millis(100'000), Millis(86'400'000)}};
    for (int i = 0; i < 4; ++i)
        noteCrash(evidence, {i + 1U,
                             kNow - Millis(1000 - 50 * i),
                             {{wholeRequest(0xbad1)}},
                             {},
                             i % 2 == 0 ? RequestParts() : RequestParts{wholeRequest(0xbad1)}});
    noteCrash(evidence, {5, kNow, {{wholeRequest(0xbad1)}}, {}});
    LONGS_EQUAL(2, evidence.blocked.size());
    for (const Case &row : cases) {
        const TimePoint now = TimePoint(row.uptime);
        CrashEvidence other;
        for (const BlockedParts &blocked : evidence.blocked) {
            const std::string record = blockedRecord(evidence, blocked, kNow, kWallNow);
            const auto crashes
                    = capture([&] { return readBlockedRecord(record, now, kWallNow + row.later); });
            CHECK_TRUE_TEXT(static_cast<bool>(crashes), row.name);
            for (const EndpointCrash &crash : *crashes)
                noteCrash(other, crash);
        }
        expireCrashes(other, now);
        CHECK_TRUE_TEXT(other.blocked == evidence.blocked, row.name);
    }
}

TEST(BlockedRecord, unreadableRecordsAreErrors)
{
    const char *cases[] = {"",
                           "{}",
                           "[]",
                           "10.0.0.1",
                           R"({"parts":["a"],"crashes":[]})",
                           R"({"parts":[1],"crashes":[{"endpoint":-1}]})",
                           R"({"parts":[1],"crashes":7})"};
    for (const char *text : cases) {
        const auto crashes = capture([&] { return readBlockedRecord(text, kNow, kWallNow); });
        CHECK_FALSE_TEXT(static_cast<bool>(crashes), text);
    }
}
