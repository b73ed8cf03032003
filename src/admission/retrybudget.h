#pragma once

// Limits retries to a share of successes, so that retries cannot keep an overload going.
//
//   RetryBudget budget(0.1, 4096);
//   budget.recordSuccess(workspace, service, now);
//   if (budget.take(workspace, service, now))
//       sleep(retryDelay(attempt, random));
//
// Not thread-safe; the owner locks.

#include "admission/tokenbucket.h"
#include "base/table.h"
#include "routing/fleetview.h"

#include <string>

namespace cicadafork {

/// Retries that a workspace may make at a service without any success before them.
inline constexpr double kInitialRetries = 2;
/// Refill without successes, in retries per second: a service with almost no traffic can still
/// recover from a lost connection.
inline constexpr double kRetryRefillPerSecond = 0.02;
/// Largest stock of unused retries.
inline constexpr double kRetryBurst = 50;

/// Full jitter: uniform between 0 and min(2 s, 50 ms * 2^attempt). Attempts count from 0.
Millis retryDelay(unsigned attempt, Random &random);

class RetryBudget
{
public:
    RetryBudget(double share, std::size_t limit);

    void recordSuccess(const std::string &workspace, const std::string &service, TimePoint now);

    /// Takes one retry; false when the budget is empty or the table is full.
    bool take(const std::string &workspace, const std::string &service, TimePoint now);

    std::size_t size() const { return rows_.size(); }

private:
    TokenBucket *row(const std::string &workspace, const std::string &service, TimePoint now);

    Table<std::string, TokenBucket> rows_;
    double share_;
};

} // namespace cicadafork
