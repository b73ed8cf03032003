// Routes of the engine stand-in that do not stream: holds, transfers, orders and reports.

#include "base/hash.h"
#include "base/log.h"
#include "http/client.h"
#include "standin-engine/engineserver.h"
#include "standin-engine/prompt.h"

#include <fmt/format.h>

#include <algorithm>

namespace cicadafork::standin {

namespace {

const char *stateName(StreamState state)
{
    switch (state) {
    case StreamState::Waiting:
        return "waiting";
    case StreamState::Prefill:
    case StreamState::Decode:
        return "started";
    case StreamState::Finished:
        return "finished";
    case StreamState::Cancelled:
        return "cancelled";
    case StreamState::Refused:
        return "refused";
    }
    return "unknown";
}

nlohmann::json holdJson(const std::string &id, const Hold &hold)
{
    const auto left = std::chrono::duration_cast<Millis>(hold.expires - steadyNow());
    return {{"hold_id", id},
            {"request_id", hold.requestId},
            {"holder", hold.holder},
            {"incarnation", hold.incarnation},
            {"tokens", hold.tokens},
            {"filled_tokens", hold.filledTokens},
            {"digest", hex64(hold.digest)},
            {"expires_in_ms", left.count()}};
}

// Version and adapter are parts of the name under which a model is served.
std::string modelName(const nlohmann::json &order)
{
    std::string name = order.value("model", "");
    const std::string adapter = order.value("adapter", "");
    const std::string version = order.value("version", "");
    if (!adapter.empty())
        name += ":" + adapter;
    if (!version.empty())
        name += "@" + version;
    return name;
}

std::string weightPath(const nlohmann::json &order)
{
    const std::string version = order.value("version", "");
    return fmt::format("/weights/{}/{}", order.value("model", ""), version.empty() ? "1" : version);
}

void notFound(httplib::Response &response)
{
    replyJson(response, 404, {{"error", "no such hold"}});
}

} // namespace

void EngineServer::createHold(const httplib::Request &request, httplib::Response &response)
{
    const auto body = jsonBody(request, response);
    if (!body)
        return;
    Hold hold;
    hold.requestId = body->value("request_id", "");
    hold.holder = body->value("holder", "");
    hold.incarnation = body->value("incarnation", "");
    hold.tokens = body->value("tokens", std::uint64_t{0});
    hold.expires = steadyNow() + Millis(body->value("ttl_ms", 5000));
    const std::lock_guard lock(mutex_);
    if (faults_.leaving)
        return replyJson(response, 503, {{"executed", false}, {"error", "the engine is leaving"}});
    const bool placed = placeHold(engine_, body->value("hold_id", ""), hold);
    replyJson(response, placed ? 200 : 409, {{"held", placed}});
}

void EngineServer::renewHold(const httplib::Request &request, httplib::Response &response)
{
    const auto body = jsonBody(request, response);
    if (!body)
        return;
    const std::lock_guard lock(mutex_);
    const auto hold = engine_.holds.find(request.matches[1].str());
    if (hold == engine_.holds.end())
        return notFound(response);
    hold->second.expires = steadyNow() + Millis(body->value("ttl_ms", 5000));
    replyJson(response, 200, nlohmann::json::object());
}

void EngineServer::exportHold(const httplib::Request &request, httplib::Response &response)
{
    const auto body = jsonBody(request, response);
    if (!body)
        return;
    const std::string id = body->value("hold_id", "");
    std::unique_lock lock(mutex_);
    const auto hold = engine_.holds.find(id);
    if (hold == engine_.holds.end())
        return notFound(response);
    const std::uint64_t tokens = hold->second.filledTokens;
    const std::string digest = hex64(hold->second.digest);
    lock.unlock();
    std::this_thread::sleep_for(transferTime(options_.parameters, tokens));
    replyJson(response, 200,
              {{"hold_id", id},
               {"filled_tokens", tokens},
               {"digest", digest},
               {"bytes", tokens * options_.parameters.kvBytesPerToken},
               {"bytes_per_second", options_.parameters.kvBytesPerSecond}});
}

void EngineServer::importHold(const httplib::Request &request, httplib::Response &response)
{
    const auto body = jsonBody(request, response);
    if (!body)
        return;
    const std::string id = body->value("hold_id", "");
    const std::uint64_t tokens = body->value("filled_tokens", std::uint64_t{0});
    std::this_thread::sleep_for(transferTime(options_.parameters, tokens));
    const std::lock_guard lock(mutex_);
    const auto hold = engine_.holds.find(id);
    if (hold == engine_.holds.end())
        return notFound(response);
    if (tokens > hold->second.tokens)
        return replyJson(response, 409, {{"error", "the hold is smaller than the import"}});
    hold->second.filledTokens = tokens;
    hold->second.digest = digestField(*body, "digest");
    replyJson(response, 200, {{"filled_tokens", tokens}});
}

// Fencing is per entity (one model, or the role), because orders to different entities carry
// offsets of different commands and may be repeated in any order. An equal number is a repetition.
void EngineServer::order(const httplib::Request &request, httplib::Response &response)
{
    const auto body = jsonBody(request, response);
    if (!body)
        return;
    const std::string kind = body->value("order", "");
    if (kind != "load" && kind != "unload" && kind != "role")
        return replyJson(response, 400, {{"error", "order is load, unload or role"}});
    const std::string entity = kind == "role" ? "role" : "model " + body->value("model", "");
    const std::uint64_t number = body->value("fencing", std::uint64_t{0});
    const std::lock_guard lock(mutex_);
    std::uint64_t &highest = fencing_[entity];
    if (number < highest && !faults_.ignoreFencing)
        return replyJson(response, 409, {{"error", "stale"}, {"highest", highest}});
    highest = std::max(highest, number);
    const std::string name = modelName(*body);
    if (kind == "role") {
        role_ = body->value("role", role_);
    } else if (kind == "unload") {
        models_.erase(name);
    } else if (!models_.contains(name) && loading_.insert(name).second) {
        const std::string path = weightPath(*body);
        loaders_.emplace_back([this, name, path] { loadModel(name, path); });
    }
    replyJson(response, 200, {{"accepted", true}});
}

// A load that fails leaves the model unloaded; the order has to be repeated.
void EngineServer::loadModel(const std::string &name, const std::string &path)
{
    bool loaded = true;
    if (options_.weights) {
        auto client = makeHttpClient(*options_.weights, {Millis(500), Millis(5000), Millis(1000)});
        const auto reply
                = client->Get(path, [this](const char *, std::size_t) { return !gate_.stopped(); });
        loaded = reply && reply->status == 200;
    }
    if (!loaded)
        logEvent(LogLevel::Warning, "model_load_failed", {{"model", name}});
    const std::lock_guard lock(mutex_);
    loading_.erase(name);
    if (loaded)
        models_.insert(name);
}

nlohmann::json EngineServer::loadFigures() const
{
    return {{"running", engine_.running.size()},
            {"waiting", engine_.waiting.size()},
            {"waiting_tokens", waitingTokens(engine_)},
            {"kv_used_tokens", engine_.memory.live + engine_.memory.holds + engine_.memory.pinned},
            {"kv_capacity_tokens", options_.parameters.kvCapacityTokens}};
}

void EngineServer::publishStatus(TimePoint now)
{
    if (!faults_.staleLoad || lastLoad_.is_null())
        lastLoad_ = loadFigures();
    published_ = {{"endpoint_id", options_.id},
                  {"incarnation", incarnation_},
                  {"state", faults_.leaving || faults_.announceLeaving ? "leaving" : "live"},
                  {"role", role_},
                  {"models", models_},
                  {"loading", loading_},
                  {"reported_at_ms", sinceEpoch(wallNow()).count()}};
    published_.update(lastLoad_);
    publishedAt_ = now;
}

nlohmann::json EngineServer::status()
{
    const std::lock_guard lock(mutex_);
    return published_;
}

nlohmann::json EngineServer::holds()
{
    const std::lock_guard lock(mutex_);
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[id, hold] : engine_.holds)
        list.push_back(holdJson(id, hold));
    return {{"holds", list}};
}

nlohmann::json EngineServer::streams()
{
    const std::lock_guard lock(mutex_);
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[key, stream] : engine_.streams) {
        nlohmann::json row = {{"request_id", key.requestId},
                              {"attempt", key.attempt},
                              {"state", stateName(stream.state)},
                              {"orphaned", stream.orphaned.has_value()},
                              {"generated", stream.generated}};
        if (const auto origin = origins_.find(key); origin != origins_.end())
            row.update(origin->second);
        list.push_back(std::move(row));
    }
    return {{"streams", list}};
}

nlohmann::json EngineServer::executions()
{
    const std::lock_guard lock(mutex_);
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[key, execution] : executions_) {
        nlohmann::json row = {{"request_id", key.requestId},
                              {"attempt", key.attempt},
                              {"prompt_digest", hex64(execution.digest)},
                              {"state", stateName(execution.state)},
                              {"started_ms", sinceEpoch(execution.started).count()}};
        if (execution.ended)
            row["ended_ms"] = sinceEpoch(*execution.ended).count();
        list.push_back(std::move(row));
    }
    return {{"executions", list}};
}

nlohmann::json EngineServer::memory()
{
    const std::lock_guard lock(mutex_);
    const MemoryUse &use = engine_.memory;
    return {{"live_tokens", use.live + use.pinned},
            {"hold_tokens", use.holds},
            {"cache_tokens", use.cache - use.pinned},
            {"capacity_tokens", options_.parameters.kvCapacityTokens},
            {"live_streams", engine_.waiting.size() + engine_.running.size()}};
}

nlohmann::json EngineServer::cacheEvents(std::uint64_t since)
{
    const std::lock_guard lock(mutex_);
    const TimePoint visible = steadyNow() - options_.parameters.cacheEventLag;
    nlohmann::json list = nlohmann::json::array();
    std::uint64_t next = since;
    for (const CacheEvent &event : engine_.cacheEvents) {
        if (event.number < since || event.at > visible)
            continue;
        next = event.number + 1;
        if (faults_.gapEvery != 0 && event.number % faults_.gapEvery == 0)
            continue;
        list.push_back({{"number", event.number},
                        {"kind", event.stored ? "stored" : "evicted"},
                        {"block", hex64(event.block)},
                        {"tokens", options_.parameters.blockTokens}});
    }
    return {{"next", next}, {"events", list}};
}

void EngineServer::installRoutes(HttpServer &server)
{
    auto &routes = server.routes();
    using Member = void (EngineServer::*)(const httplib::Request &, httplib::Response &);
    auto guarded = [this](Member member) {
        return gate_.guard([this, member](const auto &request, auto &response) {
            try {
                (this->*member)(request, response);
            } catch (const nlohmann::json::exception &problem) {
                replyJson(response, 400, {{"executed", false}, {"error", problem.what()}});
            }
        });
    };
    using Report = nlohmann::json (EngineServer::*)();
    auto report = [this](Report member) {
        return [this, member](const httplib::Request &, httplib::Response &response) {
            replyJson(response, 200, (this->*member)());
        };
    };
    routes.Post("/v1/completions", guarded(&EngineServer::complete));
    routes.Get("/v1/streams/([^/]+)", guarded(&EngineServer::resume));
    routes.Post("/v1/cancel", guarded(&EngineServer::cancelStreams));
    routes.Post("/v1/holds", guarded(&EngineServer::createHold));
    routes.Post("/v1/holds/([^/]+)/renew", guarded(&EngineServer::renewHold));
    routes.Delete("/v1/holds/([^/]+)", gate_.guard([this](const auto &request, auto &response) {
        const std::lock_guard lock(mutex_);
        if (!releaseHold(engine_, request.matches[1].str()))
            return notFound(response);
        replyJson(response, 200, nlohmann::json::object());
    }));
    routes.Post("/v1/prefill", guarded(&EngineServer::prefill));
    routes.Post("/v1/kv/export", guarded(&EngineServer::exportHold));
    routes.Post("/v1/kv/import", guarded(&EngineServer::importHold));
    routes.Post("/v1/orders", guarded(&EngineServer::order));
    routes.Get("/v1/status", gate_.guard(report(&EngineServer::status)));
    routes.Get("/v1/holds", gate_.guard(report(&EngineServer::holds)));
    routes.Get("/v1/streams", gate_.guard(report(&EngineServer::streams)));
    routes.Get("/v1/cache_events", gate_.guard([this](const auto &request, auto &response) {
        replyJson(response, 200, cacheEvents(numberParameter(request, "since", 0)));
    }));
    routes.Get("/admin/executions", report(&EngineServer::executions));
    routes.Get("/admin/memory", report(&EngineServer::memory));
}

} // namespace cicadafork::standin
