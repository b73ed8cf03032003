#include "gateway/readerrole.h"

#include <algorithm>

namespace cicadafork::gateway {

namespace {

// Additional primary readers for each member that has lost the store.
constexpr unsigned kExtraPrimariesPerLoss = 2;
// Limits the primary readers, however many members have lost the store. Each takes up to a second
// to notice the loss; then the next member in order replaces it.
constexpr unsigned kMaxPrimaries = 4;
// Once this many members have lost the store, it is probably unavailable to all of them: the rest
// try it one by one instead of kMaxPrimaries at a time. Two of those that have lost it keep trying,
// and the others learn from them when it is available again.
constexpr unsigned kLossesOfAnOutage = 8;
// Endpoints that drain or disappear must be noticed well within 2 s. Endpoint records change with
// every heartbeat, so waiting for a change would save no reads.
constexpr Millis kPrimaryInterval{600};
constexpr Millis kSecondaryInterval{1500};
// Standby members also read, in case all messages from the readers are lost.
constexpr Millis kStandbyInterval{60'000};
// Readers wait for changes of the configuration and send them to the other members. A dead
// connection is noticed only when the wait ends.
constexpr Millis kReaderConfigWait{2000};

} // namespace

const char *toString(ReaderRole role)
{
    switch (role) {
    case ReaderRole::Primary:
        return "first";
    case ReaderRole::Secondary:
        return "second";
    case ReaderRole::Standby:
        break;
    }
    return "reserve";
}

ReaderRole chooseReaderRole(const ReaderCandidate &self, const std::vector<ReaderCandidate> &others)
{
    unsigned healthyAhead = 0;
    unsigned lostAhead = 0;
    unsigned lost = 0;
    for (const ReaderCandidate &other : others) {
        const bool ahead = other.incarnation < self.incarnation;
        lost += other.storeLost ? 1 : 0;
        lostAhead += other.storeLost && ahead ? 1 : 0;
        healthyAhead += !other.storeLost && ahead ? 1 : 0;
    }
    // A member that has lost the store is a standby; its reads continue at the retry interval.
    if (self.storeLost) {
        const bool outage = lost == others.size() || lost + 1 >= kLossesOfAnOutage;
        if (!outage || lostAhead > 1)
            return ReaderRole::Standby;
        return lostAhead == 0 ? ReaderRole::Primary : ReaderRole::Secondary;
    }
    const unsigned primaries = lost >= kLossesOfAnOutage
                                       ? 1
                                       : std::min(1 + kExtraPrimariesPerLoss * lost, kMaxPrimaries);
    if (healthyAhead < primaries)
        return ReaderRole::Primary;
    return healthyAhead == primaries ? ReaderRole::Secondary : ReaderRole::Standby;
}

ReadSchedule readScheduleFor(ReaderRole role)
{
    switch (role) {
    case ReaderRole::Primary:
        return {kPrimaryInterval, Millis(0), kReaderConfigWait};
    case ReaderRole::Secondary:
        return {kSecondaryInterval, Millis(0), kReaderConfigWait};
    case ReaderRole::Standby:
        break;
    }
    return {kStandbyInterval, kStandbyInterval, Millis(0)};
}

} // namespace cicadafork::gateway
