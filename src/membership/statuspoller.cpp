#include "membership/statuspoller.h"

#include "http/client.h"

#include <asio/post.hpp>

namespace cicadafork {

Result<EndpointStatus> parseStatus(const nlohmann::json &body, const std::string &endpointId)
{
    const auto malformed = [] {
        return fail(ErrorCode::Unavailable, "the endpoint's status response is malformed",
                    "check that the address in the VM list belongs to the endpoint");
    };
    EndpointStatus status;
    try {
        const auto state = body.at("state").get<std::string>();
        const bool idMatches = body.value("endpoint_id", endpointId) == endpointId;
        if (!idMatches || (state != "live" && state != "leaving"))
            return malformed();
        status.leaving = state == "leaving";
        status.incarnation = body.value("incarnation", "");
        status.role = body.value("role", "");
        status.models = body.value("models", std::vector<std::string>{});
        status.running = body.value("running", 0U);
        status.waiting = body.value("waiting", 0U);
        status.waitingTokens = body.value("waiting_tokens", std::uint64_t{0});
        status.kvUsedTokens = body.value("kv_used_tokens", std::uint64_t{0});
        status.kvCapacityTokens = body.value("kv_capacity_tokens", std::uint64_t{0});
        status.reportedAtMs = body.value("reported_at_ms", std::int64_t{0});
    } catch (const nlohmann::json::exception &) {
        return malformed();
    }
    return status;
}

void StatusPoller::tick(TimePoint now)
{
    for (PollRequest &request : fleet_.pollsDue(now)) {
        // poll() reads the clock again: a request that waited for a thread must not make the status
        // look older than it is.
        asio::post(pool_, [this, request = std::move(request)] { poll(request); });
    }
}

void StatusPoller::poll(const PollRequest &request)
{
    const TimePoint requestedAt = steadyNow();
    const auto status = capture([&]() -> Result<EndpointStatus> {
        BOOST_LEAF_AUTO(body,
                        getJson(request.address, "/v1/status", options_.timeout, options_.meter));
        return parseStatus(body, request.endpointId);
    });
    if (status)
        fleet_.applyStatus(request.endpointId, *status, requestedAt, steadyNow());
    else
        fleet_.applyStatusFailure(request.endpointId);
}

} // namespace cicadafork
