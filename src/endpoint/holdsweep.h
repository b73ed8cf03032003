#pragma once

// Finds KV holds whose holder is gone, so that no engine loses memory for good.
//
//   HoldSweep sweep;
//   for (const std::string &holdId : sweep.orphans(endpointId, holds, members, now))
//       client.releaseHold(holdId, timeout);
//
// The expiry of a hold is the backstop; the sweep frees the memory earlier. Releasing twice, or
// after the engine has expired the hold, does no harm.

#include "base/clock.h"
#include "base/table.h"
#include "endpoint/engineclient.h"
#include "membership/fleet.h"

#include <string>
#include <vector>

namespace cicadafork {

/// A holder that this daemon does not know may be new: the VM list lags by a few seconds.
inline constexpr Millis kUnknownHolderGrace{5000};

enum class HolderState {
    Live,     ///< Known with this incarnation, or not judged: it may be cut off.
    Replaced, ///< Known with another incarnation: the holder's run has ended.
    Unknown,  ///< Not a member.
};

HolderState holderState(const EngineHold &hold, const std::vector<PeerView> &members);

class HoldSweep
{
public:
    explicit HoldSweep(std::size_t limit = 4096)
        : suspects_(limit)
    {
    }

    /// Holds to release now: those of a replaced holder at once, those of an unknown one after
    /// the grace. Members must include this daemon itself.
    std::vector<std::string> orphans(const std::vector<EngineHold> &holds,
                                     const std::vector<PeerView> &members, TimePoint now);

private:
    struct Suspect
    {
        TimePoint since;
        TimePoint lastSeen;
    };

    Table<std::string, Suspect> suspects_; ///< By hold id.
};

} // namespace cicadafork
