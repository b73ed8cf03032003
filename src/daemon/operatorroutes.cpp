#include "daemon/operatorroutes.h"

#include "base/hash.h"
#include "base/json.h"
#include "frontend/callerrequest.h"
#include "frontend/problem.h"

#include <algorithm>

namespace cicadafork {

namespace {

constexpr std::size_t kMaxOperatorNameBytes = 64;
constexpr Millis kMaxStatementTimeout{30'000};
constexpr std::string_view kBearer = "Bearer ";

void writeJson(httplib::Response &response, const nlohmann::json &json)
{
    // Values that came from strangers may hold bytes that are not UTF-8.
    response.set_content(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                         "application/json");
}

/// The name goes into the log as JSON, which holds UTF-8 only, and onto operators' terminals.
bool isOperatorName(const std::string &name)
{
    return name.size() <= kMaxOperatorNameBytes && std::ranges::all_of(name, [](char character) {
               return character > ' ' && character <= '~';
           });
}

} // namespace

OperatorRoutes::OperatorRoutes(const Settings &settings, OperatorService &service, Metrics &metrics,
                               OperatorRouteHooks hooks)
    : settings_(settings)
    , service_(service)
    , metrics_(metrics)
    , hooks_(std::move(hooks))
{
}

void OperatorRoutes::registerRoutes(httplib::Server &server)
{
    server.Post("/v1/operator",
                [this](const auto &request, auto &response) { runStatement(request, response); });
    server.Get("/debug/dump", [this](const auto &request, auto &response) {
        if (authorized(request, response))
            writeJson(response, hooks_.dump());
    });
    server.Get("/metrics", [this](const auto &, auto &response) {
        hooks_.updateGauges();
        response.set_content(metrics_.serialize(), "text/plain; version=0.0.4");
    });
    server.Get("/healthz",
               [](const auto &, auto &response) { response.set_content("ok\n", "text/plain"); });
    server.Get("/readyz", [this](const auto &, auto &response) {
        const auto reason = hooks_.notReadyReason();
        response.status = reason ? 503 : 200;
        response.set_content(reason ? *reason + "\n" : "ready\n", "text/plain");
    });
}

bool OperatorRoutes::authorized(const httplib::Request &request, httplib::Response &response) const
{
    const std::string header = request.get_header_value("Authorization");
    const bool bearer = header.starts_with(kBearer);
    const std::string hash = sha256Hex(bearer ? header.substr(kBearer.size()) : std::string());
    if (bearer && constantTimeEqual(hash, settings_.operatorCredentialSha256))
        return true;
    writeProblem(response,
                 invalidInput("operator-credential",
                              "the operator's credential is missing or wrong",
                              "set CICADAFORK_CREDENTIAL, or send Authorization: Bearer with the "
                              "operator's credential",
                              401),
                 requestIdOf(request));
    return false;
}

void OperatorRoutes::runStatement(const httplib::Request &request, httplib::Response &response)
{
    if (!authorized(request, response))
        return;
    const auto body = parseJson(request.body);
    const bool valid
            = body.is_object() && body.contains("statement") && body["statement"].is_string();
    if (!valid) {
        writeProblem(response,
                     invalidInput("invalid-statement", "the body is not a statement",
                                  "send {\"statement\": \"show requests\"}"),
                     requestIdOf(request));
        return;
    }
    OperatorRequest statement;
    statement.text = body["statement"].get<std::string>();
    statement.operatorName = request.get_header_value("X-Operator-Name");
    if (!isOperatorName(statement.operatorName)) {
        writeProblem(response,
                     invalidInput("invalid-header", "X-Operator-Name is not a name",
                                  "send up to 64 printable ASCII characters without spaces"),
                     requestIdOf(request));
        return;
    }
    if (statement.operatorName.empty())
        statement.operatorName = "unnamed";
    const auto dryRun = body.find("dry_run");
    statement.dryRun = dryRun != body.end() && dryRun->is_boolean() && dryRun->get<bool>();
    const auto timeout = body.find("timeout_ms");
    if (timeout != body.end() && timeout->is_number_unsigned())
        statement.timeout = std::min(kMaxStatementTimeout, Millis(timeout->get<std::uint32_t>()));
    writeJson(response, toJson(service_.run(statement)));
}

} // namespace cicadafork
