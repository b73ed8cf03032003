// Case 14: a store that comes back from an older copy brings back the earlier incarnation of a
// replica, and with it requests to the replica that has said that it leaves.

#include "bed3.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

using namespace cicadafork;
using namespace cicadafork::review;

namespace {

constexpr unsigned kReplicas = 4;
constexpr Millis kLength{16'000};
constexpr Millis kInterval{25};
// The replica starts again under its id.
constexpr Millis kDownAt{4000};
constexpr Millis kUpAt{4300};
// It begins to leave.
constexpr Millis kLeavesAt{5500};
// The drill: the store is away for a moment and comes back from a copy some seconds old.
constexpr Millis kAwayAt{9150};
constexpr Millis kBackAt{9300};
constexpr Millis kCopyAge{5500};
// "It continues serving for drainMs ... and a little longer (at times many seconds), and then
// exits."
constexpr Millis kExitsAt{14'000};
// drainMs of the site.
constexpr Millis kDrain{2000};

} // namespace

int main(int argc, char **argv)
{
    Bed bed(argc, argv, {.daemons = 2, .config = kSmallConfig});
    for (unsigned i = 1; i <= kReplicas; ++i)
        bed.addReplica(fmt::format("i-{}", i), "pool");
    bed.prepare = [](Replica &replica) {
        replica.server->prefillTime = Millis(300);
        replica.server->eventGap = Millis(100);
    };
    bed.start();
    Replica &leaving = bed.replica("i-1");
    unsigned sent = 0;
    bed.every(Millis(500), kInterval, kLength - Millis(2500), [&] {
        ++sent;
        bed.send({.target = "/note/a",
                  .body = "sound",
                  .prompt = fmt::format("a{:x}:40,50{:06x}:1960", sent % 40, sent),
                  .deadline = Millis(10'000)});
    });
    bed.at(kDownAt, [&] { bed.crash(leaving); });
    bed.at(kUpAt, [&] { bed.restart(leaving); });
    bed.at(kLeavesAt, [&] {
        leaving.server->leaving = true;
        leaving.state = "draining";
        bed.record("i-1 leaves");
        bed.beat(leaving);
    });
    if (bed.trouble()) {
        bed.at(kAwayAt, [&] {
            bed.record("the store is away");
            bed.store().refuses = true;
            bed.store().refuseWaitingReads();
        });
        bed.at(kBackAt, [&] {
            bed.record("the store is back from an older copy");
            bed.store().restoreCopy(kCopyAge);
            bed.store().refuses = false;
        });
    }
    bed.at(kExitsAt, [&] {
        bed.crash(leaving);
        bed.store().put("keyed.servers", leaving.id, std::nullopt);
    });
    bed.runUntil(kLength);

    // When each machine had first passed on an answer in which the replica says that it leaves.
    std::optional<TimePoint> passedOn[2];
    for (const Call &call : bed.calls()) {
        auto &first = passedOn[call.daemon];
        if (call.saysLeaving && call.endedAt != TimePoint{} && (!first || call.endedAt < *first))
            first = call.endedAt;
    }
    std::size_t late = 0;
    for (const Arrival &arrival : bed.arrivals()) {
        const Call &call = *bed.findCall(arrival.requestId);
        const auto &first = passedOn[call.daemon];
        if (arrival.replica != leaving.id || !first || call.sentAt <= *first + kDrain)
            continue;
        ++late;
        bed.record(fmt::format("{} was sent {} ms after the machine had passed on that i-1 leaves",
                               call.id, (bed.since(call.sentAt) - bed.since(*first)).count()));
    }
    bed.report(fmt::format(
            "trouble: {}; machines that passed on that the replica leaves: {}; "
            "requests that they sent there later than 2 s after that: {} (0 allowed)",
            bed.trouble() ? "yes" : "no", passedOn[0].has_value() + passedOn[1].has_value(), late));
    if (!passedOn[0] && !passedOn[1])
        return 2;
    return late > 0 ? 1 : 0;
}
