#pragma once

// Settings of a gateway daemon, read from a YAML file and checked in full before anything starts.
//
//   auto settings = capture([&] { return loadGatewaySettings("/etc/cicadafork/gateway.yaml"); });

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "http/address.h"
#include "residency/residency.h"

#include <string>
#include <vector>

namespace cicadafork::gateway {

/// Limit of the retries of all daemons together, for each service.
struct RetryLimits
{
    double share = 0.2;   ///< Retries per request in the window.
    double allowance = 0; ///< Number of retries per window, added to the share.
    Millis window{10'000};
};

/// Which of the requests that wait for an engine are put into one order.
enum class QueueScope {
    Daemon, ///< Those of each daemon by themselves.
    Fleet,  ///< Those of all daemons.
};

struct GatewaySettings
{
    std::string member;
    std::string failureDomain;
    residency::RegionMap regions; ///< Includes the own failure domain if the own region is known.
    Address callers;
    Address readiness;
    Address control;                ///< Serves the state dump, metrics and requests of peers.
    Address peers;                  ///< Datagrams of the mesh; every member uses the same port.
    std::vector<std::string> seeds; ///< IP addresses of some members; may be out of date.
    Address store;
    RetryLimits retries;
    Millis shutdownGrace{8000};    ///< From SIGTERM to the forced end of the process.
    std::uint16_t metricsPort = 0; ///< On the IP address of peers; 0: metrics only at control.
    std::size_t maxDescriptors = 4096;
    /// Memory that the process may take, by default all of the machine's; 0: unlimited.
    std::size_t memoryBytes = 256 * 1024 * 1024;
    /// Learns whether engines keep the KV cache of prompts and places by it.
    bool prefixPlacement = false;
    QueueScope queueScope = QueueScope::Daemon;
    LogLevel logLevel = LogLevel::Info;
};

/// Limit of the large bodies of requests in bytes: half of the memory. 0: unlimited.
std::size_t bodyRoomOf(const GatewaySettings &settings);
/// Limit of the answers that a daemon holds in bytes: a sixth of the memory. 0: unlimited.
std::size_t answerRoomOf(const GatewaySettings &settings);

/// Fails with InvalidArgument; the message lists every problem with file, line and remedy.
Result<GatewaySettings> loadGatewaySettings(const std::string &path);
Result<GatewaySettings> parseGatewaySettings(const std::string &text, const std::string &name);

} // namespace cicadafork::gateway
