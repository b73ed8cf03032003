// How the gateway exchanges configuration and endpoints with its peers: pushed updates and pulls.

#include "base/log.h"
#include "base/number.h"
#include "gateway/gateway.h"
#include "gateway/meshwire.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <set>

namespace cicadafork::gateway {

namespace {

constexpr std::string_view kPullPath = "/v1/shared?";
constexpr std::string_view kConfigParameter = "config=";
constexpr std::string_view kGroupsParameter = "groups=";
constexpr std::size_t kHexPerGroup = 8;
// Updates arrive in datagrams of their own; only what is still missing after this time is pulled.
constexpr Millis kUpdateGrace{50};
// If no peer was seen ahead for this long, kUpdateGrace starts anew.
constexpr Millis kBehindResetTime{2000};
constexpr Millis kMinPullInterval{250};
// A peer that has not answered by then is frozen or unreachable; another one is asked.
constexpr Millis kPullTimeout{600};
// A configuration that no peer has provided by then is read from the store, since a change must be
// in force within 2 s. Also the minimum time between two such reads.
constexpr Millis kOwnReadDelay{1000};
// The store answers the first reads of a process within this time unless it is slow or unavailable.
// Until then, nothing is pulled from peers.
constexpr Millis kBootstrapGrace{400};
// The state of 4,096 endpoints and the longest configuration.
constexpr std::size_t kMaxSharedBytes = 32 * 1024 * 1024;
// Less than half of the slowest link (20 Mbit/s), so that responses to callers still get through
// when many daemons start and pull at once.
constexpr std::size_t kSharedBytesPerSecond = 1024 * 1024;

std::string_view parameter(std::string_view target, std::string_view name)
{
    const std::size_t at = target.find(name);
    if (at == std::string_view::npos)
        return {};
    target.remove_prefix(at + name.size());
    return target.substr(0, target.find('&'));
}

std::string toHex(const GroupDigests &digests)
{
    std::string text;
    for (const std::uint32_t digest : digests)
        text += fmt::format("{:08x}", digest);
    return text;
}

/// The groups whose digests differ from those in the text; all if the text has no valid list.
std::set<std::uint8_t> differingGroups(std::string_view text, const GroupDigests &own)
{
    std::set<std::uint8_t> groups;
    for (std::size_t i = 0; i < kEndpointGroups; ++i) {
        const bool named = text.size() == kEndpointGroups * kHexPerGroup;
        const std::string_view theirs
                = named ? text.substr(i * kHexPerGroup, kHexPerGroup) : std::string_view();
        if (parseNumber<std::uint32_t>(theirs, 16) != own[i])
            groups.insert(static_cast<std::uint8_t>(i));
    }
    return groups;
}

} // namespace

void Gateway::onEndpointUpdates(const PeerInfo &peer, const std::vector<EndpointUpdate> &updates)
{
    learnStoreEra(peer);
    // An endpoint may become cold between two records that say nothing else new.
    const bool onlyCold = std::ranges::all_of(updates, [](const EndpointUpdate &item) {
        return item.record && statesOnlyCold(*item.record);
    });
    for (const EndpointUpdate &item : updates) {
        if (item.record)
            noteColdFromPeer(*item.record);
    }
    updateColdLimitsIfChanged();
    if (onlyCold || peer.endpointsPosition <= endpointsPosition())
        return;
    for (const EndpointUpdate &item : updates) {
        if (item.record && statesOnlyCold(*item.record))
            continue;
        if (item.record)
            updateEndpoint(*item.record, kFromPeer);
        else
            removeEndpoint(item.id, "reported as removed by a peer that reads the store", item.last,
                           item.goneFor);
    }
    updateColdLimitsIfChanged();
    pendingUpdates_.clear();
    // More datagrams with the same position may follow, so this one does not complete it; the
    // digest shows whether one was lost.
    const StorePosition told = peer.endpointsPosition;
    if (told.offset > 0 && !peer.endpointsIncomplete)
        positionFromPeers_ = std::max(positionFromPeers_, {told.era, told.offset - 1});
}

void Gateway::onLeavingEndpoints(const std::vector<EndpointKey> &endpoints)
{
    for (const EndpointKey endpoint : endpoints)
        noteLeaving(endpoint, kFromPeer, {});
}

void Gateway::onConfigChange(const PeerInfo &peer, const ConfigChange &change)
{
    const std::uint64_t known = configs_.newest();
    if (change.version <= known || change.base != known)
        return;
    applyConfigChange(change, peer.name);
}

void Gateway::applyConfigChange(const ConfigChange &change, const std::string &peer)
{
    const auto text = capture([&] { return configs_.apply(change); });
    if (text) {
        applyConfig(*text, kFromPeer);
        return;
    }
    logEvent(LogLevel::Warning, "configuration_change_unusable",
             {{"peer", peer},
              {"version", std::to_string(change.version)},
              {"error", text.error().message}});
}

void Gateway::onIsolated()
{
    // Readers read the store often anyway, and while the store is lost, reads are retried anyway.
    if (announcesStoreChanges_ || storeLost_)
        return;
    if (!isolated_)
        logEvent(LogLevel::Warning, "peers_silent");
    isolated_ = true;
    configFollower_.retryNow();
    endpointFollower_.retryNow();
}

bool Gateway::isBootstrapping(TimePoint now) const
{
    return (!config_ || !endpointsKnown_) && !storeLost_ && now - startedAt_ < kBootstrapGrace;
}

void Gateway::onPeerMessage(const PeerInfo &peer)
{
    isolated_ = false;
    const TimePoint now = steadyNow();
    learnStoreEra(peer);
    if (!peer.endpointsIncomplete && peer.endpointsPosition > newestPeerPosition_) {
        newestPeerPosition_ = peer.endpointsPosition;
        storeOutage_.notePeerRead(now);
    }
    const bool sharesState = !peer.endpointsIncomplete && unconfirmedEndpoints_.empty()
                             && peer.endpointsDigest == endpoints_.digest();
    if (sharesState && peer.endpointsPosition.era == storeEra_.known())
        endpointFollower_.notePeerState(peer.endpointsPosition);
    const bool newerConfig = peer.configVersion > configs_.newest();
    const bool otherEndpoints = !peer.endpointsIncomplete
                                && peer.endpointsPosition > endpointsPosition()
                                && peer.endpointsDigest != endpoints_.digest();
    const bool readsItself = isPrimaryReader_ && endpointsKnown_ && !isStoreUnavailable();
    if ((!newerConfig && (!otherEndpoints || readsItself)) || isBootstrapping(now))
        return;
    if (now - lastSeenBehind_ > kBehindResetTime)
        behindSince_ = {};
    lastSeenBehind_ = now;
    if (behindSince_ == TimePoint())
        behindSince_ = now;
    if (now - behindSince_ < kUpdateGrace)
        return;
    if (pull_ && now - lastPull_ > kPullTimeout)
        pull_.reset();
    if (newerConfig && now - behindSince_ > kOwnReadDelay
        && now - lastDirectConfigRead_ > kOwnReadDelay) {
        lastDirectConfigRead_ = now;
        configFollower_.retryNow();
    }
    if (pull_ || now - lastPull_ < kMinPullInterval)
        return;
    lastPull_ = now;
    pullFrom(peer);
}

void Gateway::pullFrom(const PeerInfo &peer)
{
    const Address address{peer.ip, settings_.control.port};
    HeaderList headers;
    headers.add("Host", toString(address));
    pullBody_.clear();
    UpstreamHandlers handlers;
    handlers.head = [this](HttpResponseHead &&head) {
        pullStatus_ = head.status;
        return HeadAction::Accept;
    };
    handlers.body = [this](std::string_view bytes) { pullBody_ += bytes; };
    handlers.end = [this, name = peer.name](UpstreamOutcome end) {
        const auto call = std::move(pull_);
        if (end == UpstreamOutcome::Complete && pullStatus_ == 200)
            applySharedState(pullBody_, name);
        else
            logEvent(LogLevel::Debug, "peer_state_not_given", {{"peer", name}});
        pullBody_ = {};
    };
    const std::string target
            = fmt::format("{}{}{}&{}{}", kPullPath, kConfigParameter, configs_.newest(),
                          kGroupsParameter, toHex(endpoints_.groupDigests()));
    pull_ = pool_.call(
            address,
            {.head = serializeRequestHead("GET", target, headers), .maxHeldBytes = kMaxSharedBytes},
            std::move(handlers));
}

void Gateway::answerPull(const std::shared_ptr<HttpServerConnection> &caller,
                         const std::string &target)
{
    const TimePoint now = steadyNow();
    if (now - sharedWindow_ >= std::chrono::seconds(1)) {
        sharedWindow_ = now;
        sharedBytes_ = 0;
    }
    HeaderList headers;
    if (sharedBytes_ >= kSharedBytesPerSecond) {
        caller->respond(503, std::move(headers), {});
        return;
    }
    std::string body = sharedState(
            parseNumber<std::uint64_t>(parameter(target, kConfigParameter)).value_or(0),
            parameter(target, kGroupsParameter));
    sharedBytes_ += body.size();
    headers.add("Content-Type", "application/octet-stream");
    caller->respond(200, std::move(headers), std::move(body));
}

std::string Gateway::sharedState(std::uint64_t knownConfig, std::string_view knownGroups) const
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::SharedState>();
    root.setConfigVersion(configs_.newest());
    if (configs_.newest() > knownConfig) {
        if (const auto change = configs_.changeFrom(knownConfig))
            fillConfigChange(root.initConfigChange(), *change);
        else
            root.setConfigText(configs_.newestText());
    }
    const StorePosition position = sharedPosition();
    root.setEndpointsPosition(position.offset);
    root.setEndpointsEra(position.era);
    const std::set<std::uint8_t> groups = differingGroups(knownGroups, endpoints_.groupDigests());
    auto groupList = root.initEndpointGroups(static_cast<unsigned>(groups.size()));
    unsigned index = 0;
    for (const std::uint8_t group : groups)
        groupList.set(index++, group);
    std::vector<EndpointUpdate> entries;
    const auto wanted = [&](const std::string &id) {
        return groups.contains(static_cast<std::uint8_t>(endpointGroup(id)));
    };
    for (const auto &[id, row] : endpoints_.rows()) {
        if (wanted(id))
            entries.push_back({id, withColdTime(row.record)});
    }
    const TimePoint now = steadyNow();
    for (const auto &[id, departure] : departed_.rows()) {
        if (wanted(id))
            entries.push_back({id, std::nullopt, departure.last,
                               std::chrono::duration_cast<Millis>(now - departure.at)});
    }
    auto list = root.initEndpoints(static_cast<unsigned>(entries.size()));
    index = 0;
    for (const EndpointUpdate &entry : entries)
        fillEndpointUpdate(list[index++], entry);
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

void Gateway::applySharedState(const std::string &bytes, const std::string &peer)
{
    try {
        // Cap'n Proto requires word alignment.
        std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
        std::memcpy(words.data(), bytes.data(), words.size() * sizeof(capnp::word));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = kMaxSharedBytes;
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()), options);
        const auto root = reader.getRoot<wire::SharedState>();
        if (root.getConfigVersion() > configs_.newest()) {
            if (root.hasConfigChange())
                applyConfigChange(readConfigChange(root.getConfigChange()), peer);
            else
                applyConfig(root.getConfigText(), kFromPeer);
        }
        const bool readsItself = isPrimaryReader_ && endpointsKnown_ && !isStoreUnavailable();
        const StorePosition position{root.getEndpointsEra(), root.getEndpointsPosition()};
        if (position <= endpointsPosition() || readsItself)
            return;
        std::set<std::string> listed;
        for (const EndpointUpdate &entry : readEndpointUpdates(root.getEndpoints())) {
            if (!entry.record) {
                const EndpointRow *row = endpoints_.findById(entry.id);
                if (!row || !wasWrittenAfter(row->record, entry.last))
                    removeEndpoint(entry.id, "left, as a peer that reads the store knows",
                                   entry.last, entry.goneFor);
                continue;
            }
            listed.insert(entry.id);
            updateEndpoint(*entry.record, kFromPeer);
        }
        std::set<std::size_t> groups;
        for (const std::uint8_t group : root.getEndpointGroups())
            groups.insert(group);
        // A peer that has started in the new era knows only what the older copy has.
        const auto mayReturnUntil = storeOutage_.absentRecordMayReturnUntil(steadyNow());
        for (const std::string &id : endpoints_.ids()) {
            if (groups.contains(endpointGroup(id)) && !listed.contains(id))
                onEndpointMissing(id, {.storeEra = position.era}, mayReturnUntil);
        }
        updateColdLimitsIfChanged();
        pendingUpdates_.clear();
        positionFromPeers_ = position;
        endpointsKnown_ = true;
        behindSince_ = {};
        logEvent(LogLevel::Info, "endpoints_from_peer",
                 {{"peer", peer},
                  {"era", std::to_string(position.era)},
                  {"position", std::to_string(position.offset)},
                  {"count", std::to_string(listed.size())}});
    } catch (const kj::Exception &error) {
        logEvent(LogLevel::Warning, "peer_state_unreadable",
                 {{"peer", peer}, {"error", error.getDescription().cStr()}});
    }
}

} // namespace cicadafork::gateway
