#pragma once

// Limits retries to a share of the successful requests, so that retries cannot sustain an overload.
//
//   RetryBudget budget(0.1, 4096);
//   budget.recordSuccess(workspace, service, now);
//   if (budget.take(workspace, service, now))
//       sleep(retryDelay(attempt, random));
//
// Not thread-safe; the caller must synchronize access.

#include "admission/tokenbucket.h"
#include "base/table.h"
#include "routing/fleetview.h"

#include <string>

namespace cicadafork {

/// Retries that a workspace may use at a service before its first success there.
inline constexpr double kInitialRetries = 2;
/// Refill rate without successes, so that a service with almost no traffic can recover from a lost
/// connection.
inline constexpr double kRetryRefillPerSecond = 0.02;
/// Maximum number of unused retries.
inline constexpr double kRetryBurst = 50;

/// Backoff with full jitter: uniform between 0 and min(2 s, 50 ms * 2^attempt). The first attempt
/// is 0.
Millis retryDelay(unsigned attempt, Random &random);

class RetryBudget
{
public:
    RetryBudget(double share, std::size_t limit);

    void recordSuccess(const std::string &workspace, const std::string &service, TimePoint now);

    /// Takes one retry. Returns false if the budget is empty or the table is full.
    bool take(const std::string &workspace, const std::string &service, TimePoint now);

    std::size_t size() const { return rows_.size(); }

private:
    TokenBucket *row(const std::string &workspace, const std::string &service, TimePoint now);

    Table<std::string, TokenBucket> rows_;
    double share_;
};

} // namespace cicadafork
