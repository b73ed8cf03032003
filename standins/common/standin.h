#pragma once

// Parts that every stand-in shares: common flags, common faults, JSON replies and the main loop.
//
//   FaultGate gate;
//   server.routes().Post("/x", gate.guard([&](const auto &request, auto &response) { ... }));
//   return serveUntilSignal(server, "standin-x");

#include "base/clock.h"
#include "http/server.h"

#include <cxxopts.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace cicadafork::standin {

using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

/// Faults that every stand-in has: {"outage":bool,"silent":bool,"delay_ms":N}.
class FaultGate
{
public:
    ~FaultGate() { stopped_ = true; }

    /// Sets the members that the object names; the others keep their value.
    void apply(const nlohmann::json &faults);

    /// Runs a handler behind the faults: an outage answers 503, a silent stand-in never answers.
    Handler guard(Handler handler);

    /// Sleeps or holds the request as the faults say; false when the request was refused.
    bool pass(httplib::Response &response);

    /// Releases the requests that are held back, so that the server can stop.
    void stop() { stopped_ = true; }
    bool stopped() const { return stopped_; }
    bool silent() const { return silent_; }

private:
    std::atomic<bool> outage_ = false;
    std::atomic<bool> silent_ = false;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::int64_t> delayMs_ = 0;
};

void replyJson(httplib::Response &response, int status, const nlohmann::json &body);

/// Parses the body as a JSON object; answers 400 and returns nothing when it is not one.
std::optional<nlohmann::json> jsonBody(const httplib::Request &request,
                                       httplib::Response &response);

/// Query parameter as a number; fallback when it is missing or malformed.
std::uint64_t numberParameter(const httplib::Request &request, const char *name,
                              std::uint64_t fallback);

/// Adds --listen, --threads, --faults and --help.
void addCommonFlags(cxxopts::Options &options, std::size_t threads = 256);

/// Parses the command line. Prints the help or the problem and ends the process when it must.
cxxopts::ParseResult parseFlags(cxxopts::Options &options, int argc, char **argv);

HttpServerOptions serverOptions(const cxxopts::ParseResult &flags);

/// Installs POST /admin/faults: the gate's faults first, then the stand-in's own ones.
void installFaults(HttpServer &server, FaultGate &gate,
                   std::function<void(const nlohmann::json &)> apply,
                   const cxxopts::ParseResult &flags);

/// Blocks SIGTERM and SIGINT in all threads; call it before any thread starts.
void blockSignals();

/// Waits for SIGTERM or SIGINT. Nothing when the timeout passes first.
std::optional<int> waitForSignal(Millis timeout);

/// Starts the server, prints one line when it listens and returns the exit status after a signal.
int serveUntilSignal(HttpServer &server, FaultGate &gate, const std::string &name);

} // namespace cicadafork::standin
