#pragma once

// Detects that this process was paused, and for how long what it shares with its peers may have
// been given to others. Load: a daemon that stands still for 2 to 10 s, for example while its VM is
// frozen, after which all its timers are due at once and its sockets hold what arrived meanwhile.
//
//   PauseWatch watch;
//   watch.note(now);                  // at every turn of a timer, and before each use
//   if (watch.isSettling(now)) ...    // use no share, trial or role of before the pause

#include "base/clock.h"

#include <optional>

namespace cicadafork::gateway {

class PauseWatch
{
public:
    /// Time between two calls of note() while the process runs.
    static constexpr Millis kInterval{100};
    /// Less than the 1.3 s after which peers take a daemon for failed and share what it had. A VM
    /// with 0.12 of a core delays timers by up to a few hundred milliseconds.
    static constexpr Millis kLongestTurn{1000};
    /// In this time after a pause, peers hear a heartbeat and this daemon theirs, and both agree on
    /// owners and readers again.
    static constexpr Millis kSettleTime{600};
    /// What is read this soon after a pause may have waited in a socket since its begin.
    static constexpr Millis kUnreadTime{100};

    /// Returns the length of the pause if one has just ended.
    std::optional<Millis> note(TimePoint now)
    {
        const TimePoint last = last_;
        last_ = now;
        if (last == TimePoint() || now - last <= kLongestTurn)
            return std::nullopt;
        began_ = last;
        ended_ = now;
        return std::chrono::duration_cast<Millis>(now - last);
    }

    bool isSettling(TimePoint now) const
    {
        return ended_ != TimePoint() && now - ended_ < kSettleTime;
    }

    /// The earliest time at which a request may have arrived of which reading began at this time.
    TimePoint earliestArrival(TimePoint readAt) const
    {
        const bool waited
                = ended_ != TimePoint() && readAt >= began_ && readAt - ended_ < kUnreadTime;
        return waited ? began_ : readAt;
    }

private:
    TimePoint last_{};
    TimePoint began_{};
    TimePoint ended_{};
};

} // namespace cicadafork::gateway
