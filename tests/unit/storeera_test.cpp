// The store comes back from an older copy: its era, decoded and judged.

#include "base/log.h"
#include "gateway/departedendpoints.h"
#include "gateway/meshwire.h"
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

namespace {

const TimePoint kStart{std::chrono::seconds(1000)};
constexpr Millis kLifetime{1000};

EndpointRecord record(std::int64_t bornMs, std::uint64_t era, std::uint64_t revision,
                      EndpointState state = EndpointState::Ready)
{
    EndpointRecord result;
    result.id = "a";
    result.bornMs = bornMs;
    result.storeEra = era;
    result.revision = revision;
    result.state = state;
    return result;
}

} // namespace

TEST_GROUP(DepartedEndpoints)
{
    DepartedEndpoints departed{2, kLifetime};
};

// Guards against an endpoint that gets requests again because an older copy of the store says that
// it is ready, and against one that never does though it has written again.
TEST(DepartedEndpoints, onlyARecordWrittenAfterTheKnownOneBringsAnEndpointBack)
{
    struct Case
    {
        const char *name;
        EndpointRecord next;
        bool outdated;
    };
    const EndpointRecord last = record(5, 1, 10, EndpointState::Draining);
    const Case cases[] = {
            {"written before, in the older copy", record(5, 2, 9), true},
            {"the same write, in the older copy", record(5, 2, 10), true},
            {"two eras later", record(5, 3, 9), true},
            {"written after", record(5, 2, 11), false},
            {"another start", record(6, 2, 1), false},
            {"same era: the log decides", record(5, 1, 9), false},
    };
    departed.note("a", {versionOf(last), kStart});
    for (const Case &row : cases) {
        CHECK_EQUAL_TEXT(row.outdated, departed.outdates(row.next, kStart), row.name);
        CHECK_EQUAL_TEXT(row.outdated, undoesDraining(row.next, last), row.name);
    }
    CHECK_FALSE(undoesDraining(record(5, 2, 9), record(5, 1, 10)));
    CHECK_FALSE(undoesDraining(record(5, 2, 9, EndpointState::Draining), last));
}

// Guards against tables that grow, and against what peers tell making an endpoint's departure
// look later or its last record older.
TEST(DepartedEndpoints, areKeptForABoundedTimeAndNumber)
{
    departed.note("a", {{5, 10, 1}, kStart});
    departed.note("a", {{5, 8, 2}, kStart + kLifetime / 2});
    CHECK_TRUE(departed.outdates(record(5, 2, 10), kStart + kLifetime - Millis(1)));
    CHECK_FALSE(departed.outdates(record(5, 2, 10), kStart + kLifetime));
    departed.expire(kStart + kLifetime);
    CHECK_TRUE(departed.rows().empty());
    for (const char *id : {"a", "b", "c"})
        departed.note(id, {{5, 10, 1}, kStart});
    LONGS_EQUAL(2, departed.rows().size());
    CHECK_FALSE_TEXT(departed.rows().contains("a"), "the first one is forgotten");
    departed.forget("b");
    departed.note("a", {{5, 10, 1}, kStart});
    CHECK_TRUE(departed.rows().contains("c"));
}

// Guards against peers that learn of a departure without what they need to tell older records: they
// may read the older copy themselves.
TEST(DepartedEndpoints, peersAreToldTheLastRecord)
{
    EndpointRecord known = record(5, 1, 10);
    known.address = {"10.0.0.1", 80};
    capnp::MallocMessageBuilder message;
    auto entries = message.initRoot<wire::Datagram>().initEndpointChanges(2);
    fillEndpointUpdate(entries[0], {"a", known});
    fillEndpointUpdate(entries[1], {"b", std::nullopt, {6, 11, 2}, Millis(40)});
    const auto read = readEndpointUpdates(entries.asReader());
    LONGS_EQUAL(2, read.size());
    CHECK_TRUE(isOutdated(record(5, 2, 10), versionOf(*read[0].record)));
    CHECK_FALSE(isOutdated(record(5, 2, 11), versionOf(*read[0].record)));
    CHECK_TRUE(isOutdated(record(6, 3, 11), read[1].last));
    CHECK_FALSE(isOutdated(record(6, 2, 11), read[1].last));
    LONGS_EQUAL(40, read[1].goneFor.count());
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
