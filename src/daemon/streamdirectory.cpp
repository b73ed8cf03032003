#include "daemon/streamdirectory.h"

#include "base/hash.h"

#include <algorithm>

namespace cicadafork {

namespace {

constexpr Millis kSweepInterval{1000};

/// Adds the first members in rendezvous order that are not yet chosen.
void addKeepers(std::vector<PeerView> &keepers, const std::string &requestKey,
                const std::vector<PeerView> &candidates, std::size_t count)
{
    std::vector<std::string> ids;
    for (const PeerView &peer : candidates)
        ids.push_back(peer.id);
    std::size_t rank = 0;
    for (const std::string &id : rendezvousOrder(requestKey, ids)) {
        if (rank++ == count)
            return;
        const auto hasId = [&](const PeerView &peer) { return peer.id == id; };
        if (std::any_of(keepers.begin(), keepers.end(), hasId))
            continue;
        keepers.push_back(*std::find_if(candidates.begin(), candidates.end(), hasId));
    }
}

} // namespace

void StreamDirectory::note(const std::string &requestKey, const std::string &endpointId,
                           TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (Row *row = rows_.insert(requestKey))
        *row = {endpointId, now + kStreamNoteLifetime};
}

std::optional<std::string> StreamDirectory::find(const std::string &requestKey, TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    const Row *row = rows_.find(requestKey);
    if (!row || row->expires <= now)
        return std::nullopt;
    return row->endpointId;
}

void StreamDirectory::tick(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (now < nextSweep_)
        return;
    nextSweep_ = now + kSweepInterval;
    rows_.eraseIf([&](const std::string &, const Row &row) { return row.expires <= now; });
}

std::size_t StreamDirectory::size() const
{
    const std::lock_guard lock(mutex_);
    return rows_.size();
}

std::vector<PeerView> streamKeepers(const std::string &requestKey, const std::string &ownDomain,
                                    const std::vector<PeerView> &peers, bool withSpares)
{
    std::vector<PeerView> live;
    std::vector<PeerView> liveInDomain;
    for (const PeerView &peer : peers) {
        if (!peer.alive)
            continue;
        live.push_back(peer);
        if (peer.failureDomain == ownDomain)
            liveInDomain.push_back(peer);
    }
    const std::size_t count = withSpares ? 2 : 1;
    std::vector<PeerView> keepers;
    addKeepers(keepers, requestKey, liveInDomain, count);
    addKeepers(keepers, requestKey, live, count);
    return keepers;
}

} // namespace cicadafork
