#pragma once

// The daemons that share the limits of cold endpoints.
//
//   LimitSharers sharers(self, now);
//   sharers.noteListed(peer, now);
//   sharers.noteHeard(peer, heardAt, isLeaving);
//   limits.setColdLimits(cold, sharers.sharers(now), now);
//
// For a fleet that is partitioned while endpoints are cold: if each side shared a limit among the
// daemons that it hears, each would use all of it. So a silent daemon keeps its part for long, and
// only one that has said that it leaves gives it up at once. A daemon that has just started uses
// nothing until it has had time to learn of the others.

#include "gateway/endpointlimits.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace cicadafork::gateway {

class LimitSharers
{
public:
    LimitSharers(DaemonKey self, TimePoint startedAt);

    /// The list of the members in the store has been read.
    void noteListRead();
    /// The list, or a peer, names a daemon.
    void noteListed(DaemonKey daemon, TimePoint now);
    void noteHeard(DaemonKey daemon, TimePoint heardAt, bool leaving);

    /// Empty while this daemon does not know the others.
    std::vector<DaemonKey> sharers(TimePoint now) const;
    /// When it will know them at the latest; absent if it does already.
    std::optional<TimePoint> nextChange(TimePoint now) const;

private:
    struct Row
    {
        TimePoint knownAt{}; ///< Last heard, or first listed if it never was.
        bool leaving = false;
    };

    bool hasRoom(TimePoint now);

    DaemonKey self_;
    TimePoint startedAt_;
    bool listRead_ = false;
    std::unordered_map<DaemonKey, Row> rows_;
};

} // namespace cicadafork::gateway
