#pragma once

// Waits for a condition that another thread or process makes true.
//
//   CHECK_TRUE(eventually(Millis(2000), [&] { return engine.liveTokens() == 0; }));

#include "base/clock.h"

#include <thread>

namespace cicadafork::test {

/// Calls the predicate every few milliseconds; false when it stays false until the timeout.
template <class Predicate>
bool eventually(Millis timeout, Predicate predicate)
{
    constexpr Millis kPoll{5};
    const TimePoint limit = steadyNow() + timeout;
    for (;;) {
        if (predicate())
            return true;
        if (steadyNow() >= limit)
            return false;
        std::this_thread::sleep_for(kPoll);
    }
}

} // namespace cicadafork::test
