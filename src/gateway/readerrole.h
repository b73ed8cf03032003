#pragma once

// Which daemons of a failure domain read the store often.
//
//   ReaderRole duty = chooseReaderRole(self, liveMembersOfMyDomain);
//   ReadSchedule pace = readScheduleFor(duty);
//
// Reads are priced and limited, so few daemons read and tell the others. The order is that of the
// members' incarnation numbers; nobody agrees on it, and two first readers do no harm. Each member
// that the store turns away makes two more try, up to a bound, so that the ones which it still
// serves are found within a few seconds. While it serves none, a few go on trying.

#include "base/clock.h"

#include <cstdint>
#include <vector>

namespace cicadafork::gateway {

enum class ReaderRole {
    Primary,   ///< Reads most often.
    Secondary, ///< Covers the loss of the first.
    Standby,   ///< Relies on the others.
};

const char *toString(ReaderRole duty);

struct ReaderCandidate
{
    std::uint64_t incarnation = 0;
    bool storeLost = false; ///< The store does not answer it.
};

struct ReadSchedule
{
    Millis endpointInterval{0}; ///< Between two reads of the endpoints' records.
    Millis configInterval{0};   ///< Between two reads of the configuration,
    Millis configWait{0};       ///< each of which waits so long for a change.
};

/// Others are the live members of the failure domain that are not about to leave.
ReaderRole chooseReaderRole(const ReaderCandidate &self,
                            const std::vector<ReaderCandidate> &others);

ReadSchedule readScheduleFor(ReaderRole duty);

} // namespace cicadafork::gateway
