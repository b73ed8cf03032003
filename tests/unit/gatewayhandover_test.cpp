// Gateways of which some are cut off from all endpoints.

#include "support/gatewayfleet.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

// From the users' rule RECOVER: the time from the cut on that does not count.
constexpr Millis kStabilityWindow{3000};
// The project's goal: first attempts at daemons that are cut off, against those at the others. The
// users' bound is two thirds.
constexpr double kServedShare = 0.95;

struct Cut
{
    const char *name;
    OpenConnections open;
    bool refusesNew;
};

const Cut kCuts[] = {{"connections hang", OpenConnections::Silent, false},
                     {"connections are reset, new ones refused", OpenConnections::Reset, true},
                     {"connections are reset, new ones hang", OpenConnections::Reset, false},
                     {"connections live on, new ones are refused", OpenConnections::LiveOn, true}};

} // namespace

TEST_GROUP_BASE(GatewayHandover, GatewayFleet)
{
    static constexpr unsigned kEndpoints = 6;
    static constexpr unsigned kPlainEndpoints = 3;

    void startBoth(unsigned daemonCount)
    {
        for (unsigned i = 0; i < kPlainEndpoints; ++i)
            addEndpoint(true, kPlain);
        start(daemonCount, kEndpoints);
    }

    /// A request of each route.
    std::vector<const Answer *> sendEach(const Daemon &daemon)
    {
        return {&send(daemon, "a1:40,c1:20"), &sendRequest(daemon, "/safe/x", "card"),
                &sendRequest(daemon, "/once/x", "alert")};
    }

    /// Daemons retry in proportion to the requests of their callers.
    void serveEachOnce()
    {
        std::vector<const Answer *> sent;
        for (const auto &daemon : daemons)
            std::ranges::copy(sendEach(*daemon), std::back_inserter(sent));
        CHECK_TRUE(haveEnded(sent));
    }

    /// Cuts the daemon off, and sends requests until it has noticed.
    void cutOffAndNotice(Daemon & daemon)
    {
        cutOff(daemon, OpenConnections::Reset, true);
        CHECK_TRUE(runUntil([&] {
            if (daemon.state()["requests"].get<int>() == 0)
                sendEach(daemon);
            return daemon.state()["services_out_of_reach"].size() == 2;
        }));
        CHECK_TRUE(runUntil([&] {
            return std::ranges::all_of(answers, [](const auto &answer) { return answer->ended; });
        }));
    }

    /// Calls an address as the daemon would.
    const Answer &callFrom(Daemon & daemon, const Address &address, const std::string &target,
                           const HeaderList &headers)
    {
        return callThrough(daemon.pool, address, target, headers, {});
    }

    std::string lastRequestId() const
    {
        return fmt::format("r{}", requests);
    }

    std::size_t runsOf(const std::string &id) const
    {
        std::size_t count = 0;
        for (const auto &endpoint : endpoints)
            count += static_cast<std::size_t>(
                    std::ranges::count(endpoint->runs, id, &EndpointStandin::Run::requestId));
        return count;
    }

    std::size_t openRunsOf(const std::string &id) const
    {
        std::size_t count = 0;
        for (const auto &endpoint : endpoints) {
            for (const EndpointStandin::Run &run : endpoint->runs)
                count += run.requestId == id && run.connection->open();
        }
        return count;
    }

    /// Endpoints at which the request has run.
    std::size_t endpointsThatRan(const std::string &id) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(endpoints, [&](const auto &endpoint) {
            return std::ranges::count(endpoint->runs, id, &EndpointStandin::Run::requestId) > 0;
        }));
    }

    bool haveEnded(const std::vector<const Answer *> &sent)
    {
        return runUntil([&] {
            return std::ranges::all_of(sent, [](const Answer *answer) { return answer->ended; });
        });
    }

    static std::size_t served(const std::vector<const Answer *> &sent)
    {
        return static_cast<std::size_t>(std::ranges::count_if(sent, [](const Answer *answer) {
            return answer->status == 200 && answer->complete;
        }));
    }
};

// Guards against callers that fail because their daemon reaches no endpoint, while its peers do.
TEST(GatewayHandover, daemonsThatAreCutOffFromAllEndpointsServeTheirCallers)
{
    constexpr unsigned kDaemons = 4;
    constexpr unsigned kCutOff = 2;
    constexpr unsigned kRounds = 25;
    constexpr Millis kInterval{80};
    for (const Cut &cut : kCuts) {
        reset();
        startBoth(kDaemons);
        std::vector<const Answer *> before;
        for (const auto &daemon : daemons)
            std::ranges::copy(sendEach(*daemon), std::back_inserter(before));
        CHECK_TRUE_TEXT(haveEnded(before), cut.name);
        LONGS_EQUAL_TEXT(before.size(), served(before), cut.name);
        for (unsigned i = 0; i < kCutOff; ++i)
            cutOff(*daemons[i], cut.open, cut.refusesNew);
        const TimePoint windowEnd = steadyNow() + kStabilityWindow;
        while (steadyNow() < windowEnd) {
            for (const auto &daemon : daemons)
                sendEach(*daemon);
            serveFor(kInterval);
        }
        std::vector<const Answer *> sent;
        for (unsigned round = 0; round < kRounds; ++round) {
            for (unsigned i = 0; i < kCutOff; ++i)
                std::ranges::copy(sendEach(*daemons[i]), std::back_inserter(sent));
            serveFor(kInterval);
        }
        CHECK_TRUE_TEXT(haveEnded(sent), cut.name);
        CHECK_TRUE_TEXT(static_cast<double>(served(sent))
                                >= kServedShare * static_cast<double>(sent.size()),
                        fmt::format("{}: {} of {}", cut.name, served(sent), sent.size()).c_str());
    }
}

// Guards against blocking sound requests because a cut off daemon takes endpoints for crashed.
TEST(GatewayHandover, cutsAreNotTakenForCrashes)
{
    constexpr Millis kLastTimeout{4500}; // Of connections that hang.
    for (const Cut &cut : kCuts) {
        reset();
        startBoth(3);
        for (const auto &endpoint : endpoints) {
            endpoint->eventGap = Millis(700);
            endpoint->script = {EndpointBehaviour::Silent};
        }
        std::vector<const Answer *> sent;
        for (unsigned i = 0; i < 4; ++i)
            std::ranges::copy(sendEach(*daemons[0]), std::back_inserter(sent));
        serveFor(Millis(50));
        cutOff(*daemons[0], cut.open, cut.refusesNew);
        const TimePoint end = steadyNow() + kLastTimeout;
        while (steadyNow() < end) {
            sendEach(*daemons[0]);
            serveFor(Millis(100));
        }
        for (const auto &daemon : daemons)
            LONGS_EQUAL_TEXT(0, daemon->state()["known_crashes"].get<int>(), cut.name);
    }
}

// Guards against requests of strangers that reach endpoints without a key check at their entry.
TEST(GatewayHandover, strangersCannotHandRequestsOver)
{
    startBoth(2);
    HeaderList headers;
    headers.add("Host", "h");
    headers.add("Request-Id", "stranger");
    headers.add("Authorization", "Token key");
    headers.add("Deadline-Ms", "1500");
    headers.add("Handover-Attempts", "2");
    headers.add("Content-Length", "0");
    const Answer &answer = call(daemons[0]->handovers, "/safe/x", headers, {});
    CHECK_TRUE(haveEnded({&answer}));
    LONGS_EQUAL(421, answer.status);
    LONGS_EQUAL(0, runsOf("stranger"));
}

// Guards against a daemon of an earlier build that lends all attempts and is not told what was
// used, that passes fields which it does not know on to callers, or that holds a stream back until
// its end.
TEST(GatewayHandover, daemonsOfEarlierBuildsAreToldOnlyWhatTheyRead)
{
    struct Case
    {
        const char *name;
        const char *target;
        const char *prompt; ///< Null for a request that is no stream.
        EndpointBehaviour behaviour;
        int status;
        const char *sends; ///< Null if none may be stated.
    };
    const Case cases[] = {
            {"success", "/safe/x", nullptr, EndpointBehaviour::Answer, 200, "1"},
            {"errors of endpoints", "/safe/x", nullptr, EndpointBehaviour::Fails, 500, "2"},
            {"no answers", "/safe/x", nullptr, EndpointBehaviour::Resets, 502, "2"},
            {"stream", "/r/x", "a1:40,c1:20,1:10", EndpointBehaviour::Answer, 200, nullptr},
    };
    for (const Case &row : cases) {
        reset();
        startBoth(2);
        serveEachOnce();
        for (const auto &endpoint : endpoints)
            endpoint->script.assign(3, row.behaviour);
        HeaderList headers;
        headers.add("Host", "h");
        headers.add("Request-Id", "earlier");
        headers.add("Authorization", "Token key");
        headers.add("Deadline-Ms", "1500");
        headers.add("Handover-Attempts", "2");
        headers.add("Handover-Config", "3");
        headers.add("Content-Length", "0");
        if (row.prompt) {
            headers.add("Token-Count", "1000,24");
            headers.add("Prompt-Prefix", row.prompt);
        }
        const Answer &answer = callFrom(*daemons[0], daemons[1]->handovers, row.target, headers);
        CHECK_TRUE_TEXT(haveEnded({&answer}), row.name);
        LONGS_EQUAL_TEXT(row.status, answer.status, row.name);
        const std::string *sends = answer.headers.find("Handover-Sends");
        STRCMP_EQUAL_TEXT(row.sends, sends ? sends->c_str() : nullptr, row.name);
        POINTERS_EQUAL_TEXT(nullptr, answer.headers.find("Handover-Tried"), row.name);
    }
}

// Guards against a peer with an older configuration than the daemon that accepted the request: it
// would answer 404 for a route that was added, accept a key that was revoked, use a service that
// the route has left, or apply an old timeout.
TEST(GatewayHandover, aPeerWithAnOlderConfigurationDoesNotJudgeARequest)
{
    constexpr std::uint64_t kVersionOfPeer = 3; // Of kFleetConfig.
    struct Case
    {
        const char *name;
        const char *target;
        const char *key;
        std::uint64_t version; // Of the daemon that hands the request over; 0 to name none.
        int status;
        std::size_t runs;
    };
    const Case cases[] = {
            {"route that the peer does not know", "/new/x", "key", kVersionOfPeer + 1, 421, 0},
            {"key that the peer does not know", "/safe/x", "new", kVersionOfPeer + 1, 421, 0},
            {"key that was revoked", "/safe/x", "key", kVersionOfPeer + 1, 421, 0},
            {"route that has left its service", "/once/x", "key", kVersionOfPeer + 7, 421, 0},
            {"route with another timeout", "/safe/x", "key", kVersionOfPeer + 1, 421, 0},
            {"the same version", "/safe/x", "key", kVersionOfPeer, 200, 1},
            {"the same version, unknown route", "/new/x", "key", kVersionOfPeer, 404, 0},
            {"an older version than the peer's", "/safe/x", "key", kVersionOfPeer - 1, 200, 1},
            {"an older version, revoked key", "/safe/x", "old", kVersionOfPeer - 1, 401, 0},
            {"a daemon of an earlier build", "/safe/x", "key", 0, 200, 1},
    };
    startBoth(2);
    for (const Case &row : cases) {
        HeaderList headers;
        headers.add("Host", "h");
        headers.add("Request-Id", row.name);
        headers.add("Authorization", fmt::format("Token {}", row.key));
        headers.add("Deadline-Ms", "1500");
        headers.add("Handover-Attempts", "2");
        if (row.version > 0)
            headers.add("Handover-Config", std::to_string(row.version));
        headers.add("Content-Length", "0");
        const Answer &answer = callFrom(*daemons[0], daemons[1]->handovers, row.target, headers);
        CHECK_TRUE_TEXT(haveEnded({&answer}), row.name);
        LONGS_EQUAL_TEXT(row.status, answer.status, row.name);
        LONGS_EQUAL_TEXT(row.runs, runsOf(row.name), row.name);
        const std::string *behind = answer.headers.find("Handover-Config");
        CHECK_EQUAL_TEXT(row.status == 421, behind != nullptr, row.name);
        if (row.status == 421) {
            STRCMP_EQUAL_TEXT("3", behind->c_str(), row.name);
            STRCMP_EQUAL_TEXT("0", answer.headers.find("Handover-Sends")->c_str(), row.name);
        }
    }
}

// Guards against a daemon that passes on a peer's answer of an older configuration, asks the same
// peer without end, or gives the request up although the peer gets the configuration soon.
TEST(GatewayHandover, aRequestWaitsForAPeerThatLacksTheConfiguration)
{
    struct Case
    {
        const char *name;
        unsigned daemons;
        unsigned behindFor; ///< Requests that the peer turns away before it is up to date.
        unsigned minAsked;
        unsigned maxAsked;
    };
    const Case cases[] = {{"another peer has it", 3, 1000, 0, 1}, {"no other peer", 2, 2, 3, 3}};
    for (const Case &row : cases) {
        reset();
        startBoth(row.daemons);
        cutOffAndNotice(*daemons[0]);
        const Address peer = daemons[1]->handovers;
        endDaemon(1);
        unsigned asked = 0;
        AsyncHttpServer standin(context, {.address = peer},
                                [&](const auto &caller, const HttpRequest &request) {
                                    const bool behind = ++asked <= row.behindFor;
                                    HeaderList headers;
                                    headers.add("Request-Id", *request.headers.find("Request-Id"));
                                    headers.add("Handover-Sends", behind ? "0" : "1");
                                    if (behind)
                                        headers.add("Handover-Config", "2");
                                    caller->respond(behind ? 421 : 503, headers, {});
                                });
        CHECK_TRUE_TEXT(static_cast<bool>(capture([&] { return standin.start(); })), row.name);
        const Answer &answer = sendRequest(*daemons[0], "/safe/x", "");
        CHECK_TRUE_TEXT(haveEnded({&answer}), row.name);
        // The stand-in has no endpoint, so it refuses what it judges.
        LONGS_EQUAL_TEXT(row.daemons > 2 ? 200 : 503, answer.status, row.name);
        CHECK_TRUE_TEXT(asked >= row.minAsked && asked <= row.maxAsked, row.name);
        POINTERS_EQUAL(nullptr, answer.headers.find("Handover-Config"));
    }
}

// Guards against requests that daemons hand to each other without end.
TEST(GatewayHandover, requestsAreHandedOverOnceAndRefusedIfNoDaemonReachesEndpoints)
{
    startBoth(3);
    for (const auto &daemon : daemons)
        cutOff(*daemon, OpenConnections::Reset, true);
    std::vector<const Answer *> sent;
    for (unsigned round = 0; round < 5; ++round) {
        for (const auto &daemon : daemons)
            std::ranges::copy(sendEach(*daemon), std::back_inserter(sent));
        serveFor(Millis(100));
    }
    CHECK_TRUE(haveEnded(sent));
    for (const Answer *answer : sent)
        LONGS_EQUAL(503, answer->status);
    for (const auto &daemon : daemons)
        LONGS_EQUAL(0, daemon->state()["requests"].get<int>());
    for (const auto &endpoint : endpoints)
        LONGS_EQUAL(0, endpoint->runs.size());
}

// Guards against endpoints that work for callers who have left.
TEST(GatewayHandover, aCallerThatLeavesCancelsAtTheEndpoint)
{
    constexpr Millis kCancelLimit{100};
    startBoth(2);
    cutOffAndNotice(*daemons[0]);
    for (const auto &endpoint : endpoints)
        endpoint->script = {EndpointBehaviour::Silent};
    const Answer &stream = send(*daemons[0], "a1:40,c1:20");
    CHECK_TRUE(runUntil([&] { return openRunsOf(lastRequestId()) == 1; }));
    CHECK_FALSE(stream.ended);
    calls.pop_back();
    CHECK_TRUE(runUntil([&] { return openRunsOf(lastRequestId()) == 0; }, kCancelLimit));
}

// Guards against a request that runs twice, or a stream that is lost, when the peer that has it
// ends.
TEST(GatewayHandover, thePeerEndsInTheMiddle)
{
    struct Case
    {
        const char *name;
        const char *path;
        int status;
        std::size_t runs;
    };
    const Case cases[] = {{"may not be repeated", "/once/", 502, 1},
                          {"may be repeated", "/safe/", 200, 2},
                          {"stream", "/r/", 200, 2}};
    for (const Case &row : cases) {
        reset();
        startBoth(3);
        cutOffAndNotice(*daemons[0]);
        const bool streams = std::string(row.path) == "/r/";
        for (const auto &endpoint : endpoints) {
            endpoint->eventGap = Millis(100);
            if (!streams)
                endpoint->script = {EndpointBehaviour::Silent};
        }
        const Answer &answer = streams ? send(*daemons[0], "a1:40,c1:20")
                                       : sendRequest(*daemons[0], std::string(row.path) + "x", "");
        const std::string id = lastRequestId();
        CHECK_TRUE_TEXT(runUntil([&] { return openRunsOf(id) == 1; }), row.name);
        serveFor(Millis(50));
        for (const auto &endpoint : endpoints)
            endpoint->script.clear();
        const bool first = daemons[1]->state()["requests"].get<int>() > 0;
        endDaemon(first ? 1 : 2);
        CHECK_TRUE_TEXT(haveEnded({&answer}), row.name);
        LONGS_EQUAL_TEXT(row.status, answer.status, row.name);
        CHECK_TRUE_TEXT(answer.complete, row.name);
        LONGS_EQUAL_TEXT(row.runs, runsOf(id), row.name);
        if (streams) {
            for (unsigned event = 1; event <= EndpointStandin::kStreamEvents; ++event)
                CHECK_TRUE(answer.body.find(fmt::format("data: event {}\n", event))
                           != std::string::npos);
        }
    }
}

// Guards against more attempts than the route allows, counted at two daemons.
TEST(GatewayHandover, attemptsAreCountedOnceForBothDaemons)
{
    constexpr std::size_t kMaxAttempts = 2;
    startBoth(3);
    cutOffAndNotice(*daemons[0]);
    for (const auto &endpoint : endpoints)
        endpoint->script.assign(10, EndpointBehaviour::Resets);
    const Answer &answer = sendRequest(*daemons[0], "/safe/x", "");
    CHECK_TRUE(haveEnded({&answer}));
    LONGS_EQUAL(502, answer.status);
    LONGS_EQUAL(kMaxAttempts, runsOf(lastRequestId()));
}

// Guards against requests that run at more endpoints than their route allows, because a daemon does
// not know how often a peer has sent them.
TEST(GatewayHandover, aRequestRunsAtNoMoreEndpointsThanItsRouteAllows)
{
    constexpr std::size_t kMaxAttempts = 2;
    constexpr unsigned kDaemons = 5; // Enough peers to ask another one after each failure.
    struct Case
    {
        const char *name;
        bool streams;
        EndpointBehaviour behaviour;
        bool peerEnds; ///< Once the request has run as often as it may.
    };
    const Case cases[] = {
            {"the error of an endpoint", false, EndpointBehaviour::Fails, false},
            {"no answer", false, EndpointBehaviour::Resets, false},
            {"an answer without signature", false, EndpointBehaviour::Unsigned, false},
            {"half an answer", false, EndpointBehaviour::Cut, false},
            {"silence", false, EndpointBehaviour::Silent, false},
            {"silence, then the peer ends", false, EndpointBehaviour::Silent, true},
            {"the error of an endpoint, stream", true, EndpointBehaviour::Fails, false},
            {"a stream that breaks off", true, EndpointBehaviour::BreaksStream, false},
            {"a silent stream", true, EndpointBehaviour::Silent, false},
            {"a silent stream, then the peer ends", true, EndpointBehaviour::Silent, true},
    };
    for (const Case &row : cases) {
        reset();
        startBoth(kDaemons);
        serveEachOnce();
        cutOffAndNotice(*daemons[0]);
        for (const auto &endpoint : endpoints)
            endpoint->script.assign(10, row.behaviour);
        const Answer &answer = row.streams ? send(*daemons[0], "a1:40,c1:20")
                                           : sendRequest(*daemons[0], "/safe/x", "");
        const std::string id = lastRequestId();
        if (row.peerEnds) {
            CHECK_TRUE_TEXT(runUntil([&] { return runsOf(id) == kMaxAttempts; }), row.name);
            for (std::size_t i = daemons.size() - 1; i > 0; --i) {
                if (daemons[i]->state()["requests"].get<int>() > 0)
                    endDaemon(i);
            }
        }
        CHECK_TRUE_TEXT(haveEnded({&answer}), row.name);
        // The second attempt is for another endpoint, as the first one has failed.
        LONGS_EQUAL_TEXT(kMaxAttempts, runsOf(id), row.name);
        LONGS_EQUAL_TEXT(kMaxAttempts, endpointsThatRan(id), row.name);
    }
}

// Guards against a retry that is lost because the only peer has failed once.
TEST(GatewayHandover, theOnlyPeerGetsTheRequestAgainAfterAnEndpointHasFailed)
{
    constexpr unsigned kMaxRequests = 100;
    struct Case
    {
        const char *name;
        bool streams;
        EndpointBehaviour behaviour;
    };
    const Case cases[] = {{"error", false, EndpointBehaviour::Fails},
                          {"refusal", false, EndpointBehaviour::NotRun},
                          {"silence", false, EndpointBehaviour::Silent},
                          {"a stream that breaks off", true, EndpointBehaviour::BreaksStream},
                          {"a silent stream", true, EndpointBehaviour::Silent}};
    for (const Case &row : cases) {
        reset();
        startBoth(2);
        cutOffAndNotice(*daemons[0]);
        EndpointStandin *failing = nullptr;
        const auto hasFailed = [&] { return failing && failing->script.empty(); };
        for (unsigned i = 0; i < kMaxRequests && !hasFailed(); ++i) {
            const Answer &answer = row.streams ? send(*daemons[0], "a1:40,c1:20")
                                               : sendRequest(*daemons[0], "/safe/x", "");
            CHECK_TRUE_TEXT(haveEnded({&answer}), row.name);
            LONGS_EQUAL_TEXT(200, answer.status, row.name);
            CHECK_TRUE_TEXT(answer.complete, row.name);
            if (hasFailed())
                break;
            // The next request often goes to the endpoint of the last one.
            for (const auto &endpoint : endpoints) {
                endpoint->script.clear();
                if (endpoint->runs.empty() || endpoint->runs.back().requestId != lastRequestId())
                    continue;
                failing = endpoint.get();
                failing->script = {row.behaviour};
            }
        }
        CHECK_TRUE_TEXT(hasFailed(), row.name);
    }
}

// Guards against callers that are not told, or told too early, when to come back.
TEST(GatewayHandover, theRefusalOfThePeerReachesTheCaller)
{
    startBoth(2);
    cutOffAndNotice(*daemons[0]);
    for (const auto &endpoint : endpoints)
        endpoint->quietFor = Millis(3000);
    // The peer learns it from the first one.
    const Answer &first = sendRequest(*daemons[1], "/safe/x", "");
    CHECK_TRUE(haveEnded({&first}));
    for (unsigned i = 0; i < kPlainEndpoints; ++i)
        CHECK_TRUE(haveEnded({&sendRequest(*daemons[1], "/safe/x", "")}));
    const Answer &refused = sendRequest(*daemons[0], "/safe/x", "");
    CHECK_TRUE(haveEnded({&refused}));
    LONGS_EQUAL(503, refused.status);
    const std::string *retryAfter = refused.headers.find("Retry-After");
    CHECK_TRUE(retryAfter != nullptr);
    CHECK_TRUE(std::stod(*retryAfter) > 1.5);
    POINTERS_EQUAL(nullptr, refused.headers.find("Handover-Sends"));
}

// Guards against a daemon that stays on the way through its peers when its own is back.
TEST(GatewayHandover, theDaemonFindsTheWayBack)
{
    constexpr Millis kLimit{1000};
    startBoth(2);
    cutOffAndNotice(*daemons[0]);
    heal(*daemons[0]);
    CHECK_TRUE(
            runUntil([&] { return daemons[0]->state()["services_out_of_reach"].empty(); }, kLimit));
    const auto sent = sendEach(*daemons[0]);
    CHECK_TRUE(haveEnded(sent));
    LONGS_EQUAL(sent.size(), served(sent));
    endDaemon(1);
    const auto alone = sendEach(*daemons[0]);
    CHECK_TRUE(haveEnded(alone));
    LONGS_EQUAL(alone.size(), served(alone));
}
