#include "config/fold.h"
#include "config/logconfigstore.h"
#include "support/fakelog.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>

using namespace cicadafork;
using test::FakeLog;

namespace {

const std::string kStream = "config";

Command change(const std::string &id, std::uint64_t base, CommandVerb verb = CommandVerb::Change)
{
    return {id, "operator", verb, EntityKind::Service, "s", {{"models", "m-" + id}}, base, id};
}

void append(FakeLog &log, const nlohmann::json &data)
{
    CHECK_TRUE(static_cast<bool>(capture([&] { return log.append(kStream, data, Millis(0)); })));
}

/// Reads until the offset no longer advances; false if that does not happen within 1000 reads.
bool readAll(LogConfigStore &store)
{
    for (int i = 0; i < 1000; ++i) {
        const auto before = store.nextOffset();
        const auto read = capture([&] { return store.readOnce(Millis(0)); });
        if (read && before && *before == *read)
            return true;
    }
    return false;
}

/// Appends a create command and then change commands, count in total. Each is accepted.
void fill(FakeLog &log, std::uint64_t count)
{
    for (std::uint64_t i = 0; i < count; ++i) {
        append(log, encodeCommand(change("c" + std::to_string(i), i,
                                         i == 0 ? CommandVerb::Create : CommandVerb::Change)));
    }
}

std::string stateOf(const LogConfigStore &store)
{
    return encodeSnapshot(*store.current()).dump();
}

} // namespace

TEST_GROUP(ConfigStore){};

// Guards against two accepted commands on one version, stores that diverge, and offsets that
// decrease. Append answers are lost, records are duplicated, and pushes arrive late, repeatedly and
// out of order.
TEST(ConfigStore, concurrentOperatorsGetOneAcceptedCommandPerVersion)
{
    constexpr int kOperators = 4;
    constexpr int kRounds = 25;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        FakeLog log(seed);
        log.setFaults({.lostAnswers = 0.2,
                       .lostAppends = 0.1,
                       .duplicatedAppends = 0.1,
                       .failedReads = 0.1});
        std::vector<std::unique_ptr<LogConfigStore>> stores;
        std::atomic<int> decreases = 0;
        for (int i = 0; i < kOperators; ++i) {
            stores.push_back(std::make_unique<LogConfigStore>(
                    log, ConfigStoreOptions{.snapshotInterval = 10,
                                            .snapshotRetryDelay = Millis(0),
                                            .pageLimit = 3,
                                            .retainedRecords = 7}));
            stores.back()->onChange([&decreases, last = Offset(0)](const auto &now) mutable {
                decreases += now->nextOffset < last;
                last = now->nextOffset;
            });
        }
        std::mutex mutex;
        std::map<std::uint64_t, int> acceptedOn;
        std::map<std::string, bool> verdicts;
        const auto operate = [&](int self) {
            std::mt19937_64 random(seed * 100 + self);
            std::vector<ConfigUpdate> old;
            LogConfigStore &store = *stores[self];
            for (int round = 0; round < kRounds; ++round) {
                const auto current = store.current();
                const bool exists = current && current->services.contains("s");
                const std::uint64_t base = exists ? current->services.at("s").version : 0;
                const std::string id = std::to_string(self) + "-" + std::to_string(round);
                const auto verdict = capture([&] {
                    return store.submit(
                            change(id, base, exists ? CommandVerb::Change : CommandVerb::Create),
                            steadyNow() + Millis(60));
                });
                if (verdict) {
                    const std::lock_guard lock(mutex);
                    verdicts[id] = verdict->accepted;
                    acceptedOn[base] += verdict->accepted;
                }
                store.maintainSnapshots(steadyNow());
                LogConfigStore &other = *stores[random() % kOperators];
                old.push_back(other.updateSince(random() % (store.nextOffset().value_or(0) + 1)));
                store.applyPushed(old[random() % old.size()]);
                store.applyPushed(old[random() % old.size()]);
            }
        };
        std::vector<std::jthread> threads;
        for (int i = 0; i < kOperators; ++i)
            threads.emplace_back(operate, i);
        for (std::jthread &thread : threads)
            thread.join();
        log.setFaults({});

        // All stores agree with one that reads the whole log.
        LogConfigStore fresh(log, {});
        CHECK_TRUE(readAll(fresh));
        for (const auto &store : stores) {
            CHECK_TRUE(readAll(*store));
            STRCMP_EQUAL(stateOf(fresh).c_str(), stateOf(*store).c_str());
        }
        for (const auto &[base, count] : acceptedOn)
            CHECK_TRUE_TEXT(count <= 1, "two accepted commands on one version");
        CHECK_EQUAL(0, decreases.load());
        CHECK_TRUE_TEXT(verdicts.size() > kRounds, "too few commands got a verdict");
        for (const auto &[id, accepted] : verdicts) {
            const auto verdict = findVerdict(*fresh.current(), id);
            if (verdict)
                CHECK_EQUAL_TEXT(verdict->accepted, accepted, id.c_str());
        }
    }
}

// Guards against appending a command again when the answer to the append was lost, and against
// reporting a definite result while the outcome is unknown.
TEST(ConfigStore, submitResolvesLostAnswersByReadingTheLog)
{
    struct Case
    {
        const char *name;
        test::FakeLogFaults faults;
        bool down;
        std::optional<ErrorCode> error;
        std::size_t records;
    };
    const std::vector<Case> cases = {
            {"no fault", {}, false, std::nullopt, 1},
            {"lost answer", {.lostAnswers = 1}, false, std::nullopt, 1},
            {"duplicated record", {.duplicatedAppends = 1}, false, std::nullopt, 2},
            {"lost append", {.lostAppends = 1}, false, ErrorCode::DeadlineExceeded, 0},
            {"log down", {}, true, ErrorCode::Unavailable, 0},
    };
    for (const Case &c : cases) {
        FakeLog log;
        LogConfigStore store(log, {});
        log.setFaults(c.faults);
        log.setDown(c.down);
        const auto verdict = capture([&] {
            return store.submit(change("id", 0, CommandVerb::Create), steadyNow() + Millis(100));
        });
        CHECK_EQUAL_TEXT(!c.error.has_value(), static_cast<bool>(verdict), c.name);
        if (verdict)
            CHECK_TRUE_TEXT(verdict->accepted, c.name);
        else
            CHECK_TRUE_TEXT(verdict.error().code == *c.error, c.name);
        CHECK_EQUAL_TEXT(c.records, log.records(kStream).size(), c.name);
    }
}

// Guards against starting from a snapshot that does not cover the expired records.
TEST(ConfigStore, startUsesTheNewestSnapshotThatCoversExpiredRecords)
{
    struct Case
    {
        const char *name;
        Offset expired;
        bool loads;
    };
    // Offsets 0-9: commands; 10: a snapshot of them; 11-14: commands; 15: the same snapshot again.
    const std::vector<Case> cases = {
            {"nothing expired", 0, true},
            {"expired below the snapshot", 7, true},
            {"expired up to the snapshot", 10, true},
            {"snapshot expired", 11, false},
            {"all but the old snapshot", 15, false},
    };
    for (const Case &c : cases) {
        FakeLog log;
        fill(log, 10);
        LogConfigStore writer(log, {});
        CHECK_TRUE(readAll(writer));
        const auto snapshot = encodeSnapshot(*writer.current());
        append(log, snapshot);
        for (int i = 11; i < 15; ++i)
            append(log, encodeCommand(change("c" + std::to_string(i), i == 11 ? 10 : i)));
        append(log, snapshot);
        CHECK_TRUE(readAll(writer));
        log.expire(kStream, c.expired);
        LogConfigStore reader(log, {.pageLimit = 4});
        const auto read = capture([&] { return reader.readOnce(Millis(0)); });
        CHECK_EQUAL_TEXT(c.loads, static_cast<bool>(read), c.name);
        CHECK_EQUAL_TEXT(c.loads, reader.current() != nullptr, c.name);
        if (c.loads)
            STRCMP_EQUAL_TEXT(stateOf(writer).c_str(), stateOf(reader).c_str(), c.name);
        // An update from a peer provides the records that have expired in the log.
        reader.applyPushed(writer.updateSince(0));
        STRCMP_EQUAL_TEXT(stateOf(writer).c_str(), stateOf(reader).c_str(), c.name);
    }
}

// Guards against missing snapshots and against a burst of them.
TEST(ConfigStore, snapshotsAreWrittenByOffsetAndByAge)
{
    FakeLog log;
    LogConfigStore store(log, {.snapshotInterval = 10});
    const TimePoint now = steadyNow();
    CHECK_FALSE(store.maintainSnapshots(now));
    fill(log, 9);
    CHECK_TRUE(readAll(store));
    CHECK_FALSE(store.maintainSnapshots(now));
    append(log, encodeCommand(change("x", 9)));
    CHECK_TRUE(readAll(store));
    CHECK_TRUE(store.maintainSnapshots(now));
    CHECK_FALSE(store.maintainSnapshots(now)); // Not read back yet.
    CHECK_TRUE(readAll(store));
    CHECK_FALSE(store.maintainSnapshots(now + Millis(10'000)));
    CHECK_TRUE(store.maintainSnapshots(now + Millis(601'000)));
    CHECK_EQUAL(12U, log.records(kStream).size());
    // A process that found an unknown record type writes no snapshots.
    append(log, nlohmann::json::parse(R"({"type":"future"})"));
    CHECK_TRUE(readAll(store));
    CHECK_FALSE(store.maintainSnapshots(now + Millis(9'000'000)));
}

// Guards against a push that moves the state back or skips a record, and against a store that does
// not recover from a push with a gap.
TEST(ConfigStore, pushesApplyOnlyForwardAndWithoutGaps)
{
    FakeLog log;
    fill(log, 6);
    LogConfigStore source(log, {});
    CHECK_TRUE(readAll(source));
    FakeLog unreachable;
    unreachable.setDown(true);
    LogConfigStore store(unreachable, {});
    const ConfigUpdate from0 = source.updateSince(0);
    const ConfigUpdate from4 = source.updateSince(4);
    CHECK_FALSE(
            store.applyPushed(from4)); // The store has no state, and records 0 to 3 are missing.
    CHECK_TRUE(store.applyPushed(
            {Configuration{}, {from0.records.begin(), from0.records.begin() + 2}}));
    CHECK_FALSE(store.applyPushed(from4));
    CHECK_EQUAL(2U, store.nextOffset().value());
    CHECK_FALSE(store.waitForOffset(6, steadyNow() + Millis(1)));
    CHECK_TRUE(store.applyPushed(source.updateSince(2)));
    CHECK_FALSE(store.applyPushed(from0));
    CHECK_FALSE(store.applyPushed({Configuration{}, {}}));
    CHECK_TRUE(store.waitForOffset(6, steadyNow()));
    STRCMP_EQUAL(stateOf(source).c_str(), stateOf(store).c_str());
    CHECK_TRUE(store.updateSince(6).records.empty());
}

TEST(ConfigStore, twoMembersPerDomainReadTheLog)
{
    const std::vector<std::string> members = {"a", "b", "c", "d", "e"};
    int readers = 0;
    for (const std::string &member : members)
        readers += isConfigReader(member, members);
    CHECK_EQUAL(2, readers);
    CHECK_TRUE(isConfigReader("a", {"a"}));
    CHECK_FALSE(isConfigReader("z", members));
}
