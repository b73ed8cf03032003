#include "gateway/dispatchorder.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace cicadafork::gateway {

std::vector<std::uint64_t> dispatchOrder(std::vector<WaitingRequest> waiting,
                                         std::string_view lastService, std::size_t limit)
{
    std::ranges::sort(waiting, {}, [](const WaitingRequest &request) {
        return std::make_tuple(request.priority, request.late, request.objective, request.id);
    });
    std::map<std::string_view, std::vector<std::uint64_t>> services;
    for (const WaitingRequest &request : waiting)
        services[request.service].push_back(request.id);
    std::vector<const std::vector<std::uint64_t> *> turns;
    const auto first = services.upper_bound(lastService);
    for (auto service = first; service != services.end(); ++service)
        turns.push_back(&service->second);
    for (auto service = services.begin(); service != first; ++service)
        turns.push_back(&service->second);
    const std::size_t size = std::min(limit, waiting.size());
    std::vector<std::uint64_t> order;
    for (std::size_t turn = 0; order.size() < size; ++turn) {
        for (const auto *ids : turns) {
            if (turn < ids->size() && order.size() < size)
                order.push_back((*ids)[turn]);
        }
    }
    return order;
}

} // namespace cicadafork::gateway
