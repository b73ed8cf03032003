// Gateway: requests on which endpoints crash.

#include "base/hash.h"
#include "base/log.h"
#include "gateway/blockedrecord.h"
#include "gateway/gateway.h"
#include "gateway/requestparts.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cicadafork::gateway {

namespace {

// Bad Request: unlike 503, callers do not ask again.
constexpr int kCrashingRequestStatus = 400;
constexpr const char *kCrashingRequest = "crashes_endpoints";
// A request that has met so many crashes is not sent again when its endpoint breaks off: the next
// crashes decide whether it is blocked, and there may be few.
constexpr unsigned kCrashesBeforeSingleSends = 2;
// An endpoint that has written an answer for this long does not crash because it begins to.
constexpr Millis kSoundAfterWriting{1000};
// Of the records in the store; the same as for the record of a member.
constexpr Millis kSaveTimeout{1500};
constexpr Millis kSaveRetry{1000};

AnswerProgress progressOf(const Attempt &attempt)
{
    if (attempt.events > 0)
        return AnswerProgress::EventsSent;
    return attempt.headSeen ? AnswerProgress::Begun : AnswerProgress::NotBegun;
}

} // namespace

CrashWatchHooks Gateway::crashWatchHooks()
{
    return {.crashed = [this](const EndpointCrash &crash) { onEndpointCrashed(crash); },
            .cleared = [this](const RequestParts &parts) { mesh_.sendClearedParts(parts); },
            .blockedChanged = [this](const BlockedParts &parts,
                                     bool blocked) { onBlockedPartsChanged(parts, blocked); },
            .witnesses = [this](EndpointKey endpoint) { return witnessesFor(endpoint); },
            .peersReach =
                    [this](EndpointKey endpoint) {
                        const EndpointRow *row = endpoints_.find(endpoint);
                        return row && std::ranges::any_of(mesh_.peers(), [&](const auto &entry) {
                                   const PeerInfo &peer = entry.second;
                                   return peer.alive && !peer.leaving
                                          && !peer.servicesOutOfReach.contains(row->record.service);
                               });
                    }};
}

std::vector<Address> Gateway::witnessesFor(EndpointKey endpoint) const
{
    const EndpointRow *suspected = endpoints_.find(endpoint);
    if (!suspected)
        return {};
    const TimePoint now = steadyNow();
    std::vector<ProbeCandidate> candidates;
    std::vector<Address> addresses;
    for (const auto &[id, row] : endpoints_.rows()) {
        if (&row == suspected || row.record.service != suspected->record.service
            || !endpoints_.isAvailable(row.key, now))
            continue;
        candidates.push_back({row.key, row.record.failureDomain});
        addresses.push_back(row.record.address);
    }
    std::vector<Address> chosen;
    for (const std::size_t index : chooseProbes({}, candidates, incarnation_ ^ endpoint))
        chosen.push_back(addresses[index]);
    return chosen;
}

void Gateway::noteBrokenAnswer(const Exchange &exchange, const Attempt &attempt)
{
    if (!attempt.peer.empty())
        return; // The peer has the connection of the endpoint.
    if (attempt.events > 0 && steadyNow() - attempt.firstEventAt > kSoundAfterWriting)
        return;
    crashWatch_.noteBroken(
            attempt.endpoint, attempt.address,
            {requestParts(exchange.request, exchange.fields, exchange.workspace), attempt.sentAt},
            progressOf(attempt));
}

RequestParts Gateway::partsOf(const HttpRequest &request, const CallerFields &fields,
                              const std::string &workspace) const
{
    return crashWatch_.knowsCrashes() ? requestParts(request, fields, workspace)
                                      : promptParts(fields.sharedPromptParts);
}

RequestParts Gateway::partsOf(const Exchange &exchange) const
{
    return partsOf(exchange.request, exchange.fields, exchange.workspace);
}

bool Gateway::hasMetCrashes(const Exchange &exchange) const
{
    const RequestParts parts = partsOf(exchange);
    return crashWatch_.findOnTrial(parts)
           || crashWatch_.crashesOf(parts) >= kCrashesBeforeSingleSends;
}

bool Gateway::mayTry(const RequestParts &parts, const Exchange *self) const
{
    const RequestPart *request = crashWatch_.findOnTrial(parts);
    if (!request)
        return true;
    return ownsTrial(*request, fnv1a64(settings_.peers.ip), daemonKeys())
           && std::ranges::none_of(exchanges_, [&](const auto &entry) {
                  const Exchange &other = *entry.second;
                  return &other != self && crashWatch_.findOnTrial(partsOf(other)) == request;
              });
}

void Gateway::onEndpointCrashed(const EndpointCrash &crash)
{
    const EndpointRow *row = endpoints_.find(crash.endpoint);
    std::string suspects;
    for (const RequestParts &parts : crash.suspects) {
        if (!suspects.empty())
            suspects += ';';
        suspects += toString(parts);
    }
    counters_.endpointCrashes.Increment();
    prefixCache_.forget(crash.endpoint);
    logEvent(LogLevel::Warning, "endpoint_crashed",
             {{"endpoint", row ? row->record.id : fmt::format("{:016x}", crash.endpoint)},
              {"suspects", suspects}});
    mesh_.sendCrash(crash);
}

void Gateway::onBlockedPartsChanged(const BlockedParts &parts, bool blocked)
{
    counters_.blockedParts.Set(static_cast<double>(crashWatch_.blocked().size()));
    logEvent(LogLevel::Warning, blocked ? "parts_blocked" : "parts_unblocked",
             {{"parts", toString(parts.parts)}, {"crashes", std::to_string(parts.crashes)}});
    unsavedBlocks_[blockedKey(parts)] = parts;
    saveBlocks();
    if (!blocked)
        return;
    // A handler of one of the requests may be running now.
    crashTimer_.expires_after(Millis(0));
    crashTimer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            endCrashingRequests();
    });
}

// One daemon of each failure domain writes; several write the same.
void Gateway::saveBlocks()
{
    if (!isPrimaryReader_)
        return;
    for (const auto &[key, parts] : std::exchange(unsavedBlocks_, {})) {
        const bool blocked
                = std::ranges::find(crashWatch_.blocked(), parts) != crashWatch_.blocked().end();
        const std::string record
                = blocked ? blockedRecord(crashWatch_.evidence(), parts, steadyNow(), wallNow())
                          : std::string();
        store_.put(layout_.membersTopic, key, record, kSaveTimeout,
                   [this, key = key, parts = parts](StoreFailure failure,
                                                    std::optional<std::uint64_t>) {
                       if (failure == StoreFailure::None)
                           return;
                       unsavedBlocks_.emplace(key, parts);
                       saveTimer_.expires_after(kSaveRetry);
                       saveTimer_.async_wait([this](const asio::error_code &error) {
                           if (!error)
                               saveBlocks();
                       });
                   });
    }
}

void Gateway::readBlocks(const StoreRecord &record)
{
    if (!record.value || record.value->empty())
        return;
    const auto crashes
            = capture([&] { return readBlockedRecord(*record.value, steadyNow(), wallNow()); });
    if (!crashes) {
        logEvent(LogLevel::Warning, "blocked_parts_unreadable",
                 {{"key", record.key}, {"error", crashes.error().message}});
        return;
    }
    for (const EndpointCrash &crash : *crashes)
        crashWatch_.noteCrash(crash);
}

void Gateway::endCrashingRequests()
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, exchange] : exchanges_) {
        if (crashWatch_.findBlocked(partsOf(*exchange)))
            ids.push_back(id);
    }
    for (const std::uint64_t id : ids)
        endCrashingRequest(*exchanges_.at(id));
}

void Gateway::endCrashingRequest(Exchange &exchange)
{
    const auto writes = [](const auto &attempt) { return attempt->events > 0; };
    if ((exchange.attempt && writes(exchange.attempt))
        || std::ranges::any_of(exchange.silentAttempts, writes))
        return;
    const bool sent
            = (exchange.attempt && exchange.attempt->call) || !exchange.silentAttempts.empty();
    if (exchange.state == ExchangeState::Relaying)
        abortStream(exchange, kCrashingRequest);
    else if (sent || exchange.mayHaveRun)
        fail(exchange, 502, kCrashingRequest);
    else
        refuseCrashingRequest(exchange);
}

bool Gateway::rejectCrashingRequest(const std::shared_ptr<HttpServerConnection> &caller,
                                    const HttpRequest &request, const CallerFields &fields,
                                    const std::string &workspace, bool fromPeer)
{
    const BlockedParts *blocked = crashWatch_.findBlocked(partsOf(request, fields, workspace));
    if (!blocked)
        return false;
    respondToCrashingRequest(*caller, *blocked,
                             noteRejected(fields.requestId, kCrashingRequestStatus,
                                          kCrashingRequest, std::nullopt, fromPeer));
    return true;
}

void Gateway::refuseCrashingRequest(Exchange &exchange)
{
    logEvent(LogLevel::Info, "refused",
             {{"request", exchange.requestId},
              {"route", exchange.route.name},
              {"reason", kCrashingRequest},
              {"sends", std::to_string(exchange.sendCount)}});
    respondToCrashingRequest(*exchange.caller, *crashWatch_.findBlocked(partsOf(exchange)),
                             ownAnswerHeaders(exchange, std::nullopt));
    finish(exchange, kCrashingRequest, kCrashingRequestStatus);
}

void Gateway::respondToCrashingRequest(HttpServerConnection &caller, const BlockedParts &blocked,
                                       HeaderList headers)
{
    headers.add("Content-Type", "text/plain");
    const bool whole = std::ranges::any_of(blocked.parts, [](const RequestPart &part) {
        return part.kind == RequestPartKind::Whole;
    });
    const std::string cause
            = whole ? std::string("this request")
                    : fmt::format("part {} of this prompt", toString(blocked.parts));
    caller.respond(kCrashingRequestStatus, std::move(headers),
                   fmt::format("Not run: endpoints crash on {}. Do not send it again.\n", cause));
    crashWatch_.noteRefused(blocked);
}

} // namespace cicadafork::gateway
