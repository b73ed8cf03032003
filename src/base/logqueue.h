#pragma once

// Writes log lines to a file descriptor without ever blocking.
//
//   LogQueue queue(context, STDOUT_FILENO);   // logEvent() goes through it from now on
//
// Lines wait in a bounded buffer and are written together after a short time. When the reader of a
// pipe is slow, the buffer fills, and further lines are dropped and counted.

#include "base/clock.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cicadafork {

/// Lines must be logged on the context's thread only.
class LogQueue
{
public:
    LogQueue(asio::io_context &context, int descriptor);
    /// Writes what the descriptor takes at once.
    ~LogQueue();
    LogQueue(const LogQueue &) = delete;
    LogQueue &operator=(const LogQueue &) = delete;

    std::uint64_t dropped() const { return dropped_; }

private:
    void add(std::string_view line);
    void flush();
    void flushLater();

    int descriptor_;
    asio::steady_timer timer_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
    bool armed_ = false;
};

} // namespace cicadafork
