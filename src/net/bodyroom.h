#pragma once

// Room for the large bodies of requests that a process holds, from the head of the request to the
// end of its answer.
//
//   BodyRoom room{.limit = memory / 2};
//   if (hasRoom(room, bytes))
//       request.hold = std::make_shared<const BodyHold>(room, bytes);
//   else
//       refuse(timeUntilRoom(room, bytes));
//
// Answers the load of many callers with large bodies at once, which would take the process over its
// memory. Small bodies need no room, so that they are served beside large ones.

#include "base/clock.h"

#include <cstddef>

namespace cicadafork {

// Bodies up to this size need no room; the number of connections bounds them.
inline constexpr std::size_t kSmallBody = 64 * 1024;

struct BodyRoom
{
    std::size_t limit = 0; ///< In bytes; 0: unlimited.
    std::size_t used = 0;
    /// Bytes that have become free lately, fading with the time constant of freedPerSecond().
    double freedBytes = 0;
    TimePoint freedAt{};
};

bool hasRoom(const BodyRoom &room, std::size_t bytes);

/// Rate at which bytes become free.
double freedPerSecond(const BodyRoom &room, TimePoint now);

/// When room for the bytes can be expected, by the rate at which bytes become free.
Millis timeUntilRoom(const BodyRoom &room, std::size_t bytes, TimePoint now);

/// Holds room while it exists. The room must outlive it.
class BodyHold
{
public:
    BodyHold(BodyRoom &room, std::size_t bytes);
    ~BodyHold();
    BodyHold(const BodyHold &) = delete;
    BodyHold &operator=(const BodyHold &) = delete;

private:
    BodyRoom &room_;
    std::size_t bytes_;
};

} // namespace cicadafork
