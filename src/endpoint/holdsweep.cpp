#include "endpoint/holdsweep.h"

#include <algorithm>

namespace cicadafork {

HolderState holderState(const EngineHold &hold, const std::vector<PeerView> &members)
{
    const auto member = std::find_if(members.begin(), members.end(),
                                     [&](const PeerView &peer) { return peer.id == hold.holder; });
    if (member == members.end())
        return HolderState::Unknown;
    // A member that never sent a heartbeat has no incarnation yet.
    if (member->incarnation.empty() || member->incarnation == hold.incarnation)
        return HolderState::Live;
    // Incarnations are UUIDv7 and sort by age: a newer one than the known is a restart that this
    // daemon has not heard of.
    return hold.incarnation < member->incarnation ? HolderState::Replaced : HolderState::Live;
}

std::vector<std::string> HoldSweep::orphans(const std::vector<EngineHold> &holds,
                                            const std::vector<PeerView> &members, TimePoint now)
{
    std::vector<std::string> found;
    for (const EngineHold &hold : holds) {
        const HolderState state = holderState(hold, members);
        if (state == HolderState::Replaced)
            found.push_back(hold.holdId);
        if (state != HolderState::Unknown)
            continue;
        Suspect *suspect = suspects_.insert(hold.holdId);
        if (!suspect)
            continue;
        if (suspect->since == TimePoint{})
            suspect->since = now;
        suspect->lastSeen = now;
        if (now - suspect->since >= kUnknownHolderGrace)
            found.push_back(hold.holdId);
    }
    suspects_.eraseIf([&](const std::string &, const Suspect &suspect) {
        return now - suspect.lastSeen > 2 * kUnknownHolderGrace;
    });
    return found;
}

} // namespace cicadafork
