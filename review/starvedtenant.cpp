// Case 11: after the replicas of a service have crashed at once, equal requests of a tenant are
// taken for deadly and may be sent by one daemon only, which its clients never reach.

#include "bed3.h"

#include <fmt/format.h>

#include <map>

using namespace cicadafork;
using namespace cicadafork::review;

namespace {

constexpr unsigned kReplicas = 3;
constexpr unsigned kTenants = 5;
constexpr Millis kLength{42'000};
constexpr Millis kInterval{5};
constexpr unsigned kEachTime = 2;
constexpr Millis kOtherInterval{4};
// The calls that are in progress take up to this long.
constexpr Millis kWork{110};
constexpr Millis kCrashAt{2500};
constexpr Millis kBackAt{4500};

} // namespace

int main(int argc, char **argv)
{
    std::string config = kSmallConfig;
    std::string tenants = R"({"name":"estate","apiKeys":["k1"]})";
    const std::size_t at = config.find(tenants);
    const std::size_t size = tenants.size();
    for (unsigned i = 1; i <= kTenants; ++i)
        tenants += fmt::format(R"(,{{"name":"kiosk-{0}","apiKeys":["kiosk{0}"]}})", i);
    config.replace(at, size, tenants);
    Bed bed(argc, argv, {.daemons = 8, .zones = 3, .config = config});
    for (unsigned i = 1; i <= kReplicas; ++i)
        bed.addReplica(fmt::format("i-{}", i), "app");
    bed.start();
    std::map<std::string, std::string> tenantOf;
    unsigned sent = 0;
    // The kiosks are in the zone of the daemons 3 and 6, and ask for the same again and again.
    bed.every(Millis(500), kInterval, kLength - Millis(1500), [&] {
        for (unsigned i = 0; i < kEachTime; ++i, ++sent) {
            const std::string name = fmt::format("kiosk{}", 1 + sent % kTenants);
            const std::size_t daemon = sent / kTenants % 2 == 0 ? 2 : 5;
            tenantOf[bed.send({.target = "/ack/card",
                               .body = "card",
                               .key = name,
                               .deadline = Millis(1500),
                               .daemon = daemon})
                             .id]
                    = name;
        }
    });
    unsigned others = 0;
    bed.every(Millis(500), kOtherInterval, kLength - Millis(1500), [&] {
        ++others;
        tenantOf[bed.send({.target = "/ack/other",
                           .body = fmt::format("other {}", others),
                           .deadline = Millis(1500)})
                         .id]
                = "estate";
    });
    bed.at(kCrashAt - kWork, [&] {
        for (Replica &replica : bed.replicas())
            replica.server->fallSilent(kWork + Millis(20));
    });
    if (bed.trouble()) {
        bed.at(kCrashAt, [&] {
            for (Replica &replica : bed.replicas())
                bed.crash(replica);
        });
        bed.at(kBackAt, [&] {
            for (Replica &replica : bed.replicas())
                bed.restart(replica);
        });
    }
    bed.runUntil(kLength);

    struct Count
    {
        std::size_t all = 0;
        std::size_t served = 0;
    };
    std::map<std::string, Count> counts;
    Count all;
    for (const Call &call : bed.calls()) {
        Count &count = counts[tenantOf[call.id]];
        for (Count *of : {&count, &all}) {
            ++of->all;
            of->served += call.status == 200 && call.complete;
        }
    }
    const auto share = [](const Count &count) {
        return static_cast<double>(count.served) / static_cast<double>(count.all);
    };
    unsigned starved = 0;
    for (const auto &[name, count] : counts) {
        bed.report(fmt::format("{}: {} requests, {} served", name, count.all, count.served));
        starved += share(count) < share(all) / 4;
    }
    bed.report(
            fmt::format("trouble: {}; all: {} requests, {} served; tenants that were served less "
                        "than a quarter as often: {} (0 allowed)",
                        bed.trouble() ? "yes" : "no", all.all, all.served, starved));
    return starved > 0 ? 1 : 0;
}
