#pragma once

// Appends outcomes and withdrawals to the log in the background. While the circuit breaker is open,
// it also probes the log, so that no caller's request has to serve as the probe.
//
//   ClaimWriter writer(log, breaker, limits);
//   writer.enqueue(WithdrawnEntry{key, attemptId});
//
// A failed append is retried even if it may have taken effect, because ClaimFold ignores repeated
// entries. An entry that is dropped because the queue is full leaves the key held, and later
// duplicates get MayHaveRun.

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
    std::size_t maxBodyBytes = 8 << 20; ///< Of all queued outcomes; further bodies are dropped.
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
    /// Waits until every queued entry is in the log; false when the deadline passes first.
    bool flush(TimePoint deadline);
    /// Entries dropped because the queue was full.
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
