#include "common/standin.h"

#include "base/log.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace cicadafork::standin {

namespace {

// Requests that a fault holds back look at the fault this often.
constexpr Millis kHoldPoll{20};

sigset_t endSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void FaultGate::apply(const nlohmann::json &faults)
{
    outage_ = faults.value("outage", outage_.load());
    silent_ = faults.value("silent", silent_.load());
    delayMs_ = faults.value("delay_ms", delayMs_.load());
}

bool FaultGate::pass(httplib::Response &response)
{
    const TimePoint until = steadyNow() + Millis(delayMs_.load());
    while (!stopped_ && (silent_ || steadyNow() < until))
        std::this_thread::sleep_for(kHoldPoll);
    if (!outage_ && !stopped_)
        return true;
    replyJson(response, 503, {{"executed", false}, {"error", "the stand-in has an outage"}});
    return false;
}

Handler FaultGate::guard(Handler handler)
{
    return [this, handler = std::move(handler)](const auto &request, auto &response) {
        if (pass(response))
            handler(request, response);
    };
}

void replyJson(httplib::Response &response, int status, const nlohmann::json &body)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

std::optional<nlohmann::json> jsonBody(const httplib::Request &request, httplib::Response &response)
{
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_object())
        return body;
    replyJson(response, 400, {{"executed", false}, {"error", "the body is not a JSON object"}});
    return std::nullopt;
}

std::uint64_t numberParameter(const httplib::Request &request, const char *name,
                              std::uint64_t fallback)
{
    const std::string text = request.get_param_value(name);
    char *end = nullptr;
    const std::uint64_t value = std::strtoull(text.c_str(), &end, 10);
    return text.empty() || *end != '\0' ? fallback : value;
}

void addCommonFlags(cxxopts::Options &options, std::size_t threads)
{
    options.add_options()("listen", "address and port to listen on",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:9000"))(
            "threads", "concurrent connections",
            cxxopts::value<std::size_t>()->default_value(std::to_string(threads)))(
            "faults", "faults at start, in the JSON form of POST /admin/faults",
            cxxopts::value<std::string>()->default_value("{}"))("help", "print this text");
}

cxxopts::ParseResult parseFlags(cxxopts::Options &options, int argc, char **argv)
{
    try {
        auto flags = options.parse(argc, argv);
        if (flags.count("help") == 0)
            return flags;
        std::printf("%s", options.help().c_str());
        std::exit(0);
    } catch (const std::exception &problem) {
        std::fprintf(stderr, "%s\nrun with --help for the flags\n", problem.what());
        std::exit(2);
    }
}

HttpServerOptions serverOptions(const cxxopts::ParseResult &flags)
{
    const auto address = capture([&] { return parseAddress(flags["listen"].as<std::string>()); });
    if (!address) {
        std::fprintf(stderr, "%s; %s\n", address.error().message.c_str(),
                     address.error().remedy.c_str());
        std::exit(2);
    }
    HttpServerOptions options;
    options.address = *address;
    options.threads = flags["threads"].as<std::size_t>();
    options.keepAliveTimeout = Millis(1000);
    return options;
}

void installFaults(HttpServer &server, FaultGate &gate,
                   std::function<void(const nlohmann::json &)> apply,
                   const cxxopts::ParseResult &flags)
{
    auto applyAll = [&gate, apply = std::move(apply)](const nlohmann::json &faults) {
        gate.apply(faults);
        apply(faults);
    };
    try {
        applyAll(nlohmann::json::parse(flags["faults"].as<std::string>()));
    } catch (const nlohmann::json::exception &problem) {
        std::fprintf(stderr, "--faults: %s\n", problem.what());
        std::exit(2);
    }
    server.routes().Post("/admin/faults", [applyAll](const auto &request, auto &response) {
        const auto body = jsonBody(request, response);
        if (!body)
            return;
        try {
            applyAll(*body);
            replyJson(response, 200, nlohmann::json::object());
        } catch (const nlohmann::json::exception &problem) {
            replyJson(response, 400, {{"error", problem.what()}});
        }
    });
}

void blockSignals()
{
    const sigset_t signals = endSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

std::optional<int> waitForSignal(Millis timeout)
{
    const sigset_t signals = endSignals();
    const timespec limit{timeout.count() / 1000, timeout.count() % 1000 * 1'000'000};
    const int signal = sigtimedwait(&signals, nullptr, &limit);
    return signal > 0 ? std::optional(signal) : std::nullopt;
}

int serveUntilSignal(HttpServer &server, FaultGate &gate, const std::string &name)
{
    const auto started = capture([&] { return server.start(); });
    if (!started) {
        logEvent(LogLevel::Error, "listen_failed", {{"error", started.error().message}});
        return 1;
    }
    logEvent(LogLevel::Info, "listening", {{"program", name}});
    while (!waitForSignal(Millis(1000))) {
    }
    gate.stop();
    server.stop();
    return 0;
}

} // namespace cicadafork::standin
