#include "gateway/crashwatch.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cicadafork::gateway {

namespace {

// A sound endpoint accepts a connection within a few milliseconds.
constexpr Millis kProbeTimeout{300};
// The connections of an endpoint that crashes may end before it stops listening.
constexpr Millis kSecondProbeDelay{100};
constexpr unsigned kMaxProbes = 2;
// Time for peers to say that they do not reach the service either.
constexpr Millis kVerdictDelay{200};
// Requests whose connections end within this time after a crash was confirmed are suspects too.
constexpr Millis kStragglerTime{1000};
// Endpoints that are watched at the same time; many more than crash together.
constexpr std::size_t kMaxSuspicions = 512;

bool contains(const std::vector<BlockedParts> &list, const BlockedParts &parts)
{
    return std::ranges::find(list, parts) != list.end();
}

} // namespace

CrashWatch::CrashWatch(asio::io_context &context, const Dialer &dialer, CrashWatchHooks hooks)
    : context_(context)
    , dialer_(dialer)
    , hooks_(std::move(hooks))
{
}

void CrashWatch::noteBroken(EndpointKey endpoint, const Address &address,
                            const SentSuspect &request, AnswerProgress progress)
{
    const auto found = suspicions_.find(endpoint);
    const bool first = found == suspicions_.end();
    if (first && suspicions_.size() >= kMaxSuspicions)
        return;
    auto &suspicion = suspicions_[endpoint];
    if (first) {
        suspicion = std::make_unique<Suspicion>(context_);
        suspicion->address = address;
        suspicion->since = steadyNow();
    }
    if (suspicion->suspects.size() < kMaxCrashSuspects)
        suspicion->suspects.push_back({progress, request});
    if (first)
        probe(endpoint);
    else if (suspicion->confirmed)
        report(endpoint);
}

void CrashWatch::probe(EndpointKey endpoint)
{
    Suspicion &suspicion = *suspicions_.at(endpoint);
    ++suspicion.probes;
    suspicion.probe = std::make_unique<ListenProbe>(
            context_, dialer_, suspicion.address, kProbeTimeout,
            [this, endpoint](ProbeResult result) { onProbed(endpoint, result); });
}

void CrashWatch::onProbed(EndpointKey endpoint, ProbeResult result)
{
    if (result == ProbeResult::Refused) {
        askWitnesses(endpoint);
        return;
    }
    const Suspicion &suspicion = *suspicions_.at(endpoint);
    if (suspicion.probes < kMaxProbes)
        schedule(endpoint, kSecondProbeDelay, [this, endpoint] { probe(endpoint); });
    else
        schedule(endpoint, Millis(0), [this, endpoint] { suspicions_.erase(endpoint); });
}

void CrashWatch::askWitnesses(EndpointKey endpoint)
{
    Suspicion &suspicion = *suspicions_.at(endpoint);
    const std::vector<Address> addresses = hooks_.witnesses(endpoint);
    suspicion.pendingWitnesses = addresses.size();
    for (const Address &address : addresses) {
        suspicion.witnesses.push_back(std::make_unique<ListenProbe>(
                context_, dialer_, address, kProbeTimeout,
                [this, endpoint](ProbeResult result) { onWitness(endpoint, result); }));
    }
    if (addresses.empty())
        schedule(endpoint, kVerdictDelay, [this, endpoint] { confirmUnlessCutOff(endpoint); });
}

void CrashWatch::onWitness(EndpointKey endpoint, ProbeResult result)
{
    Suspicion &suspicion = *suspicions_.at(endpoint);
    --suspicion.pendingWitnesses;
    if (suspicion.confirmed)
        return;
    if (result == ProbeResult::Listens)
        confirm(endpoint);
    else if (suspicion.pendingWitnesses == 0)
        schedule(endpoint, kVerdictDelay, [this, endpoint] { confirmUnlessCutOff(endpoint); });
}

void CrashWatch::confirmUnlessCutOff(EndpointKey endpoint)
{
    if (hooks_.peersReach(endpoint))
        suspicions_.erase(endpoint);
    else
        confirm(endpoint);
}

void CrashWatch::schedule(EndpointKey endpoint, Millis delay, std::function<void()> step)
{
    asio::steady_timer &timer = suspicions_.at(endpoint)->timer;
    timer.expires_after(delay);
    timer.async_wait([step = std::move(step)](const asio::error_code &error) {
        if (!error)
            step();
    });
}

void CrashWatch::confirm(EndpointKey endpoint)
{
    Suspicion &suspicion = *suspicions_.at(endpoint);
    if (std::exchange(suspicion.confirmed, true))
        return;
    schedule(endpoint, kStragglerTime, [this, endpoint] { suspicions_.erase(endpoint); });
    report(endpoint);
}

void CrashWatch::report(EndpointKey endpoint)
{
    Suspicion &suspicion = *suspicions_.at(endpoint);
    std::ranges::stable_sort(suspicion.suspects, {}, &Suspect::progress);
    EndpointCrash crash;
    crash.endpoint = endpoint;
    crash.at = suspicion.since;
    std::vector<SentSuspect> requests;
    for (const Suspect &suspect : suspicion.suspects) {
        crash.suspects.push_back(suspect.request.parts);
        requests.push_back(suspect.request);
    }
    crash.sentAgain = sentAgain(evidence_, requests, crash.at);
    hooks_.crashed(crash);
    noteCrash(std::move(crash));
}

void CrashWatch::change(const std::function<void()> &apply)
{
    const std::vector<BlockedParts> before = evidence_.blocked;
    apply();
    const std::vector<BlockedParts> after = evidence_.blocked;
    for (const BlockedParts &parts : before) {
        if (!contains(after, parts))
            hooks_.blockedChanged(parts, false);
    }
    for (const BlockedParts &parts : after) {
        if (!contains(before, parts))
            hooks_.blockedChanged(parts, true);
    }
}

void CrashWatch::noteCrash(EndpointCrash crash)
{
    change([&] { gateway::noteCrash(evidence_, std::move(crash)); });
}

void CrashWatch::noteCompleted(const RequestParts &parts)
{
    RequestParts suspected;
    change([&] { suspected = gateway::noteCompleted(evidence_, parts, steadyNow()); });
    if (!suspected.empty())
        hooks_.cleared(suspected);
}

void CrashWatch::noteCleared(const RequestParts &parts, TimePoint at)
{
    change([&] { gateway::noteCompleted(evidence_, parts, at); });
}

void CrashWatch::noteRefused(const BlockedParts &blocked)
{
    keepBlocked(evidence_, blocked, steadyNow());
}

const BlockedParts *CrashWatch::findBlocked(const RequestParts &parts) const
{
    return gateway::findBlocked(evidence_, parts);
}

const RequestPart *CrashWatch::findOnTrial(const RequestParts &parts) const
{
    return gateway::findOnTrial(evidence_, parts);
}

unsigned CrashWatch::crashesOf(const RequestParts &parts) const
{
    return gateway::crashesOf(evidence_, parts);
}

std::vector<EndpointCrash> CrashWatch::crashesToRepeat() const
{
    return gateway::crashesToRepeat(evidence_, steadyNow());
}

void CrashWatch::expire()
{
    change([&] { expireCrashes(evidence_, steadyNow()); });
}

} // namespace cicadafork::gateway
