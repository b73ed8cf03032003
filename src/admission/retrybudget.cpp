#include "admission/retrybudget.h"

namespace cicadafork {

namespace {

constexpr Millis kDelayBase{50};
constexpr Millis kDelayMaximum{2000};
constexpr Millis kRowIdleTimeout{600'000};

} // namespace

Millis retryDelay(unsigned attempt, Random &random)
{
    const Millis bound = std::min(kDelayMaximum, kDelayBase * (1 << std::min(attempt, 16U)));
    return Millis(std::uniform_int_distribution<Millis::rep>(0, bound.count())(random));
}

RetryBudget::RetryBudget(double share, std::size_t limit)
    : rows_(limit)
    , share_(share)
{
}

void RetryBudget::recordSuccess(const std::string &workspace, const std::string &service,
                                TimePoint now)
{
    if (TokenBucket *bucket = row(workspace, service, now))
        bucket->tokens = std::min(bucket->tokens + share_, kRetryBurst);
}

bool RetryBudget::take(const std::string &workspace, const std::string &service, TimePoint now)
{
    TokenBucket *bucket = row(workspace, service, now);
    return bucket != nullptr && takeToken(*bucket);
}

TokenBucket *RetryBudget::row(const std::string &workspace, const std::string &service,
                              TimePoint now)
{
    const std::string key = workspace + '\n' + service;
    TokenBucket *bucket = rows_.find(key);
    if (bucket == nullptr) {
        if (rows_.size() >= rows_.limit())
            rows_.eraseIf([&](const std::string &, const TokenBucket &b) {
                return now - b.refilled > kRowIdleTimeout;
            });
        bucket = rows_.insert(key);
        if (bucket == nullptr)
            return nullptr;
        *bucket = {kInitialRetries, now};
    }
    refill(*bucket, kRetryRefillPerSecond, kRetryBurst, now);
    return bucket;
}

} // namespace cicadafork
