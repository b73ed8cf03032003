// Signals that a gateway daemon gets before it has started.

#include "support/environment.h"
#include "support/network.h"
#include "support/process.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

// Guards against a daemon that hangs; its grace period is 8 s.
constexpr Millis kEndLimit{30'000};

std::string settingsText(AddressPool &addresses)
{
    const Address callers = addresses.next();
    return fmt::format("member: front-1\nfailure_domain: z1\ncaller_address: {0}:20101\n"
                       "readiness_address: {0}:20102\ncontrol_address: {0}:20103\n"
                       "peer_address: {0}:20104\nstore_address: {0}:20105\n",
                       callers.ip);
}

} // namespace

TEST_GROUP(GatewaySignals){};

// Guards against a stop during the start that counts as a crash. The daemon reads its settings from
// a pipe, which the test fills after the signals.
TEST(GatewaySignals, signalsDuringTheStartDoNotKillTheDaemon)
{
    struct Case
    {
        const char *name;
        std::vector<int> signals;
        std::unique_ptr<ChildProcess> process = {};
    };
    Case cases[3];
    cases[0] = {"stop", {SIGTERM}};
    cases[1] = {"interrupt", {SIGINT}};
    cases[2] = {"changed settings, then stop", {SIGHUP, SIGTERM}};
    std::signal(SIGPIPE, SIG_IGN);
    const auto directory = std::filesystem::temp_directory_path()
                           / fmt::format("cicadafork-signals-{}", getpid());
    std::filesystem::create_directory(directory);
    AddressPool addresses;
    for (Case &row : cases) {
        const std::string path = directory / fmt::format("{}.yaml", &row - &cases[0]);
        LONGS_EQUAL(0, mkfifo(path.c_str(), S_IRUSR | S_IWUSR));
        row.process = std::make_unique<ChildProcess>(
                binaryDirectory() + "/cicadafork",
                std::vector<std::string>{"gateway", "--settings", path}, path + ".log");
        std::ofstream pipe(path); // Waits until the daemon opens it.
        for (const int signal : row.signals)
            row.process->sendSignal(signal);
        const std::string text = settingsText(addresses);
        std::filesystem::remove(path);
        std::ofstream(path) << text;
        pipe << text;
        pipe.close();
    }
    for (Case &row : cases) {
        const auto status = row.process->wait(kEndLimit);
        CHECK_TRUE_TEXT(status.has_value(), row.name);
        LONGS_EQUAL_TEXT(0, *status, row.name);
    }
    std::filesystem::remove_all(directory);
}
