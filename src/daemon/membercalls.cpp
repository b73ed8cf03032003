#include "daemon/membercalls.h"

#include "base/hash.h"
#include "base/json.h"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <memory>

namespace cicadafork {

namespace {

// Shared with the threads that ask, which may answer after the caller has left.
struct PendingAnswers
{
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<MemberAnswer> answers;
    std::size_t missing = 0;
    std::string firstFound;
};

PeerTarget targetOf(const PeerView &peer)
{
    return {peer.id, peer.peerAddress};
}

} // namespace

MemberCalls::MemberCalls(FleetTable &fleet, PeerClient &client, StreamDirectory &directory,
                         Metrics &metrics, MemberCallsOptions options)
    : fleet_(fleet)
    , client_(client)
    , directory_(directory)
    , options_(std::move(options))
    , droppedNotes_(metrics.counter("cicadafork_stream_notes_dropped_total",
                                    "Stream locations not sent because too many were pending"))
    , pool_(options_.threads)
    , queryPool_(options_.queryThreads)
{
}

MemberCalls::~MemberCalls()
{
    pool_.join();
    queryPool_.join();
}

void MemberCalls::noteStream(const std::string &requestKey, const std::string &endpointId)
{
    const TimePoint now = steadyNow();
    directory_.note(requestKey, endpointId, now);
    const auto keepers
            = streamKeepers(requestKey, options_.failureDomain, fleet_.peers(now), false);
    for (const PeerView &keeper : keepers) {
        if (pendingNotes_ >= options_.maxPendingNotes) {
            droppedNotes_.Increment();
            continue;
        }
        ++pendingNotes_;
        asio::post(pool_, [this, target = targetOf(keeper), requestKey, endpointId] {
            // A lost note costs the caller its resume, not its answer.
            (void)capture([&] {
                return client_.noteStream(target, requestKey, endpointId, options_.noteTimeout);
            });
            --pendingNotes_;
        });
    }
}

std::optional<StreamLocation> MemberCalls::findStream(const std::string &requestKey)
{
    const TimePoint now = steadyNow();
    std::optional<std::string> endpointId = directory_.find(requestKey, now);
    if (!endpointId) {
        const std::string found = firstAnswer(
                streamKeepers(requestKey, options_.failureDomain, fleet_.peers(now), true),
                requestKey);
        if (found.empty())
            return std::nullopt;
        endpointId = found;
    }
    const auto address = fleet_.addressOf(*endpointId);
    if (!address)
        return std::nullopt;
    return StreamLocation{*endpointId, *address};
}

std::string MemberCalls::firstAnswer(const std::vector<PeerView> &targets,
                                     const std::string &requestKey)
{
    const auto pending = std::make_shared<PendingAnswers>();
    pending->missing = targets.size();
    for (const PeerView &peer : targets) {
        asio::post(pool_, [this, pending, target = targetOf(peer), requestKey] {
            const auto answer = capture(
                    [&] { return client_.findStream(target, requestKey, options_.findTimeout); });
            const std::lock_guard lock(pending->mutex);
            --pending->missing;
            if (answer && *answer)
                pending->firstFound = **answer;
            pending->changed.notify_all();
        });
    }
    std::unique_lock lock(pending->mutex);
    pending->changed.wait_for(lock, options_.findTimeout, [&] {
        return pending->missing == 0 || !pending->firstFound.empty();
    });
    return pending->firstFound;
}

std::optional<std::string> MemberCalls::forwardClaims(std::size_t shard, const std::string &batch,
                                                      Millis timeout)
{
    const TimePoint now = steadyNow();
    const auto order
            = rendezvousOrder(fmt::format("claims-{}", shard), fleet_.liveInOwnDomain(now));
    if (order.empty() || order.front() == options_.selfId)
        return std::nullopt;
    for (const PeerView &peer : fleet_.peers(now)) {
        if (peer.id != order.front())
            continue;
        auto answer = capture([&] { return client_.claim(targetOf(peer), batch, timeout); });
        if (answer)
            return *answer;
    }
    return std::nullopt;
}

std::vector<MemberAnswer> MemberCalls::askAll(const std::string &query, Millis timeout)
{
    const TimePoint start = steadyNow();
    const auto pending = std::make_shared<PendingAnswers>();
    auto peers = fleet_.peers(start);
    // Suspects last, so that they do not take the threads from members that answer at once.
    std::stable_partition(peers.begin(), peers.end(), [](const auto &peer) { return peer.alive; });
    for (const PeerView &peer : peers)
        pending->answers.push_back({peer.id, peer.failureDomain, std::nullopt});
    pending->missing = peers.size();
    bool anySlow = false;
    for (std::size_t index = 0; index < peers.size(); ++index) {
        const Millis wait
                = peers[index].alive ? timeout : std::min(timeout, options_.suspectTimeout);
        anySlow = anySlow || peers[index].alive;
        const TimePoint deadline = start + wait;
        asio::post(queryPool_, [this, pending, index, target = targetOf(peers[index]), query,
                                deadline] {
            const Millis left = std::chrono::duration_cast<Millis>(deadline - steadyNow());
            const auto table = capture([&]() -> Result<ResultTable> {
                if (left <= Millis(0))
                    return fail(ErrorCode::DeadlineExceeded, "no time was left", "ask again");
                BOOST_LEAF_AUTO(text, client_.runQuery(target, query, left));
                return resultTableFromJson(parseJson(text));
            });
            const std::lock_guard lock(pending->mutex);
            if (table)
                pending->answers[index].table = *table;
            --pending->missing;
            pending->changed.notify_all();
        });
    }
    std::unique_lock lock(pending->mutex);
    const Millis longest = anySlow ? timeout : std::min(timeout, options_.suspectTimeout);
    pending->changed.wait_until(lock, start + longest, [&] { return pending->missing == 0; });
    auto answers = pending->answers;
    lock.unlock();
    std::ranges::sort(answers, {}, &MemberAnswer::memberId);
    return answers;
}

} // namespace cicadafork
