#include "peer/heartbeats.h"

namespace cicadafork {

void Heartbeats::tick(TimePoint now)
{
    for (const HeartbeatDue &due : fleet_.heartbeatsDue(now)) {
        // Only what an answer needs is kept, not the digest.
        const HeartbeatDue sent{due.peerId, due.address, {}, due.builtAt};
        client_.heartbeat(due, timeout_, [&fleet = fleet_, sent](const auto &answer) {
            if (!answer)
                return;
            fleet.applyReply(sent, answer->reply, steadyNow());
            fleet.noteDigestBytes(answer->bytes);
        });
    }
}

} // namespace cicadafork
