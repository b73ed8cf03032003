// Stand-in of a plain service. It records every execution.

#include "common/standin.h"

#include "base/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::standin;

namespace {

// Bounds the record of executions; a test run stays far below it.
constexpr std::size_t kMaxExecutions = 200'000;

struct ServiceState
{
    std::mutex mutex;
    std::string id;
    std::string incarnation;
    std::vector<std::string> operations; ///< Empty means that every operation is known.
    Millis latency{5};
    bool refuse = false;
    bool loseAnswers = false;
    bool checkFencing = false;
    bool leaving = false;         ///< The status says so, and new work is refused.
    bool announceLeaving = false; ///< The status says so, but new work is still accepted.
    /// By idempotency key: numbers of different keys come from different streams of the log.
    std::map<std::string, std::uint64_t> highestFencing;
    std::size_t running = 0;
    std::vector<nlohmann::json> executions;
};

// Refusals happen before any effect, so they are recorded nowhere.
bool refused(ServiceState &state, const std::string &operation, const std::string &key,
             std::uint64_t fencing, httplib::Response &response)
{
    const auto &known = state.operations;
    if (!known.empty() && std::find(known.begin(), known.end(), operation) == known.end()) {
        replyJson(response, 404, {{"executed", false}, {"error", "unknown operation"}});
    } else if (state.refuse || state.leaving) {
        replyJson(response, 503, {{"executed", false}, {"error", "refused"}});
    } else if (state.checkFencing && fencing != 0 && fencing < state.highestFencing[key]) {
        replyJson(response, 409, {{"executed", false}, {"error", "stale fencing number"}});
    } else {
        return false;
    }
    return true;
}

void execute(ServiceState &state, const httplib::Request &request, httplib::Response &response)
{
    const std::string operation = request.matches[1].str();
    const std::string fencingText = request.get_header_value("X-Fencing-Number");
    const std::uint64_t fencing = std::strtoull(fencingText.c_str(), nullptr, 10);
    std::unique_lock lock(state.mutex);
    const std::string key = request.get_header_value("Idempotency-Key");
    if (refused(state, operation, key, fencing, response))
        return;
    state.highestFencing[key] = std::max(state.highestFencing[key], fencing);
    const std::size_t number = state.executions.size();
    if (number < kMaxExecutions) {
        state.executions.push_back({{"operation", operation},
                                    {"request_id", request.get_header_value("X-Request-Id")},
                                    {"key", key},
                                    {"fencing", fencing},
                                    {"body_hash", sha256Hex(request.body)},
                                    {"started_ms", sinceEpoch(wallNow()).count()}});
    }
    ++state.running;
    const Millis latency = state.latency;
    lock.unlock();
    std::this_thread::sleep_for(latency);
    lock.lock();
    --state.running;
    replyJson(response, 200,
              {{"operation", operation},
               {"execution", number},
               {"body_hash", sha256Hex(request.body)}});
    if (!state.loseAnswers)
        return;
    response.body.clear();
    response.set_content_provider(
            64, "application/json",
            [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

nlohmann::json status(const ServiceState &state)
{
    return {{"endpoint_id", state.id},
            {"incarnation", state.incarnation},
            {"state", state.leaving || state.announceLeaving ? "leaving" : "live"},
            {"role", "service"},
            {"models", nlohmann::json::array()},
            {"running", state.running},
            {"waiting", 0},
            {"waiting_tokens", 0},
            {"kv_used_tokens", 0},
            {"kv_capacity_tokens", 0},
            {"reported_at_ms", sinceEpoch(wallNow()).count()}};
}

void applyFaults(ServiceState &state, const nlohmann::json &faults)
{
    const std::lock_guard lock(state.mutex);
    state.latency = Millis(faults.value("latency_ms", state.latency.count()));
    state.refuse = faults.value("refuse", state.refuse);
    state.loseAnswers = faults.value("lose_answers", state.loseAnswers);
    state.checkFencing = faults.value("check_fencing", state.checkFencing);
    state.leaving = faults.value("leaving", state.leaving);
    state.announceLeaving = faults.value("announce_leaving", state.announceLeaving);
}

// An endpoint that only reports its status, for measurements with many endpoints.
std::unique_ptr<HttpServer> startStatusOnly(const std::string &text,
                                            const std::vector<std::string> &models)
{
    // Connections are short; a second one waits. Hundreds of endpoints share one process.
    constexpr std::size_t kThreads = 1;
    const std::size_t separator = text.find('=');
    const std::string id = text.substr(0, separator);
    const auto address = capture([&] { return parseAddress(text.substr(separator + 1)); });
    if (separator == std::string::npos || !address)
        throw std::invalid_argument("--status-only needs ID=ADDRESS, not " + text);
    auto server = std::make_unique<HttpServer>(
            HttpServerOptions{.address = *address, .threads = kThreads});
    const nlohmann::json fixed = {{"endpoint_id", id},
                                  {"incarnation", id + "-1"},
                                  {"state", "live"},
                                  {"role", "mixed"},
                                  {"models", models},
                                  {"running", 72},
                                  {"waiting", 3},
                                  {"waiting_tokens", 9000},
                                  {"kv_used_tokens", 800'000},
                                  {"kv_capacity_tokens", 1'500'000}};
    server->routes().Get("/v1/status", [fixed](const auto &, auto &response) {
        nlohmann::json body = fixed;
        body["reported_at_ms"] = sinceEpoch(wallNow()).count();
        replyJson(response, 200, body);
    });
    server->routes().Get("/v1/holds", [](const auto &, auto &response) {
        replyJson(response, 200, {{"holds", nlohmann::json::array()}});
    });
    if (!capture([&] { return server->start(); }))
        throw std::runtime_error("cannot listen on " + text);
    return server;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-service", "Stand-in of a plain service");
    addCommonFlags(options);
    options.add_options()("id", "endpoint id",
                          cxxopts::value<std::string>()->default_value("service-1"))(
            "operations", "known operations, separated by commas; none means all",
            cxxopts::value<std::vector<std::string>>())(
            "status-only", "further endpoint ID=ADDRESS that only reports its status; repeatable",
            cxxopts::value<std::vector<std::string>>())(
            "models", "models that these endpoints report, separated by commas",
            cxxopts::value<std::vector<std::string>>());
    const auto flags = parseFlags(options, argc, argv);
    blockSignals();
    FaultGate gate;
    ServiceState state;
    state.id = flags["id"].as<std::string>();
    state.incarnation = fmt::format("{}-{}", state.id, sinceEpoch(wallNow()).count());
    if (flags.count("operations") > 0)
        state.operations = flags["operations"].as<std::vector<std::string>>();
    HttpServer server(serverOptions(flags));
    installFaults(
            server, gate, [&](const nlohmann::json &f) { applyFaults(state, f); }, flags);
    server.routes().Post("/v1/call/([^/]+)", gate.guard([&](const auto &request, auto &response) {
        execute(state, request, response);
    }));
    server.routes().Get("/v1/status", gate.guard([&](const auto &, auto &response) {
        const std::lock_guard lock(state.mutex);
        replyJson(response, 200, status(state));
    }));
    server.routes().Get("/admin/executions", [&](const auto &, auto &response) {
        const std::lock_guard lock(state.mutex);
        replyJson(response, 200, {{"executions", state.executions}});
    });
    std::vector<std::string> models;
    if (flags.count("models") > 0)
        models = flags["models"].as<std::vector<std::string>>();
    std::vector<std::unique_ptr<HttpServer>> statusOnly;
    for (std::size_t i = 0; i < flags.count("status-only"); ++i)
        statusOnly.push_back(
                startStatusOnly(flags["status-only"].as<std::vector<std::string>>()[i], models));
    return serveUntilSignal(server, gate, "standin-service");
}
