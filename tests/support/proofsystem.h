#pragma once

// A configured system under load for the proofs and for tests that inject faults.
//
//   ProofSystem system(options);
//   CallerPool callers;
//   callers.start(8, [&](Random &random) { ... system.client(0).complete(call) ... }, seed);
//   ...inject faults...
//   callers.stop();

#include "support/systemclient.h"
#include "support/testcluster.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cicadafork::test {

inline constexpr const char *kModelService = "report-writer";
inline constexpr const char *kPlainService = "gate-calls";

using Random = std::mt19937_64;

/// Uniform in [0, count).
std::size_t pick(Random &random, std::size_t count);

/// Started, configured and known at every daemon; daemons in the constructor's options.
class ProofSystem
{
public:
    /// Fills in the names and credentials of the options. Throws std::runtime_error when a daemon
    /// does not get to know everything.
    explicit ProofSystem(ClusterOptions options);

    TestCluster &cluster() { return cluster_; }
    SystemClient client(std::size_t daemon);
    std::size_t daemons() const { return options_.daemons; }
    std::size_t engines() const { return options_.engines; }

    /// Waits until the daemon may send to this many endpoints.
    bool awaitSendable(std::size_t daemon, std::size_t endpoints, Millis timeout);
    /// An object of the endpoint's admin interface; an empty one when it does not answer.
    nlohmann::json admin(const ClusterMember &member, const std::string &path);

private:
    ClusterOptions options_;
    TestCluster cluster_;
};

/// Threads that send requests until they are stopped.
class CallerPool
{
public:
    ~CallerPool() { stop(); }

    /// Each thread calls the function again and again with random numbers of its own.
    void start(std::size_t threads, const std::function<void(Random &)> &call, std::uint64_t seed);
    /// Waits for the calls in progress.
    void stop();

private:
    std::atomic<bool> stopping_{false};
    std::vector<std::jthread> threads_;
};

/// Times at which a member was killed or frozen, to tell whose callers cannot have been answered.
class Outages
{
public:
    void begin(const std::string &memberId);
    void end(const std::string &memberId);
    /// True when the member was away at any time between the two times.
    bool touched(const std::string &memberId, TimePoint from, TimePoint to) const;
    /// True when the member is away now.
    bool away(const std::string &memberId) const;

private:
    struct Span
    {
        std::string memberId;
        TimePoint from;
        TimePoint to;
    };

    mutable std::mutex mutex_;
    std::vector<Span> spans_;
};

/// Collects judgements from many threads.
class Judgement
{
public:
    void count();
    void violation(std::string text);
    std::uint64_t counted() const;
    std::vector<std::string> violations() const;

private:
    mutable std::mutex mutex_;
    std::uint64_t counted_ = 0;
    std::vector<std::string> violations_;
};

} // namespace cicadafork::test
