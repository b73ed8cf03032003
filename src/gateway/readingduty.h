#pragma once

// Which daemons of a failure domain read the store often.
//
//   ReadingDuty duty = readingDuty(self, liveMembersOfMyDomain);
//   ReadingPace pace = readingPace(duty);
//
// Reads are priced and limited, so few daemons read and tell the others. The order is that of the
// members' incarnation numbers; nobody agrees on it, and two first readers do no harm. Each member
// that the store turns away makes two more try, up to a bound, so that the ones which it still
// serves are found within a few seconds. While it serves none, a few go on trying.

#include "base/clock.h"

#include <cstdint>
#include <vector>

namespace cicadafork::gateway {

enum class ReadingDuty {
    First,   ///< Reads most often.
    Second,  ///< Covers the loss of the first.
    Reserve, ///< Relies on the others.
};

const char *toString(ReadingDuty duty);

struct ReaderCandidate
{
    std::uint64_t incarnation = 0;
    bool storeLost = false; ///< The store does not answer it.
};

struct ReadingPace
{
    Millis endpointInterval{0}; ///< Between two reads of the endpoints' records.
    Millis configInterval{0};   ///< Between two reads of the configuration,
    Millis configWait{0};       ///< each of which waits so long for a change.
};

/// Others are the live members of the failure domain that are not about to leave.
ReadingDuty readingDuty(const ReaderCandidate &self, const std::vector<ReaderCandidate> &others);

ReadingPace readingPace(ReadingDuty duty);

} // namespace cicadafork::gateway
