#pragma once

// What each workspace has used of each service lately, by all daemons.
//
//   WorkspaceUsage usage;
//   usage.add(job.id, "engine", workspaceKey("maps"), requestCost(&engine, 5000, 900), now);
//   const WorkspaceShare share = usage.share("engine", workspaceKey("maps"), now);
//
// Answers a load of some workspaces far over their share: daemons count the cost of every job that
// they place or hear of, once, so that they agree on who has used how much.
//
// Usage decays with a half-life, so an idle workspace gets no more credit than the others have
// used within a few half-lives: back after any time, against a single other one, it can have the
// whole service for one half-life at most.

#include "gateway/loadtracker.h"

#include <bitset>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cicadafork::overload {

using WorkspaceKey = std::uint32_t; ///< Hash of a workspace's name; 0 for none.

/// 0 for an empty name only.
WorkspaceKey workspaceKey(std::string_view name);

/// Cost of a request. For an engine it is the time in ms that the request takes of an engine that
/// runs as many such requests at once as it has slots and KV memory for. A call of a plain service,
/// whose engine is null, costs 1. An engine request without token counts costs as much as one of
/// the mean size.
double requestCost(const gateway::EngineModel *engine, std::uint64_t promptTokens,
                   std::uint64_t answerTokens);

struct UsageOptions
{
    /// Long enough for a workspace's share to cover tens of its requests, short enough to follow a
    /// change of the load within the time that callers wait.
    Millis halfLife{3000};
    /// Several times the number of services of the target deployments.
    std::size_t maxServices = 64;
    /// Ten times the number of workspaces of the target deployments.
    std::size_t maxWorkspaces = 256;
    /// Number of peers that a mesh knows at most.
    std::size_t maxOwners = 1024;
};

/// The usage of a service by one workspace, and what it is compared with.
struct WorkspaceShare
{
    double used = 0;
    double total = 0;    ///< By all workspaces.
    double largest = 0;  ///< By the workspace that has used most.
    unsigned active = 0; ///< Workspaces that have used the service lately.
    double fraction() const { return total > 0 ? used / total : 0; }
    double fair() const { return active > 0 ? total / active : 0; }
};

class WorkspaceUsage
{
public:
    explicit WorkspaceUsage(UsageOptions options = {});

    /// True if the job was added, or is so much older than its owner's newest one that it may have
    /// been: full lists of jobs repeat those that are known, and datagrams arrive twice and late.
    bool isCounted(const gateway::JobId &job) const;

    /// Adds the cost of a job, unless isCounted().
    void add(const gateway::JobId &job, const std::string &service, WorkspaceKey workspace,
             double cost, TimePoint now);

    double used(std::string_view service, WorkspaceKey workspace, TimePoint now) const;
    WorkspaceShare share(std::string_view service, WorkspaceKey workspace, TimePoint now) const;
    /// Usage of all services by all workspaces.
    std::map<std::string, std::map<WorkspaceKey, double>> all(TimePoint now) const;

private:
    /// Numbers of jobs of one owner that are told apart. A daemon places fewer jobs than this
    /// between two full lists, which repair lost announcements.
    static constexpr std::size_t kWindow = 256;

    struct Owner
    {
        std::uint32_t newest = 0;
        std::bitset<kWindow> counted; ///< Bit i is the job with the number newest - i.
        TimePoint lastAdded{};
    };
    /// Values are as of the epoch, so that all of them decay without being touched.
    struct Service
    {
        TimePoint epoch{};
        std::unordered_map<WorkspaceKey, double> used;
    };

    void markCounted(const gateway::JobId &job, TimePoint now);
    Service &service(const std::string &name, TimePoint now);
    /// Sets the epoch to now and drops workspaces whose usage has decayed to next to nothing.
    void rebase(Service &service, TimePoint now) const;
    /// Factor by which usage has decayed since the epoch.
    double decay(const Service &service, TimePoint now) const;

    UsageOptions options_;
    std::map<std::string, Service, std::less<>> services_;
    std::unordered_map<std::uint64_t, Owner> owners_;
};

} // namespace cicadafork::overload
