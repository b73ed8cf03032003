// The store comes back from an older copy: its era, decoded and judged.

#include "base/log.h"
#include "platform/names.h"
#include "platform/storeclient.h"
#include "support/eventually.h"
#include "support/network.h"
#include "support/platformstandin.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

constexpr Millis kCallTimeout{1000};
constexpr const char *kTopic = "keyed.servers";

} // namespace

TEST_GROUP(StoreDrill)
{
    asio::io_context context;
    AddressPool addresses;
    Address address = addresses.next();
    StoreStandin store{context, address};
    UpstreamPool pool{context, {}};
    platform::HttpCallClient http{context, pool};
    platform::StoreClient client{http, address};
    StoreCalls calls = client.calls();
    StoreFailure failure = StoreFailure::None;
    StorePage page;
    std::optional<std::uint64_t> putEra;

    void setup() override
    {
        setLogLevel(LogLevel::Error);
    }

    void teardown() override
    {
        setLogLevel(LogLevel::Info);
    }

    StoreCalls::PageCallback keep(bool &done)
    {
        return [this, &done](StoreFailure result, StorePage answer) {
            failure = result;
            page = std::move(answer);
            done = true;
        };
    }

    void read(std::uint64_t from)
    {
        bool done = false;
        calls.read(kTopic, from, Millis(0), kCallTimeout, keep(done));
        CHECK_TRUE(eventually(context, kCallTimeout, [&] { return done; }));
    }

    void newest()
    {
        bool done = false;
        calls.newest(kTopic, {}, kCallTimeout, keep(done));
        CHECK_TRUE(eventually(context, kCallTimeout, [&] { return done; }));
    }

    StoreFailure put(const std::string &value)
    {
        bool done = false;
        calls.put(kTopic, "key", value, kCallTimeout,
                  [&](StoreFailure result, std::optional<std::uint64_t> era) {
                      failure = result;
                      putEra = era;
                      done = true;
                  });
        CHECK_TRUE(eventually(context, kCallTimeout, [&] { return done; }));
        return failure;
    }
};

// Guards against an era that one kind of call or answer does not hand on: the daemon would go on
// with positions of a log that no longer exists.
TEST(StoreDrill, everyAnswerCarriesTheEra)
{
    CHECK_TRUE(put("old") == StoreFailure::None);
    LONGS_EQUAL(1, putEra.value());
    CHECK_FALSE(eventually(context, Millis(60), [] { return false; }));
    put("lost");
    store.restoreCopy(Millis(30));
    read(2);
    CHECK_TRUE_TEXT(failure == StoreFailure::Expired, "a read from beyond the end gets 410");
    LONGS_EQUAL(2, page.era.value());
    newest();
    STRCMP_EQUAL("old", page.records.at(0).value->c_str());
    LONGS_EQUAL(1, page.next);
    LONGS_EQUAL(2, page.era.value());
    put("new");
    read(1);
    LONGS_EQUAL(2, page.era.value());
    STRCMP_EQUAL_TEXT("new", page.records.at(0).value->c_str(), "the offset is given out again");
    store.refuses = true;
    read(1);
    CHECK_TRUE(failure == StoreFailure::Refused);
    LONGS_EQUAL(2, page.era.value());
}

// Guards against an unreadable era that passes for one: every later answer would be late.
TEST(StoreDrill, anEraThatIsNoNumberCountsAsAbsent)
{
    struct Case
    {
        const char *text;
        std::optional<std::uint64_t> era;
    };
    const Case cases[] = {
            {"7", 7},
            {"0", 0},
            {"18446744073709551615", 18446744073709551615U},
            {"18446744073709551616", std::nullopt},
            {"-1", std::nullopt},
            {"1.5", std::nullopt},
            {"", std::nullopt},
            {"2 3", std::nullopt},
            {"second", std::nullopt},
    };
    for (const Case &row : cases) {
        HeaderList headers;
        headers.add(platform::kStoreEra, row.text);
        CHECK_TRUE_TEXT(platform::readEra(headers) == row.era, row.text);
    }
    CHECK_FALSE(platform::readEra({}).has_value());
}
