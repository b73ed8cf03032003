#include "cli/gatewaycommand.h"

#include "base/log.h"
#include "base/logqueue.h"
#include "cli/commands.h"
#include "gateway/gateway.h"
#include "platform/headers.h"
#include "platform/orderclient.h"
#include "platform/records.h"
#include "platform/settingsfile.h"
#include "platform/storeclient.h"
#include "settings/settingsreader.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <functional>

namespace cicadafork {

namespace {

// A settings file may change without a signal.
constexpr Millis kSettingsInterval{2000};

/// Reads the settings again at SIGHUP, and when the file has changed.
class SettingsWatch
{
public:
    SettingsWatch(asio::io_context &context, asio::signal_set &hangup, std::string path,
                  std::string text, gateway::Gateway &gateway)
        : path_(std::move(path))
        , text_(std::move(text))
        , gateway_(gateway)
        , hangup_(hangup)
        , timer_(context)
    {
        awaitSignal();
        awaitTime();
    }

private:
    void awaitSignal()
    {
        hangup_.async_wait([this](const asio::error_code &error, int) {
            if (error)
                return;
            check();
            awaitSignal();
        });
    }

    void awaitTime()
    {
        timer_.expires_after(kSettingsInterval);
        timer_.async_wait([this](const asio::error_code &error) {
            if (error)
                return;
            check();
            awaitTime();
        });
    }

    void check()
    {
        const auto text = capture([&] { return settingsFileText(path_); });
        if (!text || *text == text_)
            return;
        const auto settings = capture([&] { return gateway::parseGatewaySettings(*text, path_); });
        if (!settings) {
            logEvent(LogLevel::Error, "settings_rejected",
                     {{"problems", settings.error().message}});
            return;
        }
        text_ = *text;
        gateway_.reload(*settings);
    }

    std::string path_;
    std::string text_;
    gateway::Gateway &gateway_;
    asio::signal_set &hangup_;
    asio::steady_timer timer_;
};

int runGateway(const std::string &path)
{
    asio::io_context context(1);
    // Signals that arrive during the start are handled once the event loop runs.
    asio::signal_set stop(context, SIGTERM, SIGINT);
    asio::signal_set hangup(context, SIGHUP);
    std::signal(SIGPIPE, SIG_IGN);
    const auto text = capture([&] { return settingsFileText(path); });
    if (!text) {
        fmt::print(stderr, "{}\n", text.error().message);
        return ExitUsage;
    }
    const auto settings = capture([&] { return gateway::parseGatewaySettings(*text, path); });
    if (!settings) {
        fmt::print(stderr, "{}\n", settings.error().message);
        return ExitUsage;
    }
    LogQueue logs(context, STDOUT_FILENO);
    setLogLevel(settings->logLevel);
    setLogContext(fmt::format("member={}", settings->member));
    UpstreamPool pool(context, {.answerRoom = gateway::answerRoomOf(*settings)},
                      localDialer(settings->peers.ip));
    platform::HttpCallClient calls(context, pool);
    platform::StoreClient store(calls, settings->store);
    platform::OrderClient orders(calls);
    gateway::Gateway gateway(context, *settings, platform::wireProtocol(), platform::storeLayout(),
                             store.calls(), orders.calls(), pool);
    const auto started = capture([&] { return gateway.start(); });
    if (!started) {
        logEvent(LogLevel::Error, "start_failed",
                 {{"error", started.error().message}, {"remedy", started.error().remedy}});
        return ExitFailure;
    }
    stop.async_wait([&](const asio::error_code &error, int) {
        if (!error)
            gateway.shutDown([&] { context.stop(); });
    });
    SettingsWatch watch(context, hangup, path, *text, gateway);
    context.run();
    return ExitSuccess;
}

} // namespace

int runGatewayCommand(int argc, char **argv)
{
    cxxopts::Options options("cicadafork gateway", "Runs the daemon on the users' platform.");
    options.add_options()                                                                    //
            ("settings", "settings file (YAML); by default the one that the platform names", //
             cxxopts::value<std::string>()->default_value(platform::settingsFile()))         //
            ("check", "check the settings and exit")                                         //
            ("help", "print this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}", options.help());
            return ExitSuccess;
        }
        const std::string path = parsed["settings"].as<std::string>();
        if (parsed.count("check") == 0)
            return runGateway(path);
        const auto settings = capture([&] { return gateway::loadGatewaySettings(path); });
        if (settings)
            fmt::print("{}: no problems\n", path);
        else
            fmt::print(stderr, "{}\n", settings.error().message);
        return settings ? ExitSuccess : ExitUsage;
    } catch (const cxxopts::exceptions::exception &exception) {
        fmt::print(stderr, "error: {}\n{}", exception.what(), options.help());
        return ExitUsage;
    }
}

} // namespace cicadafork
