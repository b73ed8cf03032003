#pragma once

// A pool that starts threads on demand and ends idle ones.
//
//   ThreadPool pool(1100);
//   pool.post([] { ... });
//   pool.join(); // runs what is queued, then waits for all threads
//
// asio::thread_pool and the pool of cpp-httplib start all threads at once. A daemon that allows
// 1,100 streams would hold 2,300 threads while idle: 64 daemons on one machine reach its limit of
// 32,768 threads.

#include "base/clock.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace cicadafork {

/// Thread-safe.
class ThreadPool
{
public:
    explicit ThreadPool(std::size_t maxThreads, Millis idleTimeout = Millis(10'000));
    ~ThreadPool();
    ThreadPool(const ThreadPool &) = delete;
    ThreadPool &operator=(const ThreadPool &) = delete;

    /// Runs the task on an idle or a new thread; when all are busy it waits for one.
    void post(std::function<void()> task);

    /// Runs what is queued and ends all threads. Nothing may be posted afterwards. Idempotent.
    void join();

    std::size_t threads() const;

private:
    using Threads = std::list<std::thread>;

    void startThread();
    void run(Threads::iterator self);

    const std::size_t maxThreads_;
    const Millis idleTimeout_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> tasks_;
    Threads running_;
    Threads ended_; ///< Threads that only have to be joined.
    std::size_t idle_ = 0;
    bool joining_ = false;
};

} // namespace cicadafork
