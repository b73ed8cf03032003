#pragma once

// The Admission implementation of a daemon: a FairQueue whose callers block until they are placed.
//
//   QueueAdmission admission(fleet, settings, prefixes, metrics, seed, &outliers);
//
// The mutex protects the queue and the budgets. Views and routing decisions are computed without
// it.

#include "admission/admission.h"
#include "admission/fairqueue.h"
#include "admission/outlierdetector.h"
#include "admission/retrybudget.h"
#include "base/metrics.h"
#include "base/table.h"
#include "membership/fleet.h"
#include "routing/prefixindex.h"
#include "settings/settings.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace cicadafork {

class QueueAdmission : public Admission
{
public:
    /// Fleet, prefixes, metrics and outliers must outlive the object. outliers may be nullptr.
    QueueAdmission(Fleet &fleet, const Settings &settings, PrefixIndex &prefixes, Metrics &metrics,
                   std::uint64_t seed, const OutlierDetector *outliers = nullptr);

    PlaceResult place(const PlacementRequest &request,
                      const std::function<bool()> &cancelled) override;
    void dispatchQueued(TimePoint now) override;
    void reportFinished(const std::string &workspace, const std::string &service,
                        bool succeeded) override;
    bool takeRetry(const std::string &workspace, const std::string &service) override;
    Millis retryDelay(unsigned attempt) override;
    std::vector<QueuedRequestView> queued(TimePoint now) const override;

private:
    struct ServiceState
    {
        TokenLoad load;
        std::uint64_t sequence = 0;
    };
    /// A blocked call of place(). Shared with the dispatching thread, because the caller may return
    /// on cancellation or deadline while that thread decides about the request.
    struct Waiter
    {
        std::uint64_t ticket = 0;
        PlacementRequest request;
        std::optional<PlaceResult> result;
        std::condition_variable changed;
    };
    using WaiterPtr = std::shared_ptr<Waiter>;
    struct RandomShard
    {
        std::mutex mutex;
        Random random;
    };

    template <class Function>
    auto withRandom(Function function);

    std::optional<Refusal> refuseByRate(const PlacementRequest &request, TimePoint now);
    FleetView viewFor(const PlacementRequest &request, TimePoint now, bool arrival);
    std::uint64_t groupOrder(const std::string &requestId, TimePoint now);
    void limitReturningEndpoints(FleetView &view, TimePoint now);
    RouteDecision decide(const RouteRequest &route, const FleetView &view);
    Placement commit(const PlacementRequest &request, const FleetView &view,
                     const RouteDecision &decision, TimePoint now);
    PlaceResult enqueue(const PlacementRequest &request, const FleetView &view,
                        const RouteDecision &decision, std::uint64_t groupOrder,
                        const std::function<bool()> &cancelled, TimePoint now);
    PlaceResult waitForResult(const WaiterPtr &waiter, const std::function<bool()> &cancelled);
    void dispatchService(const std::string &service, TimePoint now);
    bool resolveWaiter(const WaiterPtr &waiter, bool dispatched,
                       const std::function<PlaceResult()> &makeResult);
    Refusal countRefusal(Refusal refusal);

    Fleet &fleet_;
    const Settings settings_;
    PrefixIndex &prefixes_;
    const OutlierDetector *outliers_;

    mutable std::mutex mutex_;
    FairQueue queue_;
    std::map<std::uint64_t, WaiterPtr> waiters_;
    Table<std::string, ServiceState> services_;
    Table<std::string, TokenBucket> rates_;
    RetryBudget retries_;
    struct GroupRow
    {
        std::uint64_t order = 0;
        TimePoint seen;
    };
    Table<std::string, GroupRow> groups_; ///< By request id.
    std::uint64_t nextTicket_ = 1;

    std::mutex dispatchMutex_; ///< One dispatch pass at a time; never taken while mutex_ is held.
    std::atomic<bool> dispatchRequested_{false};
    std::array<RandomShard, 16> randomShards_;

    std::map<RefusalReason, prometheus::Counter *> refusals_;
    prometheus::Counter &placed_;
    prometheus::Counter &retriesRefused_;
    prometheus::Gauge &queueLength_;
};

} // namespace cicadafork
