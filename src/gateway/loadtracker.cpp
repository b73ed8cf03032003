#include "gateway/loadtracker.h"

#include "base/hash.h"

#include <algorithm>

namespace cicadafork::gateway {

namespace {

// The start of an answer after a longer read is always reported; until then the read goes on.
constexpr FloatMillis kReportedRead{60};
// How long a freed slot belongs to the daemon whose job has left it: it learns of the end a little
// earlier, and places a waiting request within milliseconds. Afterwards the others follow one by
// one; each placement is known everywhere within two milliseconds.
constexpr Millis kLeastGrace{10};
constexpr Millis kGraceSpread{50};
// An overdue read counts for so many times its own time more before its report counts as lost.
constexpr double kOverdueReads = 2;
// Part of a read that is taken as left when it is overdue.
constexpr double kOverduePart = 0.15;

FloatMillis longestRead(const Job &job)
{
    FloatMillis longest{0};
    for (const JobPart &part : job.parts)
        longest = std::max(longest, part.prefillTime);
    return longest;
}

bool isReading(const Job &job, TimePoint now)
{
    if (job.started)
        return false;
    if (now < job.expectedPrefillEnd)
        return true;
    const FloatMillis read = longestRead(job);
    return read > kReportedRead && FloatMillis(now - job.expectedPrefillEnd) < kOverdueReads * read;
}

FloatMillis remainingRead(const Job &job, const JobPart &part, TimePoint now)
{
    return std::clamp(FloatMillis(job.expectedPrefillEnd - now), kOverduePart * part.prefillTime,
                      part.prefillTime);
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
    remove(job.id);
    if (jobs_.size() >= limit_)
        return false;
    if (job.parts.size() > 1 && !job.started)
        extendOverlappedPrefills(job);
    for (const JobPart &part : job.parts)
        byEndpoint_[part.endpoint].push_back(job.id);
    jobs_.emplace(job.id, job);
    return true;
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
            const bool reading = isReading(other, job.placed);
            // Parts are read side by side, so a job that shares several endpoints waits once.
            if (!reading || std::ranges::find(delayed, id) != delayed.end())
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
    if (id.owner != owner_) {
        for (const JobPart &part : found->second.parts) {
            if (!part.decodes)
                continue;
            auto &freed = freedSlots_[part.endpoint];
            std::erase_if(freed, [&](const FreedSlot &slot) {
                return now - slot.at > kLeastGrace + kGraceSpread;
            });
            freed.push_back({id, now});
        }
    }
    remove(id);
}

unsigned LoadTracker::reservedSlots(EndpointKey endpoint, TimePoint now) const
{
    const auto row = freedSlots_.find(endpoint);
    if (row == freedSlots_.end())
        return 0;
    return static_cast<unsigned>(std::ranges::count_if(row->second, [&](const FreedSlot &slot) {
        const std::uint64_t random = mix64(owner_ ^ mix64(slot.job.owner + slot.job.number));
        const Millis spread(static_cast<Millis::rep>(random % kGraceSpread.count()));
        return now < slot.at + kLeastGrace + spread;
    }));
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
    std::vector<JobId> gone;
    for (const auto &[id, job] : jobs_) {
        if (id.owner == owner && id.number >= first && id.number <= last
            && std::ranges::find(listed, id.number) == listed.end())
            gone.push_back(id);
    }
    for (const JobId &id : gone)
        remove(id);
}

void LoadTracker::removeOwner(std::uint64_t owner)
{
    std::vector<JobId> gone;
    for (const auto &[id, job] : jobs_) {
        if (id.owner == owner)
            gone.push_back(id);
    }
    for (const JobId &id : gone)
        remove(id);
}

void LoadTracker::expire(TimePoint now)
{
    std::vector<JobId> gone;
    for (const auto &[id, job] : jobs_) {
        if (job.expires <= now)
            gone.push_back(id);
    }
    for (const JobId &id : gone)
        remove(id);
}

EndpointLoad LoadTracker::load(EndpointKey endpoint, TimePoint now) const
{
    EndpointLoad load;
    load.sequences = reservedSlots(endpoint, now);
    const auto row = byEndpoint_.find(endpoint);
    if (row == byEndpoint_.end())
        return load;
    for (const JobId &id : row->second) {
        const Job &job = jobs_.at(id);
        const bool reading = isReading(job, now);
        for (const JobPart &part : job.parts) {
            if (part.endpoint != endpoint)
                continue;
            if (reading && job.dueBy > TimePoint{})
                load.prefillSlack = std::min(load.prefillSlack,
                                             FloatMillis(job.dueBy - job.expectedPrefillEnd));
            if (reading)
                load.pendingPrefill += remainingRead(job, part, now);
            load.kvTokens += part.kvTokens;
            if (!part.decodes) {
                load.helperPrefills += reading ? 1 : 0;
                continue;
            }
            ++load.sequences;
            if (job.maxEventGap > Millis(0))
                load.shortestEventGap = std::min(load.shortestEventGap, job.maxEventGap);
            if (!reading) {
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
