#include "base/threadpool.h"

#include "base/log.h"

#include <system_error>

namespace cicadafork {

ThreadPool::ThreadPool(std::size_t maxThreads, Millis idleTimeout)
    : maxThreads_(maxThreads)
    , idleTimeout_(idleTimeout)
{
}

ThreadPool::~ThreadPool()
{
    join();
}

void ThreadPool::post(std::function<void()> task)
{
    Threads ended;
    {
        const std::lock_guard lock(mutex_);
        tasks_.push_back(std::move(task));
        ended.swap(ended_);
        if (tasks_.size() > idle_ && running_.size() < maxThreads_)
            startThread();
    }
    changed_.notify_one();
    for (std::thread &thread : ended)
        thread.join();
}

void ThreadPool::startThread()
{
    const auto self = running_.emplace(running_.end());
    try {
        *self = std::thread([this, self] { run(self); });
    } catch (const std::system_error &error) {
        // The task stays queued for a thread that becomes free.
        running_.erase(self);
        logEvent(LogLevel::Error, "thread_not_started", {{"error", error.what()}});
    }
}

void ThreadPool::run(Threads::iterator self)
{
    std::unique_lock lock(mutex_);
    for (;;) {
        ++idle_;
        const bool woken = changed_.wait_for(lock, idleTimeout_,
                                             [this] { return !tasks_.empty() || joining_; });
        --idle_;
        if (!woken || tasks_.empty())
            break;
        const std::function<void()> task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
    ended_.splice(ended_.end(), running_, self);
    changed_.notify_all();
}

void ThreadPool::join()
{
    std::unique_lock lock(mutex_);
    joining_ = true;
    changed_.notify_all();
    changed_.wait(lock, [this] { return running_.empty(); });
    Threads ended;
    ended.swap(ended_);
    lock.unlock();
    for (std::thread &thread : ended)
        thread.join();
}

std::size_t ThreadPool::threads() const
{
    const std::lock_guard lock(mutex_);
    return running_.size();
}

} // namespace cicadafork
