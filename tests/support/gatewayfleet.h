#pragma once

// Several gateways of one failure domain before the endpoints of an engine and of a plain service,
// all on one event loop, as the base of test groups.
//
//   TEST_GROUP_BASE(GatewayLimit, GatewayFleet){};
//   start(3, 6);
//   const Answer &answer = send(*daemons[0], "a1:40,c1:20");

#include "base/log.h"
#include "support/eventually.h"
#include "support/gatewaydaemon.h"
#include "support/network.h"
#include "support/platformstandin.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace cicadafork::test {

inline constexpr const char *kEndpointsTopic = "keyed.servers";
inline constexpr const char *kPool = "pool";   ///< Service of the route /r/, streams.
inline constexpr const char *kPlain = "plain"; ///< Of the routes /safe/ and /once/.
inline constexpr const char *kFleetConfig
        = R"({"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","kind":"streaming",
        "service":"pool","timeoutMs":4000,"targetLatencyMs":300,"maxAttempts":2,"resumable":true,
        "gapGoalMs":200},{"name":"safe","host":"h","pathPrefix":"/safe/","kind":"safe",
        "service":"plain","timeoutMs":1500,"targetLatencyMs":300,"maxAttempts":2},{"name":"once",
        "host":"h","pathPrefix":"/once/","kind":"unsafe","service":"plain","timeoutMs":1500,
        "targetLatencyMs":300,"maxAttempts":2}],"services":[{"name":"pool","engine":{"slots":4,
        "kvCapacity":450000,"stride":4,"step_ms":1,"read_per_s":256000,"pairs_per_m":0.09}},
        {"name":"plain"}],"tenants":[{"name":"ws","apiKeys":["key"]}]})";

struct Answer
{
    int status = 0;
    HeaderList headers;
    std::string body;
    bool ended = false;
    bool complete = false;
};

struct GatewayFleet : public Utest
{
    static constexpr Millis kStartLimit{5000};

    void setup() override { setLogLevel(LogLevel::Error); }

    void teardown() override
    {
        endDaemons();
        setLogLevel(LogLevel::Info);
    }

    void endDaemons()
    {
        calls.clear();
        while (!daemons.empty())
            endDaemon(daemons.size() - 1);
    }

    void endDaemon(std::size_t index)
    {
        // Handlers of timers that have expired run even if their timer is destroyed.
        context.poll();
        daemons.erase(daemons.begin() + static_cast<std::ptrdiff_t>(index));
    }

    /// Ends all daemons and endpoints, so that others can be started.
    void reset()
    {
        endDaemons();
        for (const auto &endpoint : endpoints)
            store.put(kEndpointsTopic, endpoint->id, std::nullopt);
        endpoints.clear();
        answers.clear();
    }

    template <class Condition>
    bool runUntil(Condition condition, Millis limit = kStartLimit)
    {
        return eventually(context, limit, condition);
    }

    void serveFor(Millis time)
    {
        runUntil([] { return false; }, time);
    }

    /// Called for each endpoint that is added.
    virtual void prepare(EndpointStandin &) {}

    /// Called for the settings of each daemon that is started.
    virtual void configure(GatewaySettings &, unsigned) {}

    void addEndpoint(bool chunksStreams = true, const char *service = kPool)
    {
        endpoints.push_back(std::make_unique<EndpointStandin>(
                context, addresses.next(), fmt::format("i-{}", endpoints.size() + 1),
                chunksStreams));
        EndpointStandin &endpoint = *endpoints.back();
        prepare(endpoint);
        store.put(kEndpointsTopic, endpoint.id,
                  fmt::format(R"({{"service":"{}","address":"{}","zone":"{}","slots":4,
                      "state":"ready","seq":1,"born":{}}})",
                              service, toString(endpoint.address), endpointDomain,
                              endpoints.size()));
    }

    /// Cuts a daemon off from all endpoints. New connections are refused, or hang.
    void cutOff(Daemon &daemon, OpenConnections connections, bool refusesNew)
    {
        for (const auto &endpoint : endpoints) {
            endpoint->cutOff(daemon.ip, connections);
            auto &targets = refusesNew ? daemon.links.refusing : daemon.links.silent;
            targets.insert(toString(endpoint->address));
        }
    }

    void heal(Daemon &daemon)
    {
        daemon.links = {};
        for (const auto &endpoint : endpoints)
            endpoint->heal(daemon.ip);
    }

    std::size_t endpointsInService() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
                endpoints, [](const auto &endpoint) { return !endpoint->crashed; }));
    }

    void start(unsigned daemonCount, unsigned endpointCount, const char *service = kPool)
    {
        store.put("keyed.op", "config", config);
        for (unsigned i = 0; i < endpointCount; ++i)
            addEndpoint(true, service);
        // All members use the same ports, and the first one is the seed.
        Address address = addresses.next();
        const Address first = address;
        for (unsigned i = 0; i < daemonCount; ++i) {
            GatewaySettings settings;
            settings.logLevel = LogLevel::Error;
            settings.member = fmt::format("front-{}", i + 1);
            settings.failureDomain = "east";
            auto port = first.port;
            for (Address *own :
                 {&settings.callers, &settings.readiness, &settings.control, &settings.peers})
                *own = {address.ip, port++};
            settings.store = storeAddress;
            settings.seeds = {first.ip};
            settings.retries = {0.2, 1000, Millis(10'000)};
            settings.prefixPlacement = prefixPlacement;
            configure(settings, i);
            daemons.push_back(std::make_unique<Daemon>(context, settings));
            address = addresses.next();
        }
        const auto knowsAll = [&](const std::unique_ptr<Daemon> &daemon) {
            std::size_t alive = 0;
            const auto state = daemon->state();
            for (const auto &peer : state.value("peers", nlohmann::json::array()))
                alive += peer["alive"].get<bool>() ? 1 : 0;
            return daemon->gateway.ready() && daemon->endpoints() == endpointsInService()
                   && alive + 1 == daemonCount;
        };
        CHECK_TRUE_TEXT(runUntil([&] { return std::ranges::all_of(daemons, knowsAll); }),
                        "the daemons know each other and the endpoints");
    }

    /// The last part of the prompt belongs to the request.
    const Answer &send(const Daemon &daemon, const std::string &sharedParts)
    {
        return sendRequest(daemon, "/r/x", {},
                           fmt::format("{},{:x}:10", sharedParts, 0x10000 + requests + 1));
    }

    /// A request without a prompt is no stream.
    const Answer &sendRequest(const Daemon &daemon, const std::string &target,
                              const std::string &body, const std::string &prompt = {})
    {
        HeaderList headers;
        headers.add("Host", "h");
        headers.add("Request-Id", fmt::format("r{}", ++requests));
        headers.add("Authorization", "Token key");
        headers.add("Deadline-Ms", prompt.empty() ? "1500" : "4000");
        headers.add("Content-Length", std::to_string(body.size()));
        if (!prompt.empty()) {
            headers.add("Token-Count", "1000,24");
            headers.add("Prompt-Prefix", prompt);
        }
        return call(daemon.callers, target, headers, body);
    }

    const Answer &call(const Address &address, const std::string &target, const HeaderList &headers,
                       const std::string &body)
    {
        return callThrough(callerPool, address, target, headers, body);
    }

    const Answer &callThrough(UpstreamPool &pool, const Address &address, const std::string &target,
                              const HeaderList &headers, const std::string &body)
    {
        answers.push_back(std::make_unique<Answer>());
        Answer &answer = *answers.back();
        calls.push_back(pool.call(
                address, {.head = serializeRequestHead("POST", target, headers), .body = body},
                {.head =
                         [&answer](HttpResponseHead &&head) {
                             answer.status = head.status;
                             answer.headers = std::move(head.headers);
                             return HeadAction::Accept;
                         },
                 .body = [&answer](std::string_view bytes) { answer.body += bytes; },
                 .end =
                         [&answer](UpstreamOutcome end) {
                             answer.ended = true;
                             answer.complete = end == UpstreamOutcome::Complete;
                         }}));
        return answer;
    }

    std::string config = kFleetConfig; ///< In force at the start.
    asio::io_context context;
    AddressPool addresses;
    Address storeAddress = addresses.next();
    StoreStandin store{context, storeAddress};
    std::vector<std::unique_ptr<EndpointStandin>> endpoints;
    UpstreamPool callerPool{context, {}};
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<std::unique_ptr<UpstreamCall>> calls;
    std::vector<std::unique_ptr<Answer>> answers;
    unsigned requests = 0;
    bool prefixPlacement = false;        ///< Setting of the daemons that are started.
    std::string endpointDomain = "east"; ///< Failure domain of the endpoints that are added.
};

} // namespace cicadafork::test
