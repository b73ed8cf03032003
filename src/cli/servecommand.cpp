#include "cli/servecommand.h"

#include "cli/commands.h"
#include "daemon/daemon.h"
#include "settings/settingsdescription.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <thread>

namespace cicadafork {

namespace {

/// Blocks until SIGTERM or SIGINT, drains the daemon; a second signal exits at once.
void serveUntilSignal(Daemon &daemon)
{
    asio::io_context context;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    std::thread drain;
    signals.async_wait([&](const asio::error_code &, int) {
        drain = std::thread([&] {
            daemon.shutDown();
            context.stop();
        });
        signals.async_wait([](const asio::error_code &error, int) {
            if (!error)
                std::_Exit(ExitFailure);
        });
    });
    context.run();
    drain.join();
}

int serve(const std::string &path)
{
    auto settings = capture([&] { return loadSettings(path); });
    if (!settings) {
        fmt::print(stderr, "{}\n", settings.error().message);
        return ExitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    setLogLevel(settings->logLevel);
    setLogContext(fmt::format("member={}", settings->memberId));
    Daemon daemon(*settings);
    const auto started = capture([&] { return daemon.start(); });
    if (!started) {
        fmt::print(stderr, "error: {}\nremedy: {}\n", started.error().message,
                   started.error().remedy);
        return ExitFailure;
    }
    serveUntilSignal(daemon);
    return ExitSuccess;
}

} // namespace

int runServeCommand(int argc, char **argv)
{
    cxxopts::Options options("cicadafork serve", "Runs the daemon of an entry VM.");
    options.add_options()                                                     //
            ("config", "settings file (YAML)", cxxopts::value<std::string>()) //
            ("help", "print this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}", options.help());
            return ExitSuccess;
        }
        if (parsed.count("config") == 0) {
            fmt::print(stderr, "error: --config is missing\n{}", options.help());
            return ExitUsage;
        }
        return serve(parsed["config"].as<std::string>());
    } catch (const cxxopts::exceptions::exception &exception) {
        fmt::print(stderr, "error: {}\n{}", exception.what(), options.help());
        return ExitUsage;
    }
}

int runCheckConfigCommand(int argc, char **argv)
{
    const std::string path = argc > 1 ? argv[1] : "";
    if (path == "--describe") {
        fmt::print("{}", settingsTable(describeSettings()));
        return ExitSuccess;
    }
    if (path.empty() || path == "--help") {
        fmt::print("usage: cicadafork check-config FILE\n       cicadafork check-config "
                   "--describe\nChecks a settings file and prints every problem; --describe prints "
                   "every setting with unit, range and default.\n");
        return path.empty() ? ExitUsage : ExitSuccess;
    }
    const auto settings = capture([&] { return loadSettings(path); });
    if (!settings) {
        fmt::print(stderr, "{}\n", settings.error().message);
        return ExitUsage;
    }
    fmt::print("{}: no problems\n", path);
    return ExitSuccess;
}

} // namespace cicadafork
