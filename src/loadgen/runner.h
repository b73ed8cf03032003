#pragma once

// Open-loop replay of a trace against daemons. A request is due at its planned time, whatever the
// others do, and its latencies count from that time, so that a slow system cannot hide its delay.
//
//   std::vector<RequestResult> results = runLoad(trace, {.targets = targets, .workers = 512});
//   nlohmann::json run = summarise(trace, results);

#include "http/address.h"
#include "loadgen/trace.h"

#include <optional>

namespace cicadafork {

/// A request that starts later than this after its planned time is reported as a late start.
inline constexpr Millis kLateStart{5};

enum class RequestOutcome {
    Completed,  ///< The whole answer, or a call's status 2xx.
    Refused,    ///< 429, 503 or 504.
    Rejected,   ///< Any other 4xx.
    Truncated,  ///< A part of the answer.
    Duplicated, ///< More than the answer.
    Mixed,      ///< Text that is not of this answer.
    Missing,    ///< No answer: no connection, or a status that none of the above names.
};

struct RequestResult
{
    RequestOutcome outcome = RequestOutcome::Missing;
    int status = 0;
    std::string reason; ///< Title of the problem, or the transport's error.
    Millis started{0};  ///< After the planned time; above 0 when all workers were busy.
    std::optional<double> firstToken; ///< ms after the planned time.
    double finished = 0;              ///< ms after the planned time.
    std::vector<double> gaps;         ///< ms between successive tokens.
};

struct LoadOptions
{
    std::vector<Address> targets; ///< Used in turn; at least one.
    std::size_t workers = 512;    ///< Most requests in progress at once.
    bool progress = false;        ///< One line each second on standard error.
};

std::vector<RequestResult> runLoad(const std::vector<TraceRequest> &trace,
                                   const LoadOptions &options);

/// One element of "runs" in summary.json, with counts by outcome and refusals by reason. Goodput is
/// whole answers within their timeout per second. The slowdown of short requests is the time to
/// first token of the 1k class over idealShortMs, the unloaded time; it is null when that is not
/// known.
nlohmann::json summarise(const std::vector<TraceRequest> &trace,
                         const std::vector<RequestResult> &results,
                         std::optional<double> idealShortMs = std::nullopt);

const char *toString(RequestOutcome outcome);

} // namespace cicadafork
