#pragma once

// Opens after consecutive failures of the log, so that claims are refused at once during an outage.
// Thread-safe.

#include <atomic>

namespace cicadafork {

class CircuitBreaker
{
public:
    void succeeded() { failures_ = 0; }
    void failed() { ++failures_; }
    bool open() const { return failures_ >= kFailuresToOpen; }

private:
    /// One lost answer is common when the log is slow; three in a row are an outage.
    static constexpr int kFailuresToOpen = 3;

    std::atomic<int> failures_{0};
};

} // namespace cicadafork
