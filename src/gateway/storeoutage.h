#pragma once

// Decides whether a record missing from the store means that its endpoint is gone.
//
//   StoreOutage outage;
//   outage.noteReadFailed(now);      // a read by this daemon failed
//   outage.notePeerRead(now);        // a peer read a newer position
//   outage.noteReadSucceeded(now);   // a read by this daemon succeeded again
//   outage.noteNewEra(now);          // the store came back from an older copy
//   if (std::optional<TimePoint> until = outage.recordMayReturnUntil(now))
//       keep(endpoint, *until);
//
// Records expire during an outage of the store, and their writers need up to two seconds to restore
// them. If only this daemon could not reach the store, records did not expire because of an outage,
// and a missing record means at once that its endpoint is gone.

#include "base/clock.h"

#include <optional>

namespace cicadafork::gateway {

class StoreOutage
{
public:
    void noteReadFailed(TimePoint now);
    void notePeerRead(TimePoint now);
    void noteReadSucceeded(TimePoint now);
    void noteNewEra(TimePoint now);

    /// Time until which a record that is missing now may be restored; nothing if no outage explains
    /// that it is missing.
    std::optional<TimePoint> recordMayReturnUntil(TimePoint now) const;
    /// The same for a record that was not deleted but is absent from all that the store has: the
    /// copy from which the store came back may be older than the record.
    std::optional<TimePoint> absentRecordMayReturnUntil(TimePoint now) const;

private:
    bool unavailable_ = false;
    std::optional<TimePoint> firstPeerReadAt_; ///< First since this daemon lost the store.
    std::optional<TimePoint> recoveredAt_;
    std::optional<TimePoint> newEraAt_;
};

} // namespace cicadafork::gateway
