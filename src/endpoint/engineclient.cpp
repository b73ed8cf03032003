#include "endpoint/engineclient.h"

#include "base/json.h"
#include "endpoint/enginestream.h"

#include <fmt/format.h>

#include <algorithm>

namespace cicadafork {

namespace {

constexpr Millis kConnectTimeout{500};
constexpr Millis kWriteTimeout{5000};
// An event holds one token; a larger one is a fault of the engine.
constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::size_t kMaxErrorBodyBytes = 64 * 1024;

/// Time until the deadline, at least 1 ms.
Millis remaining(TimePoint deadline)
{
    return std::max(Millis(1), std::chrono::duration_cast<Millis>(deadline - steadyNow()));
}

HttpTimeouts timeoutsUntil(TimePoint deadline)
{
    const Millis left = remaining(deadline);
    return {std::min(kConnectTimeout, left), left + kDeadlineGrace, std::min(kWriteTimeout, left)};
}

nlohmann::json priorJson(const std::vector<PriorHold> &prior)
{
    nlohmann::json list = nlohmann::json::array();
    for (const PriorHold &hold : prior)
        list.push_back({{"address", toString(hold.address)}, {"hold_id", hold.holdId}});
    return list;
}

std::string completionBody(const EngineRequest &request)
{
    nlohmann::json body = {{"request_id", request.requestId},
                           {"attempt", request.attempt},
                           {"model", request.model},
                           {"prompt", request.prompt},
                           {"max_tokens", request.maxTokens},
                           {"priority", static_cast<int>(request.priority)},
                           {"deadline_ms", remaining(request.deadline).count()},
                           {"holder", request.holder},
                           {"incarnation", request.incarnation},
                           {"prior", priorJson(request.prior)}};
    if (!request.prefixDigest.is_null())
        body["prefix_digest"] = request.prefixDigest;
    if (!request.holdId.empty())
        body["hold_id"] = request.holdId;
    return body.dump();
}

/// Collects what one streamed call shows and derives its result.
class StreamCall
{
public:
    StreamCall(const Address &address, EngineStreamCheck check, const EngineHandlers &handlers,
               const std::function<void()> &onMismatch)
        : address_(address)
        , check_(std::move(check))
        , handlers_(handlers)
        , onMismatch_(onMismatch)
    {
    }

    AttemptResult run(TimePoint deadline, AttemptStop &stop, StoppableRequest request)
    {
        request.beforeSend = handlers_.beforeSend;
        request.onStatus = [this](int status, const HeaderList &headers) {
            return onStatus(status, headers);
        };
        request.onBytes = [this](std::string_view bytes) { return onBytes(bytes); };
        const CallEnd end = runStoppable(address_, timeoutsUntil(deadline), stop, request);
        result_.nextSeq = check_.nextSeq();
        finish(end, stop.stopped());
        return std::move(result_);
    }

private:
    bool onStatus(int status, const HeaderList &headers)
    {
        result_.httpStatus = status;
        if (const std::string *delay = headers.find("Retry-After"))
            result_.retryAfter = Millis(1000 * std::clamp(std::atoi(delay->c_str()), 0, 3600));
        if (status == 200) {
            result_.accepted = true;
            if (handlers_.accepted)
                handlers_.accepted();
        }
        return true;
    }

    bool onBytes(std::string_view bytes)
    {
        if (!result_.accepted) {
            errorBody_ += bytes;
            return errorBody_.size() <= kMaxErrorBodyBytes;
        }
        const bool wellFormed = parser_.feed(bytes, [this](const SseEvent &event) {
            const auto decoded = check_.accept(event);
            if (!decoded) {
                result_.mismatch = true;
                return false;
            }
            consumerEnded_ = handlers_.event && !handlers_.event(*decoded);
            return !consumerEnded_ && !check_.whole();
        });
        if (!wellFormed && !consumerEnded_ && !check_.whole())
            result_.mismatch = true;
        return wellFormed;
    }

    void set(AttemptStatus status, ErrorCode code, std::string message, std::string remedy)
    {
        result_.status = status;
        result_.error = {code, fmt::format("engine {}: {}", toString(address_), message),
                         std::move(remedy)};
    }

    void finish(CallEnd end, bool stopped)
    {
        if (check_.whole() && !consumerEnded_) {
            result_.status = AttemptStatus::Completed;
        } else if (end == CallEnd::NotConnected) {
            set(AttemptStatus::Refused, ErrorCode::Unavailable,
                "the connection could not be opened",
                "check that the engine runs and can be reached");
        } else if (end == CallEnd::NotSent) {
            set(AttemptStatus::Refused, ErrorCode::Cancelled, "the request was not sent",
                "send the request again");
        } else if (consumerEnded_ || stopped) {
            set(AttemptStatus::Cancelled, ErrorCode::Cancelled, "the attempt was cancelled",
                "send the request again");
        } else if (result_.mismatch) {
            if (onMismatch_)
                onMismatch_();
            set(AttemptStatus::Failed, ErrorCode::Internal,
                check_.fault().empty() ? "an event above the size limit" : check_.fault(),
                "check the engine; it sends events of the wrong stream");
        } else if (result_.httpStatus != 0 && !result_.accepted) {
            finishRefusal();
        } else {
            set(AttemptStatus::Failed,
                end == CallEnd::TimedOut ? ErrorCode::DeadlineExceeded : ErrorCode::Unavailable,
                "the connection ended before the whole answer arrived",
                "send the request again with the same X-Request-Id");
        }
    }

    void finishRefusal()
    {
        const auto body = parseJson(errorBody_);
        const bool notExecuted = body.is_object() && body.contains("executed")
                                 && body["executed"].is_boolean() && !body["executed"].get<bool>();
        const bool overloaded = result_.httpStatus == 429 || result_.httpStatus == 503;
        set(notExecuted ? AttemptStatus::Refused : AttemptStatus::Failed,
            overloaded ? ErrorCode::ResourceExhausted : ErrorCode::Internal,
            fmt::format("status {}", result_.httpStatus),
            overloaded ? "send the request again later" : "check the engine's log");
    }

    const Address &address_;
    EngineStreamCheck check_;
    const EngineHandlers &handlers_;
    const std::function<void()> &onMismatch_;
    SseParser parser_{kMaxEventBytes};
    AttemptResult result_;
    std::string errorBody_;
    bool consumerEnded_ = false;
};

} // namespace

EngineClient::EngineClient(Address address, std::function<void()> onMismatch)
    : address_(std::move(address))
    , onMismatch_(std::move(onMismatch))
{
}

AttemptResult EngineClient::complete(const EngineRequest &request, AttemptStop &stop,
                                     const EngineHandlers &handlers) const
{
    StoppableRequest call;
    call.path = "/v1/completions";
    call.body = completionBody(request);
    if (!request.traceparent.empty())
        call.headers.add("traceparent", request.traceparent);
    StreamCall stream(address_, EngineStreamCheck(request.requestId, request.attempt, 0), handlers,
                      onMismatch_);
    return stream.run(request.deadline, stop, std::move(call));
}

AttemptResult EngineClient::resume(const std::string &requestId,
                                   std::optional<std::uint32_t> attempt, std::uint64_t from,
                                   TimePoint deadline, AttemptStop &stop,
                                   const EngineHandlers &handlers) const
{
    StoppableRequest call;
    call.method = "GET";
    call.path = fmt::format("/v1/streams/{}?from={}", requestId, from);
    StreamCall stream(address_, EngineStreamCheck(requestId, attempt, from), handlers, onMismatch_);
    AttemptResult result = stream.run(deadline, stop, std::move(call));
    if (result.httpStatus == 404) {
        result.status = AttemptStatus::Refused;
        result.error = {ErrorCode::NotFound, "the stream is not at the engine any more",
                        "send the request again without Last-Event-ID"};
    }
    return result;
}

} // namespace cicadafork
