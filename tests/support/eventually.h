#pragma once

// Waits for a condition that another thread or process makes true, or work on an event loop.
//
//   CHECK_TRUE(eventually(Millis(2000), [&] { return engine.liveTokens() == 0; }));
//   CHECK_TRUE(eventually(context, Millis(2000), [&] { return gateway.ready(); }));

#include "base/clock.h"

#include <asio/io_context.hpp>

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

/// The same while this thread runs the loop; calls the predicate after each handler.
template <class Predicate>
bool eventually(asio::io_context &context, Millis timeout, Predicate predicate)
{
    constexpr Millis kTurn{5};
    const TimePoint limit = steadyNow() + timeout;
    context.restart();
    while (!predicate() && steadyNow() < limit)
        context.run_one_for(kTurn);
    return predicate();
}

/// The same for a predicate that takes long: calls it once in each interval. After each handler it
/// would take the time that the handlers need.
template <class Predicate>
bool eventually(asio::io_context &context, Millis timeout, Millis interval, Predicate predicate)
{
    const TimePoint limit = steadyNow() + timeout;
    context.restart();
    while (!predicate() && steadyNow() < limit)
        context.run_for(interval);
    return predicate();
}

} // namespace cicadafork::test
