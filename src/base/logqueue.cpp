#include "base/logqueue.h"

#include "base/log.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace cicadafork {

namespace {

constexpr std::size_t kMaxBuffered = 256 * 1024;
// Lines that come within this time share a write.
constexpr Millis kFlushDelay{40};
// A pipe that is ready takes at least so many bytes without blocking.
constexpr std::size_t kSafeWrite = PIPE_BUF;

} // namespace

LogQueue::LogQueue(asio::io_context &context, int descriptor)
    : descriptor_(descriptor)
    , timer_(context)
{
    setLogSink([this](std::string_view line) { add(line); });
}

LogQueue::~LogQueue()
{
    setLogSink(nullptr);
    flush();
}

void LogQueue::add(std::string_view line)
{
    if (buffer_.size() + line.size() > kMaxBuffered) {
        ++dropped_;
        return;
    }
    if (dropped_ > reported_) {
        buffer_ += fmt::format("log_lines_dropped count={}\n", dropped_ - reported_);
        reported_ = dropped_;
    }
    buffer_ += line;
    flushLater();
}

void LogQueue::flushLater()
{
    if (armed_)
        return;
    armed_ = true;
    timer_.expires_after(kFlushDelay);
    timer_.async_wait([this](const asio::error_code &error) {
        armed_ = false;
        if (error)
            return;
        flush();
        if (!buffer_.empty())
            flushLater();
    });
}

void LogQueue::flush()
{
    std::size_t written = 0;
    while (written < buffer_.size()) {
        pollfd ready{descriptor_, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            break;
        const ssize_t count = ::write(descriptor_, buffer_.data() + written,
                                      std::min(kSafeWrite, buffer_.size() - written));
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, written);
}

} // namespace cicadafork
