#include "overload/demand.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cicadafork::overload {

bool comesBefore(const WaitingRank &rank, const WaitingRank &other, TimePoint now)
{
    const auto key = [now](const WaitingRank &of) {
        return std::tuple(of.objective <= now, of.priority, of.objective, of.tie);
    };
    return key(rank) < key(other);
}

DemandTable::DemandTable(std::size_t maxDaemons)
    : maxDaemons_(maxDaemons)
{
}

void DemandTable::note(DaemonId daemon, std::vector<ServiceDemand> demands, TimePoint now)
{
    if (demands.empty()) {
        rows_.erase(daemon);
        return;
    }
    std::erase_if(rows_, [now](const auto &row) { return now - row.second.at > kDemandLifetime; });
    if (rows_.size() < maxDaemons_ || rows_.contains(daemon))
        rows_[daemon] = {std::move(demands), now};
}

std::vector<WaitingRank> DemandTable::waiting(ServiceId service, TimePoint now) const
{
    std::vector<WaitingRank> ranks;
    for (const auto &[daemon, row] : rows_) {
        if (now - row.at > kDemandLifetime)
            continue;
        for (const ServiceDemand &demand : row.demands) {
            if (demand.service == service)
                ranks.insert(ranks.end(), demand.first.begin(), demand.first.end());
        }
    }
    return ranks;
}

unsigned DemandTable::countWaiting(ServiceId service, TimePoint now) const
{
    unsigned waiting = 0;
    for (const auto &[daemon, row] : rows_) {
        if (now - row.at > kDemandLifetime)
            continue;
        for (const ServiceDemand &demand : row.demands)
            waiting += demand.service == service ? demand.waiting : 0;
    }
    return waiting;
}

} // namespace cicadafork::overload
