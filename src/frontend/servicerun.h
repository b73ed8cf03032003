#pragma once

// Internal: runs one call of a plain service, on a thread of the upstream pool.
//
//   ServiceAnswer answer = runServiceCall(context, *request, work);

#include "frontend/requesttable.h"
#include "frontend/runcontext.h"

#include <optional>
#include <string>

namespace cicadafork {

struct ServiceWork
{
    std::string operation;
    std::string body;
    std::string idempotencyKey;
    bool nonRepeatable = false;
    std::string requestSha256; ///< Over service, operation and canonical body.
    double workspaceShare = 1;
    double workspaceRateLimit = 0;
    std::string traceparent;
};

struct ServiceAnswer
{
    std::optional<Problem> problem;
    int status = 0;
    std::string contentType;
    std::string body;
    bool replayed = false;
    bool bodyNotStored = false; ///< The stored outcome was longer than kMaxStoredBodyBytes.
};

/// A stored outcome with this status: the operation was sent and no whole answer arrived.
inline constexpr int kStatusUnknown = 0;

ServiceAnswer runServiceCall(RunContext &context, ActiveRequest &request, const ServiceWork &work);

} // namespace cicadafork
