#pragma once

// Spreads the configuration: readers follow the log and push, everyone pulls what it lacks.
//
//   ConfigSync sync(store, fleet, client, {.selfId = settings.memberId});
//   sync.runReader();  // log reader thread, in a loop
//   sync.runRepair();  // another thread, in a loop
//
// The two loops are separate because a slow log must not delay a pull from a peer.

#include "config/logconfigstore.h"
#include "peer/peerclient.h"

namespace cicadafork {

struct ConfigSyncOptions
{
    std::string selfId;
    Millis readWait{500};       ///< Longest wait for a record; bounds how long a stop takes.
    Millis idlePause{200};      ///< Between checks of a member that is no reader.
    Millis failurePause{200};   ///< After a failed read.
    Millis repairInterval{200}; ///< Between checks for peers that are ahead.
    Millis pushTimeout{1000};
    Millis pullTimeout{1000};
};

class ConfigSync
{
public:
    ConfigSync(LogConfigStore &store, FleetTable &fleet, PeerClient &client,
               ConfigSyncOptions options);

    /// One turn of the log reader; blocks for readWait or a pause. A member reads the log when it
    /// is one of the readers of its domain or has no configuration yet.
    void runReader();

    /// One turn of the repair: pulls from a peer that is ahead, then pauses. With no configuration
    /// it asks every live peer.
    void runRepair();

    /// One pull without the pause; returns whether the state moved.
    bool pullOnce(TimePoint now);

private:
    void pushToPeers(TimePoint now);

    LogConfigStore &store_;
    FleetTable &fleet_;
    PeerClient &client_;
    const ConfigSyncOptions options_;
};

} // namespace cicadafork
