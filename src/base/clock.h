#pragma once

// Time types used in every signature that holds a time.
//
//   TimePoint deadline = steadyNow() + Millis(450);
//
// Decisions use the steady clock; the wall clock appears only in records that other machines read.

#include <chrono>

namespace cicadafork {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using WallTime = std::chrono::system_clock::time_point;

inline TimePoint steadyNow()
{
    return SteadyClock::now();
}

inline WallTime wallNow()
{
    return std::chrono::system_clock::now();
}

inline Millis sinceEpoch(WallTime time)
{
    return std::chrono::duration_cast<Millis>(time.time_since_epoch());
}

inline WallTime fromEpoch(Millis time)
{
    return WallTime(time);
}

} // namespace cicadafork
