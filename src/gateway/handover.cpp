#include "gateway/handover.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace cicadafork::gateway {

const HandoverPeer *choosePeer(const std::vector<HandoverPeer> &candidates,
                               std::uint64_t tieBreaker)
{
    const auto rank = [&](const HandoverPeer &peer) {
        return std::tuple(!peer.hasConfig, peer.inProgress, !peer.inOwnDomain,
                          mix64(fnv1a64(peer.ip) ^ tieBreaker));
    };
    const auto best = std::ranges::min_element(candidates, {}, rank);
    return best == candidates.end() || !best->hasConfig ? nullptr : &*best;
}

bool isPromiseOfNotRun(int status)
{
    // Misdirected Request, Service Unavailable, Too Many Requests and Request Timeout.
    return status == 421 || status == 503 || status == 429 || status == 408;
}

} // namespace cicadafork::gateway
