#include "gateway/sharedretrybudget.h"

#include <algorithm>

namespace cicadafork::gateway {

namespace {

// Fraction of the limit that is spent. The rest is a margin, because other daemons count the
// requests of the window at other moments, and a restarted daemon has lost count of its retries.
constexpr double kUsableFraction = 0.7;
// Services come from the configuration; this bounds the table if the configuration is wrong.
constexpr std::size_t kMaxServices = 1024;

} // namespace

SharedRetryBudget::SharedRetryBudget(RetryLimits limits)
    : limits_(limits)
{
}

void SharedRetryBudget::discardExpired(Row &row, TimePoint now) const
{
    for (auto *times : {&row.requests, &row.retries}) {
        while (!times->empty() && times->front() + limits_.window <= now)
            times->pop_front();
    }
}

void SharedRetryBudget::noteRequest(const std::string &service, TimePoint now)
{
    if (rows_.size() >= kMaxServices && !rows_.contains(service))
        return;
    Row &row = rows_[service];
    discardExpired(row, now);
    row.requests.push_back(now);
}

bool SharedRetryBudget::available(const std::string &service, std::size_t daemons, TimePoint now)
{
    const auto found = rows_.find(service);
    if (found == rows_.end())
        return false;
    Row &row = found->second;
    discardExpired(row, now);
    const double own = limits_.share * static_cast<double>(row.requests.size());
    const double part = limits_.allowance / static_cast<double>(std::max<std::size_t>(1, daemons));
    return static_cast<double>(row.retries.size()) + 1 <= kUsableFraction * (own + part);
}

bool SharedRetryBudget::take(const std::string &service, std::size_t daemons, TimePoint now)
{
    if (!available(service, daemons, now))
        return false;
    rows_[service].retries.push_back(now);
    return true;
}

void SharedRetryBudget::refund(const std::string &service)
{
    const auto found = rows_.find(service);
    if (found != rows_.end() && !found->second.retries.empty())
        found->second.retries.pop_back();
}

} // namespace cicadafork::gateway
