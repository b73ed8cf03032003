#pragma once

// Tells whether a vanished record means that its writer has gone.
//
//   StoreOutage outage;
//   outage.noteReadFailed(now);      // a read of ours failed
//   outage.notePeerRead(now);        // a peer has read on
//   outage.noteReadSucceeded(now);   // a read of ours succeeded again
//   if (std::optional<TimePoint> until = outage.recordMayReturnUntil(now))
//       keep(endpoint, *until);
//
// Records lapse while the store is away, and their writers need up to two seconds to write them
// again. When only this daemon was turned away, the store went on, and a vanished record counts at
// once.

#include "base/clock.h"

#include <optional>

namespace cicadafork::gateway {

class StoreOutage
{
public:
    void noteReadFailed(TimePoint now);
    void notePeerRead(TimePoint now);
    void noteReadSucceeded(TimePoint now);

    /// Until when a record that vanishes now may be written again; nothing when it will not be.
    std::optional<TimePoint> recordMayReturnUntil(TimePoint now) const;

private:
    bool unavailable_ = false;
    std::optional<TimePoint> firstPeerReadAt_; ///< Since the store was lost.
    std::optional<TimePoint> recoveredAt_;
};

} // namespace cicadafork::gateway
