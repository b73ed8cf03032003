#include "frontend/streambuffer.h"

#include <utility>

namespace cicadafork {

void StreamBuffer::accept()
{
    const std::lock_guard lock(mutex_);
    accepted_ = true;
    changed_.notify_all();
}

bool StreamBuffer::push(StreamPart part)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return closed_ || parts_.size() < capacity_; });
    if (closed_)
        return false;
    parts_.push_back(std::move(part));
    changed_.notify_all();
    return true;
}

void StreamBuffer::end(StreamEnd end)
{
    const std::lock_guard lock(mutex_);
    if (!end_)
        end_ = std::move(end);
    changed_.notify_all();
}

StreamBuffer::Start StreamBuffer::waitAccepted(TimePoint deadline)
{
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, deadline, [this] { return accepted_ || end_; });
    if (accepted_)
        return Start::Accepted;
    return end_ ? Start::Ended : Start::TimedOut;
}

StreamBuffer::Taken StreamBuffer::take(TimePoint until)
{
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, until, [this] { return !parts_.empty() || end_; });
    Taken taken;
    std::swap(taken.parts, parts_);
    taken.end = end_;
    changed_.notify_all();
    return taken;
}

bool StreamBuffer::full() const
{
    const std::lock_guard lock(mutex_);
    return parts_.size() >= capacity_;
}

void StreamBuffer::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
    changed_.notify_all();
}

} // namespace cicadafork
