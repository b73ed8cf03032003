#pragma once

// Limits the retries of all daemons together, without communication between them.
//
//   SharedRetryBudget budget({.share = 0.2, .allowance = 104, .window = Millis(10'000)});
//   budget.noteRequest("maps", now);
//   if (budget.take("maps", daemons, now))
//       retry();
//
// The limit for each service is a share of its requests in the window plus a fixed allowance. Each
// daemon spends the share of its own requests and an equal part of the allowance, divided by the
// number of daemons that it knows of. While daemons join or leave, the sum over all daemons may be
// off for a moment; a safety margin covers that.

#include "base/clock.h"
#include "gateway/settings.h"

#include <deque>
#include <map>
#include <string>

namespace cicadafork::gateway {

class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(RetryLimits limits);

    void setLimits(RetryLimits limits) { limits_ = limits; }

    void noteRequest(const std::string &service, TimePoint now);
    bool available(const std::string &service, std::size_t daemons, TimePoint now);
    /// Takes one retry from the budget; false when none is left.
    bool take(const std::string &service, std::size_t daemons, TimePoint now);
    /// Returns the newest retry to the budget, because nothing of it reached an endpoint.
    void refund(const std::string &service);

private:
    struct Row
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void discardExpired(Row &row, TimePoint now) const;

    RetryLimits limits_;
    std::map<std::string, Row> rows_;
};

} // namespace cicadafork::gateway
