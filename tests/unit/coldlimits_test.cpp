// How daemons keep together within the limits of cold endpoints, and how long these last.

#include "base/hash.h"
#include "gateway/coldendpoints.h"
#include "gateway/endpointlimits.h"
#include "gateway/limitsharers.h"
#include "gateway/placement.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;

namespace {

const TimePoint kStart = TimePoint(std::chrono::hours(1000));
constexpr EndpointKey kEndpoint = 7;
constexpr std::size_t kMaxEndpoints = 300;
// From docs/hard-load.md: bounds.coldOverage, bounds.coldSlack and coldS.
constexpr double kColdOverage = 1.5;
constexpr double kColdSlack = 5;
constexpr int kColdMillis = 3000;
constexpr int kWindowMillis = 1000;

TimePoint at(int millis)
{
    return kStart + Millis(millis);
}

/// What a daemon does while endpoints are cold.
struct Conditions
{
    int hearsAt = 5; ///< In milliseconds from when an endpoint becomes cold.
    int startedAt = -3600'000;
    bool readsList = true; ///< The store names it the other daemons.
    int pausedFrom = 0;    ///< It handles nothing until pausedTo, and then all at once.
    int pausedTo = 0;
};

struct ColdCase
{
    const char *name;
    unsigned endpoints = 1;
    double perSecond = 17;
    std::function<Conditions(unsigned daemon, unsigned daemons)> conditions;
    /// Whether a daemon knows another one; null if all know all.
    std::function<bool(unsigned daemon, unsigned other, unsigned daemons)> knows = nullptr;
    /// An endpoint that is not known to be cold gets as much as its limit from all together.
    double warmPerSecond = 17;
    double minUse = 0; ///< Share of the limit that must be used.
    std::vector<int> coldFrom = {0};
};

class SimulatedDaemon
{
public:
    SimulatedDaemon(DaemonKey key, const Conditions &conditions)
        : limits(key, kMaxEndpoints)
        , cold(kMaxEndpoints)
        , sharers(key, at(conditions.startedAt))
        , conditions_(conditions)
    {
        if (conditions.readsList)
            sharers.noteListRead();
        // Callers do not ask all daemons at the same moment.
        warmRequests = static_cast<double>(key % 1000) / 1000;
    }

    bool isPaused(int millis) const
    {
        return millis >= conditions_.pausedFrom && millis < conditions_.pausedTo;
    }
    bool runs(int millis) const { return millis >= conditions_.startedAt && !isPaused(millis); }
    const Conditions &conditions() const { return conditions_; }

    void update(double perSecond, int millis)
    {
        std::vector<ColdLimit> inForce;
        for (const ColdEndpoint &endpoint : cold.cold(at(millis)))
            inForce.push_back({endpoint.endpoint, perSecond, endpoint.until});
        limits.setColdLimits(inForce, sharers.sharers(at(millis)), at(millis));
    }

    EndpointLimits limits;
    ColdEndpoints cold;
    LimitSharers sharers;
    double warmRequests = 0; ///< That it has for each endpoint which it does not know to be cold.

private:
    Conditions conditions_;
};

std::size_t mostInAWindow(const std::vector<int> &times)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= kWindowMillis)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

struct ColdOutcome
{
    std::size_t most = 0; ///< At any endpoint in any window.
    double use = 1;       ///< Smallest share of the limit that was used at an endpoint.
};

/// All daemons send the cold endpoints whatever they may.
ColdOutcome simulate(const ColdCase &row, unsigned daemons)
{
    constexpr int kStepMillis = 5;
    std::vector<std::unique_ptr<SimulatedDaemon>> fleet;
    for (unsigned i = 0; i < daemons; ++i) {
        fleet.push_back(
                std::make_unique<SimulatedDaemon>(mix64(i + 1), row.conditions(i, daemons)));
        for (unsigned other = 0; other < daemons; ++other) {
            if (!row.knows || row.knows(i, other, daemons))
                fleet.back()->sharers.noteListed(mix64(other + 1), at(-60'000));
        }
    }
    std::map<EndpointKey, std::vector<int>> sent;
    std::map<EndpointKey, double> allowed;
    const int end = row.coldFrom.back() + kColdMillis;
    for (int millis = -kWindowMillis; millis < end; millis += kStepMillis) {
        const auto isCold = [&](int from) { return millis >= from && millis < from + kColdMillis; };
        const bool anyCold = std::ranges::any_of(row.coldFrom, isCold);
        for (EndpointKey endpoint = 1; anyCold && endpoint <= row.endpoints; ++endpoint)
            allowed[endpoint] += row.perSecond * kStepMillis / 1000;
        for (const auto &daemon : fleet) {
            if (!daemon->runs(millis)) {
                if (daemon->isPaused(millis))
                    daemon->warmRequests += row.warmPerSecond * kStepMillis / 1000 / daemons;
                continue;
            }
            daemon->warmRequests += row.warmPerSecond * kStepMillis / 1000 / daemons;
            const auto requests = static_cast<unsigned>(daemon->warmRequests);
            daemon->warmRequests -= requests;
            // A daemon that was paused sends before it hears what has happened in the meantime.
            for (EndpointKey endpoint = 1; endpoint <= row.endpoints; ++endpoint) {
                const bool limited = daemon->limits.coldLimit(endpoint, at(millis)) != nullptr;
                for (unsigned i = 0; limited || i < requests; ++i) {
                    if (!daemon->limits.allows(endpoint, at(millis)))
                        break;
                    daemon->limits.take(endpoint, at(millis));
                    if (anyCold)
                        sent[endpoint].push_back(millis);
                }
            }
            bool changed = daemon->sharers.nextChange(at(millis)).has_value();
            for (std::size_t i = 0; i < row.coldFrom.size(); ++i) {
                const int from = row.coldFrom[i];
                if (millis < from + daemon->conditions().hearsAt || !isCold(from))
                    continue;
                for (EndpointKey endpoint = 1; endpoint <= row.endpoints; ++endpoint) {
                    // Repeated at each step, as records and messages of peers are.
                    if (daemon->cold.noteRecord(endpoint, i + 1,
                                                Millis(from + kColdMillis - millis), at(millis)))
                        changed = true;
                }
            }
            if (changed || daemon->sharers.nextChange(at(millis - kStepMillis)))
                daemon->update(row.perSecond, millis);
        }
    }
    ColdOutcome outcome;
    for (EndpointKey endpoint = 1; endpoint <= row.endpoints; ++endpoint) {
        outcome.most = std::max(outcome.most, mostInAWindow(sent[endpoint]));
        outcome.use = std::min(outcome.use,
                               static_cast<double>(sent[endpoint].size()) / allowed[endpoint]);
    }
    return outcome;
}

const auto kInTouch = [](unsigned, unsigned) { return Conditions{}; };
constexpr double kLittleUnused = 0.9;

} // namespace

TEST_GROUP(ColdLimits){};

// Guards against daemons that together send a cold endpoint so much that it crashes, and against
// daemons that leave its limit unused.
TEST(ColdLimits, allDaemonsTogetherKeepWithinTheLimitOfAColdEndpoint)
{
    const ColdCase cases[] = {
            {.name = "one endpoint", .conditions = kInTouch, .minUse = kLittleUnused},
            {.name = "a whole failure domain at once",
             .endpoints = 20,
             .conditions = kInTouch,
             .minUse = kLittleUnused},
            {.name = "a low limit",
             .perSecond = 2.2,
             .conditions = kInTouch,
             .warmPerSecond = 2,
             .minUse = 0.8}, // Of six requests and a half, the last one may come too late.
            {.name = "a high limit",
             .perSecond = 100,
             .conditions = kInTouch,
             .minUse = kLittleUnused},
            {.name = "a tenth of the daemons is known to half of the others only",
             .conditions = kInTouch,
             .knows = [](unsigned daemon, unsigned other,
                         unsigned) { return other % 10 != 0 || daemon % 2 == 0; }},
            {.name = "each daemon misses some others",
             .conditions = kInTouch,
             .knows = [](unsigned daemon, unsigned other,
                         unsigned) { return mix64(daemon * 1000 + other) % 10 != 0; }},
            {.name = "a third has just started and has no list",
             .endpoints = 20,
             .conditions =
                     [](unsigned daemon, unsigned) {
                         return daemon % 3 != 0
                                        ? Conditions{}
                                        : Conditions{.startedAt = 300 + static_cast<int>(daemon),
                                                     .readsList = false};
                     },
             .knows = [](unsigned daemon, unsigned, unsigned) { return daemon % 3 != 0; }},
            {.name = "all start while the endpoint is cold, and learn of each other late",
             .conditions
             = [](unsigned daemon,
                  unsigned) { return Conditions{.startedAt = static_cast<int>(daemon * 2)}; },
             .warmPerSecond = 0},
            {.name = "the news are up to 0.6 s late",
             .conditions =
                     [](unsigned daemon, unsigned) {
                         return Conditions{.hearsAt = static_cast<int>(mix64(daemon) % 600)};
                     }},
            {.name = "a third hears of it 2 s late",
             .conditions
             = [](unsigned daemon,
                  unsigned) { return Conditions{.hearsAt = daemon % 3 == 0 ? 2000 : 5}; }},
            {.name = "a third never hears of it",
             .conditions
             = [](unsigned daemon,
                  unsigned) { return Conditions{.hearsAt = daemon % 3 == 0 ? 10'000 : 5}; }},
            {.name = "half are paused before they hear of it",
             .conditions =
                     [](unsigned daemon, unsigned) {
                         return daemon % 2 != 0 ? Conditions{}
                                                : Conditions{.pausedFrom = -300, .pausedTo = 800};
                     }},
            {.name = "all are paused over a second while they own parts",
             .conditions =
                     [](unsigned daemon, unsigned) {
                         return Conditions{.pausedFrom = 700 + static_cast<int>(daemon % 7) * 20,
                                           .pausedTo = 1900};
                     }},
            {.name = "it becomes cold again while it is cold",
             .conditions = kInTouch,
             .minUse = kLittleUnused,
             .coldFrom = {0, 2000}},
            {.name = "it becomes cold again after it was warm",
             .conditions = kInTouch,
             .minUse = kLittleUnused,
             .coldFrom = {0, 4000}},
            {.name = "it becomes cold again, and the news are up to 0.6 s late",
             .conditions =
                     [](unsigned daemon, unsigned) {
                         return Conditions{.hearsAt = static_cast<int>(mix64(daemon) % 600)};
                     },
             .coldFrom = {0, 3100}},
    };
    for (const ColdCase &row : cases) {
        for (const unsigned daemons : {1U, 8U, 16U, 30U, 88U, 295U}) {
            const ColdOutcome outcome = simulate(row, daemons);
            const std::string text = fmt::format("{}, {} daemons: {} in a second, {:.2f} used",
                                                 row.name, daemons, outcome.most, outcome.use);
            CHECK_TRUE_TEXT(static_cast<double>(outcome.most)
                                    <= row.perSecond * kColdOverage + kColdSlack,
                            text.c_str());
            CHECK_TRUE_TEXT(outcome.use >= row.minUse, text.c_str());
        }
    }
}

// Guards against a limit that outlives the cold time, because a statement is repeated, read late or
// older than one that is known, and against one that ends too soon.
TEST(ColdLimits, theNewestStatementsOfAnEndpointCount)
{
    enum class From { Record, Answer, AnswerToPeer };
    struct Statement
    {
        const char *name;
        int millis;
        From from;
        std::uint64_t revision; ///< Of a record.
        int left;
        bool changed;
        int until; ///< Afterwards; 0 if it is not cold.
    };
    const Statement statements[] = {
            {"not cold", 0, From::Record, 4, 0, false, 0},
            {"an older record", 10, From::Record, 3, 3000, false, 0},
            {"cold", 100, From::Record, 5, 3000, true, 3100},
            {"the same record, read again", 700, From::Record, 5, 3000, false, 3100},
            {"the same record, told by a peer", 800, From::Record, 5, 2400, false, 3100},
            {"the next record, read at once", 900, From::Record, 6, 2150, false, 3050},
            {"an answer that says the same", 1000, From::Answer, 0, 2040, false, 3050},
            {"a peer that had such an answer", 1500, From::AnswerToPeer, 0, 1700, false, 3050},
            {"an answer that was on its way", 1600, From::Answer, 0, 0, false, 3050},
            {"cold again, by an answer", 2500, From::Answer, 0, 3000, true, 5500},
            {"a record from before", 2600, From::Record, 7, 400, false, 5500},
            {"the record of that", 3000, From::Record, 8, 2500, false, 5500},
            {"cold again, by a peer", 4000, From::AnswerToPeer, 0, 3000, true, 7000},
            {"the peer says it again, late", 4200, From::AnswerToPeer, 0, 3000, false, 7000},
            {"warm, by a record only", 5000, From::Record, 9, 0, false, 7000},
            {"warm, by an answer too", 5100, From::Answer, 0, 0, true, 0},
            {"a record that is mistaken", 6000, From::Record, 10, 2'000'000'000, true, 606'000},
            {"a negative time", 6100, From::Record, 11, -5, true, 0},
    };
    ColdEndpoints cold(kMaxEndpoints);
    for (const Statement &row : statements) {
        const TimePoint now = at(row.millis);
        const bool changed = row.from == From::Record ? cold.noteRecord(kEndpoint, row.revision,
                                                                        Millis(row.left), now)
                             : row.from == From::Answer
                                     ? cold.noteAnswer(kEndpoint, Millis(row.left), now)
                                     : cold.noteAnswerToPeer(kEndpoint, Millis(row.left), now);
        CHECK_EQUAL_TEXT(row.changed, changed, row.name);
        const int left = std::max(0, row.until - row.millis);
        LONGS_EQUAL_TEXT(left, cold.left(kEndpoint, now).count(), row.name);
        LONGS_EQUAL_TEXT(left > 0 ? 1 : 0, cold.cold(now).size(), row.name);
    }
    LONGS_EQUAL_TEXT(0, cold.left(kEndpoint + 1, at(0)).count(), "another endpoint");
}

// Guards against a table of cold endpoints that grows with each instance.
TEST(ColdLimits, instancesThatAreGoneMakeRoomForOthers)
{
    constexpr int kHourMillis = 3600'000;
    ColdEndpoints cold(2);
    CHECK_TRUE(cold.noteRecord(1, 1, Millis(3000), at(0)));
    CHECK_TRUE(cold.noteRecord(2, 1, Millis(3000), at(0)));
    CHECK_FALSE(cold.noteRecord(3, 1, Millis(3000), at(1000)));
    CHECK_FALSE(cold.noteRecord(1, 1, Millis(3000), at(kHourMillis)));
    CHECK_TRUE(cold.noteRecord(3, 1, Millis(3000), at(kHourMillis)));
    CHECK_FALSE_TEXT(cold.noteRecord(1, 1, Millis(3000), at(kHourMillis)),
                     "a record that has been read all the time");
}

// Guards against two sides of a partitioned fleet that each use the whole limit, and against a
// daemon that uses it alone because it does not know the others yet.
TEST(ColdLimits, silentDaemonsKeepTheirPart)
{
    constexpr unsigned kDaemons = 88;
    constexpr double kLimit = 17;
    std::vector<LimitSharers> fleet;
    for (DaemonKey daemon = 0; daemon < kDaemons; ++daemon)
        fleet.emplace_back(mix64(daemon), at(0));
    struct Moment
    {
        const char *name;
        int millis;
        bool listed;
        std::function<bool(unsigned daemon, unsigned other)> hears;
        double least; ///< What all own together, in requests a second.
        double most;
    };
    const auto all = [](unsigned, unsigned) { return true; };
    const auto none = [](unsigned, unsigned) { return false; };
    const auto ownSide = [](unsigned daemon, unsigned other) { return daemon % 3 == other % 3; };
    const Moment moments[] = {
            {"just started", 10, false, none, 0, 0},
            {"the list is read", 500, true, none, 0, 0},
            {"some are heard", 900, true, ownSide, 0, 0},
            {"a second after the start, not all are heard", 1100, true, ownSide, kLimit, kLimit},
            {"all are in touch", 3000, true, all, kLimit, kLimit},
            {"three sides, six seconds later", 9000, true, ownSide, kLimit, kLimit},
            {"three sides, a minute later", 69'000, true, ownSide, kLimit, kLimit},
            {"nobody hears anybody", 80'000, true, none, kLimit, kLimit},
            {"together again", 90'000, true, all, kLimit, kLimit},
    };
    for (const Moment &moment : moments) {
        const TimePoint now = at(moment.millis);
        double together = 0;
        for (unsigned daemon = 0; daemon < kDaemons; ++daemon) {
            if (moment.listed)
                fleet[daemon].noteListRead();
            for (unsigned other = 0; other < kDaemons; ++other) {
                if (moment.listed)
                    fleet[daemon].noteListed(mix64(other), now);
                if (moment.hears(daemon, other))
                    fleet[daemon].noteHeard(mix64(other), now, false);
            }
            EndpointLimits limits(mix64(daemon), kMaxEndpoints);
            limits.setColdLimits({{kEndpoint, kLimit, now + Millis(kColdMillis)}},
                                 fleet[daemon].sharers(now), now);
            together += limits.ownPerSecond(kEndpoint, now);
        }
        CHECK_TRUE_TEXT(together >= moment.least - 0.001 && together <= moment.most + 0.001,
                        fmt::format("{}: {}", moment.name, together).c_str());
    }
}

// Guards against parts that nobody uses after daemons have left or been replaced.
TEST(ColdLimits, daemonsThatLeaveGiveUpTheirPart)
{
    constexpr int kMinuteMillis = 60'000;
    LimitSharers sharers(1, at(0));
    LONGS_EQUAL_TEXT(0, sharers.sharers(at(4999)).size(), "neither list nor time");
    LONGS_EQUAL_TEXT(1, sharers.sharers(at(5000)).size(), "alone, without a list");
    sharers.noteListRead();
    CHECK_TRUE(sharers.nextChange(at(500)) == at(1000));
    for (DaemonKey daemon = 1; daemon <= 4; ++daemon)
        sharers.noteListed(daemon, at(1000));
    LONGS_EQUAL(4, sharers.sharers(at(1000)).size());
    sharers.noteHeard(2, at(2000), true);
    LONGS_EQUAL_TEXT(3, sharers.sharers(at(2000)).size(), "one leaves");
    sharers.noteListed(2, at(3000));
    LONGS_EQUAL_TEXT(3, sharers.sharers(at(3000)).size(), "the list still has it");
    sharers.noteHeard(2, at(4000), false);
    LONGS_EQUAL_TEXT(4, sharers.sharers(at(4000)).size(), "it has started again");
    for (int minute = 1; minute <= 11; ++minute) {
        sharers.noteHeard(2, at(minute * kMinuteMillis), false);
        sharers.noteListed(3, at(minute * kMinuteMillis));
    }
    LONGS_EQUAL_TEXT(2, sharers.sharers(at(11 * kMinuteMillis)).size(),
                     "the list has daemons that are gone for good");
}

// Guards against a cold endpoint that gets more than it states, and against a limit that goes on
// after the cold time.
TEST(ColdLimits, theLowerLimitCountsWhileTheEndpointIsCold)
{
    struct Case
    {
        const char *name;
        std::optional<double> stated;
        std::optional<double> cold;
        double whileCold; ///< Requests a second of the only daemon.
        double afterwards;
    };
    const Case cases[] = {
            {"neither", {}, {}, 0, 0},
            {"cold only", {}, 17, 17, 0},
            {"stated only", 4, {}, 4, 4},
            {"lower while cold", 40, 17, 17, 40},
            {"lower limit stated", 4, 17, 4, 4},
            {"the same", 17, 17, 17, 17},
            {"states that it takes nothing", 0, 17, 0, 0},
    };
    for (const Case &row : cases) {
        EndpointLimits limits(1, kMaxEndpoints);
        if (row.stated)
            limits.note({kEndpoint, row.stated, at(0)});
        limits.assignOwners({1}, at(0));
        if (row.cold)
            limits.setColdLimits({{kEndpoint, *row.cold, at(kColdMillis)}}, {1}, at(0));
        DOUBLES_EQUAL_TEXT(row.whileCold, limits.ownPerSecond(kEndpoint, at(kColdMillis - 1)),
                           0.001, row.name);
        DOUBLES_EQUAL_TEXT(row.afterwards, limits.ownPerSecond(kEndpoint, at(kColdMillis)), 0.001,
                           row.name);
        CHECK_EQUAL_TEXT(!row.stated && !row.cold, limits.allows(kEndpoint, at(0)), row.name);
        CHECK_EQUAL_TEXT(row.stated != 0.0, limits.allows(kEndpoint, at(kColdMillis)), row.name);
        LONGS_EQUAL_TEXT(row.stated ? 1 : 0, limits.limits().size(), "told to peers");
    }
}

// Guards against requests that wait for the limit to grow when it ends before.
TEST(ColdLimits, theNextRequestMayBeSentAtTheEndOfTheColdTimeAtTheLatest)
{
    constexpr DaemonKey kSelf = 1;
    constexpr DaemonKey kOther = 2;
    EndpointLimits limits(kSelf, kMaxEndpoints);
    const auto next = [&](int millis) { return limits.nextAt(kEndpoint, at(millis)); };
    limits.setColdLimits({{kEndpoint, 2.0, at(700)}}, {kSelf}, at(0));
    CHECK_TRUE_TEXT(next(0) == at(500), "by the limit");
    limits.take(kEndpoint, at(500));
    CHECK_TRUE_TEXT(next(510) == at(700), "by the end of the cold time");
    CHECK_TRUE_TEXT(next(800) == at(800), "warm");
    limits.setColdLimits({{kEndpoint, 2.0, at(2000)}}, {kOther}, at(1000));
    CHECK_TRUE_TEXT(next(1000) == at(2000), "another daemon owns the limit");
    limits.note({kEndpoint, 4.0, at(1000)});
    limits.assignOwners({kOther}, at(1000));
    CHECK_FALSE_TEXT(next(1000).has_value(), "another daemon owns both limits");
    limits.assignOwners({kSelf}, at(1000));
    CHECK_TRUE_TEXT(next(1000) == at(2000), "the limit that is stated goes on");
}

// Guards against parts that are lost with requests which never reached the endpoint, and against a
// part that grows by requests which were sent before the endpoint became cold.
TEST(ColdLimits, aRequestThatCouldNotBeSentGivesItsPartBack)
{
    EndpointLimits limits(1, kMaxEndpoints);
    limits.take(kEndpoint, at(0));
    limits.setColdLimits({{kEndpoint, 1.0, at(kColdMillis)}}, {1}, at(100));
    limits.giveBack(kEndpoint, at(0), at(200));
    CHECK_FALSE(limits.allows(kEndpoint, at(200)));
    CHECK_TRUE(limits.allows(kEndpoint, at(1100)));
    limits.take(kEndpoint, at(1100));
    CHECK_FALSE(limits.allows(kEndpoint, at(1200)));
    limits.giveBack(kEndpoint, at(1100), at(1200));
    CHECK_TRUE(limits.allows(kEndpoint, at(1200)));
}

// Guards against prompts that a cold endpoint gets although its limit is used up, and against
// keeping it from helping with prompts of other endpoints, which does not count.
TEST(ColdLimits, anEndpointWithNothingLeftMayOnlyHelp)
{
    constexpr EndpointKey kCold = 1;
    constexpr EndpointKey kWarm = 2;
    EngineModel engine;
    engine.slots = 12;
    engine.kvCapacityTokens = 344'250;
    engine.prefillTokensPerMs = 256;
    std::vector<EndpointView> endpoints(2);
    endpoints[0].key = kCold;
    endpoints[1].key = kWarm;
    // The cold one is idle, so it is the better choice.
    endpoints[1].load.sequences = 3;
    for (EndpointView &endpoint : endpoints)
        endpoint.slots = engine.slots;
    EndpointLimits limits(1, kMaxEndpoints);
    limits.setColdLimits({{kCold, 1.0, at(kColdMillis)}}, {1}, at(0));
    const auto place = [&](std::uint64_t tokens, int millis) {
        for (EndpointView &endpoint : endpoints)
            endpoint.receives = limits.allows(endpoint.key, at(millis));
        return placeStream({.promptTokens = tokens,
                            .answerTokens = 100,
                            .untilObjective = FloatMillis(700),
                            .untilDeadline = FloatMillis(10'000)},
                           engine, endpoints);
    };
    const auto heads = [](const Placement &placement) { return placement.head; };
    LONGS_EQUAL_TEXT(kWarm, heads(place(1000, 500)), "nothing is left");
    LONGS_EQUAL_TEXT(2, place(260'000, 500).helpers.size() + 1, "it helps with a long prompt");
    LONGS_EQUAL(kWarm, heads(place(260'000, 500)));
    limits.take(kCold, at(1000));
    LONGS_EQUAL_TEXT(kWarm, heads(place(1000, 1010)), "its part is used up");
    CHECK_TRUE_TEXT(limits.allows(kCold, at(kColdMillis)), "warm");
    endpoints[1].load.sequences = engine.slots;
    CHECK_TRUE(place(1000, 1010).outcome == PlacementOutcome::Wait);
    CHECK_TRUE(place(1000, kColdMillis).outcome == PlacementOutcome::Send);
}
