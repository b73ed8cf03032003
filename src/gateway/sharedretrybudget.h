#pragma once

// Limits second sends of all daemons together without asking each other.
//
//   SharedRetryBudget budget({.share = 0.2, .allowance = 104, .window = Millis(10'000)});
//   budget.noteRequest("maps", now);
//   if (budget.take("maps", daemons, now))
//       sendAgain();
//
// Each daemon uses its own requests' share, and an equal part of the fixed allowance for the number
// of daemons that it knows of. Daemons that join or leave make the sum wrong for moments; the
// margin covers that.

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
    /// Takes one second send; false when there is none left.
    bool take(const std::string &service, std::size_t daemons, TimePoint now);
    /// Gives the newest one back: nothing of it reached an endpoint.
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
