#include "gateway/limitsharers.h"

#include <algorithm>

namespace cicadafork::gateway {

namespace {

// Daemons that start together find each other within this time: the first reads of the store take
// up to 0.4 s, and a daemon that the list names is told at once.
constexpr Millis kDiscoveryTime{1000};
// The same without the list, through the heartbeats of the seeds: up to 3 s apart with 295 daemons.
constexpr Millis kDiscoveryTimeWithoutList{5000};
// Far longer than partitions and cold times. A failed daemon leaves its part unused for this time.
constexpr std::chrono::minutes kSharerLifetime{10};
// As many as the mesh knows, and as many that have been replaced.
constexpr std::size_t kMaxDaemons = 2048;

} // namespace

LimitSharers::LimitSharers(DaemonKey self, TimePoint startedAt)
    : self_(self)
    , startedAt_(startedAt)
{
}

void LimitSharers::noteListRead()
{
    listRead_ = true;
}

bool LimitSharers::hasRoom(TimePoint now)
{
    if (rows_.size() >= kMaxDaemons) {
        std::erase_if(rows_, [&](const auto &entry) {
            return entry.second.leaving || now - entry.second.knownAt > kSharerLifetime;
        });
    }
    return rows_.size() < kMaxDaemons;
}

void LimitSharers::noteListed(DaemonKey daemon, TimePoint now)
{
    // The list keeps daemons that are gone for good, so being listed again says nothing.
    if (daemon != self_ && !rows_.contains(daemon) && hasRoom(now))
        rows_[daemon].knownAt = now;
}

void LimitSharers::noteHeard(DaemonKey daemon, TimePoint heardAt, bool leaving)
{
    if (daemon == self_ || (!rows_.contains(daemon) && !hasRoom(heardAt)))
        return;
    Row &row = rows_[daemon];
    row.knownAt = heardAt;
    row.leaving = leaving;
}

std::vector<DaemonKey> LimitSharers::sharers(TimePoint now) const
{
    if (nextChange(now))
        return {};
    std::vector<DaemonKey> sharers{self_};
    for (const auto &[daemon, row] : rows_) {
        if (!row.leaving && now - row.knownAt <= kSharerLifetime)
            sharers.push_back(daemon);
    }
    return sharers;
}

std::optional<TimePoint> LimitSharers::nextChange(TimePoint now) const
{
    const TimePoint known = startedAt_ + (listRead_ ? kDiscoveryTime : kDiscoveryTimeWithoutList);
    return now < known ? std::optional(known) : std::nullopt;
}

} // namespace cicadafork::gateway
