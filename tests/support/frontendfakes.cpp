#include "support/frontendfakes.h"

#include "base/hash.h"
#include "endpoint/sseparser.h"
#include "http/client.h"

#include <algorithm>
#include <cstdlib>

namespace cicadafork::test {

namespace {

constexpr const char *kCredential = "secret";

std::shared_ptr<Configuration> testConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    Workspace workspace;
    workspace.id = "w";
    workspace.credentialSha256 = sha256Hex(kCredential);
    workspace.services = {"writer", "gate"};
    configuration->workspaces["w"] = workspace;
    Workspace other;
    other.id = "other";
    other.credentialSha256 = sha256Hex("other-secret");
    configuration->workspaces["other"] = other;
    Service writer;
    writer.id = "writer";
    writer.models = {"m"};
    configuration->services["writer"] = writer;
    Service gate;
    gate.id = "gate";
    gate.kind = ServiceKind::Plain;
    gate.nonRepeatable = {"open"};
    configuration->services["gate"] = gate;
    return configuration;
}

} // namespace

Result<Verdict> FakeConfigStore::submit(const Command &, TimePoint)
{
    return fail(ErrorCode::Unavailable, "not supported", "none");
}

FleetView FakeFleet::view(const std::string &, TimePoint) const
{
    return {};
}

bool FakeFleet::sendPermitted(const std::string &endpointId, TimePoint) const
{
    const std::lock_guard lock(mutex_);
    return forbidden_.count(endpointId) == 0;
}

void FakeFleet::noteFinished(const std::string &, const AttemptObservation &, TimePoint)
{
    const std::lock_guard lock(mutex_);
    ++finished_;
}

void FakeFleet::forbid(const std::string &endpointId)
{
    const std::lock_guard lock(mutex_);
    forbidden_.insert(endpointId);
}

std::size_t FakeFleet::finishedAttempts() const
{
    const std::lock_guard lock(mutex_);
    return finished_;
}

PlaceResult FakeAdmission::place(const PlacementRequest &request,
                                 const std::function<bool()> &cancelled)
{
    ++placements;
    while (queueForever && !cancelled() && steadyNow() < request.deadline)
        std::this_thread::sleep_for(Millis(5));
    if (cancelled() || steadyNow() >= request.deadline)
        return Refusal{RefusalReason::DeadlineExceeded, {}, Millis(0)};
    Placement placement;
    const auto &excluded = request.route.excluded;
    for (const EndpointView &endpoint : endpoints) {
        if (std::find(excluded.begin(), excluded.end(), endpoint.id) == excluded.end())
            placement.endpoints.push_back(endpoint);
    }
    if (placement.endpoints.empty()) {
        return Refusal{RefusalReason::NoEndpoint,
                       {ErrorCode::Unavailable, "no endpoint", "wait"},
                       Millis(1500)};
    }
    if (group)
        placement.outcome = RouteOutcome::Group;
    else
        placement.endpoints.resize(1);
    return placement;
}

void FakeAdmission::reportFinished(const std::string &, const std::string &, bool ok)
{
    ++(ok ? successes : failures);
}

bool FakeAdmission::takeRetry(const std::string &, const std::string &)
{
    return retryBudget-- > 0;
}

ClaimDecision FakeClaims::claim(const ClaimRequest &request, TimePoint)
{
    std::this_thread::sleep_for(delay);
    const std::lock_guard lock(mutex_);
    ++claims_;
    ClaimDecision decision;
    decision.attemptId = request.key;
    decision.fencingNumber = 42;
    const auto found = rows_.find(request.key);
    if (unavailable) {
        decision.kind = ClaimDecisionKind::Unavailable;
    } else if (found == rows_.end()) {
        rows_[request.key].hash = request.requestSha256;
        decision.kind = ClaimDecisionKind::Won;
    } else if (found->second.hash != request.requestSha256) {
        decision.kind = ClaimDecisionKind::KeyReused;
    } else if (found->second.outcome) {
        decision.kind = ClaimDecisionKind::Duplicate;
        decision.outcome = found->second.outcome;
    } else {
        decision.kind = ClaimDecisionKind::InProgress;
    }
    return decision;
}

bool FakeClaims::beginDispatch(const std::string &, TimePoint)
{
    return !validityEnded;
}

void FakeClaims::complete(const std::string &attemptId, const StoredOutcome &outcome)
{
    const std::lock_guard lock(mutex_);
    rows_[attemptId].outcome = outcome;
}

void FakeClaims::withdraw(const std::string &attemptId)
{
    const std::lock_guard lock(mutex_);
    rows_.erase(attemptId);
    ++withdrawals_;
}

std::size_t FakeClaims::claimCount() const
{
    const std::lock_guard lock(mutex_);
    return claims_;
}

std::size_t FakeClaims::withdrawals() const
{
    const std::lock_guard lock(mutex_);
    return withdrawals_;
}

FrontendFixture::FrontendFixture(std::size_t engines, std::size_t streams)
{
    configuration.configuration = testConfiguration();
    for (std::size_t i = 0; i < engines; ++i) {
        engines_.push_back(std::make_unique<FakeEngine>(streams + 8));
        EndpointView view;
        view.id = "engine-" + std::to_string(i);
        view.address = engines_.back()->address();
        view.kvCapacityTokens = 100;
        admission.endpoints.push_back(view);
    }
    settings_.memberId = "entry-1";
    settings_.callerAddress = {"127.0.0.1", freePort()};
    settings_.limits.maxStreams = streams;
    settings_.limits.maxBodyBytes = 64 * 1024;
    settings_.timing.holdLifetime = Millis(300);
    FrontendHooks hooks;
    hooks.longestSilence = Millis(500);
    hooks.noteStream = [this](const std::string &key, const EndpointView &endpoint) {
        const std::lock_guard lock(locationMutex);
        locations[key] = {endpoint.id, endpoint.address};
    };
    hooks.findStream = [this](const std::string &key) -> std::optional<StreamLocation> {
        const std::lock_guard lock(locationMutex);
        const auto found = locations.find(key);
        return found == locations.end() ? std::nullopt : std::optional(found->second);
    };
    frontend_ = std::make_unique<Frontend>(settings_, configuration, fleet, admission, claims,
                                           metrics, "incarnation-1", hooks);
    server_ = std::make_unique<HttpServer>(
            HttpServerOptions{.address = settings_.callerAddress,
                              .threads = streams,
                              .maxBodyBytes = settings_.limits.maxBodyBytes});
    frontend_->registerRoutes(server_->routes());
    if (!capture([&] { return server_->start(); }))
        std::abort();
}

FrontendFixture::~FrontendFixture()
{
    server_->stop();
    frontend_.reset();
}

std::size_t FrontendFixture::executions() const
{
    std::size_t total = 0;
    for (const auto &engine : engines_)
        total += engine->executions();
    return total;
}

std::unique_ptr<httplib::Client> FrontendFixture::client() const
{
    return makeHttpClient(settings_.callerAddress, {Millis(2000), Millis(10'000), Millis(2000)});
}

httplib::Result FrontendFixture::post(const std::string &path, const std::string &body,
                                      httplib::Headers headers)
{
    if (headers.find("Authorization") == headers.end())
        headers.emplace("Authorization", std::string("Bearer ") + kCredential);
    return client()->Post(path, headers, body, "application/json");
}

httplib::Result FrontendFixture::get(const std::string &path, httplib::Headers headers)
{
    if (headers.find("Authorization") == headers.end())
        headers.emplace("Authorization", std::string("Bearer ") + kCredential);
    return client()->Get(path, headers);
}

bool FrontendFixture::eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 300; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(Millis(10));
    }
    return condition();
}

std::string completionBody(bool stream, std::uint64_t maxTokens)
{
    return nlohmann::json{
            {"model", "m"}, {"prompt", "a prompt"}, {"max_tokens", maxTokens}, {"stream", stream}}
            .dump();
}

ParsedStream parseStream(const std::string &body)
{
    ParsedStream parsed;
    SseParser parser(1 << 20);
    parser.feed(body, [&](const SseEvent &event) {
        if (event.data == "[DONE]") {
            parsed.done = true;
            return true;
        }
        const auto data = nlohmann::json::parse(event.data);
        if (event.type == "error") {
            parsed.error = data;
            return true;
        }
        const auto &choice = data["choices"][0];
        parsed.text += choice.contains("text") ? choice["text"].get<std::string>()
                                               : choice["delta"].value("content", "");
        if (!event.id.empty())
            parsed.ids.push_back(std::stoull(event.id));
        if (data.contains("usage"))
            parsed.usage = data["usage"];
        return true;
    });
    return parsed;
}

} // namespace cicadafork::test
