#pragma once

// How long endpoints are still cold, from their records in the store, their answers and peers.
//
//   ColdEndpoints cold(maxEndpoints);
//   cold.noteRecord(key, record.revision, record.slowStartRemaining, now);
//   cold.noteAnswer(key, Millis(2400), now);
//   if (now < cold.until(key))
//       ...
//
// For endpoints that crash under their full load for some seconds after their start or at any other
// time. The newest record and the newest answer count; of these two, the one with the later end,
// since they cannot be put in order: a record may be read a second after it was written. Each says
// how much time was left when it was made, so the end is never earlier than the true one.

#include "gateway/loadtracker.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cicadafork::gateway {

/// An instance of an endpoint that is cold.
struct ColdEndpoint
{
    EndpointKey endpoint = 0;
    TimePoint until{};
};

class ColdEndpoints
{
public:
    explicit ColdEndpoints(std::size_t maxEndpoints);

    // Each returns true if the end has changed, other than by the time that messages take.

    /// A record of the endpoint, read from the store or told by a peer that knows this revision.
    /// A revision that is known already states nothing new.
    bool noteRecord(EndpointKey endpoint, std::uint64_t revision, Millis left, TimePoint now);
    /// What the endpoint has stated in an answer to this daemon.
    bool noteAnswer(EndpointKey endpoint, Millis left, TimePoint now);
    /// What it has stated in an answer to a peer.
    bool noteAnswerToPeer(EndpointKey endpoint, Millis left, TimePoint now);

    /// The end of its cold time, which may have passed.
    TimePoint until(EndpointKey endpoint) const;
    Millis left(EndpointKey endpoint, TimePoint now) const;
    std::vector<ColdEndpoint> cold(TimePoint now) const;

private:
    struct Row
    {
        std::optional<std::uint64_t> revision; ///< Of the newest record.
        TimePoint recordUntil{};
        TimePoint answerUntil{};
        TimePoint answeredAt{};
        TimePoint notedAt{}; ///< The newest statement or its repetition.
    };

    /// Null if there are too many.
    Row *rowFor(EndpointKey endpoint, TimePoint now);
    static TimePoint until(const Row &row);

    std::size_t maxEndpoints_;
    std::unordered_map<EndpointKey, Row> rows_;
};

} // namespace cicadafork::gateway
