#include "net/bodyroom.h"

#include <algorithm>
#include <cmath>

namespace cicadafork {

namespace {

// Requests with large bodies last some seconds.
constexpr std::chrono::duration<double> kRateMemory{5};
// A caller that comes back sooner finds the same requests in progress.
constexpr Millis kShortestWait{200};
constexpr Millis kLongestWait{5000};

double fading(const BodyRoom &room, TimePoint now)
{
    return std::exp(-std::chrono::duration<double>(now - room.freedAt) / kRateMemory);
}

} // namespace

bool hasRoom(const BodyRoom &room, std::size_t bytes)
{
    return room.limit == 0 || room.used + bytes <= room.limit;
}

double freedPerSecond(const BodyRoom &room, TimePoint now)
{
    return room.freedBytes * fading(room, now) / kRateMemory.count();
}

Millis timeUntilRoom(const BodyRoom &room, std::size_t bytes, TimePoint now)
{
    if (hasRoom(room, bytes))
        return Millis(0);
    const double rate = freedPerSecond(room, now);
    const auto missing = static_cast<double>(room.used + bytes - room.limit);
    const std::chrono::duration<double> longest = kLongestWait;
    const std::chrono::duration<double> wait(rate * longest.count() > missing ? missing / rate
                                                                              : longest.count());
    return std::max(kShortestWait, std::chrono::ceil<Millis>(wait));
}

BodyHold::BodyHold(BodyRoom &room, std::size_t bytes)
    : room_(room)
    , bytes_(bytes)
{
    room_.used += bytes_;
}

BodyHold::~BodyHold()
{
    const TimePoint now = steadyNow();
    room_.used -= bytes_;
    room_.freedBytes = room_.freedBytes * fading(room_, now) + static_cast<double>(bytes_);
    room_.freedAt = now;
}

} // namespace cicadafork
