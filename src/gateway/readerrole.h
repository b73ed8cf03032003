#pragma once

// Decides which daemons of a failure domain read the store often.
//
//   ReaderRole role = chooseReaderRole(self, otherLiveMembersOfDomain);
//   ReadSchedule schedule = readScheduleFor(role);
//
// Reads of the store are charged and rate-limited, so a few daemons read it and send the changes to
// the others. Each daemon ranks the members by incarnation number on its own, without a consensus
// protocol; extra primary readers do no harm. Each member that has lost the store adds two primary
// readers, up to a limit, so that members which can still reach the store are found within a few
// seconds. During an outage a few keep trying.

#include "base/clock.h"

#include <cstdint>
#include <vector>

namespace cicadafork::gateway {

/// Time from the start of a daemon until it chooses its role. Daemons that start together would
/// otherwise all read often, because none of them has heard the others yet.
constexpr Millis kRoleDelay{500};

enum class ReaderRole {
    Primary,   ///< Reads most often.
    Secondary, ///< Covers the failure of the primary readers.
    Standby,   ///< Relies on updates from the readers.
};

const char *toString(ReaderRole role);

struct ReaderCandidate
{
    std::uint64_t incarnation = 0;
    bool storeLost = false; ///< Gets no answers from the store.
};

struct ReadSchedule
{
    Millis endpointInterval{0}; ///< Between two reads of the endpoint records.
    Millis configInterval{0};   ///< Between two reads of the configuration.
    Millis configWait{0};       ///< How long each of them waits for a change.
};

/// The others are the live members of the failure domain that are not leaving.
ReaderRole chooseReaderRole(const ReaderCandidate &self,
                            const std::vector<ReaderCandidate> &others);

ReadSchedule readScheduleFor(ReaderRole role);

} // namespace cicadafork::gateway
