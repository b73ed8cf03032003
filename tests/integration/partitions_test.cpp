// Rows of docs/design.md section 10 with one failure domain cut from the others, from the platform,
// and from both.

#include "base/ids.h"
#include "support/eventually.h"
#include "support/proofsystem.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

constexpr const char *kDomain = "domain-1"; // Of daemon 0, engine 0 and service 0.
constexpr std::size_t kOwnEndpoints = 2;
constexpr std::size_t kAllEndpoints = 6;
// The permission to send expires 2.5 s after the last status.
constexpr Millis kSettle{10'000};
// "At once" on a busy machine; the callers' timeout is 8 s.
constexpr Millis kAtOnce{4000};
constexpr Millis kTimeout{8000};

struct Cut
{
    const char *name;
    bool others;
    bool platform;
};

const std::vector<Cut> kCuts = {
        {"from others", true, false}, {"from the platform", false, true}, {"from all", true, true}};

ClusterOptions cutCluster()
{
    ClusterOptions options;
    options.engines = 3;
    options.services = 3;
    options.daemons = 3;
    options.timeScale = 20;
    options.domainLinks = true;
    options.engineFlags = {"--threads", "48"};
    options.extraSettings = "limits:\n  max_streams: 24\n";
    return options;
}

} // namespace

TEST_GROUP(Partitions)
{
    ProofSystem system{cutCluster()};
    SystemClient client{system.client(0)};

    void apply(const Cut &cut, bool on)
    {
        if (cut.others)
            system.cluster().cutFromOtherDomains(kDomain, on);
        if (cut.platform)
            system.cluster().setPathFaults(kDomain, "platform", {{"cut", on ? "both" : "none"}});
        const std::size_t sendable = on && cut.others ? kOwnEndpoints : kAllEndpoints;
        CHECK_TRUE_TEXT(system.awaitSendable(0, sendable, kSettle), cut.name);
        if (!on)
            return;
        // Three failures open the circuit breaker of the claims.
        if (cut.platform)
            (void)keyedCall("2");
    }

    CallResult keyedCall(const std::string &attempt)
    {
        ServiceCall call;
        call.service = kPlainService;
        call.operation = "send-text";
        call.idempotencyKey = newUuidV7(wallNow());
        call.attempt = attempt;
        call.timeout = kTimeout;
        return client.callService(call);
    }
};

// Guards against a domain that stops to serve what its own endpoints can serve.
TEST(Partitions, repeatableCallsAreServedInEveryCut)
{
    for (const Cut &cut : kCuts) {
        apply(cut, true);
        const std::string prompt = makePrompt(500, 1);
        const CallResult result
                = client.complete({.prompt = prompt, .maxTokens = 8, .timeout = kTimeout});
        CHECK_TRUE_TEXT(isWholeAnswer(result, prompt, 8), cut.name);
        ServiceCall call;
        call.service = kPlainService;
        call.operation = "read-state";
        call.timeout = kTimeout;
        LONGS_EQUAL_TEXT(200, client.callService(call).status, cut.name);
        apply(cut, false);
    }
}

// Guards against a keyed call that waits for a log out of reach, or whose refusal claims too much.
TEST(Partitions, nonRepeatableCallsNeedTheLog)
{
    for (const Cut &cut : kCuts) {
        apply(cut, true);
        for (const std::string attempt : {"1", "2", ""}) {
            const CallResult result = keyedCall(attempt);
            const std::string name = std::string(cut.name) + ", attempt '" + attempt + "'";
            LONGS_EQUAL_TEXT(cut.platform ? 503 : 200, result.status, name.c_str());
            if (!cut.platform)
                continue;
            STRCMP_EQUAL_TEXT(attempt == "1" ? "not_run" : "may_have_run", result.execution.c_str(),
                              name.c_str());
            CHECK_FALSE_TEXT(result.retryAfter.empty(), name.c_str());
            CHECK_TRUE_TEXT(result.duration < kAtOnce, name.c_str());
        }
        apply(cut, false);
    }
}

// Guards against a query that hides who did not answer, and against a command that is accepted
// without the log or refused with it.
TEST(Partitions, operatorsSeeWhoIsMissingAndCommandsNeedTheLog)
{
    int share = 1;
    for (const Cut &cut : kCuts) {
        apply(cut, true);
        const nlohmann::json reply = client.statement("show configuration");
        CHECK_TRUE_TEXT(reply.contains("table"), cut.name);
        LONGS_EQUAL_TEXT(cut.others ? 2 : 0, reply["table"]["unanswered"].size(), cut.name);
        const nlohmann::json command
                = client.statement("change workspace estate share=" + std::to_string(++share));
        const bool accepted
                = command.value("verdict", nlohmann::json::object()).value("accepted", false);
        CHECK_EQUAL_TEXT(!cut.platform, accepted, cut.name);
        CHECK_EQUAL_TEXT(cut.platform, command.contains("error"), cut.name);
        apply(cut, false);
    }
}
