#include "endpoint/plainserviceclient.h"

#include "base/json.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cicadafork {

namespace {

constexpr Millis kConnectTimeout{500};

bool statesNotExecuted(const std::string &body)
{
    const auto parsed = parseJson(body);
    return parsed.is_object() && parsed.contains("executed") && parsed["executed"].is_boolean()
           && !parsed["executed"].get<bool>();
}

HeaderList headersOf(const PlainRequest &request)
{
    HeaderList headers;
    if (request.fencingNumber)
        headers.add("X-Fencing-Number", std::to_string(*request.fencingNumber));
    const std::pair<const char *, const std::string &> fields[]
            = {{"Idempotency-Key", request.idempotencyKey},
               {"X-Request-Id", request.requestId},
               {"traceparent", request.traceparent}};
    for (const auto &[name, value] : fields) {
        if (!value.empty())
            headers.add(name, value);
    }
    return headers;
}

} // namespace

const char *toString(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not_run";
    case Execution::Ran:
        return "ran";
    case Execution::MayHaveRun:
        return "may_have_run";
    }
    return "may_have_run";
}

PlainServiceClient::PlainServiceClient(Address address, std::size_t maxAnswerBytes)
    : address_(std::move(address))
    , maxAnswerBytes_(maxAnswerBytes)
{
}

PlainResult PlainServiceClient::call(const PlainRequest &request, AttemptStop &stop) const
{
    const Millis left = std::max(
            Millis(1), std::chrono::duration_cast<Millis>(request.deadline - steadyNow()));
    PlainResult result;
    StoppableRequest call;
    call.path = "/v1/call/" + request.operation;
    call.headers = headersOf(request);
    call.body = request.body;
    call.beforeSend = [&] {
        result.dispatched = !request.beforeSend || request.beforeSend();
        return result.dispatched;
    };
    call.onStatus = [&](int status, const HeaderList &headers) {
        result.status = status;
        const std::string *type = headers.find("Content-Type");
        result.contentType = type ? *type : "application/json";
        return true;
    };
    call.onBytes = [&](std::string_view bytes) {
        result.body += bytes;
        return result.body.size() <= maxAnswerBytes_;
    };
    const CallEnd end = runStoppable(
            address_, {std::min(kConnectTimeout, left), left + kDeadlineGrace, left}, stop, call);
    const std::string name = fmt::format("service {}", toString(address_));
    if (end == CallEnd::NotConnected || end == CallEnd::NotSent) {
        result.error
                = {ErrorCode::Unavailable,
                   name
                           + (end == CallEnd::NotConnected ? ": the connection could not be opened"
                                                           : ": the request was not sent"),
                   "send the request again"};
    } else if (end != CallEnd::Answered) {
        result.execution = Execution::MayHaveRun;
        result.status = 0;
        result.body.clear();
        result.error
                = {end == CallEnd::TimedOut ? ErrorCode::DeadlineExceeded : ErrorCode::Unavailable,
                   name + ": no whole answer arrived", "check whether the operation ran"};
    } else if (result.status >= 400 && statesNotExecuted(result.body)) {
        result.error = {ErrorCode::Unavailable,
                        fmt::format("{}: refused with status {}", name, result.status),
                        "send the request again later"};
    } else if (result.status >= 500) {
        // Without a statement the service may have failed before, during or after the execution.
        result.execution = Execution::MayHaveRun;
        result.error = {ErrorCode::Unavailable,
                        fmt::format("{}: failed with status {}", name, result.status),
                        "check whether the operation ran"};
    } else {
        result.execution = Execution::Ran;
    }
    return result;
}

} // namespace cicadafork
