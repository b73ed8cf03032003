#include "frontend/problem.h"

#include <algorithm>

namespace cicadafork {

namespace {

// An abandoned request tells its caller when to come back, also when the endpoint states no time.
constexpr Millis kRetryAfter{1000};

const char *titleOf(int status)
{
    switch (status) {
    case 400:
        return "Invalid request";
    case 401:
        return "Credential missing or wrong";
    case 404:
        return "Not found";
    case 409:
        return "Request in progress";
    case 413:
        return "Too large";
    case 422:
        return "Request cannot be processed";
    case 429:
        return "Rate limit reached";
    case 502:
        return "Endpoint failed";
    case 503:
        return "Temporarily unavailable";
    case 504:
        return "Timeout reached";
    default:
        return "Internal error";
    }
}

int statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::RateLimited:
        return 429;
    case RefusalReason::PromptTooLarge:
        return 413;
    case RefusalReason::DeadlineExceeded:
        return 504;
    default:
        return 503;
    }
}

const char *typeOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return "queue-full";
    case RefusalReason::DeadlineTooShort:
        return "deadline-too-short";
    case RefusalReason::RateLimited:
        return "rate-limited";
    case RefusalReason::LoadShed:
        return "load-shed";
    case RefusalReason::NoEndpoint:
        return "no-endpoint";
    case RefusalReason::PromptTooLarge:
        return "prompt-too-large";
    case RefusalReason::DeadlineExceeded:
        return "timeout";
    case RefusalReason::Cancelled:
        return "cancelled";
    }
    return "refused";
}

} // namespace

Problem invalidInput(std::string type, std::string detail, std::string remedy, int status)
{
    return {status,   std::move(type), std::move(detail), std::move(remedy), Execution::NotRun,
            Millis(0)};
}

Problem problemOf(const Refusal &refusal, Execution execution)
{
    return {statusOf(refusal.reason),
            typeOf(refusal.reason),
            refusal.error.message,
            refusal.error.remedy,
            execution,
            refusal.retryAfter};
}

Problem problemOf(const AttemptResult &result, Execution execution)
{
    Problem problem{502,
                    "endpoint-failed",
                    result.error.message,
                    result.error.remedy,
                    execution,
                    std::max(result.retryAfter, kRetryAfter)};
    if (result.status == AttemptStatus::Refused) {
        problem.status = result.httpStatus == 429 ? 429 : 503;
        problem.type = "endpoint-refused";
    }
    return problem;
}

Problem deadlineProblem(Execution execution)
{
    return {504,
            "timeout",
            "the timeout of the request was reached",
            "send the request again with a longer X-Request-Timeout-Ms",
            execution,
            kRetryAfter};
}

nlohmann::json problemJson(const Problem &problem, const std::string &requestId)
{
    return {{"type", "urn:cicadafork:problem:" + problem.type},
            {"title", titleOf(problem.status)},
            {"status", problem.status},
            {"detail", problem.detail},
            {"remedy", problem.remedy},
            {"request_id", requestId},
            {"execution", toString(problem.execution)}};
}

void writeProblem(httplib::Response &response, const Problem &problem, const std::string &requestId)
{
    response.status = problem.status;
    if (problem.retryAfter > Millis(0)) {
        const auto seconds = (problem.retryAfter.count() + 999) / 1000;
        response.set_header("Retry-After", std::to_string(seconds));
    }
    if (problem.status == 401)
        response.set_header("WWW-Authenticate", "Bearer");
    if (!requestId.empty() && !response.has_header("X-Request-Id"))
        response.set_header("X-Request-Id", requestId);
    response.set_content(problemJson(problem, requestId).dump(), "application/problem+json");
}

} // namespace cicadafork
