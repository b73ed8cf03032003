#pragma once

// The endpoints and peers known to this process, and whether it may send requests to them.
//
//   FleetView view = fleet.view("report-writer", steadyNow());
//   fleet.noteSent(endpointId, promptTokens);
//   ...
//   fleet.noteFinished(endpointId, observation);

#include "base/clock.h"
#include "http/address.h"
#include "routing/fleetview.h"

#include <optional>
#include <string>
#include <vector>

namespace cicadafork {

/// Measurements of a finished attempt, used to estimate the speed of its endpoint.
struct AttemptObservation
{
    bool succeeded = false;
    std::uint64_t promptTokens = 0;
    Millis firstToken{0};         ///< Time to the first token; 0 if none arrived.
    Millis expectedFirstToken{0}; ///< Estimate made when the endpoint was chosen; 0 if none.
};

struct PeerView
{
    std::string id;
    std::string failureDomain;
    Address callerAddress;
    Address peerAddress;
    bool alive = false;
    std::string incarnation;
    Offset configOffset = 0;
    Millis heartbeatAge{0};
};

class Fleet
{
public:
    virtual ~Fleet() = default;

    virtual FleetView view(const std::string &service, TimePoint now) const = 0;
    virtual std::vector<PeerView> peers(TimePoint now) const = 0;

    /// Whether new requests may be sent to the endpoint. Call it immediately before each send.
    virtual bool sendPermitted(const std::string &endpointId, TimePoint now) const = 0;

    virtual void noteSent(const std::string &endpointId, std::uint64_t promptTokens, TimePoint now)
            = 0;
    virtual void noteFinished(const std::string &endpointId, const AttemptObservation &observation,
                              TimePoint now)
            = 0;
};

} // namespace cicadafork
