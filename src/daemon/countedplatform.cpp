#include "daemon/countedplatform.h"

namespace cicadafork {

namespace {

prometheus::Counter &callsOf(Metrics &metrics, const char *operation)
{
    return metrics.counter("cicadafork_log_calls_total", "Calls to the platform's log",
                           {{"operation", operation}});
}

prometheus::Counter &failuresOf(Metrics &metrics, const char *operation)
{
    return metrics.counter("cicadafork_log_failures_total",
                           "Calls to the platform's log that failed or timed out",
                           {{"operation", operation}});
}

/// In the order of ClaimDecisionKind.
constexpr std::array<const char *, 7> kVerdictNames
        = {"won",        "duplicate",   "in_progress", "may_have_run",
           "key_reused", "key_invalid", "unavailable"};

} // namespace

CountedLog::CountedLog(LogClient &log, Metrics &metrics)
    : log_(log)
    , appends_(callsOf(metrics, "append"))
    , reads_(callsOf(metrics, "read"))
    , failedAppends_(failuresOf(metrics, "append"))
    , failedReads_(failuresOf(metrics, "read"))
{
}

Result<Offset> CountedLog::append(const std::string &stream, const nlohmann::json &data,
                                  Millis timeout)
{
    appends_.Increment();
    auto result = log_.append(stream, data, timeout);
    if (!result)
        failedAppends_.Increment();
    return result;
}

Result<LogPage> CountedLog::read(const std::string &stream, Offset from, std::size_t limit,
                                 Millis wait, Millis timeout)
{
    reads_.Increment();
    auto result = log_.read(stream, from, limit, wait, timeout);
    if (!result)
        failedReads_.Increment();
    return result;
}

CountedClaims::CountedClaims(Claims &claims, Metrics &metrics)
    : claims_(claims)
    , expired_(metrics.counter("cicadafork_claims_expired_total",
                               "Claims whose validity ended before the dispatch"))
{
    static_assert(kVerdictNames.size() == kKinds);
    for (std::size_t kind = 0; kind < kKinds; ++kind)
        verdicts_[kind] = &metrics.counter("cicadafork_claims_total", "Claims by verdict",
                                           {{"verdict", kVerdictNames[kind]}});
}

ClaimDecision CountedClaims::claim(const ClaimRequest &request, TimePoint deadline)
{
    ClaimDecision decision = claims_.claim(request, deadline);
    verdicts_.at(static_cast<std::size_t>(decision.kind))->Increment();
    return decision;
}

bool CountedClaims::beginDispatch(const std::string &attemptId, TimePoint now)
{
    const bool valid = claims_.beginDispatch(attemptId, now);
    if (!valid)
        expired_.Increment();
    return valid;
}

void CountedClaims::complete(const std::string &attemptId, const StoredOutcome &outcome)
{
    claims_.complete(attemptId, outcome);
}

void CountedClaims::withdraw(const std::string &attemptId)
{
    claims_.withdraw(attemptId);
}

} // namespace cicadafork
