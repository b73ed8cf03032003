#pragma once

// A bounded queue in priority order. Workspaces of the same priority share the service by
// start-time fair queueing, with tokens as the cost.
//
//   FairQueue queue(512);
//   FairQueue::PushResult pushed = queue.push(entry);
//   for (std::uint64_t ticket : queue.order("report-writer", 64)) ...
//
// Not thread-safe; the caller must synchronize access.

#include "admission/decisions.h"
#include "admission/starttags.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cicadafork {

struct QueueEntry
{
    std::uint64_t ticket = 0; ///< Ascending in order of arrival.
    std::string requestId;
    std::string workspace;
    double share = 1;
    std::string service;
    Priority priority = Priority::Normal;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    bool group = false;
    std::uint64_t groupOrder = 0; ///< Order among groups; kept over the attempts of a request.
    bool retry = false; ///< Admitted before: may use the whole queue and is not displaced.
    TimePoint queuedAt;
    double backfilledTokens = 0; ///< Tokens of later requests that were placed before this one.
    std::string reason;          ///< Why the request waits.
};

/// A waiting background request is dispatched after at most this many normal ones, so that
/// background requests get a twentieth of the dispatches under constant normal load. Urgent
/// requests always go first.
inline constexpr unsigned kNormalPerBackground = 19;

class FairQueue
{
public:
    struct PushResult
    {
        std::optional<RefusalReason> refused;
        std::optional<std::uint64_t> displaced; ///< Ticket of the entry that was removed.
    };

    explicit FairQueue(std::size_t limit);

    /// Queues the entry. If the queue is full for its priority, the entry displaces one of lower
    /// priority, or one of a workspace that has more entries in relation to its share; if there is
    /// none, the entry is refused. The caller must refuse a displaced request.
    PushResult push(QueueEntry entry);

    /// Removes an entry; false if there is none. Pass dispatched = true if the request was placed,
    /// which advances the virtual time.
    bool erase(std::uint64_t ticket, bool dispatched);

    QueueEntry *find(std::uint64_t ticket);

    /// The first `count` tickets of a service in dispatch order. Of the group requests it lists
    /// only the oldest, because groups are served first come, first served.
    std::vector<std::uint64_t> order(const std::string &service, std::size_t count) const;

    bool hasGroup(const std::string &service) const;
    bool hasService(const std::string &service) const;
    /// True if a request of this priority or a higher one waits.
    bool hasAtLeastPriority(const std::string &service, Priority priority) const;
    std::vector<std::string> services() const;
    /// Prompt tokens of the queued requests that go before a new request of this priority.
    double tokensAhead(const std::string &service, Priority priority) const;
    std::vector<QueueEntry> entries() const;
    std::size_t size() const { return entries_.size(); }
    std::size_t limit() const { return limit_; }

private:
    using Key = std::tuple<Priority, double, std::uint64_t>; ///< Priority, start tag, ticket.
    struct ServiceQueue
    {
        std::set<Key> order;
        std::set<std::pair<std::uint64_t, std::uint64_t>> groups; ///< Group order, ticket.
        unsigned normalSinceBackground = 0; ///< Counted while background requests wait.
        std::map<Priority, StartTags<std::string>> tags; ///< Flows are workspaces.
    };
    struct Stored
    {
        QueueEntry entry;
        Key key;
    };

    static void countDispatch(ServiceQueue &queue, Priority priority);
    std::optional<std::uint64_t> findDisplaceable(const QueueEntry &entry) const;

    std::unordered_map<std::uint64_t, Stored> entries_;
    std::map<std::string, ServiceQueue> services_;
    std::size_t limit_;
};

} // namespace cicadafork
