#pragma once

// Remembers at which endpoint the stream of a request runs, for a caller that comes back through
// another entry VM.
//
//   directory.note(requestKey, endpointId, now);
//   std::optional<std::string> endpoint = directory.find(requestKey, now);
//   std::vector<std::string> keepers = streamKeepers(requestKey, selfId, peers);

#include "base/clock.h"
#include "base/table.h"
#include "membership/fleet.h"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cicadafork {

inline constexpr std::size_t kStreamDirectoryRows = 65'536;
inline constexpr Millis kStreamNoteLifetime{600'000};

/// Thread-safe.
class StreamDirectory
{
public:
    void note(const std::string &requestKey, const std::string &endpointId, TimePoint now);
    std::optional<std::string> find(const std::string &requestKey, TimePoint now) const;
    /// Removes expired rows; call it each tick, it works at most once a second.
    void tick(TimePoint now);
    std::size_t size() const;

private:
    struct Row
    {
        std::string endpointId;
        TimePoint expires;
    };

    mutable std::mutex mutex_;
    Table<std::string, Row> rows_{kStreamDirectoryRows};
    TimePoint nextSweep_{};
};

/// Live members, without self, that keep the location of a request's stream: the first of the
/// own failure domain, which stays reachable in a partition, and the first of all members. With
/// spares, the next of each follows, for a search while a keeper has just failed.
std::vector<PeerView> streamKeepers(const std::string &requestKey, const std::string &ownDomain,
                                    const std::vector<PeerView> &peers, bool withSpares);

} // namespace cicadafork
