#include "gateway/coldendpoints.h"

#include <algorithm>

namespace cicadafork::gateway {

namespace {

// Peers state the time that is left when they send. A message of theirs that says the same as is
// known arrives later by the network's time and by that of a busy event loop.
constexpr Millis kTransferTime{250};
// An answer without cold time that was on its way when the endpoint became cold does not end it.
constexpr Millis kAnswerLinger{1000};
// Far longer than any endpoint is cold; keeps a mistaken value from limiting an endpoint for good.
constexpr std::chrono::minutes kLongestCold{10};
// Records are read again and again, so the newest revision is remembered for at least this time
// after the last one.
constexpr std::chrono::minutes kRowLifetime{10};

TimePoint endOf(Millis left, TimePoint now)
{
    return now + std::clamp<Millis>(left, Millis(0), kLongestCold);
}

bool isOtherEnd(TimePoint before, TimePoint after, TimePoint now)
{
    // Ends that have passed are all the same.
    before = std::max(before, now);
    after = std::max(after, now);
    return after > before + kTransferTime || after + kTransferTime < before
           || (before == now) != (after == now);
}

} // namespace

ColdEndpoints::ColdEndpoints(std::size_t maxEndpoints)
    : maxEndpoints_(maxEndpoints)
{
}

ColdEndpoints::Row *ColdEndpoints::rowFor(EndpointKey endpoint, TimePoint now)
{
    if (!rows_.contains(endpoint) && rows_.size() >= maxEndpoints_) {
        std::erase_if(rows_, [&](const auto &entry) {
            const Row &row = entry.second;
            return until(row) <= now && now - row.notedAt > kRowLifetime;
        });
        if (rows_.size() >= maxEndpoints_)
            return nullptr;
    }
    Row &row = rows_[endpoint];
    row.notedAt = now;
    return &row;
}

TimePoint ColdEndpoints::until(const Row &row)
{
    return std::max(row.recordUntil, row.answerUntil);
}

bool ColdEndpoints::noteRecord(EndpointKey endpoint, std::uint64_t revision, Millis left,
                               TimePoint now)
{
    Row *row = rowFor(endpoint, now);
    if (!row || (row->revision && revision <= *row->revision))
        return false;
    const TimePoint before = until(*row);
    row->revision = revision;
    row->recordUntil = endOf(left, now);
    return isOtherEnd(before, until(*row), now);
}

bool ColdEndpoints::noteAnswer(EndpointKey endpoint, Millis left, TimePoint now)
{
    Row *row = rowFor(endpoint, now);
    if (!row || (left <= Millis(0) && now - row->answeredAt < kAnswerLinger))
        return false;
    const TimePoint before = until(*row);
    row->answerUntil = endOf(left, now);
    row->answeredAt = now;
    return isOtherEnd(before, until(*row), now);
}

bool ColdEndpoints::noteAnswerToPeer(EndpointKey endpoint, Millis left, TimePoint now)
{
    Row *row = rowFor(endpoint, now);
    const TimePoint after = endOf(left, now);
    // The peer repeats what this daemon knows, or what the endpoint said earlier.
    if (!row || after <= until(*row) + kTransferTime)
        return false;
    row->answerUntil = after;
    row->answeredAt = now;
    return true;
}

TimePoint ColdEndpoints::until(EndpointKey endpoint) const
{
    const auto found = rows_.find(endpoint);
    return found == rows_.end() ? TimePoint{} : until(found->second);
}

Millis ColdEndpoints::left(EndpointKey endpoint, TimePoint now) const
{
    return std::max(Millis(0), std::chrono::ceil<Millis>(until(endpoint) - now));
}

std::vector<ColdEndpoint> ColdEndpoints::cold(TimePoint now) const
{
    std::vector<ColdEndpoint> cold;
    for (const auto &[endpoint, row] : rows_) {
        if (until(row) > now)
            cold.push_back({endpoint, until(row)});
    }
    return cold;
}

} // namespace cicadafork::gateway
