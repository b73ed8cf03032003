#pragma once

// Settings of a gateway daemon, read from a YAML file and checked in full before anything starts.
//
//   auto settings = capture([&] { return loadGatewaySettings("/etc/cicadafork/gateway.yaml"); });

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "http/address.h"

#include <string>
#include <vector>

namespace cicadafork::gateway {

/// Second sends of all daemons together, for each service.
struct RetryLimits
{
    double share = 0.2;   ///< Of the requests in the window.
    double allowance = 0; ///< Added to the share.
    Millis window{10'000};
};

struct GatewaySettings
{
    std::string member;
    std::string failureDomain;
    Address callers;
    Address readiness;
    Address control; ///< State dump, metrics and what peers ask for.
    Address peers;   ///< Datagrams of the mesh; the port is the same on every machine.
    std::vector<std::string> seeds; ///< IP addresses of some members; they may be out of date.
    Address store;
    RetryLimits retries;
    Millis shutdownGrace{8000};    ///< From SIGTERM to the forced end of the process.
    std::uint16_t metricsPort = 0; ///< On the address of peers; 0 serves metrics at control only.
    std::size_t maxDescriptors = 4096;
    LogLevel logLevel = LogLevel::Info;
};

/// Fails with InvalidArgument; the message lists every problem with file, line and remedy.
Result<GatewaySettings> loadGatewaySettings(const std::string &path);
Result<GatewaySettings> parseGatewaySettings(const std::string &text, const std::string &name);

} // namespace cicadafork::gateway
