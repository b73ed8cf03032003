// What an operator does, through the real command line, against real processes.

#include "base/hash.h"
#include "http/client.h"
#include "query/resulttable.h"
#include "support/environment.h"
#include "support/eventually.h"
#include "support/systemclient.h"
#include "support/testcluster.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

constexpr std::size_t kDaemons = 8;
constexpr Millis kCommandLimit{60'000};

ClusterOptions systemOptions()
{
    ClusterOptions options;
    options.engines = 3;
    options.services = 1;
    options.daemons = kDaemons;
    options.timeScale = 20;
    options.engineFlags = {"--models", "tiny"};
    // A daemon starts about two threads for each stream; the default needs 18,000 for 8 daemons.
    options.extraSettings = "limits:\n  max_streams: 8\n";
    options.operatorCredentialSha256 = sha256Hex(kOperatorCredential);
    return options;
}

struct CtlResult
{
    int code = -1;
    std::string out;
    std::string error;
};

std::string contentOf(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_GROUP(Operators)
{
    TestCluster cluster{systemOptions()};
    std::atomic<int> calls{0};

    void setup() override
    {
        cluster.start();
        CHECK_TRUE_TEXT(eventually(Millis(20'000),
                                   [&] {
                                       for (std::size_t i = 0; i < kDaemons; ++i) {
                                           if (!client(i).ready())
                                               return false;
                                       }
                                       return liveMembers() == kDaemons;
                                   }),
                        "all daemons ready and known to the first");
    }

    SystemClient client(std::size_t daemon)
    {
        return {cluster.daemon(daemon).address, kOperatorCredential};
    }

    std::size_t liveMembers()
    {
        const auto reply = client(0).statement("show entry-vms where alive = yes");
        return reply.contains("table") ? reply["table"]["rows"].size() : 0;
    }

    /// Runs cicadafork ctl; options stand between the address and the statement.
    CtlResult ctl(std::size_t daemon, const std::string &arguments)
    {
        const std::string base = fmt::format("{}/ctl-{}", cluster.directory(), ++calls);
        const std::string command = fmt::format(
                "CICADAFORK_CREDENTIAL={} exec {}/cicadafork ctl {} {} >{}.out 2>{}.err",
                kOperatorCredential, binaryDirectory(), toString(cluster.daemon(daemon).address),
                arguments, base, base);
        ChildProcess process("/bin/sh", {"-c", command}, "/dev/null");
        CtlResult result;
        result.code = process.wait(kCommandLimit).value_or(-1);
        result.out = contentOf(base + ".out");
        result.error = contentOf(base + ".err");
        return result;
    }

    CtlResult succeed(std::size_t daemon, const std::string &arguments)
    {
        CtlResult result = ctl(daemon, arguments);
        LONGS_EQUAL_TEXT(0, result.code, (arguments + ": " + result.error).c_str());
        return result;
    }

    void createAll()
    {
        const std::string hash = sha256Hex(kCallerCredential);
        succeed(0, "--name=ana \"create service report-writer kind=model models=tiny\"");
        succeed(0, fmt::format("--name=ana --wait=20 \"create workspace depot "
                               "services=report-writer credential_sha256={}\"",
                               hash));
        CHECK_TRUE_TEXT(
                eventually(Millis(10'000),
                           [&] {
                               const auto reply
                                       = client(0).statement("show endpoints where sendable = yes");
                               return reply.contains("table") && reply["table"]["rows"].size() == 4;
                           }),
                "endpoints known");
    }
};

// Guards against a step of the operator's first day that does not work or does not explain itself.
TEST(Operators, firstDayWorksThroughTheCommandLine)
{
    const CtlResult noted
            = succeed(0, fmt::format("--name=ana \"create workspace early services=absent "
                                     "credential_sha256={}\"",
                                     sha256Hex("another")));
    STRCMP_CONTAINS("there is no service 'absent' yet", noted.error.c_str());
    createAll();
    LONGS_EQUAL(200, client(3).complete({.prompt = "a prompt"}).status);

    const CtlResult changed
            = succeed(1, "--name=ana --wait=20 'change service report-writer priority=urgent'");
    for (const char *domain : {"domain-1 3/3", "domain-2 3/3", "domain-3 2/2"})
        STRCMP_CONTAINS(domain, changed.error.c_str());

    const CtlResult dry = succeed(1, "--dry-run 'change service report-writer priority=normal'");
    STRCMP_CONTAINS("nothing was changed", dry.out.c_str());
    const CtlResult services = succeed(2, "--json 'show services'");
    STRCMP_CONTAINS("\"urgent\"", services.out.c_str());

    struct Case
    {
        const char *arguments;
        int code;
        const char *message;
    };
    const Case cases[] = {
            {"'show requests where sate = stuck'", 2, "column 21: 'sate'"},
            {"'shwo requests'", 2, "column 1"},
            {"", 2, "the statement is missing"},
            {"'show services' --wait 20", 2, "--wait=SECONDS"},
            {"'change service report-writer priority=high'", 2, "the current value is urgent"},
            {"'drain service writer'", 1, "there is no service 'writer'"},
            {"'drain endpoint enigne-1'", 1, "is not in the VM list"},
            {"'why nothing'", 1, "no request 'nothing'"},
            {"--credential=wrong 'show services'", 1, "CICADAFORK_CREDENTIAL"},
    };
    for (const Case &c : cases) {
        const CtlResult result = ctl(0, c.arguments);
        LONGS_EQUAL_TEXT(c.code, result.code, c.arguments);
        STRCMP_CONTAINS_TEXT(c.message, result.error.c_str(), c.arguments);
        STRCMP_CONTAINS_TEXT("remedy: ", result.error.c_str(), c.arguments);
    }

    const std::string file = cluster.directory() + "/statements";
    std::ofstream(file) << "# evening\n  show services\r\n\ndrain endpoint engine-1\nnonsense\n";
    const CtlResult run = ctl(0, "--name=ben --file=" + file);
    LONGS_EQUAL(2, run.code);
    STRCMP_CONTAINS("statements:5", run.error.c_str());
    CHECK_TRUE(eventually(Millis(6000), [&] {
        return ctl(4, "'show endpoints where state = drained'").out.find("engine-1")
               != std::string::npos;
    }));
    const CtlResult history = succeed(5, "'show history'");
    STRCMP_CONTAINS("ben", history.out.c_str());
    STRCMP_CONTAINS("drain endpoint engine-1", history.out.c_str());
    CHECK_TRUE_TEXT(history.out.find(sha256Hex(kCallerCredential)) == std::string::npos,
                    "no credential hash in the history");
}

// Guards against a metric that operators cannot look up, and against a credential in the dump or in
// a log.
TEST(Operators, metricsAreDocumentedAndDumpsHoldNoCredential)
{
    createAll();
    LONGS_EQUAL(200, client(0).complete({.prompt = "a prompt"}).status);
    const std::string page = contentOf(binaryDirectory() + "/../docs/OPERATING.md");
    CHECK_FALSE(page.empty());
    const auto metrics
            = capture([&] { return httpGet(cluster.daemon(0).address, "/metrics", Millis(2000)); });
    CHECK_TRUE(static_cast<bool>(metrics));
    std::istringstream lines(metrics->body);
    std::size_t names = 0;
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("# HELP "))
            continue;
        const std::string name = line.substr(7, line.find(' ', 7) - 7);
        CHECK_TRUE_TEXT(page.find("`" + name + "`") != std::string::npos, name.c_str());
        ++names;
    }
    CHECK_TRUE(names > 20);
    const std::string file = cluster.directory() + "/dump";
    ChildProcess dump("/bin/sh",
                      {"-c", fmt::format("CICADAFORK_CREDENTIAL={} {}/cicadafork dump {} >{}",
                                         kOperatorCredential, binaryDirectory(),
                                         toString(cluster.daemon(0).address), file)},
                      "");
    LONGS_EQUAL(0, dump.wait(kCommandLimit).value_or(-1));
    const std::string texts[] = {contentOf(file), cluster.daemon(0).process->errorOutput()};
    for (const std::string &text : texts) {
        CHECK_FALSE(text.empty());
        for (const char *secret : {kCallerCredential, kOperatorCredential})
            CHECK_TRUE_TEXT(text.find(secret) == std::string::npos, secret);
        CHECK_TRUE(text.find(sha256Hex(kCallerCredential)) == std::string::npos);
    }
}

// Guards against two operators who both believe that their change was made.
TEST(Operators, exactlyOneOfTwoRacingOperatorsWins)
{
    createAll();
    const std::uint64_t version
            = client(0).command("change service report-writer priority=background");
    CtlResult results[2];
    const auto race = [&](std::size_t index, const char *name, const char *priority) {
        results[index] = ctl(index * 4, fmt::format("--name={} 'change service report-writer "
                                                    "priority={} if version = {}'",
                                                    name, priority, version));
    };
    std::jthread first([&] { race(0, "ana", "urgent"); });
    std::jthread second([&] { race(1, "ben", "normal"); });
    first.join();
    second.join();
    LONGS_EQUAL_TEXT(1, results[0].code + results[1].code,
                     (results[0].error + results[1].error).c_str());
    const CtlResult &loser = results[results[0].code == 0 ? 1 : 0];
    STRCMP_CONTAINS(results[0].code == 0 ? "last changed by ana" : "last changed by ben",
                    loser.error.c_str());
    STRCMP_CONTAINS(fmt::format("based on {}", version).c_str(), loser.error.c_str());
    STRCMP_CONTAINS("remedy: ", loser.error.c_str());
}

// Guards against a long wait that nobody can explain, and against callers of a stopped service
// that wait until their timeout.
TEST(Operators, stuckRequestIsFoundExplainedAndEndedByAStop)
{
    createAll();
    for (std::size_t i = 0; i < 3; ++i)
        cluster.engine(i).process->sendSignal(SIGSTOP);
    CallResult dispatched;
    std::atomic<bool> answered{false};
    std::jthread caller([&] {
        dispatched = client(2).complete(
                {.prompt = "a prompt", .timeout = Millis(30'000), .requestId = "frozen-1"});
        answered = true;
    });
    std::string lastRows;
    const bool shown = eventually(Millis(15'000), [&] {
        lastRows = ctl(0, "'show requests'").out;
        return ctl(0, "'show requests where state = stuck'").out.find("frozen-1")
               != std::string::npos;
    });
    // What the caller and the last query saw tells a refusal from a query that missed a member.
    const std::string seen
            = answered ? fmt::format("answered {}: {}", dispatched.status, dispatched.problem)
                       : "no answer yet";
    CHECK_TRUE_TEXT(shown, fmt::format("the request is shown as stuck by another daemon; {}\n{}",
                                       seen, lastRows)
                                   .c_str());
    const CtlResult why = succeed(0, "'why frozen-1'");
    for (const char *part : {"held_by:", "first token", "freed_by:", "since_ms:"})
        STRCMP_CONTAINS(part, why.out.c_str());
    for (std::size_t i = 0; i < 3; ++i)
        cluster.engine(i).process->sendSignal(SIGCONT);
    caller.join();
    LONGS_EQUAL_TEXT(200, dispatched.status, dispatched.problem.c_str());

    succeed(0, "--wait=20 'stop service report-writer'");
    const CallResult refused = client(5).complete({.prompt = "a prompt"});
    LONGS_EQUAL(503, refused.status);
    STRCMP_EQUAL("not_run", refused.execution.c_str());
    STRCMP_CONTAINS("stopped", refused.problem.c_str());
}

// Guards against a query that hangs on a dead member or hides it, and against commands that are
// taken as made while the log is away.
TEST(Operators, queriesNameSilentMembersAndCommandsNeedTheLog)
{
    createAll();
    cluster.daemon(6).process->sendSignal(SIGKILL);
    cluster.daemon(7).process->sendSignal(SIGSTOP);
    for (const char *statement : {"'show requests'", "'show configuration'"}) {
        const TimePoint begin = steadyNow();
        const CtlResult shown = succeed(0, std::string("--timeout=1500 ") + statement);
        const Millis took = std::chrono::duration_cast<Millis>(steadyNow() - begin);
        CHECK_TRUE_TEXT(took < Millis(4000), fmt::format("took {} ms", took.count()).c_str());
        for (std::size_t silent : {6, 7})
            STRCMP_CONTAINS_TEXT(cluster.daemon(silent).id.c_str(), shown.out.c_str(), statement);
        STRCMP_CONTAINS_TEXT("no answer from: ", shown.out.c_str(), statement);
    }
    const CtlResult waited
            = ctl(0, "--timeout=1000 --wait=4 'change service report-writer priority=urgent'");
    LONGS_EQUAL_TEXT(4, waited.code, waited.error.c_str());
    STRCMP_CONTAINS(cluster.daemon(6).id.c_str(), waited.error.c_str());

    cluster.setFaults(cluster.log(), {{"outage", true}});
    succeed(0, "--timeout=1000 'show services'");
    succeed(0, "--timeout=1000 'show requests'");
    const CtlResult refused = ctl(0, "'change service report-writer priority=normal'");
    LONGS_EQUAL_TEXT(3, refused.code, refused.error.c_str());
    STRCMP_CONTAINS("the command was not sent", refused.error.c_str());
    STRCMP_CONTAINS("remedy: ", refused.error.c_str());
    cluster.daemon(7).process->sendSignal(SIGCONT);
}
