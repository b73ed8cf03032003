#include "base/threadpool.h"

#include <atomic>
#include <condition_variable>
#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace cicadafork;

TEST_GROUP(ThreadPool){};

// Guards against a pool that holds threads for streams that nobody opened.
TEST(ThreadPool, idleThreadsEnd)
{
    ThreadPool pool(100, Millis(20));
    LONGS_EQUAL(0, pool.threads());
    std::atomic<int> done{0};
    for (int i = 0; i < 10; ++i)
        pool.post([&] { ++done; });
    const TimePoint limit = steadyNow() + Millis(10'000);
    while ((done < 10 || pool.threads() > 0) && steadyNow() < limit)
        std::this_thread::sleep_for(Millis(1));
    LONGS_EQUAL(10, done.load());
    LONGS_EQUAL(0, pool.threads());
}

// Guards against blocked tasks that keep others waiting while threads may still be started, and
// against more threads than allowed.
TEST(ThreadPool, blockedTasksGetTheirOwnThreadsUpToTheLimit)
{
    constexpr int kLimit = 8;
    ThreadPool pool(kLimit);
    std::mutex mutex;
    std::condition_variable changed;
    int running = 0;
    int highest = 0;
    bool release = false;
    for (int i = 0; i < 20; ++i) {
        pool.post([&] {
            std::unique_lock lock(mutex);
            highest = std::max(highest, ++running);
            changed.notify_all();
            changed.wait(lock, [&] { return release; });
            --running;
        });
    }
    {
        std::unique_lock lock(mutex);
        CHECK_TRUE(changed.wait_for(lock, Millis(10'000), [&] { return running == kLimit; }));
        release = true;
        changed.notify_all();
    }
    pool.join();
    LONGS_EQUAL(kLimit, highest);
}

TEST(ThreadPool, joinRunsWhatIsQueued)
{
    std::atomic<int> done{0};
    ThreadPool pool(2);
    for (int i = 0; i < 100; ++i)
        pool.post([&] { ++done; });
    pool.join();
    LONGS_EQUAL(100, done.load());
}
