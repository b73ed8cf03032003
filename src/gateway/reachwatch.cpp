#include "gateway/reachwatch.h"

#include <utility>

namespace cicadafork::gateway {

namespace {

// The same as for the connections of calls.
constexpr Millis kProbeTimeout{150};
// Services come from the configuration; this bounds the table if the configuration is wrong.
constexpr std::size_t kMaxServices = 1024;

} // namespace

ReachWatch::ReachWatch(asio::io_context &context, const Dialer &dialer, ReachHooks hooks)
    : context_(context)
    , dialer_(dialer)
    , hooks_(std::move(hooks))
{
}

void ReachWatch::noteConnected(const std::string &service)
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return;
    if (gateway::noteConnected(found->second->reach))
        hooks_.changed(service, false);
}

void ReachWatch::noteNotConnected(const std::string &service, EndpointKey endpoint)
{
    if (Watched *found = watched(service))
        gateway::noteNotConnected(found->reach, endpoint);
    probeIfNeeded(service);
}

void ReachWatch::noteSilence(const std::string &service)
{
    probeIfNeeded(service);
}

ReachWatch::Watched *ReachWatch::watched(const std::string &service)
{
    const auto found = services_.find(service);
    if (found != services_.end())
        return found->second.get();
    if (services_.size() >= kMaxServices)
        return nullptr;
    return services_.emplace(service, std::make_unique<Watched>(context_)).first->second.get();
}

void ReachWatch::probeIfNeeded(const std::string &service)
{
    Watched *found = watched(service);
    if (found && needsProbes(found->reach, steadyNow()))
        probe(service);
}

bool ReachWatch::isCutOff(const std::string &service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second->reach.cutOff;
}

std::vector<std::string> ReachWatch::cutOffServices() const
{
    std::vector<std::string> names;
    for (const auto &[name, watched] : services_) {
        if (watched->reach.cutOff)
            names.push_back(name);
    }
    return names;
}

void ReachWatch::probe(const std::string &service)
{
    Watched &watched = *services_.at(service);
    const std::vector<ReachTarget> targets = hooks_.endpointsOf(service);
    std::vector<ProbeCandidate> candidates;
    for (const ReachTarget &target : targets)
        candidates.push_back(target.candidate);
    const auto chosen = chooseProbes(watched.reach, candidates, ++rounds_);
    watched.reach.probing = true;
    watched.anyListens = false;
    watched.pending = chosen.size();
    watched.probes.clear();
    for (const std::size_t index : chosen) {
        watched.probes.push_back(std::make_unique<ListenProbe>(
                context_, dialer_, targets[index].address, kProbeTimeout,
                [this, service](ProbeResult result) { onProbed(service, result); }));
    }
    if (chosen.empty())
        finishProbes(service);
}

void ReachWatch::onProbed(const std::string &service, ProbeResult result)
{
    Watched &watched = *services_.at(service);
    watched.anyListens = watched.anyListens || result == ProbeResult::Listens;
    --watched.pending;
    // One that listens decides; the others may take until their timeout.
    if (watched.pending == 0 || result == ProbeResult::Listens) {
        watched.timer.expires_after(Millis(0));
        watched.timer.async_wait([this, service](const asio::error_code &error) {
            if (!error)
                finishProbes(service);
        });
    }
}

void ReachWatch::finishProbes(const std::string &service)
{
    Watched &watched = *services_.at(service);
    watched.probes.clear();
    const bool changed = noteProbes(watched.reach, watched.anyListens, steadyNow());
    if (watched.reach.cutOff) {
        watched.timer.expires_after(kProbeInterval);
        watched.timer.async_wait([this, service](const asio::error_code &error) {
            if (!error && isCutOff(service))
                probe(service);
        });
    }
    if (changed)
        hooks_.changed(service, watched.reach.cutOff);
}

} // namespace cicadafork::gateway
