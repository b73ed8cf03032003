#include "gateway/reach.h"

#include "base/hash.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace cicadafork::gateway {

namespace {

// Time between two rounds of probes while the service is in reach.
constexpr Millis kMinProbeDistance{500};
// Failure domains of which an endpoint is asked.
constexpr std::ptrdiff_t kMaxProbes = 3;

} // namespace

void noteNotConnected(Reach &reach, EndpointKey endpoint)
{
    reach.unreachable.insert(endpoint);
}

bool needsProbes(const Reach &reach, TimePoint now)
{
    return !reach.cutOff && !reach.probing
           && (reach.lastProbes == TimePoint() || now - reach.lastProbes >= kMinProbeDistance);
}

bool noteConnected(Reach &reach)
{
    reach.unreachable.clear();
    return std::exchange(reach.cutOff, false);
}

bool noteProbes(Reach &reach, bool anyListens, TimePoint now)
{
    reach.probing = false;
    reach.lastProbes = now;
    if (anyListens)
        return noteConnected(reach);
    return !std::exchange(reach.cutOff, true);
}

std::vector<std::size_t> chooseProbes(const Reach &reach,
                                      const std::vector<ProbeCandidate> &candidates,
                                      std::uint64_t random)
{
    const auto rank = [&](std::size_t index) {
        const EndpointKey endpoint = candidates[index].endpoint;
        return std::pair(reach.unreachable.contains(endpoint), mix64(endpoint ^ random));
    };
    std::map<std::string, std::size_t> firstOfDomain;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto [found, isNew] = firstOfDomain.emplace(candidates[i].failureDomain, i);
        if (!isNew && rank(i) < rank(found->second))
            found->second = i;
    }
    std::vector<std::size_t> chosen;
    for (const auto &[domain, index] : firstOfDomain)
        chosen.push_back(index);
    std::ranges::sort(chosen, {}, rank);
    // A domain is worth a second probe while there are fewer than kMaxProbes.
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (std::ranges::find(chosen, i) == chosen.end())
            others.push_back(i);
    }
    std::ranges::sort(others, {}, rank);
    chosen.insert(chosen.end(), others.begin(), others.end());
    return {chosen.begin(), chosen.begin() + std::min(std::ssize(chosen), kMaxProbes)};
}

} // namespace cicadafork::gateway
