#pragma once

// Errors to callers as RFC 9457 problem objects.
//
//   writeProblem(response, Problem{.status = 503, .type = "overloaded", ...}, requestId);

#include "admission/admission.h"
#include "base/clock.h"
#include "endpoint/attempt.h"
#include "endpoint/plainserviceclient.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <string>

namespace cicadafork {

struct Problem
{
    int status = 500;
    std::string type; ///< Last part of the type URI, for example "unknown-model".
    std::string detail;
    std::string remedy;
    Execution execution = Execution::NotRun;
    Millis retryAfter{0}; ///< 0: no Retry-After header.
};

Problem invalidInput(std::string type, std::string detail, std::string remedy, int status = 400);

/// The problem of a request that admission refused; execution covers earlier attempts.
Problem problemOf(const Refusal &refusal, Execution execution);

/// The problem of a request whose last attempt did not complete.
Problem problemOf(const AttemptResult &result, Execution execution);

/// The service takes no new requests. Draining and stopped services answer 503, since an operator
/// can start them again.
Problem serviceProblem(const std::string &serviceId, ServiceState state, Execution execution);
Problem deadlineProblem(Execution execution);

nlohmann::json problemJson(const Problem &problem, const std::string &requestId);

/// Sets status, body, Retry-After (whole seconds, rounded up) and X-Request-Id.
void writeProblem(httplib::Response &response, const Problem &problem,
                  const std::string &requestId);

} // namespace cicadafork
