#include "peer/heartbeats.h"

namespace cicadafork {

void Heartbeats::tick(TimePoint now)
{
    client_.heartbeats(fleet_.heartbeatsDue(now), timeout_,
                       [&fleet = fleet_](const HeartbeatDue &sent, const auto &answer) {
                           if (!answer)
                               return;
                           fleet.applyReply(sent, answer->reply, steadyNow());
                           fleet.noteDigestBytes(answer->bytes);
                       });
}

} // namespace cicadafork
