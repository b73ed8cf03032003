#pragma once

// Counters around the log client and the claims.
//
//   CountedLog log(httpLog, metrics);       // used in place of httpLog
//   CountedClaims claims(logClaims, metrics);

#include "base/metrics.h"
#include "claims/claimservice.h"
#include "logservice/logclient.h"

#include <array>

namespace cicadafork {

class CountedLog : public LogClient
{
public:
    CountedLog(LogClient &log, Metrics &metrics);

    Result<Offset> append(const std::string &stream, const nlohmann::json &data,
                          Millis timeout) override;
    Result<LogPage> read(const std::string &stream, Offset from, std::size_t limit, Millis wait,
                         Millis timeout) override;

private:
    LogClient &log_;
    prometheus::Counter &appends_;
    prometheus::Counter &reads_;
    prometheus::Counter &failedAppends_;
    prometheus::Counter &failedReads_;
};

class CountedClaims : public Claims
{
public:
    CountedClaims(Claims &claims, Metrics &metrics);

    ClaimDecision claim(const ClaimRequest &request, TimePoint deadline) override;
    bool beginDispatch(const std::string &attemptId, TimePoint now) override;
    void complete(const std::string &attemptId, const StoredOutcome &outcome) override;
    void withdraw(const std::string &attemptId) override;

private:
    static constexpr std::size_t kKinds
            = static_cast<std::size_t>(ClaimDecisionKind::Unavailable) + 1;

    Claims &claims_;
    std::array<prometheus::Counter *, kKinds> verdicts_{};
    prometheus::Counter &expired_;
};

} // namespace cicadafork
