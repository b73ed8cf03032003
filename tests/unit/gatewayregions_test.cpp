// Gateways and endpoints of several regions, with requests that only some regions may handle.

#include "support/gatewayfleet.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

/// Failure domains and their regions; that of "lost" is known to no daemon.
const std::map<std::string, std::string> kRegions
        = {{"east", "r-east"}, {"west", "r-west"}, {"north", "r-north"}};

// A refusal at once: far below the time for which requests wait.
constexpr Millis kAtOnce{150};

} // namespace

TEST_GROUP_BASE(GatewayRegions, GatewayFleet)
{
    std::vector<std::string> daemonDomains;   ///< "east" if there are fewer than daemons.
    std::vector<std::string> endpointDomains; ///< In the order in which they were added.
    std::uint64_t version = 3;

    void configure(GatewaySettings & settings, unsigned index) override
    {
        if (index < daemonDomains.size())
            settings.failureDomain = daemonDomains[index];
        settings.regions.byFailureDomain = kRegions;
        settings.regions.own = regionOf(settings.regions, settings.failureDomain);
    }

    /// Replaces the configuration by a later one with these lists, as JSON.
    void setRegions(const std::string &ofRoutes, const std::string &ofWorkspace)
    {
        auto json = parseJson(kFleetConfig);
        json["version"] = ++version;
        for (auto &route : json["routes"]) {
            if (!ofRoutes.empty())
                route["allowedRegions"] = parseJson(ofRoutes);
        }
        if (!ofWorkspace.empty())
            json["tenants"][0]["allowedRegions"] = parseJson(ofWorkspace);
        config = json.dump();
        store.put("keyed.op", "config", config);
        CHECK_TRUE(runUntil([&] {
            return std::ranges::all_of(daemons, [&](const auto &daemon) {
                return daemon->configVersion() == version;
            });
        }));
    }

    void addEndpoints(const std::string &domain, unsigned count, const char *service = kPlain)
    {
        endpointDomain = domain;
        for (unsigned i = 0; i < count; ++i) {
            addEndpoint(true, service);
            endpointDomains.push_back(domain);
        }
    }

    void restart(unsigned daemonCount)
    {
        start(daemonCount, 0);
    }

    void clear()
    {
        reset();
        endpointDomains.clear();
        daemonDomains.clear();
        config = kFleetConfig;
        for (const auto &key : store.keys("keyed.gateways"))
            store.put("keyed.gateways", key, std::nullopt);
    }

    /// Failure domains of the endpoints that got a request since the last call, as its receiver or
    /// as a helper. No request may be in progress.
    std::set<std::string> domainsReached()
    {
        std::set<std::string> reached;
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            if (endpoints[i]->arrivals > 0)
                reached.insert(endpointDomains[i]);
            for (const EndpointStandin::Run &run : endpoints[i]->runs) {
                const std::string *helpers = run.request.headers.find("Helpers");
                for (std::size_t j = 0; helpers && j < endpoints.size(); ++j) {
                    if (helpers->find(toString(endpoints[j]->address)) != std::string::npos)
                        reached.insert(endpointDomains[j]);
                }
            }
            endpoints[i]->arrivals = 0;
            endpoints[i]->runs.clear();
        }
        return reached;
    }

    /// A stream whose prompt is divided among several endpoints.
    const Answer &sendLong(const Daemon &daemon)
    {
        HeaderList headers;
        headers.add("Host", "h");
        headers.add("Request-Id", fmt::format("r{}", ++requests));
        headers.add("Authorization", "Token key");
        headers.add("Deadline-Ms", "4000");
        headers.add("Token-Count", "300000,24");
        headers.add("Content-Length", "0");
        return call(daemon.callers, "/r/x", headers, {});
    }

    bool allEnded(const std::vector<const Answer *> &sent, Millis limit = kStartLimit)
    {
        return runUntil(
                [&] {
                    return std::ranges::all_of(sent,
                                               [](const Answer *answer) { return answer->ended; });
                },
                limit);
    }

    std::string metricsOf(const Daemon &daemon)
    {
        HeaderList headers;
        headers.add("Host", "h");
        std::string body;
        bool ended = false;
        const auto control = callerPool.call(
                Address{daemon.callers.ip, static_cast<std::uint16_t>(daemon.callers.port + 2)},
                {.head = serializeRequestHead("GET", "/metrics", headers)},
                {.head = [](HttpResponseHead &&) { return HeadAction::Accept; },
                 .body = [&](std::string_view bytes) { body += bytes; },
                 .end = [&](UpstreamOutcome) { ended = true; }});
        CHECK_TRUE(runUntil([&] { return ended; }));
        return body;
    }
};

// Guards against requests, repetitions and parts of divided prompts that leave the allowed regions,
// and against a list that is not applied.
TEST(GatewayRegions, onlyEndpointsOfAllowedRegionsGetRequests)
{
    struct Case
    {
        const char *name;
        const char *ofRoutes;
        const char *ofWorkspace;
        std::set<std::string> domains;
    };
    const Case cases[] = {
            {"no list", "", "", {"east", "west", "lost"}},
            {"empty lists", "[]", "[]", {"east", "west", "lost"}},
            {"route", R"(["r-west"])", "", {"west"}},
            {"workspace", "", R"(["r-east"])", {"east"}},
            {"both", R"(["r-west","r-east"])", R"(["r-west","r-north"])", {"west"}},
    };
    constexpr unsigned kRounds = 12;
    constexpr unsigned kPoolPerDomain = 3;
    constexpr unsigned kPlainPerDomain = 2;
    for (const char *domain : {"east", "west", "lost"}) {
        addEndpoints(domain, kPoolPerDomain, kPool);
        addEndpoints(domain, kPlainPerDomain, kPlain);
    }
    restart(2);
    for (const Case &row : cases) {
        setRegions(row.ofRoutes, row.ofWorkspace);
        domainsReached();
        const auto firstOfDomain = static_cast<std::size_t>(
                std::ranges::find(endpointDomains, *row.domains.begin()) - endpointDomains.begin());
        std::vector<const Answer *> sent;
        std::set<std::string> reached;
        for (unsigned round = 0; round < kRounds; ++round) {
            // An endpoint of each service refuses a request, which is then repeated: routes allow
            // two sends.
            endpoints[firstOfDomain]->script = {EndpointBehaviour::NotRun};
            endpoints[firstOfDomain + kPoolPerDomain]->script = {EndpointBehaviour::NotRun};
            for (const auto &daemon : daemons) {
                sent.push_back(&send(*daemon, "a1:40,c1:20"));
                sent.push_back(&sendRequest(*daemon, "/safe/x", "card"));
                sent.push_back(&sendRequest(*daemon, "/once/x", "alert"));
            }
            // It may be refused for its objective.
            const Answer *divided = round % 4 == 0 ? &sendLong(*daemons[0]) : sent.back();
            CHECK_TRUE_TEXT(allEnded(sent) && allEnded({divided}), row.name);
            reached.merge(domainsReached());
        }
        CHECK_TRUE_TEXT(std::ranges::includes(row.domains, reached), row.name);
        CHECK_TRUE_TEXT(!reached.empty(), row.name);
        for (const Answer *answer : sent)
            LONGS_EQUAL_TEXT(200, answer->status, row.name);
    }
}

// Guards against requests that wait for an endpoint which can't come, and against refusals that
// are not counted.
TEST(GatewayRegions, aRequestWithoutAnAllowedEndpointIsRefusedAtOnce)
{
    struct Case
    {
        const char *name;
        const char *ofRoutes;
        const char *ofWorkspace;
    };
    const Case cases[] = {
            {"no endpoint in the region", R"(["r-north"])", ""},
            {"no common region", R"(["r-east"])", R"(["r-west"])"},
            {"no region by that name", R"(["r-lost"])", ""},
            {"an unreadable list", R"("r-east")", ""},
    };
    addEndpoints("east", 2, kPool);
    addEndpoints("east", 2, kPlain);
    addEndpoints("lost", 2, kPlain);
    restart(1);
    unsigned refused = 0;
    for (const Case &row : cases) {
        setRegions(row.ofRoutes, row.ofWorkspace);
        const std::vector<const Answer *> sent{&send(*daemons[0], "a1:40,c1:20"),
                                               &sendRequest(*daemons[0], "/safe/x", "card"),
                                               &sendRequest(*daemons[0], "/once/x", "alert")};
        CHECK_TRUE_TEXT(allEnded(sent, kAtOnce), row.name);
        for (const Answer *answer : sent) {
            LONGS_EQUAL_TEXT(503, answer->status, row.name);
            CHECK_TRUE_TEXT(answer->headers.find("Retry-After") != nullptr, row.name);
        }
        refused += static_cast<unsigned>(sent.size());
        CHECK_TRUE_TEXT(domainsReached().empty(), row.name);
    }
    CHECK_TRUE(metricsOf(*daemons[0])
                       .find(fmt::format("cicadafork_gateway_region_refusals_total {}\n", refused))
               != std::string::npos);
}

// Guards against the same when the endpoints of the region are known, but leave or can't be
// reached.
TEST(GatewayRegions, aRequestIsRefusedWhenTheAllowedEndpointsAreOutOfService)
{
    enum class Loss { Leaving, Unreachable };
    for (const Loss loss : {Loss::Leaving, Loss::Unreachable}) {
        clear();
        addEndpoints("east", 2);
        addEndpoints("west", 2);
        restart(1);
        setRegions(R"(["r-west"])", "");
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            if (endpointDomains[i] != "west")
                continue;
            if (loss == Loss::Leaving)
                endpoints[i]->leaving = true;
            else
                daemons[0]->links.refusing.insert(toString(endpoints[i]->address));
        }
        // The daemon learns it by these.
        std::vector<const Answer *> first;
        for (unsigned i = 0; i < 4; ++i)
            first.push_back(&sendRequest(*daemons[0], "/safe/x", "card"));
        CHECK_TRUE(allEnded(first));
        if (loss == Loss::Unreachable) {
            for (const Answer *answer : first)
                LONGS_EQUAL(503, answer->status);
        }
        domainsReached();
        const Answer &refused = sendRequest(*daemons[0], "/safe/x", "card");
        CHECK_TRUE(allEnded({&refused}, kAtOnce));
        LONGS_EQUAL(503, refused.status);
        CHECK_TRUE(domainsReached().empty());
        // It comes back when they do.
        if (loss == Loss::Unreachable) {
            daemons[0]->links = {};
            CHECK_TRUE(runUntil([&] {
                const Answer &again = sendRequest(*daemons[0], "/safe/x", "card");
                return allEnded({&again}) && again.status == 200;
            }));
            CHECK_TRUE(domainsReached() == std::set<std::string>{"west"});
        }
    }
}

// Guards against bodies that are sent to peers in other regions, and against callers that are not
// served though a peer may be used.
TEST(GatewayRegions, bodiesGoToPeersOfAllowedRegionsOrOfTheCallersDaemonOnly)
{
    struct Case
    {
        const char *name;
        const char *ofRoutes;
        const char *peer; ///< Failure domain of the only peer.
        int status;
    };
    const Case cases[] = {
            {"no list", "", "west", 200},
            {"the peer's region is allowed", R"(["r-west","r-north"])", "west", 200},
            {"it is that of the caller's daemon", R"(["r-north"])", "east", 200},
            {"neither", R"(["r-north"])", "west", 503},
            {"unknown", R"(["r-north"])", "lost", 503},
    };
    for (const Case &row : cases) {
        clear();
        daemonDomains = {"east", row.peer};
        addEndpoints("north", 3);
        restart(2);
        setRegions(row.ofRoutes, "");
        cutOff(*daemons[0], OpenConnections::Reset, true);
        CHECK_TRUE_TEXT(runUntil([&] {
                            if (daemons[0]->state()["requests"].get<int>() == 0)
                                sendRequest(*daemons[0], "/safe/x", "notices the cut");
                            return daemons[0]->state()["services_out_of_reach"].size() == 1;
                        }),
                        row.name);
        CHECK_TRUE_TEXT(runUntil([&] { return daemons[0]->state()["requests"].get<int>() == 0; }),
                        row.name);
        domainsReached();
        const Answer &answer = sendRequest(*daemons[0], "/safe/x", "card");
        CHECK_TRUE_TEXT(allEnded({&answer}), row.name);
        LONGS_EQUAL_TEXT(row.status, answer.status, row.name);
        CHECK_EQUAL_TEXT(row.status == 200, !domainsReached().empty(), row.name);
        CHECK_EQUAL_TEXT(row.status == 503, answer.headers.find("Retry-After") != nullptr,
                         row.name);
    }
}

// Guards against callers that choose their regions at a peer by a header of their own.
TEST(GatewayRegions, theHeaderOfAHandoverIsNotTakenFromCallers)
{
    for (const bool listed : {true, false}) {
        clear();
        daemonDomains = {"east", "west"};
        addEndpoints("west", 2);
        addEndpoints("north", 2);
        restart(2);
        setRegions(listed ? R"(["r-west"])" : "", "");
        cutOff(*daemons[0], OpenConnections::Reset, true);
        for (unsigned i = 0; i < 8; ++i) {
            HeaderList headers;
            headers.add("Host", "h");
            headers.add("Request-Id", fmt::format("r{}", ++requests));
            headers.add("Authorization", "Token key");
            headers.add("Deadline-Ms", "1500");
            headers.add("Content-Length", "0");
            headers.add("Handover-Regions", listed ? R"(["r-north"])" : R"(["r-none"])");
            const Answer &answer = call(daemons[0]->callers, "/safe/x", headers, {});
            CHECK_TRUE(allEnded({&answer}));
            LONGS_EQUAL(200, answer.status);
        }
        if (listed)
            CHECK_TRUE(domainsReached() == std::set<std::string>{"west"});
    }
}

// Guards against a stream that goes on in a region that is not allowed.
TEST(GatewayRegions, brokenStreamsGoOnInAllowedRegions)
{
    struct Case
    {
        const char *name;
        unsigned allowedEndpoints;
        bool completes;
    };
    const Case cases[]
            = {{"another endpoint in the region", 2, true}, {"none left in the region", 1, false}};
    for (const Case &row : cases) {
        clear();
        addEndpoints("west", row.allowedEndpoints, kPool);
        addEndpoints("east", 3, kPool);
        restart(1);
        setRegions(R"(["r-west"])", "");
        for (unsigned i = 0; i < row.allowedEndpoints; ++i) {
            endpoints[i]->script = {EndpointBehaviour::BreaksStream};
            endpoints[i]->onCrash = nullptr;
        }
        const Answer &answer = send(*daemons[0], "a1:40,c1:20");
        CHECK_TRUE_TEXT(runUntil([&] { return !answer.body.empty(); }), row.name);
        if (!row.completes)
            daemons[0]->links.refusing.insert(toString(endpoints[0]->address));
        else {
            for (unsigned i = 0; i < row.allowedEndpoints; ++i)
                if (endpoints[i]->runs.empty())
                    endpoints[i]->script.clear();
        }
        CHECK_TRUE_TEXT(allEnded({&answer}), row.name);
        CHECK_EQUAL_TEXT(row.completes, answer.complete, row.name);
        CHECK_TRUE_TEXT(domainsReached() == std::set<std::string>{"west"}, row.name);
    }
}

// Guards against a request whose regions change while it waits, at its daemon or at a peer.
TEST(GatewayRegions, theConfigurationOfTheArrivalHolds)
{
    constexpr Millis kQuiet{1000};
    for (const bool handsOver : {false, true}) {
        clear();
        daemonDomains = {"east", "west"};
        addEndpoints("west", 1, kPool);
        addEndpoints("east", 1, kPool);
        restart(2);
        setRegions(R"(["r-west"])", "");
        endpoints[0]->quietFor = kQuiet;
        const Answer &waiting = send(*daemons[0], "a1:40,c1:20");
        CHECK_TRUE(runUntil([&] { return endpoints[0]->arrivals == 1; }));
        endpoints[0]->quietFor.reset();
        setRegions(R"(["r-east"])", "");
        CHECK_FALSE(waiting.ended);
        if (handsOver) {
            cutOff(*daemons[0], OpenConnections::Reset, true);
            // A send on an idle connection that is reset would count as an attempt.
            daemons[0]->pool.closeIdle(endpoints[0]->address);
        }
        CHECK_TRUE(allEnded({&waiting}));
        LONGS_EQUAL(200, waiting.status);
        LONGS_EQUAL(2, endpoints[0]->arrivals);
        LONGS_EQUAL(0, endpoints[1]->arrivals);
        const Answer &later = send(*daemons[1], "a1:40,c1:20");
        CHECK_TRUE(allEnded({&later}));
        LONGS_EQUAL(200, later.status);
        LONGS_EQUAL(1, endpoints[1]->arrivals);
    }
}
