#pragma once

// Time types used in every signature that holds a time.
//
//   TimePoint deadline = steadyNow() + Millis(450);
//
// Decisions use the steady clock; the wall clock appears only in records that other machines read.

#include <algorithm>
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

/// A time of another machine can be any number; one that WallTime cannot hold, beyond the year
/// 2262, becomes the latest or earliest time, since its conversion to nanoseconds overflowed.
inline WallTime fromEpoch(Millis time)
{
    const Millis latest = std::chrono::duration_cast<Millis>(WallTime::duration::max());
    const Millis earliest = std::chrono::duration_cast<Millis>(WallTime::duration::min());
    return WallTime(std::clamp(time, earliest, latest));
}

} // namespace cicadafork
