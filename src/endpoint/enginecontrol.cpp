// Calls of EngineClient that are not streams.

#include "base/json.h"
#include "endpoint/engineclient.h"
#include "http/client.h"

#include <fmt/format.h>

#include <algorithm>

namespace cicadafork {

namespace {

boost::leaf::error_id unexpected(const Address &address, const std::string &path, int status)
{
    return fail(
            ErrorCode::Unavailable,
            fmt::format("engine {}: {} answered with status {}", toString(address), path, status),
            "check the engine's log");
}

nlohmann::json holdOwner(const std::string &requestId, const std::string &holder,
                         const std::string &incarnation)
{
    return {{"request_id", requestId}, {"holder", holder}, {"incarnation", incarnation}};
}

/// Field of a JSON object, or the default when it is absent or of another type.
template <class Value>
Value fieldOr(const nlohmann::json &object, const char *key, Value fallback)
{
    const auto found = object.find(key);
    if (found == object.end())
        return fallback;
    try {
        return found->get<Value>();
    } catch (const nlohmann::json::exception &) {
        return fallback;
    }
}

} // namespace

Result<void> EngineClient::cancel(const std::string &requestId, std::uint32_t attempt,
                                  Millis timeout) const
{
    const nlohmann::json body = {{"request_id", requestId}, {"attempt", attempt}};
    BOOST_LEAF_AUTO(reply, httpPost(address_, "/v1/cancel", body.dump(), timeout));
    if (reply.status != 200 && reply.status != 404)
        return unexpected(address_, "/v1/cancel", reply.status);
    return {};
}

Result<void> EngineClient::reserveHold(const HoldRequest &request, Millis timeout) const
{
    nlohmann::json body = holdOwner(request.requestId, request.holder, request.incarnation);
    body["hold_id"] = request.holdId;
    body["tokens"] = request.tokens;
    body["ttl_ms"] = request.lifetime.count();
    BOOST_LEAF_AUTO(reply, httpPost(address_, "/v1/holds", body.dump(), timeout));
    if (reply.status == 409) {
        return fail(ErrorCode::ResourceExhausted,
                    fmt::format("engine {}: the memory is not free", toString(address_)),
                    "wait until other requests end");
    }
    if (reply.status != 200)
        return unexpected(address_, "/v1/holds", reply.status);
    return {};
}

Result<void> EngineClient::renewHold(const std::string &holdId, Millis lifetime,
                                     Millis timeout) const
{
    const std::string path = fmt::format("/v1/holds/{}/renew", holdId);
    const nlohmann::json body = {{"ttl_ms", lifetime.count()}};
    BOOST_LEAF_AUTO(reply, httpPost(address_, path, body.dump(), timeout));
    if (reply.status != 200)
        return unexpected(address_, path, reply.status);
    return {};
}

Result<void> EngineClient::releaseHold(const std::string &holdId, Millis timeout) const
{
    const std::string path = "/v1/holds/" + holdId;
    BOOST_LEAF_AUTO(reply, httpDelete(address_, path, timeout));
    if (reply.status != 200 && reply.status != 204 && reply.status != 404)
        return unexpected(address_, path, reply.status);
    return {};
}

Result<std::vector<EngineHold>> EngineClient::listHolds(Millis timeout) const
{
    BOOST_LEAF_AUTO(body, getJson(address_, "/v1/holds", timeout));
    const nlohmann::json &list = body.is_object() && body.contains("holds") ? body["holds"] : body;
    if (!list.is_array())
        return unexpected(address_, "/v1/holds", 200);
    std::vector<EngineHold> holds;
    for (const nlohmann::json &entry : list) {
        if (!entry.is_object())
            continue;
        holds.push_back({fieldOr<std::string>(entry, "hold_id", ""),
                         fieldOr<std::string>(entry, "request_id", ""),
                         fieldOr<std::string>(entry, "holder", ""),
                         fieldOr<std::string>(entry, "incarnation", ""),
                         fieldOr<std::uint64_t>(entry, "tokens", 0)});
    }
    return holds;
}

Result<nlohmann::json> EngineClient::prefill(const PrefillRequest &request, AttemptStop &stop) const
{
    nlohmann::json body = {{"hold_id", request.holdId}, {"segment", request.segment}};
    if (!request.prefixDigest.is_null())
        body["prefix_digest"] = request.prefixDigest;
    body["prior"] = nlohmann::json::array();
    for (const PriorHold &hold : request.prior)
        body["prior"].push_back({{"address", toString(hold.address)}, {"hold_id", hold.holdId}});
    const Millis left = std::max(
            Millis(1), std::chrono::duration_cast<Millis>(request.deadline - steadyNow()));
    std::string answer;
    int status = 0;
    StoppableRequest call;
    call.path = "/v1/prefill";
    call.body = body.dump();
    call.onStatus = [&](int value, const HeaderList &) {
        status = value;
        return true;
    };
    call.onBytes = [&](std::string_view bytes) {
        answer += bytes;
        return answer.size() < 64 * 1024;
    };
    const CallEnd end = runStoppable(
            address_, {std::min(Millis(500), left), left + kDeadlineGrace, left}, stop, call);
    const auto parsed = parseJson(answer);
    if (end == CallEnd::Answered && status == 200 && parsed.is_object()
        && parsed.contains("digest"))
        return parsed["digest"];
    if (stop.stopped())
        return fail(ErrorCode::Cancelled, "the prefill was cancelled", "send the request again");
    return unexpected(address_, call.path, status);
}

Result<EngineStatus> EngineClient::status(Millis timeout) const
{
    BOOST_LEAF_AUTO(body, getJson(address_, "/v1/status", timeout));
    EngineStatus status;
    const std::string state = fieldOr<std::string>(body, "state", "");
    status.endpointId = fieldOr<std::string>(body, "endpoint_id", "");
    if (status.endpointId.empty() || (state != "live" && state != "leaving"))
        return unexpected(address_, "/v1/status", 200);
    status.leaving = state == "leaving";
    status.incarnation = fieldOr<std::string>(body, "incarnation", "");
    status.role = fieldOr<std::string>(body, "role", "");
    status.models = fieldOr<std::vector<std::string>>(body, "models", {});
    status.running = fieldOr<std::uint32_t>(body, "running", 0);
    status.waiting = fieldOr<std::uint32_t>(body, "waiting", 0);
    status.waitingTokens = fieldOr<std::uint64_t>(body, "waiting_tokens", 0);
    status.kvUsedTokens = fieldOr<std::uint64_t>(body, "kv_used_tokens", 0);
    status.kvCapacityTokens = fieldOr<std::uint64_t>(body, "kv_capacity_tokens", 0);
    status.reportedAt = Millis(fieldOr<Millis::rep>(body, "reported_at_ms", 0));
    return status;
}

Result<void> EngineClient::order(const EngineOrder &order, Millis timeout) const
{
    nlohmann::json body = {{"order", order.order}, {"fencing", order.fencing}};
    const std::pair<const char *, const std::string &> fields[] = {{"model", order.model},
                                                                   {"adapter", order.adapter},
                                                                   {"version", order.version},
                                                                   {"role", order.role}};
    for (const auto &[key, value] : fields) {
        if (!value.empty())
            body[key] = value;
    }
    BOOST_LEAF_AUTO(reply, httpPost(address_, "/v1/orders", body.dump(), timeout));
    if (reply.status == 409) {
        return fail(ErrorCode::Conflict,
                    fmt::format("engine {}: the order is stale", toString(address_)),
                    "read the configuration in force and order again");
    }
    if (reply.status != 200)
        return unexpected(address_, "/v1/orders", reply.status);
    return {};
}

Result<nlohmann::json> EngineClient::cacheEvents(std::uint64_t since, Millis timeout) const
{
    return getJson(address_, fmt::format("/v1/cache_events?since={}", since), timeout);
}

} // namespace cicadafork
