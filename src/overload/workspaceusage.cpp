#include "overload/workspaceusage.h"

#include "base/hash.h"
#include "gateway/placement.h"

#include <algorithm>
#include <cmath>

namespace cicadafork::overload {

namespace {

// Half-lives after which a service gets a new epoch; keeps the stored values in the range in which
// they are exact to many digits.
constexpr double kMaxEpochHalfLives = 32;
// Share of the largest usage of a service below which a workspace does not count as active: it has
// used next to nothing for several half-lives.
constexpr double kMinActiveShare = 0.001;

} // namespace

WorkspaceKey workspaceKey(std::string_view name)
{
    if (name.empty())
        return 0;
    return std::max<WorkspaceKey>(1, static_cast<WorkspaceKey>(mix64(fnv1a64(name))));
}

double requestCost(const gateway::EngineModel *engine, std::uint64_t promptTokens,
                   std::uint64_t answerTokens)
{
    if (!engine)
        return 1;
    if (promptTokens == 0) {
        promptTokens = engine->meanPromptTokens;
        answerTokens = engine->meanAnswerTokens;
    }
    const std::uint64_t memory = std::max<std::uint64_t>(1, promptTokens + answerTokens);
    const auto sequences = static_cast<unsigned>(std::clamp<std::uint64_t>(
            engine->kvCapacityTokens / memory, 1, std::max(1U, engine->slots)));
    const std::uint64_t context = sequences * (promptTokens + answerTokens / 2);
    const gateway::FloatMillis time
            = gateway::prefillTime(*engine, promptTokens)
              + gateway::decodeTime(*engine, answerTokens, sequences, context) / sequences;
    return time.count();
}

WorkspaceUsage::WorkspaceUsage(UsageOptions options)
    : options_(options)
{
}

bool WorkspaceUsage::isCounted(const gateway::JobId &job) const
{
    const auto found = owners_.find(job.owner);
    if (found == owners_.end() || job.number > found->second.newest)
        return false;
    const std::uint32_t age = found->second.newest - job.number;
    return age >= kWindow || found->second.counted.test(age);
}

void WorkspaceUsage::markCounted(const gateway::JobId &job, TimePoint now)
{
    if (owners_.size() >= options_.maxOwners && !owners_.contains(job.owner)) {
        owners_.erase(std::ranges::min_element(
                owners_, {}, [](const auto &entry) { return entry.second.lastAdded; }));
    }
    Owner &owner = owners_[job.owner];
    if (job.number > owner.newest) {
        const std::uint32_t shift = job.number - owner.newest;
        owner.counted = shift >= kWindow ? std::bitset<kWindow>() : owner.counted << shift;
        owner.newest = job.number;
    }
    owner.counted.set(owner.newest - job.number);
    owner.lastAdded = now;
}

void WorkspaceUsage::add(const gateway::JobId &job, const std::string &service,
                         WorkspaceKey workspace, double cost, TimePoint now)
{
    if (workspace == 0 || isCounted(job))
        return;
    markCounted(job, now);
    Service &row = this->service(service, now);
    if (row.used.size() >= options_.maxWorkspaces && !row.used.contains(workspace))
        row.used.erase(std::ranges::min_element(row.used, {},
                                                [](const auto &entry) { return entry.second; }));
    row.used[workspace] += cost / decay(row, now);
}

WorkspaceUsage::Service &WorkspaceUsage::service(const std::string &name, TimePoint now)
{
    auto found = services_.find(name);
    if (found == services_.end()) {
        if (services_.size() >= options_.maxServices)
            services_.erase(std::ranges::min_element(
                    services_, {}, [](const auto &entry) { return entry.second.epoch; }));
        found = services_.emplace(name, Service{now, {}}).first;
    }
    if (now - found->second.epoch > kMaxEpochHalfLives * options_.halfLife)
        rebase(found->second, now);
    return found->second;
}

void WorkspaceUsage::rebase(Service &service, TimePoint now) const
{
    const double factor = decay(service, now);
    double largest = 0;
    for (auto &[workspace, used] : service.used) {
        used *= factor;
        largest = std::max(largest, used);
    }
    std::erase_if(service.used,
                  [&](const auto &entry) { return entry.second <= kMinActiveShare * largest; });
    service.epoch = now;
}

double WorkspaceUsage::decay(const Service &service, TimePoint now) const
{
    return std::exp2(
            -(gateway::FloatMillis(now - service.epoch) / gateway::FloatMillis(options_.halfLife)));
}

double WorkspaceUsage::used(std::string_view service, WorkspaceKey workspace, TimePoint now) const
{
    const auto row = services_.find(service);
    if (row == services_.end())
        return 0;
    const auto found = row->second.used.find(workspace);
    return found == row->second.used.end() ? 0 : found->second * decay(row->second, now);
}

WorkspaceShare WorkspaceUsage::share(std::string_view service, WorkspaceKey workspace,
                                     TimePoint now) const
{
    WorkspaceShare share;
    const auto row = services_.find(service);
    if (row == services_.end())
        return share;
    const double factor = decay(row->second, now);
    for (const auto &[key, used] : row->second.used) {
        share.total += used * factor;
        share.largest = std::max(share.largest, used * factor);
        if (key == workspace)
            share.used = used * factor;
    }
    share.active
            = static_cast<unsigned>(std::ranges::count_if(row->second.used, [&](const auto &entry) {
                  return entry.second * factor > kMinActiveShare * share.largest;
              }));
    return share;
}

std::map<std::string, std::map<WorkspaceKey, double>> WorkspaceUsage::all(TimePoint now) const
{
    std::map<std::string, std::map<WorkspaceKey, double>> result;
    for (const auto &[name, row] : services_) {
        const double factor = decay(row, now);
        for (const auto &[workspace, used] : row.used)
            result[name][workspace] = used * factor;
    }
    return result;
}

} // namespace cicadafork::overload
