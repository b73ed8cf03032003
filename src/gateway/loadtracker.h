#pragma once

// Tracks the load of each endpoint from the jobs that this daemon and its peers have placed there.
//
//   LoadTracker tracker(limit, ownIncarnation);
//   tracker.place(job);                // placed by this daemon or announced by a peer
//   tracker.started(job.id, now);      // the first event arrived
//   tracker.ended(job.id, now);
//   EndpointLoad load = tracker.load(endpointKey, now);
//
// The load that endpoints report is too old for placement, while daemons announce their jobs to
// each other within milliseconds. Lost announcements are repaired by full lists of a peer's jobs,
// and by an expiry time of every job.
//
// When a job ends, its slot stays reserved for a short time for the daemon that placed the job. The
// other daemons count the slot as occupied, each for a different time. Otherwise all daemons with
// queued requests would send to the same endpoint at once when several of its streams end together.

#include "gateway/model.h"

#include <cstdint>
#include <span>
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

/// The work and memory that a job needs at one endpoint.
struct JobPart
{
    EndpointKey endpoint = 0;
    FloatMillis prefillTime{0}; ///< For its part of the prompt.
    bool decodes = false; ///< True for the head, which gets the request and decodes the answer.
    std::uint32_t kvTokens = 0; ///< KV memory that the job uses there until it ends.
};

struct Job
{
    JobId id;
    std::vector<JobPart> parts;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    Millis maxEventGap{0}; ///< Longest acceptable time between events; 0 if it is not a stream.
    TimePoint placed{};
    TimePoint expectedPrefillEnd{}; ///< Afterwards the job counts as decoding.
    TimePoint dueBy{}; ///< Latest time for the first event; TimePoint{} if there is none.
    TimePoint expires{};
    bool started = false;        ///< The first event has arrived.
    std::uint32_t workspace = 0; ///< Hash of the workspace's name; 0 for none.
};

struct EndpointLoad
{
    unsigned sequences = 0; ///< In prefill or decode, plus slots reserved for other daemons.
    unsigned reserved = 0;  ///< Of these, the slots reserved for other daemons.
    TimePoint lastChange{}; ///< A job was last placed or ended; unset if long ago or unknown.
    unsigned decodingSequences = 0;
    unsigned helperPrefills = 0; ///< Parts in prefill for requests of other endpoints.
    FloatMillis pendingPrefill{0};
    std::uint64_t contextTokens = 0;         ///< Of the decoding sequences.
    std::uint64_t kvTokens = 0;              ///< KV memory assigned to jobs.
    Millis shortestEventGap = Millis::max(); ///< Smallest maxEventGap of the streams.
    /// Additional prefill that can run before the pending ones without making a first event late.
    FloatMillis prefillSlack = FloatMillis::max();
};

class LoadTracker
{
public:
    /// Tracks at most limit jobs. The owner is the incarnation of the daemon that uses this
    /// tracker.
    explicit LoadTracker(std::size_t limit, std::uint64_t owner = 0);

    /// Adds or replaces a job. False if the limit is reached. Engines run the parts of a split
    /// prefill before other prefills, so a job with several parts delays the expected end of the
    /// prefills that its endpoints are running.
    bool place(const Job &job);
    void started(const JobId &id, TimePoint now);
    void ended(const JobId &id, TimePoint now);

    /// Removes the owner's jobs with numbers from first to last, inclusive, that are not listed.
    void removeUnlisted(std::uint64_t owner, const std::vector<std::uint32_t> &listed,
                        std::uint32_t first, std::uint32_t last);
    void removeOwner(std::uint64_t owner);
    /// Removes the jobs whose expiry time has been reached, and old reports.
    void expire(TimePoint now);

    /// Load of an endpoint whose jobs are not all announced to this daemon, as a peer reports it.
    /// It replaces what the jobs placed earlier add, until it is 1.5 s old.
    void report(EndpointKey endpoint, const EndpointLoad &load, TimePoint now);

    /// The jobs in `without` do not count.
    EndpointLoad load(EndpointKey endpoint, TimePoint now,
                      std::span<const JobId> without = {}) const;
    /// Time for which an endpoint that could take `free` more jobs could have taken one already;
    /// max() if it is longer than kMaxKnownFree.
    FloatMillis freeFor(EndpointKey endpoint, unsigned free, TimePoint now) const;
    /// Covers the longest time for which a slot is left to others.
    static constexpr Millis kMaxKnownFree{250};
    const Job *find(const JobId &id) const;
    std::vector<Job> jobsOf(std::uint64_t owner) const;
    std::size_t size() const { return jobs_.size(); }

private:
    struct Report
    {
        EndpointLoad load;
        TimePoint at{};
    };
    struct FreedSlot
    {
        JobId job;
        TimePoint at;
    };

    void remove(const JobId &id);
    void unlink(const Job &job);
    /// Freed slots that are still reserved for the other daemons whose jobs used them.
    unsigned reservedSlots(EndpointKey endpoint, TimePoint now) const;
    void extendOverlappedPrefills(const Job &job);

    std::size_t limit_;
    std::uint64_t owner_;
    std::unordered_map<EndpointKey, std::vector<FreedSlot>> freedSlots_;
    std::unordered_map<EndpointKey, TimePoint> lastChange_; ///< A job was placed or ended there.
    std::unordered_map<EndpointKey, Report> reports_;
    std::unordered_map<JobId, Job, JobIdHash> jobs_;
    std::unordered_map<EndpointKey, std::vector<JobId>> byEndpoint_;
};

} // namespace cicadafork::gateway
