// Case 15: the record of a blocked request is lost in a drill of the store and not written again,
// so that daemons that start later let the request through.

#include "bed3.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

using namespace cicadafork;
using namespace cicadafork::review;

namespace {

constexpr unsigned kReplicas = 8;
constexpr Millis kLength{62'000};
// "The replica is back after some seconds."
constexpr Millis kBackAfter{3000};
constexpr Millis kSoundInterval{25};
constexpr Millis kFirst{2000};
constexpr Millis kInterval{4000};
// The drill: the store is away for a moment and comes back from a copy some seconds old.
constexpr Millis kAwayAt{18'000};
constexpr Millis kBackAt{18'300};
constexpr Millis kCopyAge{5000};
// All processes are killed and start again.
constexpr Millis kKillAt{27'000};
constexpr Millis kStartAt{28'000};
constexpr Millis kAgain{36'000};
// stabilityWindowMs of the site.
constexpr Millis kStabilityWindow{3000};
constexpr std::size_t kCrashesBefore = 3;
constexpr std::size_t kAllowed = 3;
constexpr const char *kCrashingBody = "the request that crashes the replicas that run it";

} // namespace

int main(int argc, char **argv)
{
    Bed bed(argc, argv, {.daemons = 2, .zones = 2, .config = kSmallConfig});
    std::vector<TimePoint> crashes;
    for (unsigned i = 1; i <= kReplicas; ++i)
        bed.addReplica(fmt::format("i-{}", i), "pool");
    bed.prepare = [&](Replica &replica) {
        EndpointStandin &server = *replica.server;
        server.prefillTime = Millis(300);
        server.eventGap = Millis(100);
        server.crashingBody = kCrashingBody;
        server.onCrash = [&bed, &crashes, &replica] {
            crashes.push_back(steadyNow());
            bed.record(fmt::format("{} crashes on the request", replica.id));
            bed.at(bed.elapsed() + kBackAfter, [&bed, &replica] { bed.restart(replica); });
        };
    };
    bed.start();
    unsigned sound = 0;
    bed.every(Millis(500), kSoundInterval, kLength - Millis(3000), [&] {
        ++sound;
        bed.send({.target = "/note/a",
                  .body = "sound",
                  .prompt = fmt::format("a{:x}:40,50{:06x}:1960", sound % 40, sound),
                  .deadline = Millis(10'000)});
    });
    struct Sent
    {
        TimePoint at;
        bool inTouch = false;
    };
    std::map<std::string, Sent> sent;
    std::size_t next = 0;
    const auto sendCrashing = [&] {
        const std::size_t daemon = next++ % 2;
        const Call &call = bed.send({.target = "/note/b",
                                     .body = kCrashingBody,
                                     .prompt = "b1:40,c1:1960",
                                     .deadline = Millis(10'000),
                                     .daemon = daemon});
        sent[call.id] = {call.sentAt, bed.undisturbedFor(daemon, call.sentAt) > kStabilityWindow};
    };
    bed.every(kFirst, kInterval, kFirst + 4 * kInterval, sendCrashing);
    bed.every(kAgain, kInterval, kLength - Millis(3000), sendCrashing);
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
        bed.at(kKillAt, [&] {
            bed.kill(0);
            bed.kill(1);
        });
        bed.at(kStartAt, [&] {
            bed.startDaemon(0);
            bed.startDaemon(1);
        });
    }
    bed.runUntil(kLength);

    std::size_t retries = 0;
    for (const Arrival &arrival : bed.arrivals()) {
        const auto found = sent.find(arrival.requestId);
        if (found != sent.end() && crashes.size() >= kCrashesBefore && found->second.inTouch
            && found->second.at > crashes[kCrashesBefore - 1] + kStabilityWindow)
            ++retries;
    }
    std::size_t cut = 0;
    for (const Call &call : bed.calls())
        cut += !sent.contains(call.id) && call.endedAt != TimePoint{}
                               && (call.status == 502 || (call.status == 200 && !call.complete))
                       ? 1
                       : 0;
    bed.report(fmt::format("trouble: {}; times that the crashing request came: {}; crashes on it: "
                           "{}; times that it reached a replica later than 3 s after the third "
                           "crash, from machines in touch: {} ({} allowed)",
                           bed.trouble() ? "yes" : "no", sent.size(), crashes.size(), retries,
                           kAllowed));
    bed.report(fmt::format("sound requests: {}; cut off after they had begun: {}",
                           bed.calls().size() - sent.size(), cut));
    return retries > kAllowed ? 1 : 0;
}
