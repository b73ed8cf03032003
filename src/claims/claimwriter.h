#pragma once

// Appends outcomes and withdrawals in the background and probes the log while the circuit breaker
// is open, so that no caller's request serves as the probe.
//
//   ClaimWriter writer(log, breaker, limits);
//   writer.enqueue(WithdrawnEntry{key, attemptId});
//
// An append whose answer was lost is repeated: the fold ignores a repeated entry. An entry that is
// refused because the queue is full makes later duplicates see MayHaveRun.

#include "claims/circuitbreaker.h"
#include "claims/claimrecord.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace cicadafork {

struct ClaimWriterLimits
{
    std::size_t maxQueued = 4096;
    std::size_t maxBodyBytes = 8 << 20; ///< Of all queued outcomes; bodies above it are dropped.
    Millis appendTimeout{1000};
    Millis minBackoff{50};
    Millis maxBackoff{1000};
    Millis probeInterval{250};
};

class ClaimWriter
{
public:
    ClaimWriter(LogClient &log, CircuitBreaker &breaker, ClaimWriterLimits limits);
    ~ClaimWriter();
    ClaimWriter(const ClaimWriter &) = delete;
    ClaimWriter &operator=(const ClaimWriter &) = delete;

    /// False when the queue is full; the entry is dropped and counted.
    bool enqueue(ClaimLogEntry entry);
    /// Waits until every entry is in the log; false when the deadline passed first.
    bool flush(TimePoint deadline);
    std::size_t dropped() const;

private:
    void run();
    std::vector<ClaimLogEntry> takeBatch();
    bool append(const std::vector<ClaimLogEntry> &batch);
    void probe();

    LogClient &log_;
    CircuitBreaker &breaker_;
    ClaimWriterLimits limits_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<ClaimLogEntry> queue_;
    std::size_t bodyBytes_ = 0;
    std::size_t dropped_ = 0;
    bool writing_ = false;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace cicadafork
