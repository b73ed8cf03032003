#pragma once

// Circuit breaker of the claims log. It opens after consecutive failures, so that claims are
// refused at once during an outage. Thread-safe.

#include <atomic>

namespace cicadafork {

class CircuitBreaker
{
public:
    void recordSuccess() { failures_ = 0; }
    void recordFailure() { ++failures_; }
    bool isOpen() const { return failures_ >= kFailuresToOpen; }

private:
    /// A single failed call is common when the log is slow; three in a row indicate an outage.
    static constexpr int kFailuresToOpen = 3;

    std::atomic<int> failures_{0};
};

} // namespace cicadafork
