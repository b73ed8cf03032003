// How the test program itself ends: these tests run it as a child with single tests that fail or
// hang on purpose.

#include "support/environment.h"
#include "support/eventually.h"
#include "support/process.h"
#include "support/testcluster.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

/// Names the file that a child writes its cluster's process ids to. The tests of group OnPurpose
/// pass at once where it is not set.
constexpr const char *kOnPurposeFile = "CICADAFORK_ON_PURPOSE";
constexpr Millis kStartLimit{30'000};
constexpr Millis kEndLimit{5000};

std::string contentOf(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

ClusterOptions smallest()
{
    ClusterOptions options;
    options.engines = 1;
    options.daemons = 1;
    return options;
}

void writeProcessIds(const TestCluster &cluster)
{
    const std::string path = std::getenv(kOnPurposeFile);
    std::ofstream file(path + ".part");
    for (const auto &[id, member] : cluster.members())
        file << member.process->id() << "\n";
    file.close();
    std::rename((path + ".part").c_str(), path.c_str());
}

bool isRunning(pid_t id)
{
    std::ifstream file(fmt::format("/proc/{}/stat", id));
    std::string pid;
    std::string name;
    std::string state;
    // A process that has ended and was not collected yet is in state Z.
    return static_cast<bool>(file >> pid >> name >> state) && state != "Z";
}

bool onPurpose()
{
    return std::getenv(kOnPurposeFile) != nullptr;
}

} // namespace

TEST_GROUP(OnPurpose){};

TEST(OnPurpose, holdsItsClusterUntilItIsKilled)
{
    if (!onPurpose())
        return;
    TestCluster cluster(smallest());
    cluster.start();
    writeProcessIds(cluster);
    std::this_thread::sleep_for(kStartLimit * 2);
}

TEST(OnPurpose, failsWhileAThreadRuns)
{
    if (!onPurpose())
        return;
    std::jthread caller([] { std::this_thread::sleep_for(Millis(200)); });
    FAIL("this test fails on purpose");
}

TEST(OnPurpose, passesAfterAFailure) {}

TEST_GROUP(TestProgram)
{
    std::string directory;

    void setup() override
    {
        std::string name = "/tmp/cicadafork-program-XXXXXX";
        CHECK_TRUE(mkdtemp(name.data()) != nullptr);
        directory = name;
    }

    void teardown() override
    {
        std::system(fmt::format("rm -r {}", directory).c_str());
    }

    ChildProcess start(const std::string &test)
    {
        const std::string command = fmt::format(
                "exec env {}={}/ids CICADAFORK_BIN_DIR={} {}/integration_tests -v "
                "-sg OnPurpose {}",
                kOnPurposeFile, directory, binaryDirectory(), binaryDirectory(), test);
        return {"/bin/sh", {"-c", command}, directory + "/output"};
    }
};

// Guards against processes of a killed test program that hold its output pipe and keep CI waiting.
TEST(TestProgram, leavesNoProcessOfItsClusterWhenItIsKilled)
{
    ChildProcess program = start("-sn holdsItsClusterUntilItIsKilled");
    CHECK_TRUE_TEXT(eventually(kStartLimit, [&] { return !contentOf(directory + "/ids").empty(); }),
                    contentOf(directory + "/output").c_str());
    std::istringstream ids(contentOf(directory + "/ids"));
    std::vector<pid_t> members;
    for (pid_t id = 0; ids >> id;)
        members.push_back(id);
    LONGS_EQUAL(5, members.size());
    for (const pid_t id : members)
        CHECK_TRUE(isRunning(id));
    program.sendSignal(SIGKILL);
    CHECK_TRUE(eventually(kEndLimit, [&] {
        return std::ranges::none_of(members, [](pid_t id) { return isRunning(id); });
    }));
}

// Guards against a failed check that ends the whole program, so that the other tests are not run.
TEST(TestProgram, reportsAFailedTestByNameAndRunsTheOthers)
{
    ChildProcess program = start("-xsn holdsItsClusterUntilItIsKilled");
    LONGS_EQUAL(1, program.wait(kStartLimit).value_or(-1));
    const std::string output = contentOf(directory + "/output");
    for (const char *part : {"failsWhileAThreadRuns", "this test fails on purpose",
                             "passesAfterAFailure", "Errors (1 failures", "2 ran"})
        STRCMP_CONTAINS(part, output.c_str());
}
