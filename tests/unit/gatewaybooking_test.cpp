// Endpoints that are kept free for prompts which need many of them.

#include "platform/names.h"
#include "support/gatewayfleet.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

// Callers stay until their deadline.
constexpr const char *kBookingConfig
        = R"({"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","kind":"streaming",
        "service":"pool","timeoutMs":15000,"targetLatencyMs":4000,"maxAttempts":2,"resumable":true,
        "gapGoalMs":800}],"services":[{"name":"pool","engine":{"slots":4,"kvCapacity":450000,
        "stride":4,"step_ms":1,"read_per_s":256000,"pairs_per_m":0.0917}}],
        "tenants":[{"name":"ws","apiKeys":["key"]}]})";
constexpr Millis kDeadline{15'000};
// Read by two of three endpoints for 2.7 s.
constexpr unsigned kMediumPrompt = 300'000;
// Needs the memory of two endpoints, which read it for 7.2 s.
constexpr unsigned kLargePrompt = 520'000;
constexpr double kLargePartMs = 5000;

} // namespace

TEST_GROUP_BASE(GatewayBooking, GatewayFleet)
{
    bool hang = true; ///< Endpoints take requests without answering them.

    void prepare(EndpointStandin & endpoint) override
    {
        endpoint.hangs = [this] { return hang; };
        endpoint.usesMemory = [](const std::string &) { return true; };
    }

    const Answer &sendPrompt(const Daemon &daemon, unsigned tokens)
    {
        HeaderList headers;
        headers.add("Host", "h");
        headers.add("Request-Id", fmt::format("r{}", ++requests));
        headers.add("Authorization", "Token key");
        headers.add("Deadline-Ms", std::to_string(kDeadline.count()));
        headers.add("Content-Length", "0");
        headers.add("Token-Count", fmt::format("{},24", tokens));
        return call(daemon.callers, "/r/x", headers, {});
    }

    /// Endpoints that, as the daemon knows, a part of the large prompt keeps busy.
    static std::size_t booked(const Daemon &daemon)
    {
        const auto state = daemon.state();
        return static_cast<std::size_t>(
                std::ranges::count_if(state["endpoints"], [](const nlohmann::json &endpoint) {
                    return endpoint["pending_read_ms"].get<double>() > kLargePartMs;
                }));
    }

    /// A large prompt that waits at the first daemon for endpoints of which others are busy.
    const Answer &startWithBooking()
    {
        config = kBookingConfig;
        start(2, 3);
        sendPrompt(*daemons[1], kMediumPrompt);
        CHECK_TRUE(runUntil(
                [&] { return daemons[0]->state()["requests"] == 0 && !received().empty(); }));
        const Answer &answer = sendPrompt(*daemons[0], kLargePrompt);
        CHECK_TRUE_TEXT(runUntil([&] { return booked(*daemons[1]) == 2; }),
                        "the other daemon knows of the booking");
        return answer;
    }

    /// Ids of the requests that endpoints have received, in the order of arrival.
    std::vector<std::string> received() const
    {
        std::vector<EndpointStandin::Arrival> arrivals;
        for (const auto &endpoint : endpoints)
            std::ranges::copy_if(endpoint->log, std::back_inserter(arrivals),
                                 [](const auto &arrival) { return !arrival.requestId.empty(); });
        std::ranges::sort(arrivals, {}, &EndpointStandin::Arrival::at);
        std::vector<std::string> ids;
        for (const auto &arrival : arrivals)
            ids.push_back(arrival.requestId);
        return ids;
    }
};

// Guards against a large prompt that waits for ever while smaller ones take each free endpoint.
TEST(GatewayBooking, smallerPromptsLeaveEndpointsToALargeOneThatWaits)
{
    const Answer &large = startWithBooking();
    sendPrompt(*daemons[1], kMediumPrompt);
    serveFor(Millis(200));
    CHECK_EQUAL(1U, received().size());
    hang = false;
    calls.front().reset(); // Its endpoints are free then.
    CHECK_TRUE(runUntil([&] { return large.ended; }));
    LONGS_EQUAL(200, large.status);
    CHECK_TRUE(large.complete);
    STRCMP_EQUAL("r2", received()[1].c_str());
}

// Guards against endpoints that stay without work because a request for which they were kept free
// has ended.
TEST(GatewayBooking, endsWithItsRequest)
{
    struct Case
    {
        const char *name;
        bool callerLeaves; ///< Otherwise the request is refused at the end of its wait.
    };
    const Case cases[] = {{"caller leaves", true}, {"refused", false}};
    for (const Case &row : cases) {
        hang = true;
        const Answer &large = startWithBooking();
        if (row.callerLeaves)
            calls.back().reset();
        else
            CHECK_TRUE_TEXT(runUntil([&] { return large.ended; }), row.name);
        CHECK_TRUE_TEXT(runUntil([&] { return booked(*daemons[1]) == 0; }), row.name);
        LONGS_EQUAL_TEXT(0, booked(*daemons[0]), row.name);
        reset();
    }
}
