#include "overload/fairorder.h"

#include "admission/starttags.h"

#include <algorithm>
#include <tuple>

namespace cicadafork::overload {

namespace {

// Multiple of the fair share above which a workspace leaves endpoints to others. The usage of a
// workspace at its share varies by some tens of percent with single requests.
constexpr double kFarAboveShare = 1.5;
// Covers several dispatches of the daemons whose requests wait, and the time for which a slot is
// reserved for one of them at first (see LoadTracker).
constexpr double kYieldIntervals = 12;
// A slot that is left to others for longer may stay unused, if none of them can take it.
constexpr gateway::FloatMillis kMaxYield{200};
// Share of the longest time for a workspace that is only just far above its share.
constexpr double kMinYieldShare = 0.5;
// Share of the capacity of an endpoint that must be free for a slot to be taken as free for long,
// if it is not known when jobs ended there. Endpoints of a failure domain without load of its own
// are used, those of a busy one are left to the daemons there.
constexpr double kLongFreeShare = 0.25;

} // namespace

std::vector<std::uint64_t> fairOrder(std::vector<FairRequest> waiting)
{
    std::ranges::sort(waiting, {}, [](const FairRequest &request) {
        return std::make_tuple(request.objective, request.id);
    });
    std::vector<std::uint64_t> order;
    order.reserve(waiting.size());
    const bool shared = std::ranges::any_of(waiting, [&](const FairRequest &request) {
        return request.workspace != waiting.front().workspace;
    });
    if (shared) {
        StartTags<WorkspaceKey> tags;
        std::vector<std::pair<double, std::uint64_t>> tagged;
        tagged.reserve(waiting.size());
        for (const FairRequest &request : waiting) {
            tags.raise(request.workspace, request.used);
            tagged.emplace_back(tags.next(request.workspace, request.cost), request.id);
        }
        // Stable, so that requests with equal tags stay in the order of their objectives.
        std::ranges::stable_sort(tagged, {}, &std::pair<double, std::uint64_t>::first);
        for (const auto &[tag, id] : tagged)
            order.push_back(id);
        return order;
    }
    for (const FairRequest &request : waiting)
        order.push_back(request.id);
    return order;
}

gateway::FloatMillis maxYield(const WorkspaceShare &share, gateway::FloatMillis dispatchInterval)
{
    const double threshold = kFarAboveShare * share.fair();
    if (share.used <= threshold)
        return gateway::FloatMillis(0);
    const double excess = (share.used - threshold) / (share.largest - threshold);
    const gateway::FloatMillis longest = std::min(kMaxYield, kYieldIntervals * dispatchInterval);
    return longest * (kMinYieldShare + (1 - kMinYieldShare) * excess);
}

gateway::FloatMillis assumedFreeFor(unsigned free, unsigned capacity)
{
    return free > kLongFreeShare * capacity ? gateway::FloatMillis::max() : gateway::FloatMillis(0);
}

bool mustYield(const YieldFacts &facts)
{
    return facts.waitingElsewhere > 0
           && facts.freeFor < maxYield(facts.share, facts.dispatchInterval);
}

} // namespace cicadafork::overload
