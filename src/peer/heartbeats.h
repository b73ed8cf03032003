#pragma once

// Sends the heartbeats that are due.
//
//   Heartbeats heartbeats(fleet, client, Millis(1000));
//   heartbeats.tick(steadyNow()); // control thread, every tick; never waits for a peer
//
// Destroy the client before the fleet: answers arrive until then.

#include "peer/peerclient.h"

namespace cicadafork {

class Heartbeats
{
public:
    Heartbeats(FleetTable &fleet, PeerClient &client, Millis timeout)
        : fleet_(fleet)
        , client_(client)
        , timeout_(timeout)
    {
    }

    void tick(TimePoint now);

private:
    FleetTable &fleet_;
    PeerClient &client_;
    const Millis timeout_;
};

} // namespace cicadafork
