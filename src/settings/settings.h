#pragma once

// Settings of one daemon, read from a YAML file and checked in full before anything starts.
//
//   auto settings = capture([&] { return loadSettings("/etc/cicadafork.yaml"); });
//   if (!settings)
//       fmt::print(stderr, "{}\n", settings.error().message); // one line per problem

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "http/address.h"

#include <cstddef>
#include <string>

namespace cicadafork {

/// How an endpoint is chosen; the first three are baselines for comparison.
enum class RoutingPolicy { RoundRobin, LeastOutstanding, PowerOfTwo, Adaptive };

/// How short and long prompts share a pool of endpoints.
enum class PoolMode { Shared, Partitioned, ReservedShare };

struct PlatformSettings
{
    Address log;
    Address vmList;
    Millis requestTimeout{1000};
    Millis vmListInterval{1000};
    /// The log keeps records at least this long; must exceed the de-duplication window.
    Millis logRetention{3'600'000};
};

struct LimitSettings
{
    std::size_t maxStreams = 1100;  ///< Concurrent caller connections.
    std::size_t maxRequests = 2048; ///< Rows of the request table.
    std::size_t maxQueued = 512;    ///< Requests waiting for an endpoint.
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    double retryShare = 0.1; ///< Retries as a share of successes.
};

struct TimingSettings
{
    Millis tick{20};
    Millis statusInterval{250};   ///< Between two status requests to an endpoint.
    Millis heartbeatMinimum{100}; ///< Shortest interval between heartbeats to a peer.
    Millis sendPermission{2500};  ///< Life of the permission to send after a live status.
    Millis claimValidity{5000};
    Millis deduplicationWindow{600'000};
    Millis defaultRequestTimeout{60'000};
    Millis maxRequestTimeout{3'600'000};
    Millis holdLifetime{5000}; ///< Expiry of a KV hold; the front renews at a third of it.
};

struct RoutingSettings
{
    RoutingPolicy policy = RoutingPolicy::Adaptive;
    PoolMode poolMode = PoolMode::Shared;
    /// Prefill that an engine may have queued before more waits in the daemon, where it can still
    /// go elsewhere. It covers the age of a report: 200 ms at the engine, 250 ms between two status
    /// requests, 100 ms to the other daemons.
    Millis queueTarget{600};
};

struct Settings
{
    std::string memberId;
    std::string failureDomain;
    std::string region;
    Address callerAddress;
    Address peerAddress;
    PlatformSettings platform;
    LimitSettings limits;
    TimingSettings timing;
    RoutingSettings routing;
    std::size_t controlBytesPerSecond = 21'000; ///< Budget of heartbeats and digests.
    std::string operatorCredentialSha256;       ///< Hex hash of the first operator's credential.
    LogLevel logLevel = LogLevel::Info;
};

/// Reads and checks a settings file. Fails with InvalidArgument; the message lists every problem
/// (unknown key, wrong unit, value out of range, conflicting addresses) with file, line and remedy.
Result<Settings> loadSettings(const std::string &path);

/// The same for text in memory; name stands for the file in messages.
Result<Settings> parseSettings(const std::string &text, const std::string &name);

} // namespace cicadafork
