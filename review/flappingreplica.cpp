// Case 12: a replica that goes down and up hides a part of prompts on which replicas crash.

#include "bed3.h"

#include <fmt/format.h>

using namespace cicadafork;
using namespace cicadafork::review;

namespace {

constexpr unsigned kReplicas = 8;
constexpr Millis kLength{100'000};
// The replica that flaps, and its period.
constexpr Millis kDown{500};
constexpr Millis kPeriod{1500};
// "The replica is back after some seconds."
constexpr Millis kBackAfter{3000};
constexpr Millis kCrashingInterval{7500};
constexpr Millis kSoundInterval{25};
// stabilityWindowMs of the site.
constexpr Millis kStabilityWindow{3000};
constexpr std::size_t kCrashesBefore = 5;
constexpr std::size_t kAllowed = 3;
constexpr const char *kCrashingPart = "dead0001";

} // namespace

int main(int argc, char **argv)
{
    Bed bed(argc, argv, {.daemons = 2, .config = kSmallConfig});
    std::vector<TimePoint> crashes;
    for (unsigned i = 1; i <= kReplicas; ++i)
        bed.addReplica(fmt::format("i-{}", i), "pool");
    bed.prepare = [&](Replica &replica) {
        EndpointStandin &server = *replica.server;
        server.prefillTime = Millis(300);
        server.eventGap = Millis(100);
        server.crashingPart = kCrashingPart;
        server.onCrash = [&bed, &crashes, &replica] {
            crashes.push_back(steadyNow());
            bed.record(fmt::format("{} crashes on part {}", replica.id, kCrashingPart));
            bed.at(bed.elapsed() + kBackAfter, [&bed, &replica] { bed.restart(replica); });
        };
    };
    bed.start();
    unsigned sound = 0;
    bed.every(Millis(500), kSoundInterval, kLength, [&] {
        ++sound;
        bed.send({.target = "/note/a",
                  .body = "sound",
                  .prompt = fmt::format("a{:x}:40,50{:06x}:1960", sound % 40, sound),
                  .deadline = Millis(10'000)});
    });
    unsigned crashing = 0;
    std::vector<std::string> crashingIds;
    bed.every(Millis(4000), kCrashingInterval, kLength - Millis(2000), [&] {
        ++crashing;
        crashingIds.push_back(
                bed.send({.target = "/note/a",
                          .body = "crashing",
                          .prompt = fmt::format("{}:40,60{:06x}:1960", kCrashingPart, crashing),
                          .deadline = Millis(10'000)})
                        .id);
    });
    if (bed.trouble()) {
        Replica &flapping = bed.replica("i-1");
        bed.every(Millis(2000), kPeriod, kLength, [&] {
            if (flapping.server && !flapping.server->crashed)
                bed.crash(flapping);
        });
        bed.every(Millis(2000) + kDown, kPeriod, kLength, [&] {
            if (!flapping.server)
                bed.restart(flapping);
        });
    }
    bed.runUntil(kLength);

    std::size_t late = 0;
    for (const Arrival &arrival : bed.arrivals()) {
        const Call *call = bed.findCall(arrival.requestId);
        const bool crashes5 = crashes.size() >= kCrashesBefore
                              && call->sentAt > crashes[kCrashesBefore - 1] + kStabilityWindow;
        const bool isCrashing
                = std::ranges::find(crashingIds, arrival.requestId) != crashingIds.end();
        if (isCrashing && crashes5)
            ++late;
    }
    std::size_t cut = 0;
    std::size_t served = 0;
    for (const Call &call : bed.calls()) {
        const bool isCrashing = std::ranges::find(crashingIds, call.id) != crashingIds.end();
        if (!isCrashing && call.status == 200 && call.complete)
            ++served;
        if (!isCrashing && call.endedAt != TimePoint{}
            && (call.status == 502 || (call.status == 200 && !call.complete)))
            ++cut;
    }
    bed.report(fmt::format("trouble: {}; requests with the crashing part: {}; crashes on it: {}; "
                           "such requests that reached a replica later than 3 s after the fifth "
                           "crash: {} ({} allowed)",
                           bed.trouble() ? "yes" : "no", crashing, crashes.size(), late, kAllowed));
    bed.report(fmt::format("sound requests: {}; served: {}; cut off after they had begun: {}",
                           bed.calls().size() - crashing, served, cut));
    return late > kAllowed ? 1 : 0;
}
