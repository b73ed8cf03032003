// End-to-end tests of the gateway over loopback, with stand-ins of the endpoints and the store.

#include "base/json.h"
#include "gateway/gateway.h"
#include "platform/headers.h"
#include "platform/names.h"
#include "platform/orderclient.h"
#include "platform/records.h"
#include "platform/storeclient.h"
#include "support/eventually.h"
#include "support/heap.h"
#include "support/network.h"
#include "support/platformstandin.h"
#include "support/resettinglink.h"

#include <CppUTest/TestHarness.h>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

constexpr Millis kWaitLimit{5000};
// By then, the users require, a daemon sends nothing to an endpoint whose record says that it
// drains.
constexpr Millis kDrainBound{2000};
// The smallest number that the settings accept, and the connections that it leaves for callers.
constexpr std::size_t kDescriptors = 256;
constexpr std::size_t kCallerConnections = 64;

struct RouteLimits
{
    unsigned timeoutMs = 1500;
    unsigned maxAttempts = 2;
};

std::string configText(unsigned version, const std::string &keys = "\"key\"",
                       RouteLimits limits = {}, const std::string &moreFields = {})
{
    const auto route = [&](const char *name, const char *kind, const char *service,
                           const char *extraFields) {
        return fmt::format(R"({{"name":"{0}","host":"h","pathPrefix":"/{0}/","kind":"{1}",
                "service":"{2}","timeoutMs":{4},"targetLatencyMs":300,"maxAttempts":{5}{3}}})",
                           name, kind, service, extraFields, limits.timeoutMs, limits.maxAttempts);
    };
    return fmt::format(
            R"({{"version":{},{}"routes":[{},{},{},{},{}],"services":[{{"name":"plain"}},
               {{"name":"pool","engine":{{"slots":4,"kvCapacity":450000,"stride":4,"step_ms":1,
               "read_per_s":256000,"pairs_per_m":0.09}}}},
               {{"name":"small","engine":{{"slots":4,"kvCapacity":1000,"stride":4,"step_ms":1,
               "read_per_s":256000,"pairs_per_m":0.09}}}}],
               "tenants":[{{"name":"ws","apiKeys":[{}]}}]}})",
            version, moreFields, route("safe", "safe", "plain", ""),
            route("once", "unsafe", "plain", ""),
            route("stream", "streaming", "pool", R"(,"resumable":true,"gapGoalMs":200)"),
            route("fixed", "streaming", "pool", R"(,"resumable":false,"gapGoalMs":200)"),
            route("split", "streaming", "small", R"(,"resumable":true,"gapGoalMs":200)"), keys);
}

struct Answer
{
    int status = 0;
    std::string body;
    HeaderList headers;
    bool ended = false;
    bool complete = false;
};

} // namespace

TEST_GROUP(GatewayPath)
{
    asio::io_context context;
    AddressPool addresses;
    Address storeAddress = addresses.next();
    StoreStandin store{context, storeAddress};
    std::vector<std::unique_ptr<EndpointStandin>> endpoints;
    UpstreamPool pool{context, {}};
    UpstreamPool callerPool{context, {}};
    platform::HttpCallClient calls{context, pool};
    platform::StoreClient storeClient{calls, storeAddress};
    platform::OrderClient orders{calls};
    GatewaySettings settings;
    std::unique_ptr<Gateway> gateway;
    std::vector<std::unique_ptr<UpstreamCall>> callerCalls;
    Address entry; ///< Where callers connect.
    int requests = 0;
    std::string requestPrefix = "r";

    void setup() override
    {
        setLogLevel(LogLevel::Error);
        settings.logLevel = LogLevel::Error;
        settings.member = "front-1";
        settings.failureDomain = "east";
        for (Address *address :
             {&settings.callers, &settings.readiness, &settings.control, &settings.peers})
            *address = addresses.next();
        settings.peers.ip = settings.control.ip;
        settings.store = storeAddress;
        entry = settings.callers;
        settings.retries = {0.2, 1000, Millis(10'000)};
        settings.maxDescriptors = kDescriptors;
        gateway = std::make_unique<Gateway>(context, settings, platform::wireProtocol(),
                                            platform::storeLayout(), storeClient.calls(),
                                            orders.calls(), pool);
        const auto started = capture([&] { return gateway->start(); });
        CHECK_TRUE(static_cast<bool>(started));
    }

    void teardown() override
    {
        callerCalls.clear();
        gateway.reset();
        setLogLevel(LogLevel::Info);
    }

    template <class Condition>
    bool runUntil(Condition condition, Millis limit = kWaitLimit)
    {
        return eventually(context, limit, condition);
    }

    EndpointStandin &addEndpoint(const std::string &service)
    {
        const std::string id = fmt::format("i-{}", endpoints.size() + 1);
        endpoints.push_back(std::make_unique<EndpointStandin>(context, addresses.next(), id));
        writeRecord(*endpoints.back(), service, "ready");
        return *endpoints.back();
    }

    void writeRecord(const EndpointStandin &endpoint, const std::string &service,
                     const std::string &state, unsigned revision = 0, int bornMs = 5,
                     const std::optional<Address> &address = std::nullopt,
                     const std::string &failureDomain = "east")
    {
        store.put("keyed.servers", endpoint.id,
                  fmt::format(R"({{"service":"{}","address":"{}","zone":"{}","slots":4,
                      "state":"{}","seq":{},"born":{}}})",
                              service, toString(address.value_or(endpoint.address)), failureDomain,
                              state, revision, bornMs));
    }

    void publishConfig()
    {
        store.put("keyed.op", "config", configText(3));
        CHECK_TRUE_TEXT(runUntil([&] { return gateway->ready(); }), "the gateway becomes ready");
    }

    std::unique_ptr<Answer> sendRequest(const std::string &route, const std::string &key = "key",
                                        Millis deadline = Millis(1200),
                                        const char *tokens = "1000,24")
    {
        auto answer = std::make_unique<Answer>();
        HeaderList headers;
        headers.add("Host", "h");
        headers.add("Request-Id", fmt::format("{}{}", requestPrefix, ++requests));
        headers.add("Authorization", "Token " + key);
        headers.add("Deadline-Ms", std::to_string(deadline.count()));
        if (route == "stream" || route == "fixed" || route == "split")
            headers.add("Token-Count", tokens);
        Answer &target = *answer;
        callerCalls.push_back(callerPool.call(
                entry, {.head = serializeRequestHead("GET", "/" + route + "/x", headers)},
                {.head =
                         [&target](HttpResponseHead &&head) {
                             target.status = head.status;
                             target.headers = std::move(head.headers);
                             return HeadAction::Accept;
                         },
                 .body = [&target](std::string_view bytes) { target.body += bytes; },
                 .end =
                         [&target](UpstreamOutcome end) {
                             target.ended = true;
                             target.complete = end == UpstreamOutcome::Complete;
                         }}));
        return answer;
    }

    std::unique_ptr<Answer> sendRequestAndWait(const std::string &route,
                                               const std::string &key = "key")
    {
        auto answer = sendRequest(route, key);
        CHECK_TRUE_TEXT(runUntil([&] { return answer->ended; }), route.c_str());
        return answer;
    }

    void waitForEndpoints()
    {
        const auto known = [&] {
            const auto state = parseJson(gateway->dump());
            return state.contains("endpoints") ? state["endpoints"].size() : 0;
        };
        CHECK_TRUE_TEXT(runUntil([&] { return known() == endpoints.size(); }),
                        "the gateway knows all endpoints");
    }

    /// An endpoint ends a request if the memory that it uses there or elsewhere is freed.
    void endRequestsWhoseMemoryLapses()
    {
        const auto end = [this](const std::string &ticket) {
            for (const auto &head : endpoints) {
                for (const EndpointStandin::Run &run : head->runs) {
                    const std::string *helpers = run.request.headers.find(platform::kHelpers);
                    if (helpers && helpers->find(ticket) != std::string::npos)
                        run.connection->abort();
                }
            }
        };
        for (const auto &endpoint : endpoints)
            endpoint->onLapse = end;
    }

    unsigned requestsInProgress() const
    {
        return parseJson(gateway->dump())["requests"].get<unsigned>();
    }

    unsigned arrivals() const
    {
        unsigned count = 0;
        for (const auto &endpoint : endpoints)
            count += endpoint->arrivals;
        return count;
    }

    std::size_t runs() const
    {
        std::size_t count = 0;
        for (const auto &endpoint : endpoints)
            count += endpoint->runs.size();
        return count;
    }

    static std::string allEvents()
    {
        std::string text;
        for (unsigned i = 1; i <= EndpointStandin::kStreamEvents; ++i)
            text += fmt::format("id: {}\ndata: event {}\n\n", i, i);
        return text;
    }
};

TEST(GatewayPath, isNotReadyAndRefusesRequestsWithoutAConfiguration)
{
    addEndpoint("plain");
    const auto answer = sendRequestAndWait("safe");
    LONGS_EQUAL(503, answer->status);
    CHECK_TRUE(answer->headers.find("Retry-After") != nullptr);
    CHECK_FALSE(gateway->ready());
    publishConfig();
    LONGS_EQUAL(200, sendRequestAndWait("safe")->status);
}

// Guards against a request that ends without a word, or whose caller can't tell that it didn't run.
TEST(GatewayPath, requestsThatTheServerDoesNotTakeAreAnsweredAsNotRun)
{
    struct Case
    {
        const char *name;
        std::string sent;
        std::string_view status;
        bool overLimit;
        bool comeBack;
    };
    const std::string head = "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                             "Authorization: Token key\r\nContent-Length: ";
    const Case cases[] = {{"connection above the limit", head + "0\r\n\r\n", "503", true, true},
                          {"body not complete", head + "9\r\n\r\nxx", "408", false, false}};
    addEndpoint("plain");
    store.put("keyed.op", "config",
              configText(3, "\"key\"", {}, R"("limits":{"headerTimeoutMs":150},)"));
    CHECK_TRUE(runUntil([&] { return gateway->ready(); }));
    for (const Case &row : cases) {
        std::vector<asio::ip::tcp::socket> callers;
        const std::size_t others = row.overLimit ? kCallerConnections : 0;
        const asio::ip::tcp::endpoint target{asio::ip::make_address_v4(settings.callers.ip),
                                             settings.callers.port};
        for (std::size_t i = 0; i <= others; ++i) {
            callers.emplace_back(context);
            callers.back().connect(target);
        }
        asio::write(callers.back(), asio::buffer(row.sent));
        std::string text;
        bool ended = false;
        asio::async_read(callers.back(), asio::dynamic_buffer(text),
                         [&](const asio::error_code &, std::size_t) { ended = true; });
        CHECK_TRUE_TEXT(runUntil([&] { return ended; }), row.name);
        CHECK_TRUE_TEXT(text.starts_with(fmt::format("HTTP/1.1 {} ", row.status)), row.name);
        CHECK_TRUE_TEXT(text.find("Request-Id: r1\r\n") != std::string::npos, row.name);
        CHECK_TRUE_TEXT(text.find("Connection: close\r\n") != std::string::npos, row.name);
        CHECK_EQUAL_TEXT(row.comeBack, text.find("Retry-After: 0.500\r\n") != std::string::npos,
                         row.name);
    }
    LONGS_EQUAL(0, arrivals());
}

// Guards against sending a request to an endpoint when its caller has given up already.
TEST(GatewayPath, requestThatIsCompleteAfterItsDeadlineIsRefused)
{
    addEndpoint("plain");
    publishConfig();
    asio::ip::tcp::socket caller(context);
    caller.connect({asio::ip::make_address_v4(settings.callers.ip), settings.callers.port});
    asio::write(caller,
                asio::buffer(std::string("POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                                         "Authorization: Token key\r\nDeadline-Ms: 100\r\n"
                                         "Connection: close\r\nContent-Length: 2\r\n\r\nx")));
    runUntil([] { return false; }, Millis(150));
    asio::write(caller, asio::buffer("x", 1));
    std::string text;
    bool ended = false;
    asio::async_read(caller, asio::dynamic_buffer(text),
                     [&](const asio::error_code &, std::size_t) { ended = true; });
    CHECK_TRUE(runUntil([&] { return ended; }));
    STRCMP_EQUAL("HTTP/1.1 503", text.substr(0, 12).c_str());
    LONGS_EQUAL(0, arrivals());
}

// Checks the caller's answer for each kind of failure of the first endpoint, when a second endpoint
// works.
TEST(GatewayPath, answersEachKindOfEndpointFailure)
{
    struct Case
    {
        const char *route;
        EndpointBehaviour first;
        int status;
        std::size_t runs;
        bool complete = true;
    };
    const Case cases[] = {
            {"safe", EndpointBehaviour::Answer, 200, 1},
            {"safe", EndpointBehaviour::NotRun, 200, 1},
            {"safe", EndpointBehaviour::Fails, 200, 2},
            {"safe", EndpointBehaviour::Resets, 200, 2},
            {"safe", EndpointBehaviour::Unsigned, 200, 2},
            {"safe", EndpointBehaviour::Cut, 200, 2},
            {"safe", EndpointBehaviour::StrayFirst, 200, 1},
            {"once", EndpointBehaviour::Answer, 200, 1},
            {"once", EndpointBehaviour::NotRun, 200, 1},
            {"once", EndpointBehaviour::Fails, 500, 1},
            {"once", EndpointBehaviour::Resets, 502, 1},
            {"once", EndpointBehaviour::Unsigned, 502, 1},
            {"once", EndpointBehaviour::Cut, 502, 1},
            {"once", EndpointBehaviour::Silent, 504, 1},
            {"stream", EndpointBehaviour::Answer, 200, 1},
            {"stream", EndpointBehaviour::NotRun, 200, 1},
            {"stream", EndpointBehaviour::Resets, 200, 2},
            {"stream", EndpointBehaviour::BreaksStream, 200, 2},
            {"fixed", EndpointBehaviour::Answer, 200, 1},
            {"fixed", EndpointBehaviour::Resets, 502, 1},
            {"fixed", EndpointBehaviour::BreaksStream, 200, 1, false},
    };
    for (const char *service : {"plain", "plain", "pool", "pool"})
        addEndpoint(service);
    publishConfig();
    for (const Case &row : cases) {
        const std::string text = fmt::format("{} {}", row.route, static_cast<int>(row.first));
        for (const auto &endpoint : endpoints) {
            endpoint->runs.clear();
            endpoint->script = {row.first};
        }
        const auto answer = sendRequest(row.route);
        // The endpoint that gets the first attempt fails; the others work.
        CHECK_TRUE(runUntil([&] {
            for (const auto &endpoint : endpoints) {
                if (endpoint->script.empty()) {
                    for (const auto &other : endpoints)
                        other->script.clear();
                }
            }
            return answer->ended;
        }));
        LONGS_EQUAL_TEXT(row.status, answer->status, text.c_str());
        LONGS_EQUAL_TEXT(row.runs, runs(), text.c_str());
        CHECK_EQUAL_TEXT(row.complete, answer->complete, text.c_str());
        const bool streams
                = std::string(row.route) == "stream" || std::string(row.route) == "fixed";
        if (row.status == 200 && row.complete) {
            const std::string expected
                    = streams ? allEvents() : fmt::format("answer of r{}", requests);
            STRCMP_EQUAL_TEXT(expected.c_str(), answer->body.c_str(), text.c_str());
            CHECK_TRUE_TEXT(answer->headers.find("Response-Seal") != nullptr, text.c_str());
        }
        runUntil([] { return false; }, Millis(300)); // Lets suspensions of endpoints end.
    }
}

// Guards against a second run of a request that may run only once, and against its caller being
// told that it has not run, when the connection to the endpoint is reset; others go on.
TEST(GatewayPath, answersAResetAtEachPointOfAnExchangeWithAnEndpoint)
{
    const ResetPoint before;
    const ResetPoint inRequest{.after = "Request-Id: "};
    const ResetPoint afterRequest{.inAnswer = true, .after = ""};
    const ResetPoint inHead{.inAnswer = true, .after = "HTTP/1.1 2"};
    const ResetPoint inBody{.inAnswer = true, .after = "answer "};
    const ResetPoint inStream{.inAnswer = true, .after = "id: 3\nda"};
    struct Case
    {
        const char *name;
        const char *route;
        ResetPoint point;
        int status;
        bool complete = true;
    };
    const Case cases[] = {
            {"safe, before the request is read", "safe", before, 200},
            {"safe, within the request", "safe", inRequest, 200},
            {"safe, after the request", "safe", afterRequest, 200},
            {"safe, within the head", "safe", inHead, 200},
            {"safe, within the body", "safe", inBody, 200},
            {"once, before the request is read", "once", before, 502},
            {"once, within the request", "once", inRequest, 502},
            {"once, after the request", "once", afterRequest, 502},
            {"once, within the head", "once", inHead, 502},
            {"once, within the body", "once", inBody, 502},
            {"stream, before the request is read", "stream", before, 200},
            {"stream, after the request", "stream", afterRequest, 200},
            {"stream, within the head", "stream", inHead, 200},
            {"stream, within an event", "stream", inStream, 200},
            {"fixed stream, after the request", "fixed", afterRequest, 502},
            {"fixed stream, within an event", "fixed", inStream, 200, false},
    };
    std::vector<std::unique_ptr<ResettingLink>> links;
    for (const char *service : {"plain", "pool"}) {
        const Address address = addresses.next();
        const EndpointStandin &endpoint = addEndpoint(service);
        links.push_back(std::make_unique<ResettingLink>(context, address, endpoint.address));
        writeRecord(endpoint, service, "ready", 1, 5, address);
    }
    publishConfig();
    for (const Case &row : cases) {
        const bool streams
                = std::string(row.route) == "stream" || std::string(row.route) == "fixed";
        for (const bool reusesConnection : {false, true}) {
            const std::string text
                    = fmt::format("{}, {} connection", row.name, reusesConnection ? "used" : "new");
            pool.closeIdle(links[streams ? 1 : 0]->address());
            if (reusesConnection)
                LONGS_EQUAL_TEXT(200, sendRequestAndWait(row.route)->status, text.c_str());
            const std::size_t runsBefore = runs();
            ResettingLink &link = *links[streams ? 1 : 0];
            link.resetAt(row.point);
            const auto answer = sendRequestAndWait(row.route);
            CHECK_TRUE_TEXT(link.hasReset(), text.c_str());
            LONGS_EQUAL_TEXT(row.status, answer->status, text.c_str());
            CHECK_EQUAL_TEXT(row.complete, answer->complete, text.c_str());
            if (row.status == 502 || !row.complete)
                CHECK_TRUE_TEXT(runs() <= runsBefore + 1, text.c_str());
            if (row.status == 200 && row.complete) {
                const std::string expected
                        = streams ? allEvents() : fmt::format("answer of r{}", requests);
                STRCMP_EQUAL_TEXT(expected.c_str(), answer->body.c_str(), text.c_str());
            }
        }
    }
}

// Guards against a request that runs although it did not arrive whole, that runs twice, or that a
// daemon keeps, because its caller's connection was reset.
TEST(GatewayPath, aResetOfTheCallersConnectionLeavesNothingBehind)
{
    struct Case
    {
        const char *name;
        const char *route;
        ResetPoint point;
        std::size_t runs;
    };
    const Case cases[] = {
            {"before the request is read", "once", {.inAnswer = false, .after = ""}, 0},
            {"within the request", "once", {.inAnswer = false, .after = "Request-Id: "}, 0},
            {"after the request", "once", {.inAnswer = true, .after = ""}, 1},
            {"within the head", "once", {.inAnswer = true, .after = "HTTP/1.1 2"}, 1},
            {"within the body", "safe", {.inAnswer = true, .after = "answer "}, 1},
            {"within a stream", "stream", {.inAnswer = true, .after = "id: 3\nda"}, 1},
    };
    addEndpoint("plain");
    addEndpoint("pool").eventGap = Millis(150);
    publishConfig();
    waitForEndpoints();
    ResettingLink link(context, addresses.next(), settings.callers);
    entry = link.address();
    for (const Case &row : cases) {
        for (const auto &endpoint : endpoints)
            endpoint->runs.clear();
        link.resetAt(row.point);
        const auto answer = sendRequestAndWait(row.route);
        CHECK_TRUE_TEXT(link.hasReset(), row.name);
        CHECK_FALSE_TEXT(answer->complete, row.name);
        CHECK_TRUE_TEXT(runUntil([&] { return requestsInProgress() == 0; }, Millis(100)), row.name);
        runUntil([] { return false; }, Millis(50));
        LONGS_EQUAL_TEXT(row.runs, runs(), row.name);
        LONGS_EQUAL_TEXT(200, sendRequestAndWait(row.route)->status, row.name);
    }
}

TEST(GatewayPath, checksKeysAndRoutesAndAppliesConfigurationChanges)
{
    addEndpoint("plain");
    publishConfig();
    LONGS_EQUAL(401, sendRequestAndWait("safe", "other")->status);
    LONGS_EQUAL(404, sendRequestAndWait("nowhere")->status);
    LONGS_EQUAL(0, runs());
    store.put("keyed.op", "config", configText(9, "\"other\""));
    CHECK_TRUE(runUntil([&] { return sendRequestAndWait("safe", "other")->status == 200; }));
    LONGS_EQUAL(401, sendRequestAndWait("safe")->status);
    STRCMP_EQUAL("ws", endpoints[0]->runs.back().request.headers.find("Tenant")->c_str());
    POINTERS_EQUAL(nullptr, endpoints[0]->runs.back().request.headers.find("Authorization"));
    // A version older than the one in force is ignored.
    store.put("keyed.op", "config", configText(5));
    runUntil([] { return false; }, Millis(100));
    LONGS_EQUAL(401, sendRequestAndWait("safe")->status);
}

TEST(GatewayPath, drainingEndpointsGetNoNewRequests)
{
    EndpointStandin &draining = addEndpoint("plain");
    addEndpoint("plain");
    publishConfig();
    writeRecord(draining, "plain", "draining");
    runUntil([] { return false; }, kDrainBound);
    const unsigned before = draining.arrivals;
    for (int i = 0; i < 10; ++i)
        LONGS_EQUAL(200, sendRequestAndWait("safe")->status);
    LONGS_EQUAL(before, draining.arrivals);
    store.put("keyed.servers", "i-2", "\xff not a record");
    runUntil([] { return false; }, kDrainBound);
    LONGS_EQUAL_TEXT(503, sendRequestAndWait("safe")->status,
                     "an unreadable record removes the endpoint");
}

// Guards against requests to the endpoints of an evacuated failure domain, also if the store loses
// the operators' order.
TEST(GatewayPath, endpointsOfAnEvacuatedFailureDomainGetNoNewRequests)
{
    constexpr Millis kEvacuated{5000};
    for (const char *domain : {"west", "east"})
        writeRecord(addEndpoint("plain"), "plain", "ready", 1, 5, std::nullopt, domain);
    publishConfig();
    const auto sendTen = [&] {
        for (int i = 0; i < 10; ++i)
            LONGS_EQUAL(200, sendRequestAndWait("safe")->status);
    };
    // The gateway prefers endpoints of its own failure domain.
    const EndpointStandin &evacuated = *endpoints[1];
    const std::string order = "evacuate/east";
    const auto arrivalsOfTen = [&] {
        const unsigned before = evacuated.arrivals;
        sendTen();
        return evacuated.arrivals - before;
    };
    CHECK_TRUE(arrivalsOfTen() > 0);
    runUntil([] { return false; }, kDrainBound);
    const TimePoint ordered = steadyNow();
    store.put("keyed.op", order, "{}");
    runUntil([] { return false; }, kDrainBound);
    LONGS_EQUAL(0, arrivalsOfTen());
    store.restoreCopy(std::chrono::ceil<Millis>(steadyNow() - ordered + Millis(100)));
    store.put("keyed.op", "config", configText(4));
    runUntil([] { return false; }, Millis(500));
    LONGS_EQUAL_TEXT(0, arrivalsOfTen(), "the store has come back without the order");
    store.put("keyed.op", order, "{}");
    runUntil([] { return false; }, kEvacuated);
    LONGS_EQUAL(0, arrivalsOfTen());
    store.put("keyed.op", order, std::nullopt);
    runUntil([] { return false; }, kDrainBound);
    CHECK_TRUE_TEXT(arrivalsOfTen() > 0, "the evacuation has ended");
}

// A sound endpoint may pause for a second or so: its answer then arrives late, but whole.
TEST(GatewayPath, silenceOfASoundEndpointDoesNotEndItsAnswer)
{
    struct Case
    {
        const char *name;
        unsigned maxAttempts;
        double retryShare;
        unsigned eventsBefore; ///< Events that the caller has when the silence begins.
    };
    const Case cases[] = {
            {"one endpoint allowed, before the first event", 1, 0.2, 0},
            {"one endpoint allowed, within the stream", 1, 0.2, 2},
            {"two endpoints allowed, before the first event", 2, 0.2, 0},
            {"two endpoints allowed, within the stream", 2, 0.2, 2},
            {"no retries left, before the first event", 2, 0, 0},
            {"no retries left, within the stream", 2, 0, 2},
    };
    constexpr Millis kSilence{1500};
    constexpr Millis kDeadline{8000};
    for (int i = 0; i < 2; ++i)
        addEndpoint("pool").eventGap = Millis(20);
    publishConfig();
    unsigned version = 3;
    for (const Case &row : cases) {
        store.put("keyed.op", "config",
                  configText(++version, "\"key\"",
                             {static_cast<unsigned>(kDeadline.count()), row.maxAttempts}));
        settings.retries = {row.retryShare, row.retryShare > 0 ? 1000.0 : 0.0, Millis(10'000)};
        gateway->reload(settings);
        const std::string inForce = fmt::format("\"config_version\":{}", version);
        CHECK_TRUE(runUntil([&] { return gateway->dump().find(inForce) != std::string::npos; }));
        for (const auto &endpoint : endpoints)
            endpoint->fallSilent(row.eventsBefore == 0 ? kSilence : Millis(0));
        const auto answer = sendRequest("stream", "key", kDeadline);
        if (row.eventsBefore > 0) {
            const std::string begun = fmt::format("id: {}\n", row.eventsBefore);
            CHECK_TRUE_TEXT(runUntil([&] { return answer->body.find(begun) != std::string::npos; }),
                            row.name);
            for (const auto &endpoint : endpoints)
                endpoint->fallSilent(kSilence);
        }
        CHECK_TRUE_TEXT(runUntil([&] { return answer->ended; }, kDeadline), row.name);
        LONGS_EQUAL_TEXT(200, answer->status, row.name);
        CHECK_TRUE_TEXT(answer->complete, row.name);
        STRCMP_EQUAL_TEXT(allEvents().c_str(), answer->body.c_str(), row.name);
    }
}

// Guards against the end of a request whose memory lapses because a holder pauses, and against
// memory that stays reserved after its request.
TEST(GatewayPath, silenceOfAHolderNeitherEndsItsRequestNorKeepsItsMemory)
{
    struct Case
    {
        unsigned event;      ///< The last one that the caller has before the silence.
        Millis afterRenewal; ///< From the renewal of the lease to the silence; 0 for at once.
    };
    const Case cases[]
            = {{1, Millis(300)}, {1, Millis(480)}, {EndpointStandin::kStreamEvents, Millis(0)}};
    constexpr Millis kSilence{1500};
    constexpr Millis kDeadline{8000};
    constexpr Millis kFreeBound{4000}; // Of the users' rules, from the end of the request.
    for (int i = 0; i < 2; ++i)
        addEndpoint("small").eventGap = Millis(500);
    endRequestsWhoseMemoryLapses();
    store.put("keyed.op", "config",
              configText(3, "\"key\"", {static_cast<unsigned>(kDeadline.count()), 1}));
    CHECK_TRUE(runUntil([&] { return gateway->ready(); }));
    waitForEndpoints();
    for (const Case &row : cases) {
        const std::string text = fmt::format("{} {}", row.event, row.afterRenewal.count());
        const auto answer = sendRequest("split", "key", kDeadline);
        const std::string begun = fmt::format("id: {}\n", row.event);
        CHECK_TRUE(runUntil([&] { return answer->body.find(begun) != std::string::npos; }));
        EndpointStandin &holder = *endpoints[endpoints[0]->leases.empty() ? 1 : 0];
        LONGS_EQUAL_TEXT(1, holder.leases.size(), text.c_str());
        const unsigned before = holder.arrivals;
        CHECK_TRUE(runUntil(
                [&] { return row.afterRenewal == Millis(0) || holder.arrivals > before; }));
        runUntil([] { return false; }, row.afterRenewal);
        holder.fallSilent(kSilence);
        CHECK_TRUE_TEXT(runUntil([&] { return answer->ended; }), text.c_str());
        CHECK_TRUE_TEXT(answer->complete, text.c_str());
        STRCMP_EQUAL_TEXT(allEvents().c_str(), answer->body.c_str(), text.c_str());
        CHECK_TRUE_TEXT(runUntil([&] { return holder.leases.empty(); }, kFreeBound), text.c_str());
    }
}

TEST(GatewayPath, silentEndpointGoesOnWhenTheOneThatTookOverFails)
{
    struct Case
    {
        EndpointBehaviour second;
        unsigned eventsBefore; ///< Events that the caller has when the silence begins.
    };
    const Case cases[] = {
            {EndpointBehaviour::Resets, 0}, {EndpointBehaviour::Resets, 2},
            {EndpointBehaviour::NotRun, 0}, {EndpointBehaviour::NotRun, 2},
            {EndpointBehaviour::Fails, 0},  {EndpointBehaviour::Fails, 2},
            {EndpointBehaviour::Silent, 0}, {EndpointBehaviour::Silent, 2},
    };
    constexpr Millis kSilence{1600};
    constexpr Millis kDeadline{4000};
    for (int i = 0; i < 2; ++i)
        addEndpoint("pool").eventGap = Millis(20);
    store.put("keyed.op", "config",
              configText(3, "\"key\"", {static_cast<unsigned>(kDeadline.count()), 2}));
    CHECK_TRUE(runUntil([&] { return gateway->ready(); }));
    for (const Case &row : cases) {
        const std::string text
                = fmt::format("{} {}", static_cast<int>(row.second), row.eventsBefore);
        for (const auto &endpoint : endpoints)
            endpoint->fallSilent(row.eventsBefore == 0 ? kSilence : Millis(0));
        const unsigned before = endpoints[0]->arrivals;
        const auto answer = sendRequest("stream", "key", kDeadline);
        const std::string begun = fmt::format("id: {}\n", row.eventsBefore);
        CHECK_TRUE(runUntil([&] {
            return row.eventsBefore == 0 || answer->body.find(begun) != std::string::npos;
        }));
        runUntil([] { return false; }, Millis(50));
        const bool firstIsZero
                = row.eventsBefore == 0
                          ? gateway->dump().find("\"endpoint\":\"i-1\"") != std::string::npos
                          : endpoints[0]->arrivals > before;
        EndpointStandin &first = *endpoints[firstIsZero ? 0 : 1];
        EndpointStandin &second = *endpoints[firstIsZero ? 1 : 0];
        first.fallSilent(kSilence);
        second.fallSilent(Millis(0));
        second.script = {row.second};
        CHECK_TRUE_TEXT(runUntil([&] { return answer->ended; }), text.c_str());
        LONGS_EQUAL_TEXT(200, answer->status, text.c_str());
        CHECK_TRUE_TEXT(answer->complete, text.c_str());
        STRCMP_EQUAL_TEXT(allEvents().c_str(), answer->body.c_str(), text.c_str());
        CHECK_TRUE_TEXT(second.script.empty(), text.c_str());
        runUntil([] { return false; }, Millis(300)); // Lets suspensions of endpoints end.
    }
}

// Guards against requests to an endpoint that has said in an answer that it leaves, whatever the
// answer was. The store has no record of it.
TEST(GatewayPath, anEndpointThatSaysItLeavesGetsNoFurtherRequest)
{
    const std::pair<const char *, EndpointBehaviour> cases[] = {
            {"safe", EndpointBehaviour::Answer},   {"safe", EndpointBehaviour::NotRun},
            {"safe", EndpointBehaviour::Fails},    {"safe", EndpointBehaviour::StrayFirst},
            {"stream", EndpointBehaviour::Answer}, {"stream", EndpointBehaviour::BreaksStream},
    };
    publishConfig();
    for (const auto &[route, behaviour] : cases) {
        const std::string text = fmt::format("{} {}", route, static_cast<int>(behaviour));
        EndpointStandin &leaving = addEndpoint(route == std::string("safe") ? "plain" : "pool");
        leaving.leaving = true;
        leaving.script = {behaviour};
        waitForEndpoints();
        const unsigned before = arrivals();
        for (int i = 0; i < 2; ++i)
            sendRequestAndWait(route);
        LONGS_EQUAL_TEXT(1, leaving.arrivals, text.c_str());
        LONGS_EQUAL_TEXT(before + 1, arrivals(), text.c_str());
    }
    CHECK_TRUE_TEXT(
            runUntil([&] { return !endpoints.front()->runs.back().connection->open(); }, Millis(0)),
            "the idle connection is closed");
    // A new record of the same instance does not undo the statement, that of another one does.
    writeRecord(*endpoints.front(), "plain", "draining", 2);
    writeRecord(*endpoints.front(), "plain", "ready", 3);
    runUntil([] { return false; }, kDrainBound);
    LONGS_EQUAL(503, sendRequestAndWait("safe")->status);
    endpoints.front()->leaving = false;
    writeRecord(*endpoints.front(), "plain", "ready", 1, 6);
    CHECK_TRUE(runUntil([&] { return sendRequestAndWait("safe")->status == 200; }));
}

// Guards against a prompt that is sent with the help of an endpoint which said that it leaves, or
// wants no requests, when its memory was reserved.
TEST(GatewayPath, answersToOrdersCountAsStatementsToo)
{
    for (const bool leaving : {true, false}) {
        endpoints.clear();
        for (int i = 0; i < 2; ++i) {
            EndpointStandin &endpoint = addEndpoint("small");
            // Statements of one instance do not count for the next.
            writeRecord(endpoint, "small", "ready", 0, leaving ? 5 : 6);
            endpoint.leaving = leaving;
            if (!leaving)
                endpoint.quietFor = Millis(5000);
        }
        publishConfig();
        waitForEndpoints();
        CHECK_TRUE(runUntil(
                [&] { return gateway->dump().find("\"accepts\":false") == std::string::npos; }));
        LONGS_EQUAL(503, sendRequestAndWait("split")->status);
        CHECK_TRUE_TEXT(arrivals() > 0, leaving ? "leaving" : "quiet");
        for (const auto &endpoint : endpoints) {
            for (const EndpointStandin::Run &run : endpoint->runs)
                STRCMP_EQUAL("POST", run.request.method.c_str());
            CHECK_TRUE_TEXT(endpoint->arrivals <= 2, "one reservation and its release");
        }
    }
}

// Guards against the end of a running request because its orders stop, against new work at the
// endpoint that holds its memory, and against orders that the endpoint has turned away and gets
// again and again.
TEST(GatewayPath, endpointsThatLeaveOrWantNothingGetOnlyTheOrdersOfRunningRequests)
{
    struct Case
    {
        Millis quiet; ///< 0 for an endpoint that leaves.
        bool completes;
    };
    const Case cases[] = {{Millis(1000), true}, {Millis(2000), false}, {Millis(0), true}};
    constexpr Millis kDeadline{8000};
    constexpr Millis kQuietSlack{500}; // The users' rules allow two requests after this time.
    for (int i = 0; i < 2; ++i)
        addEndpoint("small").eventGap = Millis(600);
    store.put("keyed.op", "config",
              configText(3, "\"key\"", {static_cast<unsigned>(kDeadline.count()), 1}));
    CHECK_TRUE(runUntil([&] { return gateway->ready(); }));
    waitForEndpoints();
    endRequestsWhoseMemoryLapses();
    for (const Case &row : cases) {
        const std::string text = fmt::format("quiet {}", row.quiet.count());
        const auto answer = sendRequest("split", "key", kDeadline);
        CHECK_TRUE_TEXT(runUntil([&] { return !answer->body.empty(); }), text.c_str());
        EndpointStandin &holder = *endpoints[endpoints[0]->leases.empty() ? 1 : 0];
        const std::string ticket = holder.leases.begin()->first;
        const std::size_t before = holder.log.size();
        if (row.quiet > Millis(0))
            holder.quietFor = row.quiet;
        else
            holder.leaving = true;
        CHECK_TRUE_TEXT(runUntil([&] { return holder.log.size() > before; }), text.c_str());
        const TimePoint said = steadyNow();
        const auto refused = sendRequest("split", "key", Millis(400));
        CHECK_TRUE_TEXT(runUntil([&] { return refused->ended; }), text.c_str());
        LONGS_EQUAL_TEXT(503, refused->status, text.c_str());
        runUntil([&] { return steadyNow() > said + row.quiet; }, row.quiet);
        holder.quietFor.reset();
        CHECK_TRUE_TEXT(runUntil([&] { return answer->ended; }), text.c_str());
        CHECK_EQUAL_TEXT(row.completes, answer->complete, text.c_str());
        CHECK_TRUE_TEXT(runUntil([&] { return holder.leases.empty(); }), text.c_str());
        const auto unwanted = std::ranges::count_if(holder.log, [&](const auto &arrival) {
            return arrival.at > said + kQuietSlack && arrival.at < said + row.quiet;
        });
        CHECK_TRUE_TEXT(unwanted <= 2, fmt::format("{}: {}", text, unwanted).c_str());
        const std::string &last = holder.runs.back().request.body;
        CHECK_TRUE_TEXT(!row.completes || last.find("release") != std::string::npos, last.c_str());
        CHECK_TRUE_TEXT(last.find(ticket) != std::string::npos, last.c_str());
        // Lets suspensions of endpoints end, and the time that the last refusal stated.
        runUntil([] { return false; }, row.quiet + Millis(600));
    }
}

// Guards against requests to an endpoint that wants none for some time, and against callers that
// wait although it is known that no endpoint will take their request in time.
TEST(GatewayPath, anEndpointThatAsksForQuietGetsNothingUntilItsTimeEnds)
{
    constexpr Millis kLongQuiet{3000};
    constexpr Millis kShortQuiet{500};
    EndpointStandin &endpoint = addEndpoint("pool");
    publishConfig();
    endpoint.quietFor = kLongQuiet;
    const TimePoint askedForQuiet = steadyNow();
    for (int i = 0; i < 3; ++i) {
        const TimePoint sent = steadyNow();
        const auto answer = sendRequestAndWait("stream");
        LONGS_EQUAL(503, answer->status);
        CHECK_TRUE_TEXT(steadyNow() - sent < kShortQuiet, "refused at once");
        const std::string *retryAfter = answer->headers.find("Retry-After");
        CHECK_TRUE(retryAfter != nullptr);
        CHECK_TRUE_TEXT(steadyNow() + std::chrono::duration<double>(std::stod(*retryAfter))
                                >= askedForQuiet + kLongQuiet,
                        "callers come back when the endpoint takes requests again");
    }
    LONGS_EQUAL(1, endpoint.arrivals);
    CHECK_TRUE(runUntil([&] { return steadyNow() > askedForQuiet + kLongQuiet; }));
    endpoint.quietFor = kShortQuiet;
    const TimePoint sent = steadyNow();
    const auto answer = sendRequest("stream");
    CHECK_TRUE(runUntil([&] { return endpoint.arrivals == 2; }));
    endpoint.quietFor.reset();
    CHECK_TRUE(runUntil([&] { return answer->ended; }));
    LONGS_EQUAL(200, answer->status);
    CHECK_TRUE(steadyNow() - sent >= kShortQuiet);
    LONGS_EQUAL(3, endpoint.arrivals);
}

// Guards against the promise that a request has not run, when it may have run at an endpoint before
// the others asked for quiet.
TEST(GatewayPath, aRequestThatMayHaveRunIsNotRefusedForQuietEndpoints)
{
    EndpointStandin &quiet = addEndpoint("plain");
    publishConfig();
    quiet.quietFor = Millis(5000);
    LONGS_EQUAL(503, sendRequestAndWait("safe")->status);
    EndpointStandin &failing = addEndpoint("plain");
    waitForEndpoints();
    failing.leaving = true;
    failing.script = {EndpointBehaviour::Fails};
    LONGS_EQUAL(502, sendRequestAndWait("safe")->status);
    LONGS_EQUAL(1, quiet.arrivals);
    LONGS_EQUAL(1, failing.arrivals);
}

// Guards against requests to an endpoint that has left because the store has come back from a copy
// in which it is ready, and against leaving out an endpoint for good that has written again.
TEST(GatewayPath, endpointsThatLeftDoNotComeBackWithAnOlderStore)
{
    struct Case
    {
        const char *name;
        std::vector<const char *> writes; ///< After the copy; null deletes the record.
        bool lastHeartbeat = false;       ///< Another one in the copy, read together with these.
    };
    const Case cases[] = {{"draining", {"draining"}},
                          {"removed", {nullptr}},
                          {"removed right after a heartbeat", {nullptr}, true},
                          {"draining, then removed", {"draining", nullptr}}};
    addEndpoint("plain");
    for (std::size_t i = 0; i < std::size(cases); ++i)
        addEndpoint("plain");
    publishConfig();
    const auto leaving = [this](std::size_t i) -> EndpointStandin & { return *endpoints[i + 1]; };
    const auto getsRequests = [&](std::size_t i) {
        const unsigned before = leaving(i).arrivals;
        return runUntil([&] {
            LONGS_EQUAL(200, sendRequestAndWait("safe")->status);
            return leaving(i).arrivals > before;
        });
    };
    for (std::size_t i = 0; i < std::size(cases); ++i)
        CHECK_TRUE_TEXT(getsRequests(i), cases[i].name);
    for (std::size_t i = 0; i < std::size(cases); ++i) {
        if (cases[i].lastHeartbeat)
            writeRecord(leaving(i), "plain", "ready", 2);
    }
    std::this_thread::sleep_for(Millis(2));
    const TimePoint copied = steadyNow();
    std::this_thread::sleep_for(Millis(2));
    for (std::size_t i = 0; i < std::size(cases); ++i) {
        unsigned revision = 2;
        for (const char *state : cases[i].writes) {
            if (state)
                writeRecord(leaving(i), "plain", state, ++revision);
            else
                store.put("keyed.servers", leaving(i).id, std::nullopt);
        }
    }
    runUntil([] { return false; }, kDrainBound);
    std::vector<unsigned> arrivals;
    for (std::size_t i = 0; i < std::size(cases); ++i)
        arrivals.push_back(leaving(i).arrivals);
    store.restoreCopy(std::chrono::floor<Millis>(steadyNow() - copied));
    runUntil([] { return false; }, kDrainBound);
    for (int i = 0; i < 40; ++i)
        LONGS_EQUAL(200, sendRequestAndWait("safe")->status);
    for (std::size_t i = 0; i < std::size(cases); ++i)
        LONGS_EQUAL_TEXT(arrivals[i], leaving(i).arrivals, cases[i].name);
    for (std::size_t i = 0; i < std::size(cases); ++i)
        writeRecord(leaving(i), "plain", "ready", 10);
    for (std::size_t i = 0; i < std::size(cases); ++i)
        CHECK_TRUE_TEXT(getsRequests(i), cases[i].name);
}

// Guards against a daemon that others can no longer find because its record was lost, and against a
// record that a daemon which shuts down writes again.
TEST(GatewayPath, theMemberRecordIsWrittenAgainAfterTheStoreCameBackOlder)
{
    constexpr const char *kMembersTopic = "keyed.gateways";
    const auto isListed = [&] { return store.value(kMembersTopic, settings.member).has_value(); };
    const TimePoint started = steadyNow();
    publishConfig();
    CHECK_TRUE(runUntil(isListed));
    const auto loseAll
            = [&] { store.restoreCopy(std::chrono::ceil<Millis>(steadyNow() - started)); };
    loseAll();
    CHECK_FALSE(isListed());
    CHECK_TRUE(runUntil(isListed));
    gateway->shutDown([] {});
    CHECK_TRUE(runUntil([&] { return !isListed(); }));
    store.restoreCopy(Millis(0));
    runUntil([] { return false; }, Millis(2500));
    CHECK_FALSE(isListed());
}

TEST(GatewayPath, refusalOfASilentEndpointDoesNotEndTheAttemptThatReplacesIt)
{
    constexpr Millis kSilence{1700};
    constexpr Millis kDeadline{4000};
    for (int i = 0; i < 2; ++i)
        addEndpoint("pool");
    store.put("keyed.op", "config",
              configText(3, "\"key\"", {static_cast<unsigned>(kDeadline.count()), 2}));
    CHECK_TRUE(runUntil([&] { return gateway->ready(); }));
    for (const EndpointBehaviour late : {EndpointBehaviour::NotRun, EndpointBehaviour::Fails}) {
        const std::string text = fmt::format("{}", static_cast<int>(late));
        for (const auto &endpoint : endpoints)
            endpoint->fallSilent(kSilence);
        const auto answer = sendRequest("stream", "key", kDeadline);
        runUntil([] { return false; }, Millis(50));
        const bool firstIsZero = gateway->dump().find("\"endpoint\":\"i-1\"") != std::string::npos;
        EndpointStandin &first = *endpoints[firstIsZero ? 0 : 1];
        EndpointStandin &second = *endpoints[firstIsZero ? 1 : 0];
        first.script = {late};
        second.fallSilent(kSilence + Millis(200));
        CHECK_TRUE_TEXT(runUntil([&] { return answer->ended; }), text.c_str());
        LONGS_EQUAL_TEXT(200, answer->status, text.c_str());
        STRCMP_EQUAL_TEXT(allEvents().c_str(), answer->body.c_str(), text.c_str());
        runUntil([] { return false; }, Millis(600)); // Lets suspensions of endpoints end.
    }
}

TEST(GatewayPath, failedReplacementOfASilentEndpointIsReplacedWhileTheCallerWaits)
{
    // Callers give up on a stream after a gap of two seconds.
    constexpr Millis kPatience{2000};
    constexpr Millis kDeadline{6000};
    for (int i = 0; i < 3; ++i)
        addEndpoint("pool");
    store.put("keyed.op", "config",
              configText(3, "\"key\"", {static_cast<unsigned>(kDeadline.count()), 3}));
    CHECK_TRUE(runUntil([&] { return gateway->ready(); }));
    for (const auto &endpoint : endpoints)
        endpoint->fallSilent(kDeadline);
    const auto answer = sendRequest("stream", "key", kDeadline);
    const TimePoint sent = steadyNow();
    runUntil([] { return false; }, Millis(50));
    std::vector<EndpointStandin *> others;
    for (const auto &endpoint : endpoints) {
        if (gateway->dump().find("\"endpoint\":\"" + endpoint->id + "\"") == std::string::npos)
            others.push_back(endpoint.get());
    }
    LONGS_EQUAL(2, others.size());
    for (EndpointStandin *other : others) {
        other->fallSilent(Millis(0));
        other->script = {EndpointBehaviour::NotRun};
    }
    CHECK_TRUE(runUntil([&] {
        if (others[0]->script.empty() || others[1]->script.empty()) {
            for (EndpointStandin *other : others)
                other->script.clear();
        }
        return answer->ended;
    }));
    LONGS_EQUAL(200, answer->status);
    const auto took = std::chrono::duration_cast<Millis>(steadyNow() - sent);
    CHECK_TRUE_TEXT(took < kPatience, fmt::format("{} ms", took.count()).c_str());
}

// Guards against a broken stream that waits until it is cut for an endpoint that would be on time.
TEST(GatewayPath, brokenStreamGoesOnAtAnEndpointThatWouldBeLate)
{
    constexpr Millis kDeadline{12'000};
    for (int i = 0; i < 2; ++i)
        addEndpoint("pool").script = {EndpointBehaviour::BreaksStream};
    store.put("keyed.op", "config",
              configText(3, "\"key\"", {static_cast<unsigned>(kDeadline.count()), 2}));
    CHECK_TRUE(runUntil([&] { return gateway->ready(); }));
    waitForEndpoints();
    // Takes more than a second to read, with an objective of 300 ms.
    const auto answer = sendRequest("stream", "key", kDeadline, "140000,24");
    CHECK_TRUE(runUntil([&] {
        for (const auto &endpoint : endpoints) {
            if (endpoint->script.empty()) {
                for (const auto &other : endpoints)
                    other->script.clear();
            }
        }
        return answer->ended;
    }));
    CHECK_TRUE(answer->complete);
    STRCMP_EQUAL(allEvents().c_str(), answer->body.c_str());
}

// Guards against a stream whose endpoint falls silent after an early first event, and which goes on
// elsewhere only once the first event is overdue.
TEST(GatewayPath, silenceWithinAStreamIsFoundWhateverItsFirstEventWasExpectedToTake)
{
    // Callers give up on a stream after a gap of two seconds.
    constexpr Millis kPatience{2000};
    constexpr Millis kDeadline{12'000};
    for (int i = 0; i < 2; ++i)
        addEndpoint("pool").eventGap = Millis(20);
    store.put("keyed.op", "config",
              configText(3, "\"key\"", {static_cast<unsigned>(kDeadline.count()), 2}));
    CHECK_TRUE(runUntil([&] { return gateway->ready(); }));
    waitForEndpoints();
    // The first event is expected after more than a second.
    const auto answer = sendRequest("stream", "key", kDeadline, "140000,24");
    CHECK_TRUE(runUntil([&] { return answer->body.find("id: 2\n") != std::string::npos; }));
    const TimePoint silent = steadyNow();
    for (const auto &endpoint : endpoints) {
        if (!endpoint->runs.empty())
            endpoint->fallSilent(kDeadline);
    }
    CHECK_TRUE(runUntil([&] { return answer->ended; }, kDeadline));
    STRCMP_EQUAL(allEvents().c_str(), answer->body.c_str());
    const auto took = std::chrono::duration_cast<Millis>(steadyNow() - silent);
    CHECK_TRUE_TEXT(took < kPatience, fmt::format("{} ms", took.count()).c_str());
}

// Guards against a call that may be repeated and still waits for one silent endpoint until its
// caller leaves.
TEST(GatewayPath, repeatableCallAtASilentEndpointIsAnsweredByAnother)
{
    constexpr Millis kDeadline{600};
    for (int i = 0; i < 2; ++i)
        addEndpoint("plain");
    publishConfig();
    waitForEndpoints();
    const auto answer = sendRequest("safe", "key", kDeadline);
    const TimePoint sent = steadyNow();
    for (const auto &endpoint : endpoints)
        endpoint->fallSilent(2 * kDeadline);
    runUntil([] { return false; }, Millis(50));
    const bool atFirst = gateway->dump().find("\"endpoint\":\"i-1\"") != std::string::npos;
    endpoints[atFirst ? 1 : 0]->fallSilent(Millis(0));
    CHECK_TRUE(runUntil([&] { return answer->ended; }));
    LONGS_EQUAL(200, answer->status);
    CHECK_TRUE(steadyNow() - sent < kDeadline);
    LONGS_EQUAL(1, runs());
}

TEST(GatewayPath, silentEndpointGetsARequestOnlyOnce)
{
    constexpr Millis kDeadline{4000};
    EndpointStandin &endpoint = addEndpoint("pool");
    store.put("keyed.op", "config",
              configText(3, "\"key\"", {static_cast<unsigned>(kDeadline.count()), 2}));
    CHECK_TRUE(runUntil([&] { return gateway->ready(); }));
    endpoint.fallSilent(Millis(1900));
    const auto answer = sendRequest("stream", "key", kDeadline);
    CHECK_TRUE(runUntil([&] { return answer->ended; }));
    LONGS_EQUAL(200, answer->status);
    runUntil([] { return false; }, Millis(100));
    LONGS_EQUAL(1, endpoint.arrivals);
}

// Guards against thousands of connections a second to endpoints that have ended.
TEST(GatewayPath, endpointThatRefusesConnectionsIsNotTriedInATightLoop)
{
    addEndpoint("plain");
    publishConfig();
    endpoints.clear(); // Its record stays.
    const auto answer = sendRequest("once", "key", Millis(1000));
    CHECK_TRUE(runUntil([&] { return answer->ended; }));
    const auto metrics = std::make_unique<Answer>();
    const auto call = callerPool.call(
            settings.control, {.head = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"},
            {.head = [](HttpResponseHead &&) { return HeadAction::Accept; },
             .body = [&](std::string_view bytes) { metrics->body += bytes; },
             .end = [&](UpstreamOutcome) { metrics->ended = true; }});
    CHECK_TRUE(runUntil([&] { return metrics->ended; }));
    const std::string name = "reason=\"no_connection\"} ";
    const std::size_t at = metrics->body.find(name);
    const int tries
            = at == std::string::npos ? 0 : std::stoi(metrics->body.substr(at + name.size()));
    CHECK_TRUE_TEXT(tries <= 20,
                    fmt::format("{} attempts, status {}", tries, answer->status).c_str());
    LONGS_EQUAL(503, answer->status); // It has not run.
}

// Guards against a delay before endpoints that were not tried, and against breaking off a stream
// that an endpoint could still resume.
TEST(GatewayPath, requestsGoOnAtTheFirstEndpointThatAcceptsConnections)
{
    constexpr Millis kCallObjective{100};
    constexpr Millis kOutage{2700}; // Longer than a request may wait for an endpoint.
    constexpr Millis kDeadline{6000};
    for (int i = 0; i < 3; ++i)
        addEndpoint("plain");
    EndpointStandin &broken = addEndpoint("pool");
    store.put("keyed.op", "config",
              configText(3, "\"key\"", {static_cast<unsigned>(kDeadline.count()), 3}));
    CHECK_TRUE(runUntil([&] { return gateway->ready(); }));
    waitForEndpoints();
    endpoints.erase(endpoints.begin(), endpoints.begin() + 2); // Their records stay.
    for (int i = 0; i < 6; ++i) {
        const TimePoint sent = steadyNow();
        LONGS_EQUAL(200, sendRequestAndWait("once")->status);
        CHECK_TRUE(steadyNow() - sent < kCallObjective);
    }
    broken.eventGap = Millis(20);
    const auto answer = sendRequest("stream", "key", kDeadline);
    CHECK_TRUE(runUntil([&] { return !answer->body.empty(); }));
    const Address address = broken.address;
    const std::string id = broken.id;
    endpoints.pop_back();
    runUntil([] { return false; }, kOutage);
    CHECK_FALSE(answer->ended);
    endpoints.push_back(std::make_unique<EndpointStandin>(context, address, id));
    CHECK_TRUE(runUntil([&] { return answer->ended; }));
    CHECK_TRUE(answer->complete);
    STRCMP_EQUAL(allEvents().c_str(), answer->body.c_str());
}

// Guards against a wait whose end no caller sees.
TEST(GatewayPath, waitingStreamIsRefusedBeforeItsCallerGivesUp)
{
    // Callers give up on a stream after a gap of two seconds.
    constexpr Millis kPatience{2000};
    constexpr Millis kDeadline{8000};
    addEndpoint("plain");
    store.put("keyed.op", "config",
              configText(3, "\"key\"", {static_cast<unsigned>(kDeadline.count()), 2}));
    CHECK_TRUE(runUntil([&] { return gateway->ready(); }));
    const TimePoint sent = steadyNow();
    const auto answer = sendRequest("stream", "key", kDeadline);
    CHECK_TRUE(runUntil([&] { return answer->ended; }));
    const auto took = std::chrono::duration_cast<Millis>(steadyNow() - sent);
    LONGS_EQUAL(503, answer->status);
    CHECK_TRUE_TEXT(took < kPatience, fmt::format("{} ms", took.count()).c_str());
}

TEST(GatewayPath, waitingRequestsOfOneServiceDoNotHoldUpThoseOfOthers)
{
    constexpr Millis kObjective{300};
    constexpr Millis kDeadline{8000};
    constexpr unsigned kSlots = 4;
    constexpr unsigned kWaiting = 30;
    addEndpoint("pool");
    EndpointStandin &full = addEndpoint("full");
    const std::string engine = R"("engine":{"slots":4,"kvCapacity":450000,"stride":4,"step_ms":1,
               "read_per_s":256000,"pairs_per_m":0.09})";
    const auto route = [&](const char *name, const char *service, int priority) {
        return fmt::format(R"({{"name":"{0}","host":"h","pathPrefix":"/{0}/","kind":"streaming",
                "service":"{1}","timeoutMs":{2},"targetLatencyMs":{3},"maxAttempts":2,
                "resumable":true,"gapGoalMs":200,"priority":{4}}})",
                           name, service, kDeadline.count(), kObjective.count(), priority);
    };
    unsigned version = 2;
    for (const char *other : {"empty", "full"}) {
        store.put(
                "keyed.op", "config",
                fmt::format(R"({{"version":{0},"routes":[{1},{2}],"services":[{{"name":"pool",{4}}},
                   {{"name":"{3}",{4}}}],"tenants":[{{"name":"ws","apiKeys":["key"]}}]}})",
                            ++version, route("stream", "pool", 1), route("fixed", other, 0), other,
                            engine));
        const std::string inForce = fmt::format("\"config_version\":{}", version);
        CHECK_TRUE(runUntil([&] { return gateway->dump().find(inForce) != std::string::npos; }));
        waitForEndpoints();
        full.fallSilent(kDeadline);
        std::vector<std::unique_ptr<Answer>> others;
        for (unsigned i = 0; i < kWaiting + (other == std::string("full") ? kSlots : 0); ++i)
            others.push_back(sendRequest("fixed", "key", kDeadline));
        const std::string all = fmt::format("\"waiting\":{}", kWaiting);
        CHECK_TRUE_TEXT(runUntil([&] { return gateway->dump().find(all) != std::string::npos; }),
                        other);
        const TimePoint sent = steadyNow();
        const auto answer = sendRequest("stream", "key", kDeadline);
        CHECK_TRUE_TEXT(runUntil([&] { return answer->ended; }), other);
        const auto took = std::chrono::duration_cast<Millis>(steadyNow() - sent);
        LONGS_EQUAL_TEXT(200, answer->status, other);
        CHECK_TRUE_TEXT(took < kObjective, fmt::format("{}: {} ms", other, took.count()).c_str());
        callerCalls.clear();
        CHECK_TRUE(runUntil([&] { return requestsInProgress() == 0; }));
    }
}

// Guards against ending a request that may run only once because its endpoint pauses while the
// request's body is sent.
TEST(GatewayPath, endpointMayPauseWhileItReceivesABody)
{
    constexpr Millis kPause{1600};
    constexpr Millis kDeadline{6000};
    const Address address = addresses.next();
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    acceptor.bind({asio::ip::make_address_v4(address.ip), address.port});
    acceptor.listen();
    asio::ip::tcp::socket endpoint(context);
    std::string received;
    std::array<char, 65536> buffer{};
    constexpr std::size_t kBody = 200'000;
    bool answered = false;
    std::function<void()> read = [&] {
        endpoint.async_read_some(
                asio::buffer(buffer), [&](const asio::error_code &error, std::size_t count) {
                    received.append(buffer.data(), count);
                    if (error)
                        return;
                    const std::size_t head = received.find("\r\n\r\n");
                    if (head != std::string::npos && received.size() >= head + 4 + kBody) {
                        answered = true;
                        const std::string text = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                                                 "Response-Seal: s\r\nContent-Length: 2\r\n\r\nok";
                        asio::error_code ignored;
                        asio::write(endpoint, asio::buffer(text), ignored);
                        return;
                    }
                    read();
                });
    };
    asio::steady_timer pause(context);
    acceptor.async_accept(endpoint, [&](const asio::error_code &) {
        pause.expires_after(kPause);
        pause.async_wait([&](const asio::error_code &) { read(); });
    });
    store.put("keyed.servers", "i-9",
              fmt::format(R"({{"service":"plain","address":"{}","zone":"east","slots":4,
                      "state":"ready","seq":1,"born":5}})",
                          toString(address)));
    store.put("keyed.op", "config",
              configText(3, "\"key\"", {static_cast<unsigned>(kDeadline.count()), 2}));
    CHECK_TRUE(runUntil([&] { return gateway->ready(); }));
    HeaderList headers;
    headers.add("Host", "h");
    headers.add("Request-Id", "r1");
    headers.add("Authorization", "Token key");
    headers.add("Deadline-Ms", std::to_string(kDeadline.count()));
    headers.add("Content-Length", std::to_string(kBody));
    Answer answer;
    const auto call
            = callerPool.call(settings.callers,
                              {.head = serializeRequestHead("POST", "/once/x", headers),
                               .body = std::string(kBody, 'b')},
                              {.head =
                                       [&](HttpResponseHead &&head) {
                                           answer.status = head.status;
                                           return HeadAction::Accept;
                                       },
                               .body = [&](std::string_view bytes) { answer.body += bytes; },
                               .end = [&](UpstreamOutcome) { answer.ended = true; }});
    CHECK_TRUE(runUntil([&] { return answer.ended; }));
    LONGS_EQUAL(200, answer.status);
    CHECK_TRUE(answered);
}

// Guards against a burst of large bodies that takes the daemon over its memory, as it held each
// body twice.
TEST(GatewayPath, holdsTheBodyOfARequestOnce)
{
    constexpr std::size_t kBody = 4 * 1024 * 1024;
    constexpr std::size_t kCallers = 4;
    const Address address = addresses.next();
    // Accepts connections, but reads nothing.
    const asio::ip::tcp::acceptor acceptor(context,
                                           {asio::ip::make_address_v4(address.ip), address.port});
    store.put("keyed.servers", "i-9",
              fmt::format(R"({{"service":"plain","address":"{}","zone":"east","slots":4,
                      "state":"ready","seq":1,"born":5}})",
                          toString(address)));
    publishConfig();
    const std::string body(kBody, 'b');
    std::vector<std::string> heads;
    std::vector<asio::ip::tcp::socket> callers;
    const std::size_t before = bytesInUse();
    for (std::size_t i = 0; i < kCallers; ++i) {
        HeaderList headers;
        headers.add("Host", "h");
        headers.add("Request-Id", fmt::format("large-{}", i));
        headers.add("Authorization", "Token key");
        headers.add("Deadline-Ms", "1200");
        headers.add("Content-Length", std::to_string(kBody));
        heads.push_back(serializeRequestHead("POST", "/once/x", headers));
        callers.emplace_back(context);
        callers.back().connect({asio::ip::make_address_v4(entry.ip), entry.port});
    }
    std::size_t sent = 0;
    for (std::size_t i = 0; i < kCallers; ++i)
        asio::async_write(
                callers[i],
                std::array<asio::const_buffer, 2>{asio::buffer(heads[i]), asio::buffer(body)},
                [&sent](const asio::error_code &, std::size_t) { ++sent; });
    CHECK_TRUE(runUntil([&] { return sent == kCallers && requestsInProgress() == kCallers; }));
    const std::size_t held = bytesInUse() - before;
    CHECK_TRUE_TEXT(held < kCallers * kBody * 3 / 2, fmt::format("{} bytes", held).c_str());
    CHECK_TRUE_TEXT(held >= kCallers * kBody, fmt::format("{} bytes", held).c_str());
}

// Guards against a daemon that ends when an operator looks at it.
TEST(GatewayPath, stateCanBeShownWhateverACallerNamesItsRequest)
{
    addEndpoint("plain").fallSilent(kWaitLimit);
    publishConfig();
    requestPrefix = "\xff";
    const auto answer = sendRequest("once");
    const std::string inProgress = "\"requests\":1";
    CHECK_TRUE(runUntil([&] { return gateway->dump().find(inProgress) != std::string::npos; }));
}

// Guards against endpoints that keep working for a caller that has disconnected.
TEST(GatewayPath, cancelsTheAttemptWhenTheCallerDisconnects)
{
    EndpointStandin &endpoint = addEndpoint("pool");
    endpoint.eventGap = Millis(150);
    publishConfig();
    const auto answer = sendRequest("stream");
    CHECK_TRUE(runUntil([&] { return !answer->body.empty(); }));
    bool disconnected = false;
    endpoint.runs.back().connection->onDisconnect([&] { disconnected = true; });
    callerCalls.clear();
    CHECK_TRUE(runUntil([&] { return disconnected; }, Millis(100)));
}

TEST(GatewayPath, shutdownCompletesStreamsInProgress)
{
    EndpointStandin &endpoint = addEndpoint("pool");
    endpoint.eventGap = Millis(80);
    publishConfig();
    const auto answer = sendRequest("stream");
    CHECK_TRUE(runUntil([&] { return !answer->body.empty(); }));
    bool done = false;
    gateway->shutDown([&] { done = true; });
    CHECK_FALSE(gateway->ready());
    CHECK_TRUE(runUntil([&] { return answer->ended; }));
    CHECK_TRUE(answer->complete);
    STRCMP_EQUAL(allEvents().c_str(), answer->body.c_str());
    CHECK_TRUE(runUntil([&] { return done; }));
}

TEST(GatewayPath, shutdownWaitsForAnswersThatAreNotYetSent)
{
    // More than the send buffer of a socket, and less than the largest answer that is held.
    constexpr std::size_t kPadding = 7 * 1024 * 1024;
    addEndpoint("plain").padding = kPadding;
    publishConfig();
    asio::ip::tcp::socket caller(context);
    caller.open(asio::ip::tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(4096));
    caller.connect({asio::ip::make_address_v4(settings.callers.ip), settings.callers.port});
    asio::write(caller,
                asio::buffer(std::string("GET /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                                         "Authorization: Token key\r\nDeadline-Ms: 1200\r\n"
                                         "\r\n")));
    const std::string noRequests = "\"requests\":0";
    CHECK_TRUE(runUntil([&] {
        return caller.available() > 0 && gateway->dump().find(noRequests) != std::string::npos;
    }));
    bool done = false;
    gateway->shutDown([&] { done = true; });
    CHECK_FALSE(runUntil([&] { return done; }, Millis(4500)));
    std::string answer;
    bool ended = false;
    asio::async_read(caller, asio::dynamic_buffer(answer),
                     [&](const asio::error_code &, std::size_t) {
                         ended = true;
                         caller.close();
                     });
    CHECK_TRUE(runUntil([&] { return ended && done; }));
    CHECK_TRUE(answer.size() > kPadding);
}

// Guards against a daemon that stops while a request is arriving, which then gets no answer.
TEST(GatewayPath, stoppingDaemonAnswersARequestThatItHasReadInPart)
{
    addEndpoint("plain");
    publishConfig();
    asio::ip::tcp::socket caller(context);
    caller.connect({asio::ip::make_address_v4(settings.callers.ip), settings.callers.port});
    const std::string request = "GET /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                                "Authorization: Token key\r\nDeadline-Ms: 1200\r\n\r\n";
    bool done = false;
    gateway->shutDown([&] { done = true; });
    runUntil([] { return false; }, Millis(2500));
    asio::write(caller, asio::buffer(request.substr(0, 20)));
    runUntil([] { return false; }, Millis(1200));
    CHECK_FALSE(done);
    asio::write(caller, asio::buffer(request.substr(20)));
    CHECK_TRUE(runUntil([&] { return caller.available() > 0; }));
    std::string answer(caller.available(), '\0');
    asio::read(caller, asio::buffer(answer));
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 503 "), answer.c_str());
    CHECK_TRUE(runUntil([&] { return done; }));
}

TEST(GatewayPath, keepsServingWhileTheStoreRefusesCalls)
{
    addEndpoint("plain");
    publishConfig();
    store.refuses = true;
    runUntil([] { return false; }, Millis(1000));
    CHECK_TRUE(gateway->ready());
    LONGS_EQUAL(200, sendRequestAndWait("safe")->status);
}
