#include "base/hash.h"
#include "base/ids.h"
#include "http/client.h"
#include "support/eventually.h"
#include "support/systemclient.h"
#include "support/testcluster.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

constexpr const char *kModelService = "report-writer";
constexpr const char *kPlainService = "gate-calls";

ClusterOptions smallCluster()
{
    ClusterOptions options;
    options.engines = 6;
    options.services = 3;
    options.daemons = 8;
    options.timeScale = 20;
    options.engineFlags = {"--models", "tiny"};
    options.operatorCredentialSha256 = sha256Hex(kOperatorCredential);
    return options;
}

} // namespace

TEST_GROUP(WholePath)
{
    TestCluster cluster{smallCluster()};

    void setup() override
    {
        cluster.start();
        configureSystem(client(0), kModelService, kPlainService);
        CHECK_TRUE_TEXT(eventually(Millis(10'000),
                                   [&] {
                                       for (std::size_t i = 0; i < 8; ++i) {
                                           if (!sees(i))
                                               return false;
                                       }
                                       return true;
                                   }),
                        "configuration and endpoints known at every daemon");
    }

    SystemClient client(std::size_t daemon)
    {
        return {cluster.daemon(daemon).address, kOperatorCredential};
    }

    /// The daemon may send to all endpoints and knows the workspace.
    bool sees(std::size_t daemon)
    {
        const auto endpoints = client(daemon).statement("show endpoints where sendable = yes");
        const auto workspaces = client(daemon).statement("show workspaces");
        return endpoints.contains("table") && endpoints["table"]["rows"].size() == 9
               && workspaces.contains("table") && workspaces["table"]["rows"].size() == 1;
    }
};

// Guards against an answer that is cut, mixed up or refused for any size of prompt, through any
// entry VM, streamed or not.
TEST(WholePath, everyPromptSizeGetsItsWholeAnswer)
{
    struct Case
    {
        std::size_t tokens;
        bool stream;
        std::size_t daemon;
    };
    const std::vector<Case> cases = {
            {1'000, true, 0},    {1'000, false, 1},    {10'000, true, 2},     {100'000, true, 3},
            {100'000, false, 4}, {1'000'000, true, 5}, {1'000'000, false, 7},
    };
    for (const Case &c : cases) {
        const std::string prompt = makePrompt(c.tokens, c.daemon);
        const CallResult result = client(c.daemon).complete(
                {.prompt = prompt, .maxTokens = 20, .stream = c.stream, .timeout = Millis(60'000)});
        const std::string text = "tokens " + std::to_string(c.tokens) + ": status "
                                 + std::to_string(result.status) + " " + result.problem;
        CHECK_TRUE_TEXT(isWholeAnswer(result, prompt, 20), text.c_str());
    }
}

// Guards against a second execution when a caller repeats a keyed request at another entry VM.
TEST(WholePath, keyedCallRunsOnceAndIsReplayed)
{
    ServiceCall call;
    call.service = kPlainService;
    call.operation = "send-text";
    call.body = R"({"to":"owner","text":"arrived"})";
    call.idempotencyKey = newUuidV7(wallNow());
    const CallResult first = client(0).callService(call);
    LONGS_EQUAL_TEXT(200, first.status, first.problem.c_str());
    const CallResult second = client(4).callService(call);
    LONGS_EQUAL_TEXT(200, second.status, second.problem.c_str());
    CHECK_TRUE(second.replayed);
    STRCMP_EQUAL(first.text.c_str(), second.text.c_str());
    std::size_t executions = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        const auto record = capture([&] {
            return getJson(cluster.service(i).address, "/admin/executions", Millis(1000));
        });
        CHECK_TRUE(static_cast<bool>(record));
        executions += record->at("executions").size();
    }
    LONGS_EQUAL(1, executions);
}
