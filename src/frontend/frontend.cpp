#include "frontend/frontend.h"

#include "base/hash.h"
#include "base/json.h"
#include "frontend/modelrun.h"
#include "frontend/servicerun.h"
#include "frontend/serving.h"

#include <fmt/format.h>

#include <algorithm>
#include <future>

namespace cicadafork {

namespace {

// An attempt that is stopped can outlast its caller for a short time.
constexpr std::size_t kSpareUpstreamThreads = 16;
constexpr Millis kRetryAfter{1000};
// An endpoint that has been silent for the life of a permission receives nothing new. Work that is
// there gets the same time again, because a report can be late on its way through other daemons.
constexpr int kSilentPermissions = 2;

Problem internalProblem(const char *what, Execution execution)
{
    return {500,
            "internal",
            fmt::format("the request failed: {}", what),
            "report this with the request id",
            execution,
            Millis(0)};
}

Problem notAccepting(const char *type, const char *detail)
{
    return {503,
            type,
            detail,
            "send the request again; another entry VM can take it",
            Execution::NotRun,
            kRetryAfter};
}

/// Answers that the library gives itself, for example to an oversized body.
void describeLibraryError(const httplib::Request &request, httplib::Response &response)
{
    if (!response.body.empty())
        return;
    Problem problem = invalidInput("invalid-request", "the request is not valid HTTP",
                                   "check the request line and the headers", response.status);
    if (response.status == 413) {
        problem.type = "body-too-large";
        problem.detail = "the body is larger than limits.max_body_bytes";
        problem.remedy = "send a shorter prompt";
    } else if (response.status == 404) {
        problem.type = "no-such-path";
        problem.detail = "there is nothing at this path for this method";
        problem.remedy = "check the path and the method";
    }
    problem.execution = executionForKey(problem.execution, earlierAttemptPossible(request));
    writeProblem(response, problem, requestIdOf(request));
}

nlohmann::json viewJson(const RequestView &view)
{
    return {{"id", view.requestId},
            {"service", view.service},
            {"model", view.model},
            {"state", toString(view.state)},
            {"waits_for", view.waitsFor},
            {"in_state_ms", view.inState.count()},
            {"age_ms", view.age.count()},
            {"since_progress_ms", view.sinceProgress.count()},
            {"until_deadline_ms", view.untilDeadline.count()},
            {"attempt", view.attempt},
            {"tokens_delivered", view.tokensDelivered}};
}

/// A stopped service of the workspace, or 404: a workspace must not learn which services exist
/// beside its own.
Problem noServiceForModel(const CallerContext &caller, const std::string &model)
{
    for (const std::string &id : caller.workspace->services) {
        const auto found = caller.configuration->services.find(id);
        if (found != caller.configuration->services.end() && found->second.models.contains(model))
            return serviceProblem(id, found->second.state, Execution::NotRun);
    }
    return invalidInput("unknown-model", "this workspace may call no service with such a model",
                        "choose a model of GET /v1/models, or ask an operator to add its service "
                        "to this workspace",
                        404);
}

} // namespace

Frontend::Frontend(const Settings &settings, const ConfigStore &configuration, Fleet &fleet,
                   Admission &admission, Claims &claims, Metrics &metrics, std::string incarnation,
                   FrontendHooks hooks)
    : settings_(settings)
    , configuration_(configuration)
    , hooks_(std::move(hooks))
    , counters_(metrics)
    , holds_(settings.timing.holdLifetime)
    , context_{settings, fleet,     admission, claims,
               hooks_,   counters_, holds_,    std::move(incarnation)}
    , table_(settings.limits.maxRequests)
    , upstream_(settings.limits.maxStreams + kSpareUpstreamThreads)
{
}

Frontend::~Frontend()
{
    for (const auto &request : table_.all())
        request->cancel();
    upstream_.join();
}

void Frontend::endStopped(const Configuration &configuration)
{
    const bool anyStopped = std::ranges::any_of(configuration.services, [](const auto &entry) {
        return entry.second.state == ServiceState::Stopped;
    });
    if (!anyStopped)
        return;
    for (const auto &request : table_.all()) {
        const auto service = configuration.services.find(request->facts().service);
        if (service != configuration.services.end()
            && service->second.state == ServiceState::Stopped)
            request->endWaiting();
    }
}

void Frontend::registerRoutes(httplib::Server &server)
{
    server.Post("/v1/completions", [this](const auto &request, auto &response) {
        complete(request, response, CompletionForm::Text);
    });
    server.Post("/v1/chat/completions", [this](const auto &request, auto &response) {
        complete(request, response, CompletionForm::Chat);
    });
    server.Post(R"(/v1/services/([A-Za-z0-9._-]+)/([A-Za-z0-9._-]+))",
                [this](const auto &request, auto &response) { callService(request, response); });
    server.Get("/v1/models",
               [this](const auto &request, auto &response) { listModels(request, response); });
    server.Get(R"(/v1/requests/([A-Za-z0-9._-]+))",
               [this](const auto &request, auto &response) { showRequest(request, response); });
    server.set_error_handler(httplib::Server::Handler(describeLibraryError));
    server.set_exception_handler([](const auto &request, auto &response, std::exception_ptr) {
        writeProblem(response, internalProblem("an exception", Execution::MayHaveRun),
                     requestIdOf(request));
    });
}

void Frontend::breakOffSilent(const std::map<std::string, Millis> &reportAges, TimePoint now)
{
    const Millis limit = kSilentPermissions * settings_.timing.sendPermission;
    if (!watches(silence_, limit, now))
        return;
    for (const auto &request : table_.all()) {
        const RequestView view = request->view(now);
        const auto age = reportAges.find(view.endpoint);
        if (view.endpoint.empty()
            || !waitsForSilentEndpoint(view, age == reportAges.end() ? Millis::max() : age->second,
                                       limit))
            continue;
        counters_.silences.Increment();
        request->interrupt();
    }
}

void Frontend::reject(const httplib::Request &request, httplib::Response &response, Problem problem)
{
    problem.execution = executionForKey(problem.execution, earlierAttemptPossible(request));
    counters_.rejected.Increment();
    if (draining_)
        response.set_header("Connection", "close");
    writeProblem(response, problem, requestIdOf(request));
}

Checked<CallerContext> Frontend::admitCaller(const httplib::Request &request) const
{
    if (draining_)
        return notAccepting("shutting-down", "this entry VM is shutting down");
    return readCaller(request, configuration_.current(), settings_.timing);
}

std::shared_ptr<ActiveRequest> Frontend::begin(const CallerContext &caller, const Service &service,
                                               const std::string &model, std::uint64_t promptTokens,
                                               bool nonRepeatable, httplib::Response &response)
{
    auto request = std::make_shared<ActiveRequest>(
            RequestFacts{caller.requestId, caller.workspace->id, service.id, model,
                         caller.priority.value_or(service.priority), promptTokens, caller.started,
                         caller.deadline, caller.earlierAttemptPossible, nonRepeatable});
    Problem problem = notAccepting("too-many-requests", "the request table is full");
    switch (table_.add(request)) {
    case AddOutcome::Added:
        response.set_header("X-Request-Id", caller.requestId);
        // A stop that came after the caller's configuration was read did not see this row.
        endStopped(*configuration_.current());
        return request;
    case AddOutcome::AlreadyRunning:
        problem = {409,
                   "request-in-progress",
                   "a request with this X-Request-Id is in progress here",
                   "wait for its end, or send a new X-Request-Id",
                   Execution::MayHaveRun,
                   kRetryAfter};
        break;
    case AddOutcome::Full:
        break;
    }
    problem.execution = executionForKey(problem.execution, caller.earlierAttemptPossible);
    counters_.rejected.Increment();
    writeProblem(response, problem, caller.requestId);
    return nullptr;
}

void Frontend::startModelRun(const std::shared_ptr<ActiveRequest> &request,
                             const CallerContext &caller, CompletionBody body)
{
    ModelWork work{std::move(body.model),
                   std::move(body.prompt),
                   body.maxTokens,
                   caller.workspace->share,
                   caller.workspace->requestsPerSecond,
                   caller.traceparent};
    upstream_.post([this, request, work = std::move(work), from = caller.lastEventId] {
        try {
            if (!from)
                return ModelRun(context_, *request, work).run();
            const auto location
                    = hooks_.findStream ? hooks_.findStream(request->key()) : std::nullopt;
            if (location)
                return runResume(context_, *request, *location, *from + 1);
            request->buffer().end(
                    {Problem{404, "stream-not-found", "no engine has the stream of this request",
                             "send the request again without Last-Event-ID", Execution::MayHaveRun,
                             Millis(0)},
                     0, 0});
        } catch (const std::exception &exception) {
            request->buffer().end({internalProblem(exception.what(), request->execution()), 0, 0});
        }
    });
}

void Frontend::complete(const httplib::Request &request, httplib::Response &response,
                        CompletionForm form)
{
    auto checked = admitCaller(request);
    if (const auto *problem = std::get_if<Problem>(&checked))
        return reject(request, response, *problem);
    const CallerContext &caller = std::get<CallerContext>(checked);
    auto parsed = readCompletion(request.body, form);
    if (const auto *problem = std::get_if<Problem>(&parsed))
        return reject(request, response, *problem);
    CompletionBody &body = std::get<CompletionBody>(parsed);
    const Service *service
            = findServiceForModel(*caller.configuration, *caller.workspace, body.model);
    if (!service)
        return reject(request, response, noServiceForModel(caller, body.model));
    if (service->state != ServiceState::Active)
        return reject(request, response,
                      serviceProblem(service->id, service->state, Execution::NotRun));
    if (caller.lastEventId && !body.stream) {
        return reject(request, response,
                      invalidInput("invalid-header", "Last-Event-ID needs a streamed answer",
                                   "send \"stream\": true"));
    }
    const auto active
            = begin(caller, *service, body.model, countTokens(body.prompt.size()), false, response);
    if (!active)
        return;
    const auto served = std::make_shared<ServedRequest>(table_, active);
    const AnswerForm answerForm{caller.requestId, body.model, form, body.maxTokens};
    const bool stream = body.stream;
    startModelRun(active, caller, std::move(body));
    serveAnswer(response, served, answerForm, {stream, hooks_.longestSilence}, counters_);
}

void Frontend::callService(const httplib::Request &request, httplib::Response &response)
{
    auto checked = admitCaller(request);
    if (const auto *problem = std::get_if<Problem>(&checked))
        return reject(request, response, *problem);
    const CallerContext &caller = std::get<CallerContext>(checked);
    const auto found = caller.configuration->services.find(request.matches[1]);
    if (found == caller.configuration->services.end() || found->second.kind != ServiceKind::Plain
        || caller.workspace->services.count(found->first) == 0) {
        return reject(request, response,
                      invalidInput("unknown-service",
                                   "this workspace may call no such plain service",
                                   "check the name, or ask an operator to add the service to this "
                                   "workspace",
                                   404));
    }
    const Service &service = found->second;
    if (service.state != ServiceState::Active)
        return reject(request, response,
                      serviceProblem(service.id, service.state, Execution::NotRun));
    const auto body = parseJson(request.body);
    if (!body.is_object()) {
        return reject(request, response,
                      invalidInput("invalid-body", "the body is not a JSON object",
                                   "send a JSON object in UTF-8"));
    }
    ServiceWork work;
    work.operation = request.matches[2];
    work.body = body.dump();
    work.idempotencyKey = caller.idempotencyKey;
    work.nonRepeatable = service.nonRepeatable.count(work.operation) != 0;
    work.workspaceShare = caller.workspace->share;
    work.workspaceRateLimit = caller.workspace->requestsPerSecond;
    work.traceparent = caller.traceparent;
    if (work.nonRepeatable && work.idempotencyKey.empty()) {
        return reject(request, response,
                      invalidInput("key-missing", "the operation runs at most once and needs a key",
                                   "send an Idempotency-Key with a UUIDv7"));
    }
    work.requestSha256
            = sha256Hex(fmt::format("{}\n{}\n{}", service.id, work.operation, work.body));
    const auto active = begin(caller, service, "", countTokens(work.body.size()),
                              work.nonRepeatable, response);
    if (!active)
        return;
    const ServedRequest served(table_, active);

    auto promise = std::make_shared<std::promise<ServiceAnswer>>();
    auto future = promise->get_future();
    upstream_.post([this, active, promise, work = std::move(work)] {
        try {
            promise->set_value(runServiceCall(context_, *active, work));
        } catch (const std::exception &exception) {
            ServiceAnswer failed;
            failed.problem = internalProblem(exception.what(), Execution::MayHaveRun);
            promise->set_value(std::move(failed));
        }
    });
    if (future.wait_until(caller.deadline) != std::future_status::ready)
        return writeProblem(response, deadlineProblem(active->cancel()), caller.requestId);
    const ServiceAnswer answer = future.get();
    if (answer.replayed)
        response.set_header("Idempotent-Replay", "true");
    if (answer.problem)
        return writeProblem(response, *answer.problem, caller.requestId);
    response.status = answer.status;
    if (answer.bodyNotStored)
        response.set_header("X-Body-Not-Stored", "true");
    response.set_content(answer.body, answer.contentType);
}

void Frontend::listModels(const httplib::Request &request, httplib::Response &response)
{
    auto checked = admitCaller(request);
    if (const auto *problem = std::get_if<Problem>(&checked))
        return reject(request, response, *problem);
    const CallerContext &caller = std::get<CallerContext>(checked);
    nlohmann::json models = nlohmann::json::array();
    for (const std::string &id : caller.workspace->services) {
        const auto service = caller.configuration->services.find(id);
        if (service == caller.configuration->services.end()
            || service->second.kind != ServiceKind::Model
            || service->second.state != ServiceState::Active)
            continue;
        for (const std::string &model : service->second.models)
            models.push_back({{"id", model}, {"object", "model"}, {"owned_by", id}});
    }
    response.set_content(nlohmann::json{{"object", "list"}, {"data", models}}.dump(),
                         "application/json");
}

void Frontend::showRequest(const httplib::Request &request, httplib::Response &response)
{
    auto checked = readCaller(request, configuration_.current(), settings_.timing);
    if (const auto *problem = std::get_if<Problem>(&checked))
        return reject(request, response, *problem);
    const CallerContext &caller = std::get<CallerContext>(checked);
    const auto active = table_.find(requestKey(caller.workspace->id, request.matches[1]));
    if (!active) {
        Problem problem = invalidInput("unknown-request", "no such request is in progress here",
                                       "ask the entry VM that received the request", 404);
        problem.execution = Execution::MayHaveRun;
        return reject(request, response, problem);
    }
    response.set_content(viewJson(active->view(steadyNow())).dump(), "application/json");
}

} // namespace cicadafork
