#pragma once

// The promises of the gateway, checked after a soak from what clients and endpoints saw.
//
//   for (const std::string &broken : brokenPromises(evidence))
//       fmt::print("{}\n", broken);

#include "soak/clients.h"
#include "support/platformstandin.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace cicadafork::test {

/// A time in which a daemon was killed or stopped by the soak.
struct Disturbance
{
    std::size_t daemon = 0;
    TimePoint from{};
    TimePoint until = TimePoint::max();
};

/// The store has acknowledged a version of the configuration.
struct ConfigurationWrite
{
    unsigned version = 0;
    TimePoint at{};
};

/// The store has acknowledged that an endpoint is draining.
struct EndpointDrain
{
    std::string endpoint;
    TimePoint from{};
    TimePoint until = TimePoint::max();
};

/// Another instance of the endpoint has taken over its address.
struct Rebirth
{
    std::string endpoint;
    TimePoint at{};
};

/// The link between the daemons and an endpoint was disturbed.
struct DisturbedLink
{
    std::string endpoint;
    TimePoint from{};
    TimePoint until{};
};

struct SoakEvidence
{
    std::deque<SoakCall> calls;
    /// All arrivals at all endpoints, by request id, in the order of each endpoint.
    std::unordered_map<std::string, std::vector<EndpointStandin::Arrival>> arrivals;
    std::vector<Disturbance> disturbances;
    std::vector<Disturbance> shutdowns;   ///< From SIGTERM to the end of the process.
    std::vector<Disturbance> restarts;    ///< From the end of a process to the next one's start.
    std::vector<Disturbance> storeFaults; ///< Of no daemon.
    std::vector<Disturbance> storeLinks;  ///< Between a daemon and the store.
    std::vector<DisturbedLink> endpointLinks;
    std::vector<EndpointDrain> drains;
    std::vector<Rebirth> rebirths;
    std::vector<ConfigurationWrite> writes; ///< In the order of time.
};

/// How a request ended that got no whole response.
enum class Unanswered {
    No,              ///< It got one, be it an answer or a refusal.
    DaemonDisturbed, ///< Its daemon was killed or stopped meanwhile.
    EndpointBroke,   ///< The endpoint or its link broke off its answer.
    CrossedClose,    ///< A daemon that was shutting down closed without having read it.
    AtDeadline,      ///< Its stream was cut at its deadline.
    Lost,            ///< None of these.
};

const char *toString(Unanswered unanswered);

Unanswered classify(const SoakEvidence &evidence, const SoakCall &call);

/// One line for each promise that did not hold, with the request's id and times.
std::vector<std::string> brokenPromises(const SoakEvidence &evidence);

/// Version of the configuration that admitted the request; 0 when the endpoint was told none.
unsigned versionOf(const EndpointStandin::Arrival &arrival);

/// All events of a stream.
std::string wholeStream();

/// Time of day in UTC, as in the daemons' logs.
std::string timeOfDay(TimePoint time);

} // namespace cicadafork::test
