// Case 13: a rolling restart of the daemons forgets the crashes of a request that is not blocked
// yet.

#include "bed3.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

using namespace cicadafork;
using namespace cicadafork::review;

namespace {

constexpr unsigned kReplicas = 8;
constexpr Millis kLength{72'000};
// "The replica is back after some seconds."
constexpr Millis kBackAfter{3000};
constexpr Millis kSoundInterval{25};
// The crashing request comes three times before the rolling restart, and again after it.
constexpr Millis kFirst{2000};
constexpr Millis kInterval{4000};
constexpr Millis kRollAt{16'000};
constexpr Millis kRestartDelay{500};
constexpr Millis kAgain{36'000};
// stabilityWindowMs of the site.
constexpr Millis kStabilityWindow{3000};
constexpr std::size_t kCrashesBefore = 3;
constexpr std::size_t kAllowed = 3;
constexpr const char *kCrashingBody = "the request that crashes the replicas that run it";

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
        server.crashingBody = kCrashingBody;
        server.onCrash = [&bed, &crashes, &replica] {
            crashes.push_back(steadyNow());
            bed.record(fmt::format("{} crashes on the request", replica.id));
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
    std::set<std::string> crashing;
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
        crashing.insert(call.id);
    };
    bed.every(kFirst, kInterval, kFirst + 3 * kInterval, sendCrashing);
    bed.every(kAgain, kInterval, kLength - Millis(2000), sendCrashing);
    std::function<void(std::size_t)> roll = [&](std::size_t daemon) {
        if (daemon == 2)
            return;
        bed.terminate(daemon);
        auto wait = std::make_shared<std::function<void(bool)>>();
        *wait = [&bed, &roll, daemon, wait](bool ended) {
            if (!ended && bed.running(daemon)) {
                bed.at(bed.elapsed() + Millis(50), [wait] { (*wait)(false); });
            } else if (!ended) {
                bed.at(bed.elapsed() + kRestartDelay, [&bed, daemon, wait] {
                    bed.startDaemon(daemon);
                    (*wait)(true);
                });
            } else if (!bed.inRotation(daemon)) {
                bed.at(bed.elapsed() + Millis(50), [wait] { (*wait)(true); });
            } else {
                bed.at(bed.elapsed() + Millis(1000), [&roll, daemon] { roll(daemon + 1); });
            }
        };
        (*wait)(false);
    };
    if (bed.trouble())
        bed.at(kRollAt, [&] { roll(0); });
    bed.runUntil(kLength);

    std::size_t retries = 0;
    for (const Arrival &arrival : bed.arrivals()) {
        const auto found = sent.find(arrival.requestId);
        if (found != sent.end() && crashes.size() >= kCrashesBefore && found->second.inTouch
            && found->second.at > crashes[kCrashesBefore - 1] + kStabilityWindow)
            ++retries;
    }
    std::size_t lost = 0;
    for (const Call &call : bed.calls())
        lost += !crashing.contains(call.id) && call.endedAt != TimePoint{}
                                && (call.status == 502 || (call.status == 200 && !call.complete))
                        ? 1
                        : 0;
    bed.report(fmt::format("trouble: {}; times that the crashing request came: {}; crashes on it: "
                           "{}; times that it reached a replica later than 3 s after the third "
                           "crash, from machines in touch: {} ({} allowed)",
                           bed.trouble() ? "yes" : "no", crashing.size(), crashes.size(), retries,
                           kAllowed));
    bed.report(fmt::format("sound requests: {}; cut off after they had begun: {}",
                           bed.calls().size() - crashing.size(), lost));
    return retries > kAllowed ? 1 : 0;
}
