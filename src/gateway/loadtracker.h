#pragma once

// The work at each endpoint, as this daemon and its peers have placed it.
//
//   LoadTracker board(limit, ownIncarnation);
//   board.place(job);                  // ours, or told by a peer
//   board.started(job.id, now);        // its first event arrived
//   board.ended(job.id, now);
//   EndpointLoad load = board.load(endpointKey, engine, now);
//
// A slot belongs for a moment to the daemon whose job has left it; the others take it for occupied,
// each for another time. Without this, all daemons with waiting requests fill the same endpoint at
// once when several of its streams end together.
//
// Endpoints report their load late; what all daemons have sent is known within milliseconds. Lost
// messages are repaired by full lists of a peer's jobs, and by a lifetime for every job.

#include "gateway/model.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cicadafork::gateway {

using EndpointKey = std::uint64_t; ///< Hash of an endpoint's id and incarnation.

EndpointKey endpointKey(const EndpointRecord &endpoint);

struct JobId
{
    std::uint64_t owner = 0; ///< Incarnation of the daemon that placed it.
    std::uint32_t number = 0;

    bool operator==(const JobId &) const = default;
};

struct JobIdHash
{
    std::size_t operator()(const JobId &id) const { return id.owner * 31 + id.number; }
};

/// What a job asks of one endpoint.
struct JobPart
{
    EndpointKey endpoint = 0;
    FloatMillis prefillTime{0}; ///< Time to read its part of the prompt.
    bool decodes = false;       ///< The endpoint that receives the request and writes the answer.
    std::uint32_t kvTokens = 0; ///< Memory that the job takes there until it ends.
};

struct Job
{
    JobId id;
    std::vector<JobPart> parts;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    Millis maxEventGap{0}; ///< Longest pause that its stream tolerates; 0 when it is no stream.
    TimePoint placed{};
    TimePoint expectedPrefillEnd{}; ///< Expected end of reading; later it counts as writing.
    TimePoint dueBy{};              ///< When its first event stops being on time.
    TimePoint expires{};
    bool started = false;
};

struct EndpointLoad
{
    unsigned sequences = 0; ///< Requests that it has received, reading or writing.
    unsigned decodingSequences = 0;
    unsigned helperPrefills = 0; ///< Requests of other endpoints that it reads a part of.
    FloatMillis pendingPrefill{0};
    std::uint64_t contextTokens = 0; ///< Of writers.
    std::uint64_t kvTokens = 0;      ///< Promised to requests.
    Millis shortestEventGap = Millis::max();
    /// Reading that can go before the endpoint's own without making a first event late.
    FloatMillis prefillSlack = FloatMillis::max();
};

class LoadTracker
{
public:
    /// The owner is the daemon that decides with this board.
    explicit LoadTracker(std::size_t limit, std::uint64_t owner = 0);

    /// Adds or replaces a job. False when the table is full. A job with several parts is read
    /// before the others at its endpoints, which end their reading later for it.
    bool place(const Job &job);
    void started(const JobId &id, TimePoint now);
    void ended(const JobId &id, TimePoint now);

    /// Jobs of an owner with numbers from first to last that are not listed have ended.
    void removeUnlisted(std::uint64_t owner, const std::vector<std::uint32_t> &listed,
                        std::uint32_t first, std::uint32_t last);
    void removeOwner(std::uint64_t owner);
    /// Removes the jobs whose lifetime has ended.
    void expire(TimePoint now);

    EndpointLoad load(EndpointKey endpoint, TimePoint now) const;
    const Job *find(const JobId &id) const;
    std::vector<Job> jobsOf(std::uint64_t owner) const;
    std::size_t size() const { return jobs_.size(); }

private:
    struct FreedSlot
    {
        JobId job;
        TimePoint at;
    };

    void remove(const JobId &id);
    void unlink(const Job &job);
    /// Slots that still belong to the daemons whose jobs have left them.
    unsigned reservedSlots(EndpointKey endpoint, TimePoint now) const;
    void extendOverlappedPrefills(const Job &job);

    std::size_t limit_;
    std::uint64_t owner_;
    std::unordered_map<EndpointKey, std::vector<FreedSlot>> freedSlots_;
    std::unordered_map<JobId, Job, JobIdHash> jobs_;
    std::unordered_map<EndpointKey, std::vector<JobId>> byEndpoint_;
};

} // namespace cicadafork::gateway
