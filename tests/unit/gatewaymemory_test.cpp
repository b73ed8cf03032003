// Memory that a daemon reserves at endpoints for prompts that exceed the memory of one.

#include "platform/names.h"
#include "support/gatewayfleet.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

// Of the users' rules: memory that no request uses is free again by then.
constexpr Millis kIdleBound{9000};
constexpr Millis kDeadline{15'000};

// Every prompt of the route needs the memory of two endpoints, and callers stay until their
// deadline.
constexpr const char *kDividedConfig
        = R"({"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","kind":"streaming",
        "service":"pool","timeoutMs":15000,"targetLatencyMs":4000,"maxAttempts":2,"resumable":true,
        "gapGoalMs":200}],"services":[{"name":"pool","engine":{"slots":4,"kvCapacity":1000,
        "stride":4,"step_ms":1,"read_per_s":256000,"pairs_per_m":0.09}}],
        "tenants":[{"name":"ws","apiKeys":["key"]}]})";

} // namespace

TEST_GROUP_BASE(GatewayMemory, GatewayFleet){void prepare(EndpointStandin & endpoint) override{
        endpoint.usesMemory = [this](const std::string &ticket) { return isInUse(ticket); };
}

/// An endpoint runs a request with this ticket.
bool isInUse(const std::string &ticket) const
{
    const auto uses = [&](const EndpointStandin::Run &run) {
        const std::string *helpers = run.request.headers.find(platform::kHelpers);
        return run.connection->open() && helpers && helpers->find(ticket) != std::string::npos;
    };
    return std::ranges::any_of(endpoints, [&](const auto &endpoint) {
        return std::ranges::any_of(endpoint->runs, uses);
    });
}

void startWithEndpoints(unsigned count)
{
    config = kDividedConfig;
    start(1, count);
}

const Answer &sendDivided()
{
    HeaderList headers;
    headers.add("Host", "h");
    headers.add("Request-Id", fmt::format("r{}", ++requests));
    headers.add("Authorization", "Token key");
    headers.add("Deadline-Ms", std::to_string(kDeadline.count()));
    headers.add("Content-Length", "0");
    headers.add("Token-Count", "1000,24");
    return call(daemons[0]->callers, "/r/x", headers, {});
}

std::size_t leases() const
{
    std::size_t count = 0;
    for (const auto &endpoint : endpoints)
        count += endpoint->leases.size();
    return count;
}
}
;

// Guards against memory that stays reserved while the endpoint that received its request hangs.
TEST(GatewayMemory, isReleasedIfTheHeadNeverBeginsToUseIt)
{
    struct Case
    {
        const char *name;
        unsigned endpoints;
        unsigned hanging;
        bool served; ///< Endpoints that do not hang can take over.
    };
    const Case cases[] = {{"no other endpoint", 2, 2, false}, {"others take over", 5, 1, true}};
    for (const Case &row : cases) {
        startWithEndpoints(row.endpoints);
        // The head of a prompt is not known in advance: the first to receive one hangs.
        unsigned hanging = 0;
        const auto mayHang = [&] { return hanging < row.hanging; };
        for (const auto &endpoint : endpoints)
            endpoint->hangs = [&hanging, mayHang] { return mayHang() && ++hanging > 0; };
        const Answer &answer = sendDivided();
        CHECK_TRUE_TEXT(runUntil([&] { return leases() > 0; }), row.name);
        CHECK_TRUE_TEXT(runUntil([&] { return leases() == 0 || answer.ended; }, kIdleBound),
                        row.name);
        if (row.served) {
            CHECK_TRUE_TEXT(runUntil([&] { return answer.ended; }, kDeadline), row.name);
            LONGS_EQUAL_TEXT(200, answer.status, row.name);
            CHECK_TRUE_TEXT(answer.complete, row.name);
        }
        reset();
    }
}

// Guards against the end of a request whose endpoint is slow to begin its answer, but reads it.
TEST(GatewayMemory, staysReservedWhileASlowHeadUsesIt)
{
    startWithEndpoints(2);
    for (const auto &endpoint : endpoints)
        endpoint->prefillTime = Millis(10'000);
    const Answer &answer = sendDivided();
    CHECK_TRUE(runUntil([&] { return answer.ended; }, kDeadline));
    LONGS_EQUAL(200, answer.status);
    CHECK_TRUE(answer.complete);
    std::size_t runs = 0;
    for (const auto &endpoint : endpoints)
        runs += static_cast<std::size_t>(
                std::ranges::count(endpoint->runs, "r1", &EndpointStandin::Run::requestId));
    LONGS_EQUAL(1, runs);
}

TEST_GROUP(MemoryUse){};

// Guards against memory that is kept for an endpoint which never begins a request or drops it, and
// against the end of a request whose holder is silent for a moment.
TEST(MemoryUse, decidesWhenReservedMemoryIsUnused)
{
    struct Case
    {
        const char *name;
        MemoryUse use;
        bool wasUsed;
        Millis sinceReserved;
        bool unused;
    };
    const Case cases[] = {
            {"in use", MemoryUse::Used, false, Millis(12'000), false},
            {"not begun yet", MemoryUse::Unused, false, Millis(3500), false},
            {"never begun", MemoryUse::Unused, false, Millis(6000), true},
            {"dropped", MemoryUse::Unused, true, Millis(3500), true},
            {"holder silent", MemoryUse::Unknown, false, Millis(7000), false},
            {"holder silent for too long", MemoryUse::Unknown, false, Millis(7500), true},
            {"holder silent, was in use", MemoryUse::Unknown, true, Millis(7500), false},
    };
    for (const Case &row : cases)
        CHECK_EQUAL_TEXT(row.unused, isUnused(row.use, row.wasUsed, row.sinceReserved), row.name);
}
