// The store comes back from an older copy: its era, decoded and judged.

#include "base/log.h"
#include "gateway/storeera.h"
#include "platform/names.h"
#include "platform/storeclient.h"
#include "support/eventually.h"
#include "support/network.h"
#include "support/platformstandin.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <sstream>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

constexpr Millis kCallTimeout{1000};
constexpr const char *kTopic = "keyed.servers";

} // namespace

TEST_GROUP(StoreEra){};

// Guards against using an answer of a copy that has been replaced, against missing a new era that
// only a peer or an answer after several without an era tells of, and against starting over at the
// first answer.
TEST(StoreEra, answersAndPeersAreJudgedByTheHighestEraKnown)
{
    struct Case
    {
        const char *name;
        std::string seen; ///< Eras seen before: of answers ("-" for none) or, after "p", of peers.
        std::string next;
        EraVerdict verdict;
        std::uint64_t known;
    };
    const Case cases[] = {
            {"first answer", "", "7", EraVerdict::Current, 7},
            {"same era", "7", "7", EraVerdict::Current, 7},
            {"risen by one", "7", "8", EraVerdict::Newer, 8},
            {"missed one", "7", "9", EraVerdict::Newer, 9},
            {"late answer", "7 8", "7", EraVerdict::Late, 8},
            {"no era", "7", "-", EraVerdict::Current, 7},
            {"an older store", "- -", "-", EraVerdict::Current, 0},
            {"first era after answers without one", "-", "1", EraVerdict::Newer, 1},
            {"peer knows a newer one", "7", "p8", EraVerdict::Newer, 8},
            {"peer knows an older one", "7", "p6", EraVerdict::Current, 7},
            {"peer knows none", "7", "p0", EraVerdict::Current, 7},
            {"heard of it from a peer first", "7 p8", "8", EraVerdict::Current, 8},
            {"late after a peer told", "7 p8", "7", EraVerdict::Late, 8},
            {"starting daemon hears a peer", "", "p8", EraVerdict::Current, 8},
            {"starting daemon gets a late answer", "p8", "7", EraVerdict::Late, 8},
            {"starting daemon hears an old and a new peer", "p7", "p8", EraVerdict::Newer, 8},
    };
    for (const Case &row : cases) {
        StoreEra era;
        const auto see = [&era](const std::string &what) {
            if (what == "-")
                return era.note(std::nullopt);
            if (what[0] != 'p')
                return era.note(std::stoull(what));
            return era.noteFromPeer(std::stoull(what.substr(1))) ? EraVerdict::Newer
                                                                 : EraVerdict::Current;
        };
        std::istringstream words(row.seen);
        for (std::string word; words >> word;)
            see(word);
        CHECK_TRUE_TEXT(see(row.next) == row.verdict, row.name);
        CHECK_TRUE_TEXT(era.known() == row.known, row.name);
    }
}

// Guards against a low offset of a newer era that counts as old, and the reverse.
TEST(StoreEra, positionsAreOrderedByEraFirst)
{
    CHECK_TRUE(StorePosition({1, 900}) < StorePosition({2, 3}));
    CHECK_TRUE(StorePosition({2, 3}) < StorePosition({2, 4}));
    CHECK_TRUE(StorePosition({2, 0}) > StorePosition({1, 900}));
}

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

// Guards against a late answer that passes for the state of the store, and against an event that
// comes after the answer, or not with each kind of call.
TEST(StoreDrill, anAnswerOfAnOlderEraIsNoAnswer)
{
    put("value");
    StoreEra era;
    std::vector<std::uint64_t> changes;
    calls = checkEra(client.calls(), era, [&](std::uint64_t before) { changes.push_back(before); });
    const std::function<void()> kinds[] = {[&] { read(0); }, [&] { newest(); }, [&] { put("x"); }};
    for (const auto &call : kinds) {
        call();
        CHECK_TRUE(failure == StoreFailure::None);
        changes.clear();
        const std::uint64_t before = store.era();
        store.restoreCopy(Millis(0));
        call();
        CHECK_TRUE(failure == StoreFailure::None);
        CHECK_TRUE(changes == std::vector<std::uint64_t>{before});
        CHECK_TRUE(era.known() == before + 1);
        era.noteFromPeer(before + 2);
        call();
        CHECK_TRUE(failure == StoreFailure::NoAnswer);
        CHECK_TRUE(page.records.empty() && page.next == 0);
        store.restoreCopy(Millis(0));
    }
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
