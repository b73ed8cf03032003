// Gateway: requests that are handed over to a peer, or by one, because a daemon is cut off from the
// endpoints of their service.

#include "base/log.h"
#include "base/number.h"
#include "gateway/gateway.h"

#include <algorithm>
#include <limits>

namespace cicadafork::gateway {

namespace {

// Peers that one request may be handed over to, one after the other.
constexpr std::size_t kMaxPeersTried = 3;
// Connections of all peers together.
constexpr std::size_t kMaxHandoverConnections = 512;
// Time after which peers that lack the configuration are asked again. A daemon that is behind asks
// its peers for it after 50 ms.
constexpr Millis kPeerBehindDelay{50};
// Misdirected Request: this daemon can do nothing for the request, and another one may.
constexpr int kMisdirected = 421;

} // namespace

ReachHooks Gateway::reachHooks()
{
    return {.endpointsOf =
                    [this](const std::string &service) {
                        std::vector<ReachTarget> targets;
                        for (const auto &[id, row] : endpoints_.rows()) {
                            const EndpointRecord &record = row.record;
                            if (record.service == service && record.state == EndpointState::Ready
                                && !endpoints_.isLeaving(row.key))
                                targets.push_back(
                                        {{row.key, record.failureDomain}, record.address});
                        }
                        return targets;
                    },
            .changed
            = [this](const std::string &service, bool cutOff) { onReachChanged(service, cutOff); }};
}

void Gateway::onReachChanged(const std::string &service, bool cutOff)
{
    logEvent(LogLevel::Warning, cutOff ? "service_out_of_reach" : "service_in_reach",
             {{"service", service}});
    counters_.servicesOutOfReach.Set(static_cast<double>(reach_.cutOffServices().size()));
    mesh_.sendStatus();
    if (cutOff) {
        // What is sent on a connection after the cut may be lost even when the cut has ended.
        for (const auto &[id, row] : endpoints_.rows()) {
            if (row.record.service == service)
                pool_.closeIdle(row.record.address);
        }
    } else {
        // What failed did so for want of a way to the endpoints.
        endpoints_.endSuspensions(service);
    }
    // The limit of a silence is another one now.
    for (const auto &[id, exchange] : exchanges_) {
        if (exchange->service == service)
            armTimer(*exchange);
    }
    scheduleDispatch(true);
}

bool Gateway::isHandedOver(const Exchange &exchange)
{
    return exchange.attempt && !exchange.attempt->peer.empty();
}

std::vector<HandoverPeer> Gateway::handoverCandidates(const Exchange &exchange) const
{
    if (exchange.fromPeer || !reach_.isCutOff(exchange.service)
        || exchange.triedPeers.size() >= kMaxPeersTried)
        return {};
    std::map<std::string, std::size_t> inProgress;
    for (const auto &[id, other] : exchanges_) {
        if (isHandedOver(*other))
            ++inProgress[other->attempt->peer];
    }
    const auto contains = [](const std::vector<std::string> &peers, const std::string &ip) {
        return std::ranges::find(peers, ip) != peers.end();
    };
    std::vector<HandoverPeer> candidates;
    for (const auto &[ip, peer] : mesh_.peers()) {
        if (!peer.alive || peer.leaving || contains(exchange.triedPeers, ip)
            || peer.servicesOutOfReach.contains(exchange.service)
            || !mayReceiveBody(exchange.residency, settings_.regions, peer.failureDomain))
            continue;
        const bool hasConfig = peer.configVersion >= exchange.config->version
                               && !contains(exchange.peersBehind, ip);
        candidates.push_back({ip, hasConfig, peer.failureDomain == settings_.failureDomain,
                              inProgress[ip], contains(exchange.answeringPeers, ip)});
    }
    return candidates;
}

std::optional<bool> Gateway::tryHandOver(Exchange &exchange)
{
    const std::vector<HandoverPeer> candidates = handoverCandidates(exchange);
    if (candidates.empty())
        return std::nullopt;
    if (const HandoverPeer *peer = choosePeer(candidates, incarnation_ + exchange.id)) {
        handOver(exchange, peer->ip);
        return true;
    }
    exchange.peersBehind.clear();
    exchange.notBefore = steadyNow() + kPeerBehindDelay;
    return false;
}

HandoverTerms Gateway::termsFor(const Exchange &exchange)
{
    HandoverTerms terms;
    terms.attempts = 1;
    terms.triedEndpoints = exchange.triedEndpoints;
    if (retryBudget_.available(exchange.service, daemonCount(), steadyNow()))
        terms.retries = exchange.route.maxEndpoints
                        - std::min(exchange.sendCount + 1, exchange.route.maxEndpoints);
    return terms;
}

void Gateway::handOver(Exchange &exchange, const std::string &peer)
{
    const TimePoint now = steadyNow();
    if (exchange.sendCount > 0 && !retryBudget_.take(exchange.service, daemonCount(), now)) {
        onAttemptFailed(exchange, EndpointFailure::Refused, false, "no_retry_budget");
        return;
    }
    if (std::erase(waiting_, exchange.id) > 0)
        tellDemands();
    endBooking(exchange, "handed_over");
    auto attempt = std::make_unique<Attempt>();
    attempt->peer = peer;
    attempt->endpointId = "peer " + peer;
    attempt->address = {peer, settings_.peers.port};
    attempt->sentAt = now;
    attempt->lastProgressAt = now;
    attempt->job = {incarnation_, ++nextJob_};
    exchange.attempt = std::move(attempt);
    exchange.triedPeers.push_back(peer);
    if (exchange.state == ExchangeState::Waiting)
        exchange.state = ExchangeState::Sent;
    const HandoverTerms terms = termsFor(exchange);
    logEvent(LogLevel::Info, "handed_over",
             {{"request", exchange.requestId},
              {"route", exchange.route.name},
              {"peer", peer},
              {"send", std::to_string(exchange.sendCount + 1)},
              {"attempts", std::to_string(terms.attempts)},
              {"retries", std::to_string(terms.retries)},
              {"config", std::to_string(exchange.config->version)}});
    counters_.handovers("to_peer").Increment();
    DispatchFields dispatch;
    dispatch.deadline = std::chrono::duration_cast<Millis>(exchange.deadline - now);
    dispatch.lastEventId = exchange.lastEventId;
    HeaderList headers = exchange.request.headers;
    protocol_.prepareForPeer(headers, dispatch);
    // What a caller writes there must not count at the peer.
    removeHandoverFields(headers);
    headers.remove(kHandoverRegions);
    headers.add(kHandoverAttempts, std::to_string(terms.attempts));
    headers.add(kHandoverRetries, std::to_string(terms.retries));
    if (!terms.triedEndpoints.empty())
        headers.add(kHandoverTried, encodeTried(terms.triedEndpoints));
    headers.add(kHandoverConfig, std::to_string(exchange.config->version));
    if (!exchange.residency.any)
        headers.add(kHandoverRegions, encodeRegions(exchange.residency));
    ++exchange.sendCount;
    startCall(exchange, std::move(headers));
    armTimer(exchange);
}

void Gateway::noteAnswerOfPeer(Exchange &exchange, Attempt &attempt)
{
    const std::string *sends = attempt.head.headers.find(kHandoverSends);
    logEvent(LogLevel::Info, "peer_answered",
             {{"request", exchange.requestId},
              {"peer", attempt.peer},
              {"status", std::to_string(attempt.head.status)},
              {"sends", sends ? *sends : "not stated"}});
    const bool wasSent = !sends || *sends != "0";
    if (wasSent)
        noteAttemptsOfPeer(exchange, attempt);
    attempt.head.headers.remove(kHandoverTried);
    if (!sends)
        return; // A stream, or an endpoint's answer from a peer of an earlier build.
    attempt.head.headers.remove(kHandoverSends);
    attempt.notRun = isPromiseOfNotRun(attempt.head.status);
    attempt.streams = false;
    if (const std::string *behind = attempt.head.headers.find(kHandoverConfig)) {
        logEvent(LogLevel::Info, "peer_behind",
                 {{"request", exchange.requestId},
                  {"peer", attempt.peer},
                  {"config", std::to_string(exchange.config->version)},
                  {"config_of_peer", *behind}});
        std::erase(exchange.triedPeers, attempt.peer);
        exchange.peersBehind.push_back(attempt.peer);
        attempt.head.headers.remove(kHandoverConfig);
    }
    // Another peer would find the same endpoints busy, unless it was an endpoint that refused.
    exchange.refusedByPeer = attempt.notRun && attempt.head.status != kMisdirected && !wasSent;
    exchange.peerRetryAfter = attempt.reply.statement.quietFor;
    if (!wasSent)
        undoSend(exchange, attempt);
}

void Gateway::noteAttemptsOfPeer(Exchange &exchange, const Attempt &attempt)
{
    const std::string *tried = attempt.head.headers.find(kHandoverTried);
    if (!tried)
        return; // A peer of an earlier build, which would not leave them out the next time.
    for (const EndpointKey endpoint : decodeTried(*tried)) {
        if (std::ranges::find(exchange.triedEndpoints, endpoint) == exchange.triedEndpoints.end())
            exchange.triedEndpoints.push_back(endpoint);
    }
    std::erase(exchange.triedPeers, attempt.peer);
    exchange.answeringPeers.push_back(attempt.peer);
}

ServerOptions Gateway::handoverOptions()
{
    ServerOptions options;
    options.address = settings_.peers;
    options.maxConnections = kMaxHandoverConnections;
    options.answerRoom = &pool_.answerRoom();
    options.serverAnswers = [this](const ServerAnswer &answer) {
        return noteRejected(protocol_.readCaller(answer.head).requestId, answer.status,
                            "handover_unreadable", std::nullopt, true);
    };
    return options;
}

void Gateway::onHandedOver(const std::shared_ptr<HttpServerConnection> &caller, HttpRequest request)
{
    const HandoverTerms terms = readTerms(request.headers);
    const auto peer = mesh_.peers().find(caller->remoteIp());
    const bool isMember = peer != mesh_.peers().end() && peer->second.heard;
    const char *reason = !isMember             ? "no member"
                         : draining_           ? "shutting down"
                         : terms.attempts == 0 ? "malformed"
                                               : nullptr;
    // A daemon of an earlier build names no version; it had at least the one that it announced.
    std::uint64_t needed = isMember ? peer->second.configVersion : 0;
    if (const std::string *version = request.headers.find(kHandoverConfig))
        needed = parseNumber<std::uint64_t>(*version).value_or(
                std::numeric_limits<std::uint64_t>::max());
    const std::uint64_t known = configs_.newest();
    const bool isBehind = !reason && known < needed;
    if (isBehind)
        reason = "older configuration";
    if (reason) {
        logEvent(isBehind ? LogLevel::Info : LogLevel::Warning, "handover_refused",
                 {{"request", protocol_.readCaller(request).requestId},
                  {"from", caller->remoteIp()},
                  {"reason", reason},
                  {"config", std::to_string(known)},
                  {"needed", std::to_string(needed)}});
        HeaderList headers;
        headers.add(kHandoverSends, "0");
        if (isBehind) {
            headers.add(kHandoverConfig, std::to_string(known));
            counters_.handovers("behind").Increment();
        }
        caller->respond(kMisdirected, std::move(headers), {});
        return;
    }
    removeHandoverFields(request.headers);
    counters_.handovers("from_peer").Increment();
    onRequest(caller, std::move(request), terms);
}

HeaderList Gateway::ownAnswerHeaders(const Exchange &exchange,
                                     std::optional<Millis> retryAfter) const
{
    HeaderList headers = protocol_.ownAnswerHeaders(exchange.requestId, retryAfter);
    stateSends(exchange, headers);
    return headers;
}

void Gateway::stateSends(const Exchange &exchange, HeaderList &headers)
{
    if (!exchange.fromPeer)
        return;
    headers.set(kHandoverSends, std::to_string(exchange.sendCount));
    stateTried(exchange, headers);
}

void Gateway::stateTried(const Exchange &exchange, HeaderList &headers)
{
    // A daemon that does not read the field would pass it on to its caller.
    if (exchange.lenderReadsTried)
        headers.set(kHandoverTried, encodeTried(exchange.triedEndpoints));
}

bool Gateway::returnToPeer(Exchange &exchange)
{
    if (!exchange.fromPeer || !reach_.isCutOff(exchange.service) || exchange.sendCount > 0
        || exchange.state != ExchangeState::Waiting)
        return false;
    exchange.caller->respond(kMisdirected, ownAnswerHeaders(exchange, std::nullopt), {});
    finish(exchange, "returned_to_peer", kMisdirected);
    return true;
}

} // namespace cicadafork::gateway
