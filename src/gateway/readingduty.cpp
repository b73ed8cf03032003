#include "gateway/readingduty.h"

namespace cicadafork::gateway {

namespace {

// Members that try for each one that the store turns away.
constexpr unsigned kTriesPerLoss = 2;
// Leaving endpoints must be noticed well within 2 s. Their records change with every heartbeat, so
// that waiting for a change gains nothing.
constexpr Millis kFirstInterval{600};
constexpr Millis kSecondInterval{1500};
// A reserve reads in case that all messages of the others are lost.
constexpr Millis kReserveInterval{30'000};
// All wait for changes of the configuration themselves, as a large one would take a machine with a
// slow link too long to hand to all others. The store holds a read for 30 s at most.
constexpr Millis kReserveWait{29'000};
// A connection that went silent is noticed only after the wait.
constexpr Millis kReaderWait{2000};

} // namespace

const char *toString(ReadingDuty duty)
{
    switch (duty) {
    case ReadingDuty::First:
        return "first";
    case ReadingDuty::Second:
        return "second";
    case ReadingDuty::Reserve:
        break;
    }
    return "reserve";
}

ReadingDuty readingDuty(const ReaderCandidate &self, const std::vector<ReaderCandidate> &others)
{
    unsigned before = 0;
    unsigned lost = 0;
    for (const ReaderCandidate &other : others) {
        if (other.storeLost)
            ++lost;
        else if (other.incarnation < self.incarnation)
            ++before;
    }
    // One that cannot read counts as reserve; its reads go on at the pace of retries.
    if (self.storeLost && !others.empty() && lost < others.size())
        return ReadingDuty::Reserve;
    if (before <= kTriesPerLoss * lost)
        return ReadingDuty::First;
    return before == kTriesPerLoss * lost + 1 ? ReadingDuty::Second : ReadingDuty::Reserve;
}

ReadingPace readingPace(ReadingDuty duty)
{
    switch (duty) {
    case ReadingDuty::First:
        return {kFirstInterval, Millis(0), kReaderWait};
    case ReadingDuty::Second:
        return {kSecondInterval, Millis(0), kReaderWait};
    case ReadingDuty::Reserve:
        break;
    }
    return {kReserveInterval, Millis(0), kReserveWait};
}

} // namespace cicadafork::gateway
