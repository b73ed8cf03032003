#include "gateway/readerrole.h"

#include <algorithm>

namespace cicadafork::gateway {

namespace {

// Members that try for each one that the store turns away.
constexpr unsigned kTriesPerLoss = 2;
// So many members read or try often, however many are turned away: each takes up to a second to
// notice it, and the next one in the order takes its place.
constexpr unsigned kMaxFirst = 4;
// So many go on trying often when the store serves none; the others hear of its return from them.
constexpr unsigned kTriesWhenAllLost = 3;
// Leaving endpoints must be noticed well within 2 s. Their records change with every heartbeat, so
// that waiting for a change gains nothing.
constexpr Millis kFirstInterval{600};
constexpr Millis kSecondInterval{1500};
// A reserve reads in case that all messages of the others are lost.
constexpr Millis kReserveInterval{60'000};
// Readers wait for changes of the configuration and tell the others the difference. A connection
// that went silent is noticed only after the wait.
constexpr Millis kReaderWait{2000};

} // namespace

const char *toString(ReaderRole duty)
{
    switch (duty) {
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
    unsigned before = 0;
    unsigned lostBefore = 0;
    unsigned lost = 0;
    for (const ReaderCandidate &other : others) {
        const bool earlier = other.incarnation < self.incarnation;
        lost += other.storeLost ? 1 : 0;
        lostBefore += other.storeLost && earlier ? 1 : 0;
        before += !other.storeLost && earlier ? 1 : 0;
    }
    // One that cannot read counts as reserve; its reads go on at the pace of retries.
    if (self.storeLost) {
        return lost == others.size() && lostBefore < kTriesWhenAllLost ? ReaderRole::Primary
                                                                       : ReaderRole::Standby;
    }
    const unsigned firsts = std::min(1 + kTriesPerLoss * lost, kMaxFirst);
    if (before < firsts)
        return ReaderRole::Primary;
    return before == firsts ? ReaderRole::Secondary : ReaderRole::Standby;
}

ReadSchedule readScheduleFor(ReaderRole duty)
{
    switch (duty) {
    case ReaderRole::Primary:
        return {kFirstInterval, Millis(0), kReaderWait};
    case ReaderRole::Secondary:
        return {kSecondInterval, Millis(0), kReaderWait};
    case ReaderRole::Standby:
        break;
    }
    return {kReserveInterval, kReserveInterval, Millis(0)};
}

} // namespace cicadafork::gateway
