// Case 12: a replica that goes down and up makes a new part of sound prompts look like one on which
// replicas crash. Requests with it are refused, and those in progress are ended.

#include "bed3.h"

#include <fmt/format.h>

#include <set>

using namespace cicadafork;
using namespace cicadafork::review;

namespace {

constexpr unsigned kReplicas = 12;
constexpr Millis kLength{30'000};
constexpr Millis kOtherInterval{250};
// Requests with the new part.
constexpr Millis kNewAt{6000};
constexpr Millis kNewInterval{50};
// The replica that flaps.
constexpr Millis kFlapsFrom{5900};
constexpr Millis kFlapsUntil{14'000};
constexpr Millis kPeriod{1200};
constexpr Millis kDown{300};
constexpr std::size_t kAllowed = 5;
constexpr std::size_t kAllowedOneIn = 500;
constexpr const char *kNewPart = "50fd0001";

} // namespace

int main(int argc, char **argv)
{
    std::string config = kSmallConfig;
    const std::string gap = R"("gapGoalMs":500)";
    config.replace(config.find(gap), gap.size(), R"("gapGoalMs":1000)");
    Bed bed(argc, argv, {.daemons = 2, .config = config});
    for (unsigned i = 1; i <= kReplicas; ++i)
        bed.addReplica(fmt::format("i-{}", i), "pool");
    bed.prepare = [](Replica &replica) {
        replica.server->prefillTime = Millis(280);
        replica.server->eventGap = Millis(980);
    };
    bed.start();
    unsigned sent = 0;
    const auto send = [&](const std::string &part) {
        ++sent;
        return bed
                .send({.target = "/note/a",
                       .body = "sound",
                       .prompt = fmt::format("{}:40,50{:06x}:44960", part, sent),
                       .promptTokens = 45'000,
                       .deadline = Millis(10'000)})
                .id;
    };
    bed.every(Millis(100), kOtherInterval, kLength - Millis(10'000),
              [&] { send(fmt::format("a{:x}", sent % 40)); });
    std::set<std::string> withPart;
    bed.every(kNewAt, kNewInterval, kLength - Millis(10'000),
              [&] { withPart.insert(send(kNewPart)); });
    if (bed.trouble()) {
        Replica &flapping = bed.replica("i-1");
        bed.every(kFlapsFrom, kPeriod, kFlapsUntil, [&] { bed.crash(flapping); });
        bed.every(kFlapsFrom + kDown, kPeriod, kFlapsUntil + kDown, [&] { bed.restart(flapping); });
    }
    bed.runUntil(kLength);

    std::size_t refused = 0;
    std::size_t ended = 0;
    std::size_t withPartServed = 0;
    for (const Call &call : bed.calls()) {
        refused += call.status == 400;
        ended += withPart.contains(call.id) && call.status == 502;
        withPartServed += withPart.contains(call.id) && call.status == 200 && call.complete;
    }
    const std::size_t allowed = kAllowed + bed.calls().size() / kAllowedOneIn;
    bed.report(fmt::format("trouble: {}; sound requests: {}; refused with 400: {} ({} allowed)",
                           bed.trouble() ? "yes" : "no", bed.calls().size(), refused, allowed));
    bed.report(fmt::format("with the new part: {}; served: {}; answered 502 after they had been "
                           "passed on: {}",
                           withPart.size(), withPartServed, ended));
    return refused > allowed ? 1 : 0;
}
