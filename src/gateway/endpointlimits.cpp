#include "gateway/endpointlimits.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cicadafork::gateway {

namespace {

// Each owner may send one request at once, so with one owner for so many requests a second, an
// endpoint gets in 4 s at most an eighth more than its limit, and one request.
constexpr double kRequestsPerSecondOfAnOwner = 2;
// Requests that an owner which has sent none for a while may send at once.
constexpr double kBurst = 1;
// An answer without the field that was on its way when the endpoint began to state a limit does not
// end it.
constexpr Millis kLimitLinger{1000};
// A limit that no answer has stated for this long is forgotten.
constexpr std::chrono::minutes kLimitLifetime{10};
// A cold endpoint gets in any window at most its limit times the overage, and the slack; from the
// bounds in docs/hard-load.md.
constexpr Millis kColdWindow{1000};
constexpr double kColdOverage = 1.5;
constexpr double kColdSlack = 5;
// Far more than a daemon sends in a window.
constexpr std::size_t kMaxRecent = 4096;

std::uint64_t weight(EndpointKey endpoint, DaemonKey daemon)
{
    return mix64(endpoint ^ mix64(daemon));
}

} // namespace

std::size_t limitOwners(double requestsPerSecond)
{
    constexpr double kMaxOwners = 1024;
    const double owners = std::ceil(requestsPerSecond / kRequestsPerSecondOfAnOwner);
    return static_cast<std::size_t>(std::clamp(owners, 1.0, kMaxOwners));
}

std::unordered_map<EndpointKey, std::vector<DaemonKey>>
chooseLimitOwners(std::vector<EndpointLimit> limits, const std::vector<DaemonKey> &daemons)
{
    struct Load
    {
        double perSecond;
        std::uint64_t weight;
        DaemonKey daemon;
    };
    std::ranges::sort(limits, {}, &EndpointLimit::endpoint);
    std::vector<Load> loads;
    for (const DaemonKey daemon : daemons)
        loads.push_back({0, 0, daemon});
    std::unordered_map<EndpointKey, std::vector<DaemonKey>> owners;
    for (const EndpointLimit &limit : limits) {
        if (!limit.requestsPerSecond || loads.empty())
            continue;
        const std::size_t count = std::min(loads.size(), limitOwners(*limit.requestsPerSecond));
        for (Load &load : loads)
            load.weight = weight(limit.endpoint, load.daemon);
        // Those that may send the least, and of these by rendezvous hashing.
        std::ranges::partial_sort(
                loads, loads.begin() + static_cast<std::ptrdiff_t>(count), {},
                [](const Load &load) { return std::pair(load.perSecond, load.weight); });
        for (std::size_t i = 0; i < count; ++i) {
            loads[i].perSecond += *limit.requestsPerSecond / static_cast<double>(count);
            owners[limit.endpoint].push_back(loads[i].daemon);
        }
    }
    return owners;
}

std::size_t coldLimitOwners(double requestsPerSecond, std::size_t daemons)
{
    if (daemons == 0)
        return 0;
    // The fewest whole requests a second that each must send at most to use up the limit.
    const double each = std::ceil(requestsPerSecond / static_cast<double>(daemons));
    const double owners = std::ceil(requestsPerSecond / std::max(1.0, each));
    return std::clamp(static_cast<std::size_t>(owners), std::size_t(1), daemons);
}

std::vector<DaemonKey> chooseColdLimitOwners(const ColdLimit &limit,
                                             const std::vector<DaemonKey> &daemons)
{
    std::vector<DaemonKey> owners = daemons;
    const auto count
            = static_cast<std::ptrdiff_t>(coldLimitOwners(limit.requestsPerSecond, daemons.size()));
    std::ranges::partial_sort(owners, owners.begin() + count, {}, [&](DaemonKey daemon) {
        return std::pair(weight(limit.endpoint, daemon), daemon);
    });
    owners.resize(static_cast<std::size_t>(count));
    return owners;
}

EndpointLimits::EndpointLimits(DaemonKey self, std::size_t maxEndpoints)
    : self_(self)
    , maxEndpoints_(maxEndpoints)
{
}

void EndpointLimits::assignOwners(const std::vector<DaemonKey> &daemons, TimePoint now)
{
    const auto owners = chooseLimitOwners(limits(), daemons);
    for (auto &[endpoint, share] : shares_) {
        const auto found = owners.find(endpoint);
        const bool owns = found != owners.end()
                          && std::ranges::find(found->second, self_) != found->second.end();
        setPart(share.part,
                owns ? *share.limit.requestsPerSecond / static_cast<double>(found->second.size())
                     : 0,
                now);
    }
}

double EndpointLimits::tokensAt(const Part &part, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - part.countedAt).count();
    return std::min(kBurst, part.tokens + part.perSecond * elapsed);
}

void EndpointLimits::setPart(Part &part, double perSecond, TimePoint now)
{
    part.tokens = tokensAt(part, now);
    part.countedAt = now;
    part.perSecond = perSecond;
    // Another daemon has this one's part now.
    if (perSecond <= 0)
        part.tokens = 0;
}

void EndpointLimits::setColdLimits(const std::vector<ColdLimit> &limits,
                                   const std::vector<DaemonKey> &daemons, TimePoint now)
{
    std::unordered_map<EndpointKey, ColdShare> before = std::move(cold_);
    cold_.clear();
    for (const ColdLimit &limit : limits) {
        if (limit.until <= now || cold_.size() >= maxEndpoints_)
            continue;
        ColdShare share;
        const auto found = before.find(limit.endpoint);
        if (found != before.end() && found->second.limit.until > now)
            share = found->second;
        // Endpoints come in bursts, and the daemons that share their limits seldom change.
        const bool keepsOwners = share.since && daemons == coldDaemons_
                                 && share.limit.requestsPerSecond == limit.requestsPerSecond;
        share.limit = limit;
        if (!keepsOwners)
            assignColdOwners(share, daemons, now);
        cold_.emplace(limit.endpoint, share);
    }
    coldDaemons_ = daemons;
}

void EndpointLimits::assignColdOwners(ColdShare &share, const std::vector<DaemonKey> &daemons,
                                      TimePoint now) const
{
    const std::vector<DaemonKey> owners = chooseColdLimitOwners(share.limit, daemons);
    const auto self = std::ranges::find(owners, self_);
    const auto count = static_cast<double>(owners.size());
    const bool isNew = !share.since && !owners.empty();
    if (isNew)
        share.since = now;
    setPart(share.part, self == owners.end() ? 0 : share.limit.requestsPerSecond / count, now);
    // Nobody has used this part yet. A later owner begins with nothing, as the one before it may
    // have just used the part.
    if (isNew && self != owners.end())
        share.part.tokens = static_cast<double>(owners.end() - self - 1) / count
                            - excessOf(share.limit, share.part.perSecond, count, now);
}

double EndpointLimits::excessOf(const ColdLimit &limit, double perSecond, double owners,
                                TimePoint now) const
{
    const auto sent = std::ranges::count_if(recent_, [&](const SentRequest &request) {
        return request.endpoint == limit.endpoint && now - request.at < kColdWindow;
    });
    const double headroom = (kColdOverage - 1) * perSecond + kColdSlack / owners;
    // After a window without requests, nothing that was sent before counts any more.
    return std::clamp(static_cast<double>(sent) - headroom, 0.0, perSecond);
}

const ColdLimit *EndpointLimits::coldLimit(EndpointKey endpoint, TimePoint now) const
{
    const auto found = cold_.find(endpoint);
    return found == cold_.end() || found->second.limit.until <= now ? nullptr
                                                                    : &found->second.limit;
}

bool EndpointLimits::note(const EndpointLimit &stated)
{
    const auto found = shares_.find(stated.endpoint);
    if (found == shares_.end()) {
        if (!stated.requestsPerSecond || shares_.size() >= maxEndpoints_)
            return false;
        Share &share = shares_[stated.endpoint];
        share.part.countedAt = stated.statedAt;
        replace(share, stated);
        return true;
    }
    Share &share = found->second;
    const Millis linger
            = stated.requestsPerSecond || !share.limit.requestsPerSecond ? Millis(0) : kLimitLinger;
    if (stated.statedAt - share.limit.statedAt < linger || stated.statedAt <= share.limit.statedAt)
        return false;
    if (stated.requestsPerSecond == share.limit.requestsPerSecond) {
        share.limit.statedAt = stated.statedAt;
        return false;
    }
    replace(share, stated);
    return true;
}

void EndpointLimits::replace(Share &share, const EndpointLimit &stated)
{
    // The endpoint has just had requests from all daemons, so an owner begins with none.
    const bool isNew = !share.limit.requestsPerSecond;
    share.limit = stated;
    if (isNew)
        setPart(share.part, 0, std::max(stated.statedAt, share.part.countedAt));
}

const EndpointLimits::Share *EndpointLimits::limited(EndpointKey endpoint) const
{
    const auto found = shares_.find(endpoint);
    return found == shares_.end() || !found->second.limit.requestsPerSecond ? nullptr
                                                                            : &found->second;
}

std::optional<TimePoint> EndpointLimits::endsAt(EndpointKey endpoint, TimePoint now) const
{
    const ColdLimit *cold = limited(endpoint) ? nullptr : coldLimit(endpoint, now);
    return cold ? std::optional(cold->until) : std::nullopt;
}

const EndpointLimits::ColdShare *EndpointLimits::coldShare(EndpointKey endpoint,
                                                           TimePoint now) const
{
    const ColdLimit *cold = coldLimit(endpoint, now);
    const Share *stated = limited(endpoint);
    const bool isLower
            = cold && (!stated || cold->requestsPerSecond < *stated->limit.requestsPerSecond);
    return isLower ? &cold_.at(endpoint) : nullptr;
}

const EndpointLimits::Part *EndpointLimits::partInForce(EndpointKey endpoint, TimePoint now) const
{
    if (const ColdShare *cold = coldShare(endpoint, now))
        return &cold->part;
    const Share *stated = limited(endpoint);
    return stated ? &stated->part : nullptr;
}

EndpointLimits::Part *EndpointLimits::partInForce(EndpointKey endpoint, TimePoint now)
{
    return const_cast<Part *>(std::as_const(*this).partInForce(endpoint, now));
}

bool EndpointLimits::allows(EndpointKey endpoint, TimePoint now) const
{
    const Part *part = partInForce(endpoint, now);
    return !part || tokensAt(*part, now) >= 1;
}

double EndpointLimits::ownPerSecond(EndpointKey endpoint, TimePoint now) const
{
    const Part *part = partInForce(endpoint, now);
    return part ? part->perSecond : 0;
}

void EndpointLimits::take(EndpointKey endpoint, TimePoint now)
{
    while (!recent_.empty()
           && (now - recent_.front().at >= kColdWindow || recent_.size() >= kMaxRecent))
        recent_.pop_front();
    recent_.push_back({endpoint, now});
    if (Part *part = partInForce(endpoint, now)) {
        part->tokens = tokensAt(*part, now) - 1;
        part->countedAt = now;
    }
}

void EndpointLimits::giveBack(EndpointKey endpoint, TimePoint takenAt, TimePoint now)
{
    const auto sent = std::ranges::find_if(recent_, [&](const SentRequest &request) {
        return request.endpoint == endpoint && request.at == takenAt;
    });
    if (sent != recent_.end())
        recent_.erase(sent);
    // A request from the time before the endpoint became cold has taken nothing.
    const ColdShare *cold = coldShare(endpoint, now);
    if (cold && (!cold->since || takenAt < *cold->since))
        return;
    if (Part *part = partInForce(endpoint, now))
        part->tokens += 1;
}

std::optional<TimePoint> EndpointLimits::nextAt(const Part &part, TimePoint now)
{
    const double missing = 1 - tokensAt(part, now);
    if (missing <= 0)
        return now;
    if (part.perSecond <= 0)
        return std::nullopt;
    const std::chrono::duration<double> longest = kLimitLifetime;
    const std::chrono::duration<double> wait(missing / part.perSecond);
    return now + std::chrono::ceil<Millis>(std::min(wait, longest));
}

std::optional<TimePoint> EndpointLimits::nextAt(EndpointKey endpoint, TimePoint now) const
{
    const Share *stated = limited(endpoint);
    const std::optional<TimePoint> byStated = stated ? nextAt(stated->part, now) : now;
    const ColdShare *cold = coldShare(endpoint, now);
    if (!cold)
        return byStated;
    const std::optional<TimePoint> own = nextAt(cold->part, now);
    if (!byStated)
        return own;
    const TimePoint afterwards = std::max(cold->limit.until, *byStated);
    return own ? std::min(*own, afterwards) : afterwards;
}

std::vector<EndpointLimit> EndpointLimits::limits() const
{
    std::vector<EndpointLimit> limits;
    for (const auto &[endpoint, share] : shares_)
        limits.push_back(share.limit);
    return limits;
}

void EndpointLimits::expire(TimePoint now)
{
    std::erase_if(shares_, [&](const auto &entry) {
        return now - entry.second.limit.statedAt > kLimitLifetime;
    });
}

} // namespace cicadafork::gateway
