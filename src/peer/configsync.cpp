#include "peer/configsync.h"

#include <algorithm>
#include <map>
#include <thread>

namespace cicadafork {

namespace {

/// Peers asked in one turn, so that several dead ones do not use up the 6 s.
constexpr std::size_t kPullCandidates = 3;

} // namespace

ConfigSync::ConfigSync(LogConfigStore &store, FleetTable &fleet, PeerClient &client,
                       ConfigSyncOptions options)
    : store_(store)
    , fleet_(fleet)
    , client_(client)
    , options_(std::move(options))
{
}

void ConfigSync::runReader()
{
    const std::optional<Offset> before = store_.nextOffset();
    if (before && !isConfigReader(options_.selfId, fleet_.liveInOwnDomain(steadyNow()))) {
        std::this_thread::sleep_for(options_.idlePause);
        return;
    }
    const auto read = capture([&] { return store_.readOnce(options_.readWait); });
    if (!read) {
        std::this_thread::sleep_for(options_.failurePause);
        return;
    }
    if (before != store_.nextOffset())
        pushToPeers(steadyNow());
    else
        store_.maintainSnapshots(steadyNow());
}

void ConfigSync::runRepair()
{
    pullOnce(steadyNow());
    std::this_thread::sleep_for(options_.repairInterval);
}

bool ConfigSync::pullOnce(TimePoint now)
{
    const std::optional<Offset> own = store_.nextOffset();
    auto peers = fleet_.peers(now);
    std::erase_if(peers, [&](const PeerView &peer) {
        return !peer.alive || (own && peer.configOffset <= *own);
    });
    std::stable_sort(peers.begin(), peers.end(), [](const auto &left, const auto &right) {
        return left.configOffset > right.configOffset;
    });
    peers.resize(std::min(peers.size(), kPullCandidates));
    for (const PeerView &peer : peers) {
        const auto update = capture([&]() -> Result<ConfigUpdate> {
            BOOST_LEAF_AUTO(text, client_.pullConfig({peer.id, peer.peerAddress}, own.value_or(0),
                                                     options_.pullTimeout));
            return decodeUpdate(text);
        });
        if (update && store_.applyPushed(*update)) {
            pushToPeers(steadyNow());
            return true;
        }
    }
    return false;
}

void ConfigSync::pushToPeers(TimePoint now)
{
    const std::optional<Offset> own = store_.nextOffset();
    const auto domain = fleet_.liveInOwnDomain(now);
    // Peers mostly stand at the same offset, so that one encoding serves many of them.
    std::map<Offset, std::string> encoded;
    for (const PeerView &peer : fleet_.peers(now)) {
        const bool near = std::find(domain.begin(), domain.end(), peer.id) != domain.end();
        if (!near || !peer.alive || !own || peer.configOffset >= *own)
            continue;
        std::string &update = encoded[peer.configOffset];
        if (update.empty())
            update = encodeUpdate(store_.updateSince(peer.configOffset));
        client_.pushConfigAsync({peer.id, peer.peerAddress}, update, options_.pushTimeout,
                                [](const auto &) {}); // A lost push is repaired by a pull.
    }
}

} // namespace cicadafork
