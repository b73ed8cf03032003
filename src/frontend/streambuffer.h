#pragma once

// Bounded hand-over of one answer from the thread that runs the attempts to the thread that serves
// the caller.
//
//   buffer.accept(); buffer.push({0, "text"}); buffer.end({});       // attempt's thread
//   buffer.waitAccepted(deadline); Taken taken = buffer.take(until); // caller's thread

#include "base/clock.h"
#include "frontend/problem.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cicadafork {

struct StreamPart
{
    std::uint64_t seq = 0;
    std::string text;
};

struct StreamEnd
{
    std::optional<Problem> problem; ///< Nothing: the answer is whole.
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
};

class StreamBuffer
{
public:
    enum class Start { Accepted, Ended, TimedOut };

    struct Taken
    {
        std::vector<StreamPart> parts;
        std::optional<StreamEnd> end; ///< Set when parts are the last ones.
    };

    explicit StreamBuffer(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// An endpoint has accepted the request.
    void accept();
    /// Blocks while the buffer is full; false once the consumer has closed it.
    bool push(StreamPart part);
    /// The first call counts.
    void end(StreamEnd end);

    /// Ended only when the answer ended before acceptance.
    Start waitAccepted(TimePoint deadline);
    /// Waits until a part or the end is there, or until the time; then both fields are empty.
    Taken take(TimePoint until);
    bool full() const;
    /// The consumer is gone: push() returns false from now on.
    void close();

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<StreamPart> parts_;
    std::optional<StreamEnd> end_;
    bool accepted_ = false;
    bool closed_ = false;
};

} // namespace cicadafork
