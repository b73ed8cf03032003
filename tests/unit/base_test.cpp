#include "base/clock.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/ids.h"
#include "base/table.h"
#include "http/address.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace cicadafork;

TEST_GROUP(Base){};

// Guards against addresses that reach the resolver or bind a random port.
TEST(Base, parseAddressAcceptsOnlyIpv4WithPort)
{
    struct Case
    {
        const char *text;
        bool valid;
    };
    const std::vector<Case> cases = {
            {"127.0.0.1:8080", true},   {"127.0.0.1:65535", true},
            {"127.0.0.1", false},       {"127.0.0.1:0", false},
            {"127.0.0.1:65536", false}, {"localhost:80", false},
            {"127.0.0.1:80x", false},   {"", false},
    };
    for (const Case &c : cases) {
        const auto parsed = capture([&] { return parseAddress(c.text); });
        CHECK_EQUAL_TEXT(c.valid, static_cast<bool>(parsed), c.text);
    }
}

// Guards against a key's owner changing when an unrelated member leaves.
TEST(Base, rendezvousOrderMovesOnlyKeysOfTheMemberThatLeft)
{
    const std::vector<std::string> all = {"a", "b", "c", "d"};
    const std::vector<std::string> without = {"a", "b", "c"};
    for (int i = 0; i < 200; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const std::string before = rendezvousOrder(key, all).front();
        const std::string after = rendezvousOrder(key, without).front();
        if (before != "d")
            STRCMP_EQUAL(before.c_str(), after.c_str());
    }
}

TEST(Base, uuidV7CarriesItsCreationTime)
{
    const WallTime now = fromEpoch(Millis(1764794000123));
    const std::optional<WallTime> read = uuidV7Time(newUuidV7(now));
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(*read == now);
    CHECK_FALSE(uuidV7Time("4b6a1cc8-2f7e-4a0e-9f29-4dc1f3a6b8aa").has_value());
    // Guards against an overflow of the clock by a caller's key from the far future.
    CHECK_FALSE(uuidV7Time("ffffffff-ffff-7a0e-9f29-4dc1f3a6b8aa").has_value());
}

// Guards against a table that grows without bound when a stranger sends many keys.
TEST(Base, tableRefusesRowsAboveItsLimit)
{
    Table<int, int> table(2);
    CHECK_TRUE(table.insert(1) != nullptr);
    CHECK_TRUE(table.insert(2) != nullptr);
    POINTERS_EQUAL(nullptr, table.insert(3));
    CHECK_TRUE(table.insert(2) != nullptr);
    LONGS_EQUAL(1, table.rejected());
}

TEST(Base, captureKeepsTheErrorObject)
{
    const auto outcome = capture(
            []() -> Result<int> { return fail(ErrorCode::NotFound, "no such row", "create it"); });
    CHECK_FALSE(static_cast<bool>(outcome));
    STRCMP_EQUAL("no such row", outcome.error().message.c_str());
    STRCMP_EQUAL("not_found", toString(outcome.error().code));
}
