#include "gateway/loadtracker.h"

#include "base/hash.h"

#include <algorithm>

namespace cicadafork::gateway {

namespace {

// Daemons report the start of a job to their peers only if its prefill is longer (see mesh.cpp).
// Such a job counts as prefilling until the report arrives or is assumed lost; others count so
// until the expected end.
constexpr FloatMillis kReportedPrefill{60};
// A freed slot is reserved for the daemon whose job used it: that daemon learns of the end a little
// earlier and places a queued request within milliseconds. Every other daemon counts the slot as
// occupied for kMinReservation plus a random time below kReservationSpread, so that they follow one
// by one; each placement is known to all daemons within 2 ms.
constexpr Millis kMinReservation{10};
constexpr Millis kReservationSpread{50};
// Time for which a change at an endpoint is remembered; longer than any turn of a waiting request.
constexpr Millis kChangeLifetime{1000};
// A reported load is used for this time: six reports of the primary reader may be lost.
constexpr Millis kReportLifetime{1500};
// A report contains the jobs that were placed at least this long before it arrived.
constexpr Millis kAnnouncementTime{20};
// The report of a start is assumed lost if a prefill is overdue by this multiple of its time.
constexpr double kMaxOverdueFactor = 2;
// Share of a prefill that is assumed to remain, at least, until its start is reported.
constexpr double kMinRemainingShare = 0.15;

FloatMillis longestPrefill(const Job &job)
{
    FloatMillis longest{0};
    for (const JobPart &part : job.parts)
        longest = std::max(longest, part.prefillTime);
    return longest;
}

bool isPrefilling(const Job &job, TimePoint now)
{
    if (job.started)
        return false;
    if (now < job.expectedPrefillEnd)
        return true;
    const FloatMillis prefill = longestPrefill(job);
    return prefill > kReportedPrefill
           && FloatMillis(now - job.expectedPrefillEnd) < kMaxOverdueFactor * prefill;
}

FloatMillis remainingPrefill(const Job &job, const JobPart &part, TimePoint now)
{
    return std::clamp(FloatMillis(job.expectedPrefillEnd - now),
                      kMinRemainingShare * part.prefillTime, part.prefillTime);
}

} // namespace

EndpointKey endpointKey(const EndpointRecord &endpoint)
{
    return mix64(fnv1a64(endpoint.id) ^ static_cast<std::uint64_t>(endpoint.bornMs));
}

LoadTracker::LoadTracker(std::size_t limit, std::uint64_t owner)
    : limit_(limit)
    , owner_(owner)
{
}

bool LoadTracker::place(const Job &job)
{
    const Job *known = find(job.id);
    // A repeated announcement of a job delays the other prefills no further.
    if (!known && job.parts.size() > 1 && !job.started)
        extendOverlappedPrefills(job);
    const bool wasKnown = known != nullptr;
    Job placed = job;
    if (known)
        placed.placed = known->placed;
    remove(job.id);
    if (jobs_.size() >= limit_)
        return false;
    for (const JobPart &part : job.parts) {
        byEndpoint_[part.endpoint].push_back(job.id);
        if (!wasKnown)
            lastChange_[part.endpoint] = job.placed;
    }
    jobs_.emplace(job.id, std::move(placed));
    return true;
}

void LoadTracker::report(EndpointKey endpoint, const EndpointLoad &load, TimePoint now)
{
    if (reports_.size() < limit_ || reports_.contains(endpoint))
        reports_[endpoint] = {load, now};
}

void LoadTracker::extendOverlappedPrefills(const Job &job)
{
    std::vector<JobId> delayed;
    for (const JobPart &part : job.parts) {
        const auto row = byEndpoint_.find(part.endpoint);
        if (row == byEndpoint_.end())
            continue;
        for (const JobId &id : row->second) {
            Job &other = jobs_.at(id);
            const bool prefilling = isPrefilling(other, job.placed);
            // The parts are prefilled in parallel, so a job that shares several endpoints with the
            // new one is delayed only once.
            if (!prefilling || std::ranges::find(delayed, id) != delayed.end())
                continue;
            delayed.push_back(id);
            other.expectedPrefillEnd
                    += std::chrono::duration_cast<SteadyClock::duration>(part.prefillTime);
        }
    }
}

void LoadTracker::started(const JobId &id, TimePoint now)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    found->second.started = true;
    found->second.expectedPrefillEnd = now;
}

void LoadTracker::ended(const JobId &id, TimePoint now)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    for (const JobPart &part : found->second.parts) {
        lastChange_[part.endpoint] = now;
        if (!part.decodes)
            continue;
        auto &freed = freedSlots_[part.endpoint];
        std::erase_if(freed, [&](const FreedSlot &slot) { return now - slot.at > kMaxKnownFree; });
        freed.push_back({id, now});
    }
    remove(id);
}

unsigned LoadTracker::reservedSlots(EndpointKey endpoint, TimePoint now) const
{
    const auto row = freedSlots_.find(endpoint);
    if (row == freedSlots_.end())
        return 0;
    return static_cast<unsigned>(std::ranges::count_if(row->second, [&](const FreedSlot &slot) {
        if (slot.job.owner == owner_)
            return false;
        const std::uint64_t random = mix64(owner_ ^ mix64(slot.job.owner + slot.job.number));
        const Millis spread(static_cast<Millis::rep>(random % kReservationSpread.count()));
        return now < slot.at + kMinReservation + spread;
    }));
}

FloatMillis LoadTracker::freeFor(EndpointKey endpoint, unsigned free, TimePoint now) const
{
    const auto row = freedSlots_.find(endpoint);
    if (row == freedSlots_.end())
        return FloatMillis::max();
    // Slots reserved for others are free too. The newest come last.
    const std::size_t slots = free + reservedSlots(endpoint, now);
    if (slots == 0 || slots > row->second.size())
        return FloatMillis::max();
    const FloatMillis age = now - row->second[row->second.size() - slots].at;
    return age > FloatMillis(kMaxKnownFree) ? FloatMillis::max() : age;
}

void LoadTracker::remove(const JobId &id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    unlink(found->second);
    jobs_.erase(found);
}

void LoadTracker::unlink(const Job &job)
{
    for (const JobPart &part : job.parts) {
        const auto row = byEndpoint_.find(part.endpoint);
        if (row == byEndpoint_.end())
            continue;
        std::erase(row->second, job.id);
        if (row->second.empty())
            byEndpoint_.erase(row);
    }
}

void LoadTracker::removeUnlisted(std::uint64_t owner, const std::vector<std::uint32_t> &listed,
                                 std::uint32_t first, std::uint32_t last)
{
    std::vector<JobId> removed;
    for (const auto &[id, job] : jobs_) {
        if (id.owner == owner && id.number >= first && id.number <= last
            && std::ranges::find(listed, id.number) == listed.end())
            removed.push_back(id);
    }
    for (const JobId &id : removed)
        remove(id);
}

void LoadTracker::removeOwner(std::uint64_t owner)
{
    std::vector<JobId> removed;
    for (const auto &[id, job] : jobs_) {
        if (id.owner == owner)
            removed.push_back(id);
    }
    for (const JobId &id : removed)
        remove(id);
}

void LoadTracker::expire(TimePoint now)
{
    std::vector<JobId> removed;
    for (const auto &[id, job] : jobs_) {
        if (job.expires <= now)
            removed.push_back(id);
    }
    for (const JobId &id : removed)
        remove(id);
    std::erase_if(lastChange_,
                  [&](const auto &entry) { return now - entry.second > kChangeLifetime; });
    std::erase_if(reports_,
                  [&](const auto &entry) { return now - entry.second.at > kReportLifetime; });
}

EndpointLoad LoadTracker::load(EndpointKey endpoint, TimePoint now,
                               std::span<const JobId> without) const
{
    EndpointLoad load;
    const auto found = reports_.find(endpoint);
    const Report *report = found != reports_.end() && now - found->second.at <= kReportLifetime
                                   ? &found->second
                                   : nullptr;
    if (report) {
        load = report->load;
        load.pendingPrefill
                = std::max(FloatMillis(0), load.pendingPrefill - FloatMillis(now - report->at));
    }
    load.reserved = reservedSlots(endpoint, now);
    load.sequences += load.reserved;
    if (const auto change = lastChange_.find(endpoint); change != lastChange_.end())
        load.lastChange = change->second;
    const auto row = byEndpoint_.find(endpoint);
    if (row == byEndpoint_.end())
        return load;
    for (const JobId &id : row->second) {
        const Job &job = jobs_.at(id);
        if ((report && job.placed + kAnnouncementTime <= report->at)
            || std::ranges::find(without, id) != without.end())
            continue;
        const bool prefilling = isPrefilling(job, now);
        for (const JobPart &part : job.parts) {
            if (part.endpoint != endpoint)
                continue;
            if (prefilling && job.dueBy > TimePoint{})
                load.prefillSlack = std::min(load.prefillSlack,
                                             FloatMillis(job.dueBy - job.expectedPrefillEnd));
            if (prefilling)
                load.pendingPrefill += remainingPrefill(job, part, now);
            load.kvTokens += part.kvTokens;
            if (!part.decodes) {
                load.helperPrefills += prefilling ? 1 : 0;
                continue;
            }
            ++load.sequences;
            if (job.maxEventGap > Millis(0))
                load.shortestEventGap = std::min(load.shortestEventGap, job.maxEventGap);
            if (!prefilling) {
                ++load.decodingSequences;
                load.contextTokens += job.promptTokens + job.answerTokens / 2;
            }
        }
    }
    return load;
}

const Job *LoadTracker::find(const JobId &id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

std::vector<Job> LoadTracker::jobsOf(std::uint64_t owner) const
{
    std::vector<Job> jobs;
    for (const auto &[id, job] : jobs_) {
        if (id.owner == owner)
            jobs.push_back(job);
    }
    return jobs;
}

} // namespace cicadafork::gateway
