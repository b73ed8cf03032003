#pragma once

// Calls to other members that the daemon needs beside heartbeats and configuration.
//
//   MemberCalls calls(fleet, client, directory, {...});
//   hooks.noteStream = [&](const auto &key, const auto &endpoint) { calls.noteStream(key,
//   endpoint); };

#include "base/metrics.h"
#include "daemon/streamdirectory.h"
#include "frontend/hooks.h"
#include "membership/fleettable.h"
#include "peer/peerclient.h"
#include "query/operatorservice.h"

#include <asio/thread_pool.hpp>

#include <atomic>

namespace cicadafork {

struct MemberCallsOptions
{
    std::string selfId;
    std::string failureDomain;
    Millis noteTimeout{500};
    Millis findTimeout{200};
    Millis suspectTimeout{500}; ///< Wait of a query for a member not known to be alive.
    std::size_t threads = 8;
    std::size_t queryThreads = 16;
    std::size_t maxPendingNotes = 1024; ///< Further notes are dropped and counted.
};

/// Thread-safe.
class MemberCalls
{
public:
    MemberCalls(FleetTable &fleet, PeerClient &client, StreamDirectory &directory, Metrics &metrics,
                MemberCallsOptions options);
    /// Waits for the calls in progress.
    ~MemberCalls();

    /// Records the location here and at its keepers; returns at once.
    void noteStream(const std::string &requestKey, const std::string &endpointId);
    /// Asks this daemon, then all keepers at the same time.
    std::optional<StreamLocation> findStream(const std::string &requestKey);

    /// Sends a claim batch to the owner of a shard; nothing when this daemon is the owner or the
    /// owner does not answer in time.
    std::optional<std::string> forwardClaims(std::size_t shard, const std::string &batch,
                                             Millis timeout);

    /// Sends a query to every other member at the same time. Members that are not known to be alive
    /// are tried for a short time, since a daemon that has just started knows none. Members that
    /// miss the timeout come back without a table.
    std::vector<MemberAnswer> askAll(const std::string &query, Millis timeout);

private:
    /// The first answer of the targets that is not empty; empty when none comes in time.
    std::string firstAnswer(const std::vector<PeerView> &targets, const std::string &requestKey);

    FleetTable &fleet_;
    PeerClient &client_;
    StreamDirectory &directory_;
    const MemberCallsOptions options_;
    std::atomic<std::size_t> pendingNotes_{0};
    prometheus::Counter &droppedNotes_;
    asio::thread_pool pool_;
    /// Queries wait for frozen members, which must not delay the callers' resumes.
    asio::thread_pool queryPool_;
};

} // namespace cicadafork
