// Gateways that observe prefixes of prompts, with the real connections.

#include "gateway/settings.h"
#include "support/gatewayfleet.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <string>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

constexpr const char *kHits = "cicadafork_gateway_prefix_hits_total";
// A prefix that takes longer to prefill than kMinHeldPrefill, of a prompt that fits one endpoint.
constexpr const char *kPrompt = "a1:40000,c1:20000";

} // namespace

TEST_GROUP_BASE(GatewayPrefix, GatewayFleet){/// Sends a request and waits for its answer.
                                             void serve(){HeaderList headers;
headers.add("Host", "h");
headers.add("Request-Id", fmt::format("r{}", ++requests));
headers.add("Authorization", "Token key");
headers.add("Deadline-Ms", "4000");
headers.add("Content-Length", "0");
headers.add("Token-Count", "60000,24");
headers.add("Prompt-Prefix", kPrompt);
const Answer &answer = call(daemons[0]->callers, "/r/x", headers, {});
CHECK_TRUE(runUntil([&] { return answer.ended; }));
LONGS_EQUAL(200, answer.status);
}

double hits()
{
    const std::string text = metrics();
    const std::string name = std::string("\n") + kHits + " ";
    const std::size_t begin = text.find(name);
    CHECK_TRUE(begin != std::string::npos);
    return std::stod(text.substr(begin + name.size()));
}

std::string metrics()
{
    Address control = daemons[0]->callers;
    control.port = static_cast<std::uint16_t>(control.port + 2);
    answers.push_back(std::make_unique<Answer>());
    Answer &answer = *answers.back();
    calls.push_back(callerPool.call(
            control, {.head = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", .body = {}},
            {.head =
                     [&answer](HttpResponseHead &&head) {
                         answer.status = head.status;
                         return HeadAction::Accept;
                     },
             .body = [&answer](std::string_view bytes) { answer.body += bytes; },
             .end = [&answer](UpstreamOutcome) { answer.ended = true; }}));
    CHECK_TRUE(runUntil([&] { return answer.ended; }));
    LONGS_EQUAL(200, answer.status);
    return answer.body;
}
}
;

// Guards against hits that are counted where the setting is off, or at an endpoint that has been
// restarted since.
TEST(GatewayPrefix, countsHitsUntilTheEndpointRestarts)
{
    for (const bool on : {false, true}) {
        prefixPlacement = on;
        start(1, 1);
        serve();
        DOUBLES_EQUAL(0, hits(), 0);
        serve();
        serve();
        DOUBLES_EQUAL(on ? 2 : 0, hits(), 0);
        // The same id with another start is another instance.
        const EndpointStandin &endpoint = *endpoints[0];
        store.put(kEndpointsTopic, endpoint.id,
                  fmt::format(R"({{"service":"{}","address":"{}","zone":"east","slots":4,
                      "state":"ready","seq":2,"born":{}}})",
                              kPool, toString(endpoint.address), 1000));
        serveFor(Millis(300));
        serve();
        DOUBLES_EQUAL(on ? 2 : 0, hits(), 0);
        serve();
        DOUBLES_EQUAL(on ? 3 : 0, hits(), 0);
        reset();
    }
}

TEST_GROUP(GatewayPrefixSettings){};

// Guards against a feature that is on by default, and against a misspelt value.
TEST(GatewayPrefixSettings, areOffUnlessSwitchedOn)
{
    const std::string rest = R"(
member: "m"
failure_domain: "east"
caller_address: "127.0.0.1:1"
readiness_address: "127.0.0.1:2"
control_address: "127.0.0.1:3"
peer_address: "127.0.0.1:4"
store_address: "127.0.0.1:5"
)";
    struct Case
    {
        const char *line;
        bool valid;
        bool on;
    };
    const Case cases[] = {{"", true, false},
                          {"prefix_placement: on", true, true},
                          {"prefix_placement: off", true, false},
                          {"prefix_placement: yes", false, false}};
    for (const Case &row : cases) {
        const auto settings = capture([&] { return parseGatewaySettings(rest + row.line, "s"); });
        CHECK_EQUAL_TEXT(row.valid, static_cast<bool>(settings), row.line);
        if (settings)
            CHECK_EQUAL_TEXT(row.on, settings->prefixPlacement, row.line);
    }
}
