#pragma once

// Entry VMs and endpoints in three failure domains, for the membership tests.
//
//   auto fleet = makeFleet(1);
//   fleet->applyVmList(fleetList(1, 2), kStart);

#include "membership/fleettable.h"

#include <memory>
#include <string>

namespace cicadafork::test {

/// Start of the simulated time, far enough from the epoch that subtracting an age stays positive.
inline const TimePoint kStart = TimePoint(std::chrono::hours(1000));

inline TimePoint at(int millis)
{
    return kStart + Millis(millis);
}

inline VmRow entry(const std::string &id, const std::string &domain)
{
    return {id, VmKind::Entry, domain, {"127.0.0.1", 80}, Address{"127.0.1." + id.substr(1), 81},
            "", false};
}

inline VmRow endpoint(const std::string &id, const std::string &domain, bool leaving = false)
{
    return {id, VmKind::Endpoint, domain, {"127.0.0.9", 90}, std::nullopt, "service", leaving};
}

/// Entry VMs m1..mN spread over the domains d0..d2, and one endpoint (e0, e1, e2) in each domain.
inline VmList fleetList(std::uint64_t version, int members)
{
    VmList list{version, {}, 0};
    for (int i = 1; i <= members; ++i)
        list.vms.push_back(entry("m" + std::to_string(i), "d" + std::to_string(i % 3)));
    for (const char *id : {"0", "1", "2"})
        list.vms.push_back(endpoint(std::string("e") + id, std::string("d") + id));
    return list;
}

inline std::unique_ptr<FleetTable> makeFleet(int self, const std::string &incarnation = "i1")
{
    FleetOptions options;
    options.selfId = "m" + std::to_string(self);
    options.selfDomain = "d" + std::to_string(self % 3);
    options.incarnation = incarnation;
    return std::make_unique<FleetTable>(options);
}

} // namespace cicadafork::test
