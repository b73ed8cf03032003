#include "gateway/dispatchorder.h"

#include "overload/fairorder.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace cicadafork::gateway {

namespace {

/// The ids of requests of one service. They are grouped by rank: what cannot be on time any more is
/// behind everything that can, whatever its priority.
std::vector<std::uint64_t> serviceOrder(const std::vector<const WaitingRequest *> &waiting)
{
    std::map<std::pair<bool, int>, std::vector<overload::FairRequest>> ranks;
    for (const WaitingRequest *request : waiting)
        ranks[{request->late, request->priority}].push_back({request->id, request->workspace,
                                                             request->used, request->cost,
                                                             request->objective});
    std::vector<std::uint64_t> order;
    order.reserve(waiting.size());
    for (auto &[rank, requests] : ranks) {
        const auto ids = overload::fairOrder(std::move(requests));
        order.insert(order.end(), ids.begin(), ids.end());
    }
    return order;
}

} // namespace

std::vector<std::uint64_t> dispatchOrder(const std::vector<WaitingRequest> &waiting,
                                         std::string_view lastService, std::size_t limit)
{
    std::map<std::string_view, std::vector<const WaitingRequest *>> services;
    for (const WaitingRequest &request : waiting)
        services[request.service].push_back(&request);
    std::vector<std::vector<std::uint64_t>> turns;
    const auto first = services.upper_bound(lastService);
    for (auto service = first; service != services.end(); ++service)
        turns.push_back(serviceOrder(service->second));
    for (auto service = services.begin(); service != first; ++service)
        turns.push_back(serviceOrder(service->second));
    const std::size_t size = std::min(limit, waiting.size());
    std::vector<std::uint64_t> order;
    for (std::size_t turn = 0; order.size() < size; ++turn) {
        for (const auto &ids : turns) {
            if (turn < ids.size() && order.size() < size)
                order.push_back(ids[turn]);
        }
    }
    return order;
}

} // namespace cicadafork::gateway
