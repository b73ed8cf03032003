// What a daemon records of prefixes, when it believes that a hit saves time, and when it lets that
// change a placement.

#include "prefixcache/prefixcache.h"
#include "prefixcache/promptprefix.h"
#include "routing/fleetview.h"
#include "support/productionengine.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;
using View = cicadafork::gateway::EndpointView;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr const char *kService = "pool";
constexpr EndpointKey kHolder = 7;
constexpr std::uint64_t kPromptTokens = 45'000;
constexpr std::uint64_t kPrefixTokens = 30'000;

const EngineModel kEngine
        = productionEngine({.slots = 12, .kvCapacityTokens = 344'250, .stride = 60});

using Tokens = std::vector<std::optional<std::uint64_t>>;

CallerFields promptOf(std::vector<PromptPartId> parts, Tokens tokens,
                      std::uint64_t promptTokens = kPromptTokens)
{
    CallerFields fields;
    fields.promptTokens = promptTokens;
    fields.sharedPromptParts = std::move(parts);
    fields.sharedPromptTokens = std::move(tokens);
    return fields;
}

bool operator==(const Placement &a, const Placement &b)
{
    return a.outcome == b.outcome && a.head == b.head && a.helpers == b.helpers
           && a.holders == b.holders && a.kvTokensPerHolder == b.kvTokensPerHolder
           && a.prefillTime == b.prefillTime && a.firstEvent == b.firstEvent && a.onTime == b.onTime
           && std::string(a.reason) == b.reason && a.prefixSaving == b.prefixSaving
           && a.prefixTokens == b.prefixTokens;
}

/// A history in which hits save the given share of the held prefill, with some noise.
void learn(SavingHistory &history, double share, unsigned pairs, double noise, Random &random,
           TimePoint &now)
{
    std::normal_distribution<double> deviation(0, noise);
    const FloatMillis prefill = prefillTime(kEngine, kPromptTokens);
    const FloatMillis held = prefillTime(kEngine, kPrefixTokens);
    for (unsigned i = 0; i < 2 * pairs; ++i) {
        now += Millis(1000);
        // The order in which pairs begin: with a miss, with a hit, and so on.
        const bool hit = (i % 4 == 1 || i % 4 == 2);
        FirstEventObservation observation{.prefill = prefill};
        observation.heldPrefill = hit ? held : FloatMillis(0);
        observation.deviation = deviation(random) * prefill - (hit ? share * held : FloatMillis(0));
        noteFirstEvent(history, observation, now);
    }
}

} // namespace

TEST_GROUP(PromptPrefixes){};

// Guards against prefixes of different prompts that are taken for the same, and against lengths
// that the caller did not state.
TEST(PromptPrefixes, endAfterEachSharedPartThatIsAQuarterLonger)
{
    struct Case
    {
        const char *name;
        CallerFields fields;
        std::vector<std::uint64_t> tokens;
    };
    const Case cases[] = {
            {"no shared part", promptOf({}, {}), {}},
            {"one part", promptOf({1}, {800}), {800}},
            {"a short first part", promptOf({1, 2}, {400, 400}), {800}},
            {"a part that adds little", promptOf({1, 2, 3}, {800, 100, 300}), {800, 1200}},
            {"tokens not stated", promptOf({1, 2, 3}, {800, std::nullopt, 900}), {800}},
            {"more than the prompt", promptOf({1, 2}, {800, 50'000}), {800}},
            {"an overflow", promptOf({1, 2}, {800, ~std::uint64_t(0)}), {800}},
    };
    for (const Case &row : cases) {
        std::vector<std::uint64_t> tokens;
        for (const Prefix &prefix : promptPrefixes(row.fields))
            tokens.push_back(prefix.tokens);
        CHECK_TRUE_TEXT(tokens == row.tokens, row.name);
    }
}

TEST(PromptPrefixes, areTheSameForPromptsThatBeginWithTheSameParts)
{
    const auto prefixes = promptPrefixes(promptOf({1, 2}, {800, 800}));
    const auto longer = promptPrefixes(promptOf({1, 2, 3}, {800, 800, 5000}));
    const auto exchanged = promptPrefixes(promptOf({2, 1}, {800, 800}));
    const auto otherTokens = promptPrefixes(promptOf({1, 2}, {801, 800}));
    LONGS_EQUAL(2, prefixes.size());
    CHECK_TRUE(std::equal(prefixes.begin(), prefixes.end(), longer.begin()));
    CHECK_TRUE(prefixes[1].hash != exchanged[1].hash);
    CHECK_TRUE(prefixes[0].hash != otherTokens[0].hash);
}

TEST_GROUP(SavingEstimator){};

// Guards against an estimate from too few hits, and against one that does not follow the engines.
TEST(SavingEstimator, needsPairsThatShowASaving)
{
    struct Case
    {
        const char *name;
        double share;
        unsigned pairs;
        double noise;
        double least;
        double most;
    };
    const Case cases[] = {
            {"too few pairs", 0.9, 20, 0.05, 0, 0},
            {"enough pairs", 0.9, 40, 0.05, 0.8, 1},
            {"much noise", 0.9, 40, 2.0, 0, 0},
            {"nothing saved", 0, 400, 0.3, 0, 0},
            {"hits are slower", -0.5, 400, 0.3, 0, 0},
            {"hardly anything saved", 0.05, 400, 0.01, 0, 0},
            {"more than all saved", 1.5, 100, 0.1, 1, 1},
    };
    for (const Case &row : cases) {
        SavingHistory history;
        Random random(11);
        TimePoint now = kStart;
        learn(history, row.share, row.pairs, row.noise, random, now);
        const double share = estimateSaving(history).share;
        CHECK_TRUE_TEXT(share >= row.least && share <= row.most,
                        fmt::format("{}: {}", row.name, share).c_str());
    }
}

// Guards against requests that go on to wait for holders after the engines have been set to keep
// nothing.
TEST(SavingEstimator, returnsToZeroWhenEnginesKeepNothingAnyLonger)
{
    SavingHistory history;
    Random random(12);
    TimePoint now = kStart;
    learn(history, 0.9, 400, 0.2, random, now);
    CHECK_TRUE(estimateSaving(history).share > 0);
    learn(history, 0, 400, 0.2, random, now);
    DOUBLES_EQUAL(0, estimateSaving(history).share, 0);
}

// Guards against a saving that is concluded from skewed times, from endpoints that are slow after
// their start, when all requests are misses, or from a load that falls while hits become frequent.
TEST(SavingEstimator, findsNoSavingInSkewedTimesOrAChangingLoad)
{
    constexpr unsigned kSeeds = 20;
    constexpr unsigned kRequests = 20'000;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        SavingHistory history;
        Random random(seed);
        std::lognormal_distribution<double> skewed(-1, 1.2);
        std::uniform_real_distribution<double> unit(0, 1);
        std::uniform_int_distribution<std::uint64_t> tokens(32'000, 80'000);
        TimePoint now = kStart;
        for (unsigned i = 0; i < kRequests; ++i) {
            now += Millis(500);
            const double progress = static_cast<double>(i) / kRequests;
            const bool hit = i > 200 && unit(random) < 0.05 + 0.5 * progress;
            const double cold = i < 100 ? 2 : 0;
            const FloatMillis prefill = prefillTime(kEngine, tokens(random));
            FirstEventObservation observation{.prefill = prefill};
            observation.heldPrefill = hit ? prefillTime(kEngine, kPrefixTokens) : FloatMillis(0);
            observation.deviation = (skewed(random) + cold + 1 - progress) * prefill;
            noteFirstEvent(history, observation, now);
            DOUBLES_EQUAL_TEXT(0, estimateSaving(history).share, 0,
                               fmt::format("seed {}, request {}", seed, i).c_str());
        }
    }
}

TEST_GROUP(PreferHolder)
{
    PlacementRequest request{.promptTokens = kPromptTokens,
                             .answerTokens = 400,
                             .maxEventGap = Millis(600),
                             .untilObjective = FloatMillis(1500),
                             .untilDeadline = FloatMillis(10'000)};
    const FloatMillis saving = prefillTime(kEngine, kPrefixTokens);

    static std::vector<View> idleViews()
    {
        std::vector<View> views;
        for (EndpointKey key = 1; key <= kHolder; ++key) {
            View view;
            view.key = key;
            view.slots = 12;
            view.inOwnDomain = true;
            view.tieBreaker = 0.01 * static_cast<double>(key);
            views.push_back(view);
        }
        return views;
    }
};

// Guards against a holder that placement would not allow, that makes the request wait for longer
// than it saves, or that takes what other requests need.
TEST(PreferHolder, movesARequestOnlyForAGain)
{
    struct Case
    {
        const char *name;
        void (*change)(View &holder, std::vector<View> &others, PlacementRequest &request);
        bool moved;
    };
    const Case cases[] = {
            {"an idle holder", [](View &, std::vector<View> &, PlacementRequest &) {}, true},
            {"a short wait",
             [](View &holder, auto &, auto &) { holder.load.pendingPrefill = FloatMillis(80); },
             true},
            {"a longer wait than it saves",
             [](View &holder, auto &, auto &) { holder.load.pendingPrefill = FloatMillis(160); },
             false},
            {"a suspended holder", [](View &holder, auto &, auto &) { holder.usable = false; },
             false},
            {"a holder whose limit is used up",
             [](View &holder, auto &, auto &) { holder.receives = false; }, false},
            {"a full holder", [](View &holder, auto &, auto &) { holder.load.sequences = 12; },
             false},
            {"the last slot", [](View &holder, auto &, auto &) { holder.load.sequences = 11; },
             false},
            {"many more streams than elsewhere",
             [](View &holder, auto &, auto &) { holder.load.sequences = 4; }, false},
            {"no memory", [](View &holder, auto &, auto &) { holder.load.kvTokens = 300'000; },
             false},
            {"a stream there would pause for too long",
             [](View &holder, auto &, auto &) {
                 holder.load.sequences = holder.load.decodingSequences = 1;
                 holder.load.shortestEventGap = Millis(300);
             },
             false},
            {"short streams there only",
             [](View &holder, auto &, auto &request) {
                 holder.load.sequences = holder.load.decodingSequences = 1;
                 holder.load.shortestEventGap = Millis(290);
                 request.promptTokens = 31'000;
             },
             false},
            {"late there without the saving, on time elsewhere",
             [](View &holder, auto &, auto &request) {
                 request.untilObjective = FloatMillis(420);
                 holder.load.pendingPrefill = FloatMillis(60);
             },
             false},
            {"a holder in another failure domain",
             [](View &holder, auto &, auto &) { holder.inOwnDomain = false; }, false},
            {"all are busier than the holder",
             [](View &, auto &others, auto &) {
                 for (View &other : others)
                     other.load.pendingPrefill = FloatMillis(50);
             },
             true},
    };
    for (const Case &row : cases) {
        std::vector<View> others = idleViews();
        View holder = others.back();
        others.pop_back();
        PlacementRequest changed = request;
        row.change(holder, others, changed);
        std::vector<View> views = others;
        views.push_back(holder);
        const Placement chosen = placeStream(changed, kEngine, views);
        CHECK_TRUE_TEXT(chosen.outcome == PlacementOutcome::Send && chosen.helpers.empty(),
                        row.name);
        const HeldPrefix held{kHolder, kPrefixTokens, saving};
        const Placement preferred = preferHolder(chosen, {&held, 1}, changed, kEngine, views);
        CHECK_TRUE_TEXT((preferred.head == kHolder) == row.moved, row.name);
        CHECK_TRUE_TEXT(row.moved ? preferred.prefixSaving == saving : preferred == chosen,
                        row.name);
    }
}

// Guards against decisions outside the rules of placement in any state of the endpoints.
TEST(PreferHolder, staysWithinTheRulesOfPlacementInRandomStates)
{
    constexpr unsigned kStates = 20'000;
    // Of the time left until the objective, as in placement.
    constexpr double kObjectiveShare = 0.85;
    Random random(21);
    const auto below = [&](std::uint64_t limit) { return random() % limit; };
    unsigned moved = 0;
    for (unsigned state = 0; state < kStates; ++state) {
        std::vector<View> views = idleViews();
        std::vector<HeldPrefix> held;
        for (View &view : views) {
            view.load.decodingSequences = static_cast<unsigned>(below(6));
            view.load.sequences = view.load.decodingSequences + static_cast<unsigned>(below(7));
            view.load.contextTokens = view.load.decodingSequences * 20'000;
            view.load.kvTokens = below(330'000);
            view.load.pendingPrefill = FloatMillis(static_cast<double>(below(3) * below(300)));
            if (view.load.decodingSequences > 0)
                view.load.shortestEventGap = Millis(below(2) == 0 ? 250 : 1000);
            view.usable = below(10) > 0;
            view.receives = below(10) > 0;
            view.inOwnDomain = below(3) > 0;
            view.slowdown = 0.7 + static_cast<double>(below(100)) / 100;
            if (below(3) == 0)
                held.push_back({view.key, kPrefixTokens, saving});
        }
        PlacementRequest varied = request;
        varied.promptTokens = 31'000 + below(60'000);
        varied.maxEventGap = Millis(below(2) == 0 ? 250 : 1500);
        varied.untilObjective = FloatMillis(static_cast<double>(below(2000)));
        const Placement chosen = placeStream(varied, kEngine, views);
        const Placement preferred = preferHolder(chosen, held, varied, kEngine, views);
        CHECK_TRUE(preferred.outcome == chosen.outcome && preferred.onTime == chosen.onTime);
        if (preferred.head == chosen.head)
            continue;
        ++moved;
        const View view = views[preferred.head - 1];
        CHECK_TRUE(view.usable && view.receives);
        if (chosen.onTime)
            CHECK_TRUE(preferred.firstEvent <= kObjectiveShare * varied.untilObjective);
        // Placement itself sends the request there if no other endpoint can take a part of it. The
        // others stay in view, since idle ones decide whether long prompts may be late.
        std::vector<View> occupied = views;
        for (View &other : occupied) {
            if (other.key != view.key)
                other.load.helperPrefills = other.slots;
        }
        const Placement alone = placeStream(varied, kEngine, occupied);
        CHECK_TRUE(alone.outcome == PlacementOutcome::Send && alone.head == preferred.head);
        CHECK_TRUE(alone.onTime == preferred.onTime && alone.firstEvent == preferred.firstEvent);
    }
    CHECK_TRUE(moved > kStates / 100);
}

TEST_GROUP(PrefixCacheRecords)
{
    PrefixCache cache;
    TimePoint now = kStart;
    const CallerFields fields = promptOf({1}, {kPrefixTokens});
    Placement placement;

    void setup() override
    {
        placement.outcome = PlacementOutcome::Send;
        placement.head = kHolder;
        placement.prefillTime = prefillTime(kEngine, kPromptTokens);
    }

    PrefixUse use() const
    {
        return cache.noteSent(fields, placement, kEngine, now);
    }

    void prefill()
    {
        cache.noteFirstEvent(kService, kHolder, use(), FloatMillis(300), FloatMillis(300), now);
    }
};

// Guards against hits at an instance that has lost its memory, and at prompts that it prefilled
// only in part.
TEST(PrefixCacheRecords, lastUntilTheInstanceIsForgotten)
{
    CHECK_FALSE(use().hit);
    CHECK_TRUE(use().observation && use().observation->heldPrefill == FloatMillis(0));
    prefill();
    CHECK_TRUE(use().hit);
    placement.head = kHolder + 1;
    CHECK_FALSE(use().hit);
    placement.head = kHolder;
    cache.forget(kHolder + 1);
    CHECK_TRUE(use().hit);
    now += 5 * kPrefixHalfLife;
    CHECK_FALSE(use().hit);
    now -= 5 * kPrefixHalfLife;
    cache.forget(kHolder);
    CHECK_FALSE(use().hit);
    placement.helpers = {kHolder + 1};
    CHECK_TRUE(use().prefixes.empty());
}

// Guards against memory that grows with the number of prompts.
TEST(PrefixCacheRecords, areBounded)
{
    for (PromptPartId part = 1; part <= 3 * PrefixCache::kMaxPrefixes; ++part) {
        const CallerFields other = promptOf({part}, {kPrefixTokens});
        const PrefixUse sent = cache.noteSent(other, placement, kEngine, now);
        cache.noteFirstEvent(fmt::format("s{}", part), kHolder, sent, FloatMillis(300),
                             FloatMillis(300), now);
    }
    LONGS_EQUAL(PrefixCache::kMaxPrefixes, cache.size());
    LONGS_EQUAL(PrefixCache::kMaxServices, cache.histories().size());
}

TEST_GROUP(PrefixReplay){};

// Guards against any effect on placements while nothing is known to be saved. A day of one daemon;
// the engines keep nothing, and their times vary.
TEST(PrefixReplay, aDayWithoutASavingIsPlacedAsWithoutTheFeature)
{
    constexpr unsigned kEndpoints = 24;
    constexpr unsigned kSlots = 12;
    constexpr Millis kDay{86'400'000};
    constexpr double kPerMs = 0.0012;
    constexpr unsigned kPrefixes = 20;
    Random random(31);
    std::exponential_distribution<double> gap(kPerMs);
    std::lognormal_distribution<double> noise(0, 0.3);
    std::lognormal_distribution<double> suffix(9.6, 0.6);
    // Each world has its own load, so that they diverge after the first difference.
    struct World
    {
        LoadTracker tracker{10'000};
        std::deque<std::pair<TimePoint, JobId>> ends;
    };
    World with;
    World without;
    PrefixCache cache;
    const auto viewsOf = [&](World &world, TimePoint now) {
        while (!world.ends.empty() && world.ends.front().first <= now) {
            world.tracker.ended(world.ends.front().second, now);
            world.ends.pop_front();
        }
        std::vector<View> views;
        for (EndpointKey key = 1; key <= kEndpoints; ++key) {
            View view;
            view.key = key;
            view.slots = kSlots;
            view.inOwnDomain = key % 3 != 0;
            view.tieBreaker = static_cast<double>(key) / (2 * kEndpoints);
            view.load = world.tracker.load(key, now);
            views.push_back(view);
        }
        return views;
    };
    const auto place = [&](World &world, const Placement &placement, std::uint32_t number,
                           TimePoint now) {
        Job job;
        job.id = {1, number};
        job.maxEventGap = Millis(600);
        job.placed = now;
        job.parts.push_back({placement.head, placement.prefillTime, true,
                             static_cast<std::uint32_t>(placement.kvTokensPerHolder)});
        for (const EndpointKey helper : placement.helpers)
            job.parts.push_back({helper, placement.prefillTime, false, 0});
        job.promptTokens = kPromptTokens;
        job.expectedPrefillEnd
                = now + std::chrono::duration_cast<SteadyClock::duration>(placement.firstEvent);
        job.expires = now + std::chrono::minutes(1);
        world.tracker.place(job);
        world.ends.emplace_back(now + std::chrono::seconds(8), job.id);
    };
    struct FirstEvent
    {
        TimePoint at{};
        EndpointKey endpoint = 0;
        PrefixUse use;
        FloatMillis took{0};
        FloatMillis expected{0};
    };
    std::deque<FirstEvent> firstEvents;
    unsigned requests = 0;
    unsigned hits = 0;
    double elapsed = 0;
    for (elapsed = gap(random); elapsed < static_cast<double>(kDay.count());
         elapsed += gap(random)) {
        const TimePoint now = kStart + Millis(static_cast<Millis::rep>(elapsed));
        const std::uint64_t suffixTokens
                = std::min<std::uint64_t>(static_cast<std::uint64_t>(suffix(random)), 200'000);
        const CallerFields fields
                = promptOf({random() % kPrefixes}, {kPrefixTokens}, kPrefixTokens + suffixTokens);
        const PlacementRequest request{.promptTokens = fields.promptTokens,
                                       .answerTokens = 400,
                                       .maxEventGap = Millis(600),
                                       .untilObjective = FloatMillis(1500),
                                       .untilDeadline = FloatMillis(10'000)};
        for (; !firstEvents.empty() && firstEvents.front().at <= now; firstEvents.pop_front()) {
            const FirstEvent &event = firstEvents.front();
            cache.noteFirstEvent(kService, event.endpoint, event.use, event.took, event.expected,
                                 event.at);
        }
        const std::vector<View> views = viewsOf(with, now);
        const Placement chosen
                = cache.prefer(kService, fields, placeStreamInDomainFirst(request, kEngine, views),
                               request, kEngine, views, now);
        const Placement expected
                = placeStreamInDomainFirst(request, kEngine, viewsOf(without, now));
        CHECK_TRUE_TEXT(chosen == expected, fmt::format("request {}", requests).c_str());
        ++requests;
        if (chosen.outcome != PlacementOutcome::Send)
            continue;
        const PrefixUse use = cache.noteSent(fields, chosen, kEngine, now);
        hits += use.hit ? 1 : 0;
        const FloatMillis took = noise(random) * chosen.firstEvent;
        firstEvents.push_back({now + Millis(2000), chosen.head, use, took, chosen.firstEvent});
        place(with, chosen, requests, now);
        place(without, expected, requests, now);
    }
    CHECK_TRUE(requests > 100'000);
    CHECK_TRUE(hits > 1000);
    CHECK_FALSE(cache.saves(kService));
}
