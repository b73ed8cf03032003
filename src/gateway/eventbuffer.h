#pragma once

// Splits the bytes of a stream into server-sent events. The work grows with the number of bytes,
// however they are divided into pieces and events.
//
//   EventBuffer buffer;
//   append(buffer, bytes);
//   for (std::string event = takeEvent(buffer); !event.empty(); event = takeEvent(buffer))
//       relay(event);

#include <cstddef>
#include <string>
#include <string_view>

namespace cicadafork::gateway {

struct EventBuffer
{
    std::string bytes;        ///< Begins with those of the events that were taken.
    std::size_t taken = 0;    ///< Length of the events that were taken.
    std::size_t searched = 0; ///< No event ends at a line end before this position.
};

void append(EventBuffer &buffer, std::string_view bytes);

/// Returns the first complete event, including its blank line, and takes it out of the buffer;
/// returns an empty string when the buffer holds no complete event.
std::string takeEvent(EventBuffer &buffer);

/// The received part of the next event.
std::string_view rest(const EventBuffer &buffer);

} // namespace cicadafork::gateway
