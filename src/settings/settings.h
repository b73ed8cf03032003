#pragma once

// Settings of one daemon, read from a YAML file and fully validated at startup.
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

/// How an endpoint is selected for a request. The first three are baselines for comparison.
enum class RoutingPolicy { RoundRobin, LeastOutstanding, PowerOfTwo, Adaptive };

/// How short and long prompts share a pool of endpoints.
enum class PoolMode { Shared, Partitioned, ReservedShare };

struct PlatformSettings
{
    Address log;
    Address vmList;
    Millis requestTimeout{1000};
    Millis vmListInterval{1000};
    /// Minimum time for which the log service keeps records. Must exceed the de-duplication window
    /// plus the clock skew of callers (5 s).
    Millis logRetention{3'600'000};
};

struct LimitSettings
{
    std::size_t maxStreams = 1100;  ///< Maximum concurrent caller connections.
    std::size_t maxRequests = 2048; ///< Capacity of the request table, in rows.
    std::size_t maxQueued = 512;    ///< Maximum requests waiting for an endpoint.
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    double retryShare = 0.1; ///< Maximum ratio of retries to successful requests.
};

struct TimingSettings
{
    Millis tick{20};
    Millis statusInterval{250};   ///< Interval between status requests to an endpoint.
    Millis heartbeatMinimum{100}; ///< Minimum interval between heartbeats to a peer.
    Millis sendPermission{2500};  ///< How long a "live" status permits sending.
    Millis claimValidity{5000};
    Millis deduplicationWindow{600'000};
    Millis defaultRequestTimeout{60'000};
    Millis maxRequestTimeout{3'600'000};
    Millis holdLifetime{5000}; ///< Expiry of a KV hold; the frontend renews it at a third of this.
};

struct RoutingSettings
{
    RoutingPolicy policy = RoutingPolicy::Adaptive;
    PoolMode poolMode = PoolMode::Shared;
    /// Maximum prefill time queued at an engine. Further requests wait in the daemon, which can
    /// still route them to another endpoint. The default covers the age of a load report: 200 ms
    /// at the engine, 250 ms between status requests and 100 ms to reach the other daemons.
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
    std::size_t controlBytesPerSecond = 21'000; ///< Byte budget for heartbeats and digests.
    std::string operatorCredentialSha256; ///< Hash of the first operator's credential, in hex.
    LogLevel logLevel = LogLevel::Info;
};

/// Reads and validates a settings file. Fails with NotFound when the file cannot be read, and with
/// InvalidArgument when its content is invalid; the message then lists every problem (unknown key,
/// wrong unit, value out of range, conflicting addresses) with file, line and remedy.
Result<Settings> loadSettings(const std::string &path);

/// Like loadSettings(), for text in memory. Messages use name as the file name.
Result<Settings> parseSettings(const std::string &text, const std::string &name);

} // namespace cicadafork
