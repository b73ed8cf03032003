#include "gateway/mesh.h"

#include "base/hash.h"
#include "base/jitter.h"
#include "base/log.h"
#include "gateway/meshwire.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <fmt/format.h>
#include <kj/io.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <limits>

namespace cicadafork::gateway {

namespace {

// Keeps datagrams below the usual MTU: an encoded job takes about 72 bytes.
constexpr std::size_t kJobsPerDatagram = 16;
constexpr std::size_t kMembersPerDatagram = 3;
constexpr std::size_t kEndpointUpdatesPerDatagram = 8;
constexpr std::size_t kLoadsPerDatagram = 32;
constexpr std::size_t kLeavingEndpointsPerHeartbeat = 16;
constexpr std::size_t kCrashesPerHeartbeat = 3;
constexpr std::size_t kLimitsPerHeartbeat = 8;
// Peers pull a larger change of the configuration over a TCP connection.
constexpr std::size_t kMaxPushedDelta = 1100;
// Isolation timeout, in average gaps between the heartbeats of all peers. Peers send at different
// times, so this many missing in a row are unlikely to be chance.
constexpr int kIsolationHeartbeats = 4;
constexpr Millis kMinIsolationTimeout{500};
// Peers rely on the estimate for prefills up to this long; the end of a longer one is sent.
constexpr FloatMillis kShortPrefill{60};
constexpr std::size_t kMaxDatagram = 16 * 1024;
// Datagrams that are read before other handlers of the event loop run.
constexpr int kMaxDatagramsPerRead = 64;
// Failed peers get only every n-th heartbeat.
constexpr unsigned kHeartbeatsPerFailedPeerRetry = 4;

void fillLeavingEndpoints(wire::Datagram::Builder root, const std::vector<EndpointKey> &endpoints)
{
    auto list = root.initLeavingEndpoints(static_cast<unsigned>(endpoints.size()));
    for (unsigned i = 0; i < endpoints.size(); ++i)
        list.set(i, endpoints[i]);
}

/// At most `count` of the items; successive turns go through all of them.
template <class Item>
std::vector<Item> turnOf(std::vector<Item> items, std::size_t count, unsigned turn)
{
    if (items.size() <= count)
        return items;
    const std::size_t first = turn * count % items.size();
    std::rotate(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(first), items.end());
    items.erase(items.begin() + static_cast<std::ptrdiff_t>(count), items.end());
    return items;
}

} // namespace

std::size_t relayIndex(std::uint64_t incarnation, unsigned round, std::size_t members)
{
    return (mix64(incarnation) % members + round) % members;
}

Mesh::Mesh(asio::io_context &context, MeshOptions options, LoadTracker &loadTracker,
           MeshHooks hooks)
    : options_(std::move(options))
    , loadTracker_(loadTracker)
    , hooks_(std::move(hooks))
    , socket_(context)
    , heartbeatTimer_(context)
    , batchTimer_(context)
    , lastInterval_(options_.heartbeatInterval)
{
}

Result<void> Mesh::start()
{
    asio::error_code error;
    const asio::ip::udp::endpoint endpoint(asio::ip::make_address_v4(options_.ip), options_.port);
    socket_.open(endpoint.protocol(), error);
    if (!error)
        socket_.bind(endpoint, error);
    if (!error)
        socket_.non_blocking(true, error);
    if (error) {
        return fail(ErrorCode::Unavailable,
                    fmt::format("cannot bind UDP {}:{}: {}", options_.ip, options_.port,
                                error.message()),
                    "choose a port that no other process on this host uses");
    }
    armRead();
    lastHeard_ = steadyNow();
    for (const std::string &ip : options_.seedIps) {
        if (ip != options_.ip)
            sendJobsTo(ip, true);
    }
    sendHeartbeat();
    return {};
}

void Mesh::stop()
{
    asio::error_code ignored;
    heartbeatTimer_.cancel();
    batchTimer_.cancel();
    socket_.close(ignored);
}

void Mesh::addPeer(const std::string &name, const std::string &ip)
{
    if (ip == options_.ip || peers_.contains(ip))
        return;
    if (peer(name, ip) != nullptr)
        sendJobsTo(ip, true);
}

PeerInfo *Mesh::peer(const std::string &name, const std::string &ip)
{
    const auto found = peers_.find(ip);
    if (found != peers_.end())
        return &found->second;
    if (peers_.size() >= options_.maxPeers)
        return nullptr;
    PeerInfo info;
    info.name = name;
    info.ip = ip;
    info.lastHeard = steadyNow();
    return &peers_.emplace(ip, std::move(info)).first->second;
}

template <class Fill>
void Mesh::sendWithStatus(const Recipients &recipients, Fill fill)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Datagram>();
    fillStatus(root, options_, hooks_.status());
    fill(root);
    std::string bytes = encodeDatagram(message);
    sendToPeers(bytes, recipients);
}

void Mesh::placed(const Job &job, const std::set<std::string> &failureDomains)
{
    newestJob_ = std::max(newestJob_, job.id.number);
    std::set<std::string> remote = failureDomains;
    remote.erase(options_.failureDomain);
    if (!remote.empty())
        remoteDomains_[job.id.number] = std::move(remote);
    batch_.jobs.push_back(job);
    flush();
}

void Mesh::started(const JobId &id)
{
    const Job *job = loadTracker_.find(id);
    if (job && !job->parts.empty() && job->parts.size() == 1
        && job->parts.front().prefillTime <= kShortPrefill)
        return;
    batch_.started.push_back(id.number);
    flushSoon();
}

void Mesh::ended(const JobId &id)
{
    batch_.ended.push_back(id.number);
    flushSoon();
}

void Mesh::sendDemands()
{
    // They are part of the status.
    sendWithStatus({.allRemote = announcesJobsGlobally()}, [](wire::Datagram::Builder) {});
}

void Mesh::sendStatus()
{
    flush();
    sendHeartbeatToPeers();
}

void Mesh::flushSoon()
{
    if (batchArmed_)
        return;
    batchArmed_ = true;
    batchTimer_.expires_after(options_.batchDelay);
    batchTimer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            flush();
    });
}

void Mesh::flush()
{
    if (batchArmed_) {
        batchArmed_ = false;
        batchTimer_.cancel();
    }
    Batch batch = std::move(batch_);
    batch_ = {};
    if (peers_.empty() || (batch.jobs.empty() && batch.started.empty() && batch.ended.empty()))
        return;
    const TimePoint now = steadyNow();
    const Recipients recipients = recipientsOf(batch);
    for (const std::uint32_t number : batch.ended)
        remoteDomains_.erase(number);
    sendWithStatus(recipients, [&](wire::Datagram::Builder root) {
        auto jobs = root.initJobs(static_cast<unsigned>(batch.jobs.size()));
        for (unsigned i = 0; i < batch.jobs.size(); ++i)
            fillJob(jobs[i], batch.jobs[i], now);
        auto started = root.initStarted(static_cast<unsigned>(batch.started.size()));
        for (unsigned i = 0; i < batch.started.size(); ++i)
            started.set(i, batch.started[i]);
        auto ended = root.initEnded(static_cast<unsigned>(batch.ended.size()));
        for (unsigned i = 0; i < batch.ended.size(); ++i)
            ended.set(i, batch.ended[i]);
    });
}

Mesh::Recipients Mesh::recipientsOf(const Batch &batch) const
{
    Recipients recipients;
    if (announcesJobsGlobally())
        return recipients;
    recipients.allRemote = false;
    const auto add = [&](std::uint32_t number) {
        const auto found = remoteDomains_.find(number);
        if (found != remoteDomains_.end())
            recipients.remote.insert(found->second.begin(), found->second.end());
    };
    for (const Job &job : batch.jobs)
        add(job.id.number);
    std::ranges::for_each(batch.started, add);
    std::ranges::for_each(batch.ended, add);
    return recipients;
}

bool Mesh::announcesJobsGlobally() const
{
    return peers_.size() < options_.maxDaemonsWithGlobalJobs;
}

void Mesh::sendLoads(const std::vector<ReportedLoad> &loads)
{
    for (std::size_t next = 0; next < loads.size(); next += kLoadsPerDatagram) {
        const std::size_t count = std::min(kLoadsPerDatagram, loads.size() - next);
        sendWithStatus({.own = false}, [&](wire::Datagram::Builder root) {
            auto list = root.initLoads(static_cast<unsigned>(count));
            for (unsigned i = 0; i < count; ++i)
                fillLoad(list[i], loads[next + i]);
        });
    }
}

void Mesh::sendEndpointUpdates(const std::vector<EndpointUpdate> &updates)
{
    for (std::size_t next = 0; next < updates.size(); next += kEndpointUpdatesPerDatagram) {
        const std::size_t count = std::min(kEndpointUpdatesPerDatagram, updates.size() - next);
        sendWithStatus({}, [&](wire::Datagram::Builder root) {
            auto list = root.initEndpointChanges(static_cast<unsigned>(count));
            for (std::size_t i = 0; i < count; ++i) {
                const EndpointUpdate &item = updates[next + i];
                fillEndpointUpdate(list[static_cast<unsigned>(i)], item);
            }
        });
    }
}

void Mesh::sendEvacuations()
{
    sendWithStatus(
            {}, [&](wire::Datagram::Builder root) { fillEvacuations(root, hooks_.evacuations()); });
}

void Mesh::sendLeavingEndpoints(const std::vector<EndpointKey> &endpoints)
{
    sendWithStatus({},
                   [&](wire::Datagram::Builder root) { fillLeavingEndpoints(root, endpoints); });
}

void Mesh::sendCrash(const EndpointCrash &crash)
{
    const TimePoint now = steadyNow();
    sendWithStatus({}, [&](wire::Datagram::Builder root) {
        fillCrash(root.initCrashes(1)[0], crash, now);
    });
}

void Mesh::sendClearedParts(const RequestParts &parts)
{
    sendWithStatus({}, [&](wire::Datagram::Builder root) { fillClearedParts(root, parts); });
}

void Mesh::sendLimit(const EndpointLimit &limit)
{
    const TimePoint now = steadyNow();
    sendWithStatus({}, [&](wire::Datagram::Builder root) { fillLimits(root, {limit}, now); });
}

std::vector<EndpointLimit> Mesh::limitsForHeartbeat() const
{
    return turnOf(hooks_.limits(), kLimitsPerHeartbeat, heartbeatsSent_);
}

std::vector<EndpointKey> Mesh::leavingForHeartbeat() const
{
    return turnOf(hooks_.leavingEndpoints(), kLeavingEndpointsPerHeartbeat, heartbeatsSent_);
}

std::vector<EndpointCrash> Mesh::crashesForHeartbeat() const
{
    return turnOf(hooks_.crashesToRepeat(), kCrashesPerHeartbeat, heartbeatsSent_);
}

void Mesh::sendConfigChange(const ConfigChange &change)
{
    if (change.delta.size() > kMaxPushedDelta) {
        sendStatus();
        return;
    }
    sendWithStatus({}, [&](wire::Datagram::Builder root) {
        fillConfigChange(root.initConfigChange(), change);
    });
}

void Mesh::sendHeartbeat()
{
    const TimePoint now = steadyNow();
    loadTracker_.expire(now);
    detectFailedPeers(now);
    if (!peers_.empty() && now - lastHeard_ > isolationTimeout())
        hooks_.isolated();
    flush();
    sendHeartbeatToPeers();
    if (peers_.empty()) {
        for (const std::string &ip : options_.seedIps) {
            if (ip != options_.ip)
                sendJobsTo(ip, true);
        }
    }
    ++heartbeatsSent_;
    const Millis interval = heartbeatInterval();
    // Daemons that start together learn of each other together. If their rare heartbeats coincided,
    // each would hear nobody in between and take itself for isolated.
    const bool grown = interval > lastInterval_;
    lastInterval_ = interval;
    heartbeatTimer_.expires_after(grown ? randomMillis(Millis(0), interval) : interval);
    heartbeatTimer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            sendHeartbeat();
    });
}

Millis Mesh::heartbeatInterval() const
{
    const Millis scaled
            = options_.heartbeatIntervalPerPeer * static_cast<Millis::rep>(peers_.size());
    return std::max(options_.heartbeatInterval, scaled);
}

Millis Mesh::failureTimeout() const
{
    return std::max(options_.failureTimeout, options_.minMissedHeartbeats * heartbeatInterval());
}

Millis Mesh::isolationTimeout() const
{
    const auto averageGap = heartbeatInterval() / static_cast<Millis::rep>(peers_.size());
    return std::max(kMinIsolationTimeout, kIsolationHeartbeats * averageGap);
}

void Mesh::sendHeartbeatToPeers()
{
    const bool retriesFailed = heartbeatsSent_ % kHeartbeatsPerFailedPeerRetry == 0;
    std::vector<Job> jobs = loadTracker_.jobsOf(options_.incarnation);
    const bool global = announcesJobsGlobally();
    sendJobList(jobs, false, [&](std::string &message) {
        if (retriesFailed)
            sendToFailedPeers(message);
        sendToPeers(message, {.allRemote = global});
    });
    if (global)
        return;
    std::erase_if(jobs, [this](const Job &job) { return !remoteDomains_.contains(job.id.number); });
    sendJobList(std::move(jobs), false,
                [this](std::string &message) { sendToPeers(message, {.own = false}); });
}

void Mesh::sendJobsTo(const std::string &ip, bool wantsReply)
{
    sendJobList(loadTracker_.jobsOf(options_.incarnation), wantsReply,
                [&](const std::string &message) { send(message, ip); });
}

template <class Send>
void Mesh::sendJobList(std::vector<Job> jobs, bool wantsReply, Send send)
{
    std::ranges::sort(jobs, {}, [](const Job &job) { return job.id.number; });
    const MeshStatus status = hooks_.status();
    const TimePoint now = steadyNow();
    std::size_t next = 0;
    std::uint32_t from = 0;
    do {
        const std::size_t count = std::min(kJobsPerDatagram, jobs.size() - next);
        const bool last = next + count == jobs.size();
        capnp::MallocMessageBuilder message;
        auto root = message.initRoot<wire::Datagram>();
        fillStatus(root, options_, status);
        root.setName(options_.name);
        root.setFailureDomain(options_.failureDomain);
        root.setWantsReply(wantsReply && last);
        if (last) {
            fillLeavingEndpoints(root, leavingForHeartbeat());
            fillEvacuations(root, hooks_.evacuations());
            fillCrashes(root, crashesForHeartbeat(), now);
            fillLimits(root, limitsForHeartbeat(), now);
        }
        auto list = root.initJobs(static_cast<unsigned>(count));
        for (std::size_t i = 0; i < count; ++i)
            fillJob(list[static_cast<unsigned>(i)], jobs[next + i], now);
        const std::uint32_t to = last ? newestJob_ : jobs[next + count - 1].id.number;
        root.setCoversFrom(from);
        root.setCoversTo(to);
        // Goes through all members in turn, a few with each heartbeat. Daemons that start together
        // name different ones.
        const std::size_t memberCount = std::min(kMembersPerDatagram, peers_.size());
        auto members = root.initMembers(static_cast<unsigned>(memberCount));
        auto peer = peers_.begin();
        if (!peers_.empty())
            std::advance(peer, relayIndex(options_.incarnation,
                                          heartbeatsSent_ * kMembersPerDatagram, peers_.size()));
        for (unsigned i = 0; i < memberCount; ++i) {
            members[i].setName(peer->second.alive ? peer->second.name : std::string());
            members[i].setIp(peer->second.alive ? peer->second.ip : std::string());
            if (++peer == peers_.end())
                peer = peers_.begin();
        }
        std::string bytes = encodeDatagram(message);
        send(bytes);
        next += count;
        from = to + 1;
    } while (next < jobs.size());
}

void Mesh::sendToPeers(std::string &message, const Recipients &recipients)
{
    std::map<std::string, std::vector<const std::string *>> far;
    for (const auto &[ip, peer] : peers_) {
        if (!peer.alive)
            continue;
        if (peer.failureDomain == options_.failureDomain || peer.failureDomain.empty()) {
            if (recipients.own)
                send(message, ip);
        } else if (recipients.allRemote || recipients.remote.contains(peer.failureDomain))
            far[peer.failureDomain].push_back(&ip);
    }
    ++relayRound_;
    for (const auto &[domain, members] : far) {
        if (members.size() > options_.maxDirectPeersPerDomain) {
            message[0] = kRelay;
            send(message, *members[relayIndex(options_.incarnation, relayRound_, members.size())]);
            message[0] = kDirect;
            continue;
        }
        for (const std::string *ip : members)
            send(message, *ip);
    }
}

void Mesh::sendToFailedPeers(const std::string &message)
{
    for (const auto &[ip, peer] : peers_) {
        if (!peer.alive)
            send(message, ip);
    }
}

void Mesh::relay(std::uint8_t *data, std::size_t size, const std::string &origin)
{
    data[0] = kDirect;
    const std::string_view message(reinterpret_cast<const char *>(data), size);
    for (const auto &[ip, peer] : peers_) {
        if (peer.alive && peer.failureDomain == options_.failureDomain && ip != origin) {
            send(message, ip);
        }
    }
}

void Mesh::send(std::string_view message, const std::string &ip)
{
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(ip, error);
    if (error)
        return;
    // A datagram that cannot be sent now is treated as lost in transit.
    socket_.send_to(asio::buffer(message.data(), message.size()), {address, options_.port}, 0,
                    error);
    ++counters_.datagramsSent;
}

void Mesh::armRead()
{
    socket_.async_wait(asio::ip::udp::socket::wait_read, [this](const asio::error_code &error) {
        if (!error)
            receive();
    });
}

void Mesh::receive()
{
    alignas(8) std::array<std::uint8_t, kMaxDatagram> buffer;
    for (int i = 0; i < kMaxDatagramsPerRead; ++i) {
        asio::error_code error;
        asio::ip::udp::endpoint sender;
        const std::size_t size = socket_.receive_from(asio::buffer(buffer), sender, 0, error);
        if (error)
            break;
        ++counters_.datagramsReceived;
        onDatagram(buffer.data(), size);
    }
    armRead();
}

void Mesh::onDatagram(std::uint8_t *data, std::size_t size)
{
    try {
        if (size < 2 || (data[0] != kDirect && data[0] != kRelay))
            throw std::invalid_argument("invalid datagram prefix");
        kj::ArrayInputStream stream(kj::arrayPtr(data + 1, size - 1));
        capnp::PackedMessageReader reader(stream);
        const auto root = reader.getRoot<wire::Datagram>();
        const std::string ip = root.getIp();
        if (ip.empty() || ip == options_.ip)
            return;
        const TimePoint now = steadyNow();
        PeerInfo *info = peer(root.getName(), ip);
        if (!info)
            return;
        if (data[0] == kRelay)
            relay(data, size, ip);
        const std::uint64_t incarnation = root.getIncarnation();
        if (info->incarnation != incarnation) {
            loadTracker_.removeOwner(info->incarnation);
            info->incarnation = incarnation;
        }
        if (root.hasFailureDomain()) {
            info->name = root.getName();
            info->failureDomain = root.getFailureDomain();
        }
        info->lastHeard = now;
        lastHeard_ = now;
        info->configVersion = std::max(info->configVersion, root.getConfigVersion());
        info->endpointsPosition = {root.getEndpointsEra(), root.getEndpointsPosition()};
        info->endpointsIncomplete = root.getEndpointsIncomplete();
        info->storeEra = root.getStoreEra();
        info->endpointsDigest = root.getEndpointsDigest();
        const bool changed = !info->alive || info->leaving != root.getLeaving()
                             || info->storeLost != root.getStoreLost();
        info->storeLost = root.getStoreLost();
        info->servicesOutOfReach = readServicesOutOfReach(root);
        info->leaving = root.getLeaving();
        hooks_.demandsReceived(incarnation, readDemands(root, now));
        info->returned = info->heard && !info->alive;
        info->heard = true;
        info->alive = true;
        if (changed)
            hooks_.peerChanged(*info);
        std::vector<std::uint32_t> listed;
        for (const auto source : root.getJobs()) {
            const Job job = readJob(source, incarnation, now);
            listed.push_back(job.id.number);
            loadTracker_.place(job);
            if (job.workspace != 0)
                hooks_.workspaceJobReceived(job);
        }
        for (const std::uint32_t number : root.getStarted())
            loadTracker_.started({incarnation, number}, now);
        for (const std::uint32_t number : root.getEnded())
            loadTracker_.ended({incarnation, number}, now);
        if (root.getCoversTo() > 0)
            loadTracker_.removeUnlisted(incarnation, listed, root.getCoversFrom(),
                                        root.getCoversTo());
        for (const auto load : root.getLoads()) {
            const ReportedLoad reported = readLoad(load);
            loadTracker_.report(reported.endpoint, reported.load, now);
        }
        for (const auto member : root.getMembers()) {
            const std::string memberIp = member.getIp();
            if (!memberIp.empty())
                addPeer(member.getName(), memberIp);
        }
        if (root.hasEndpointChanges())
            hooks_.endpointUpdatesReceived(*info, readEndpointUpdates(root.getEndpointChanges()));
        if (root.getLeavingEndpoints().size() > 0) {
            std::vector<EndpointKey> leaving;
            for (const EndpointKey endpoint : root.getLeavingEndpoints())
                leaving.push_back(endpoint);
            hooks_.leavingEndpointsReceived(leaving);
        }
        if (root.getEvacuations().size() > 0)
            hooks_.evacuationsReceived(readEvacuations(root.getEvacuations()));
        for (const auto limit : root.getLimits())
            hooks_.limitReceived(readLimit(limit, now));
        for (const auto crash : root.getCrashes())
            hooks_.crashReceived(readCrash(crash, now));
        if (const RequestParts cleared = readClearedParts(root); !cleared.empty())
            hooks_.clearedPartsReceived(cleared, now);
        if (root.hasConfigChange())
            hooks_.configChangeReceived(*info, readConfigChange(root.getConfigChange()));
        hooks_.messageReceived(*info);
        if (root.getWantsReply())
            sendJobsTo(ip, false);
        hooks_.loadChanged();
    } catch (const std::exception &) {
        ++counters_.malformed;
    } catch (const kj::Exception &) {
        ++counters_.malformed;
    }
}

void Mesh::detectFailedPeers(TimePoint now)
{
    // After a pause of this process, what peers have sent meanwhile is still unread.
    const TimePoint previous = std::exchange(lastDetection_, now);
    if (previous != TimePoint() && now - previous > failureTimeout())
        return;
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        PeerInfo &info = peer->second;
        const auto silence = now - info.lastHeard;
        if (info.alive && silence > failureTimeout()) {
            info.alive = false;
            loadTracker_.removeOwner(info.incarnation);
            hooks_.peerChanged(info);
        }
        peer = silence > options_.removeAfter ? peers_.erase(peer) : std::next(peer);
    }
}

std::size_t Mesh::alivePeerCount() const
{
    return static_cast<std::size_t>(
            std::ranges::count_if(peers_, [](const auto &peer) { return peer.second.alive; }));
}

std::size_t Mesh::aliveDomainPeerCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(peers_, [this](const auto &peer) {
        return peer.second.alive && peer.second.failureDomain == options_.failureDomain;
    }));
}

bool Mesh::seemsCutOff(const std::string &failureDomain) const
{
    bool known = false;
    for (const auto &[ip, peer] : peers_) {
        if (peer.failureDomain != failureDomain || !peer.heard || peer.leaving)
            continue;
        if (peer.alive)
            return false;
        known = true;
    }
    return known && failureDomain != options_.failureDomain;
}

} // namespace cicadafork::gateway
