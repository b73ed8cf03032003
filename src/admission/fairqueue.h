#pragma once

// A bounded queue in priority order, with weighted fair queueing between the workspaces of a
// priority (start-time fair queueing, cost in tokens).
//
//   FairQueue queue(512);
//   FairQueue::Pushed pushed = queue.push(entry);
//   for (std::uint64_t ticket : queue.order("report-writer", 64)) ...
//
// Not thread-safe; the owner locks.

#include "admission/decisions.h"

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
    std::uint64_t groupOrder = 0; ///< Order among groups; a repeated attempt keeps its first one.
    bool retry = false; ///< Already admitted once: may use the whole queue and is not displaced.
    TimePoint queuedAt;
    double passedTokens = 0; ///< Needed tokens of the requests that passed this one.
    std::string reason;      ///< Why it waits.
};

/// Background requests are served after this many normal ones at the latest, so that a constant
/// normal load leaves them a twentieth of the dispatches. Nothing goes before urgent requests.
inline constexpr unsigned kNormalPerBackground = 19;

class FairQueue
{
public:
    struct Pushed
    {
        std::optional<RefusalReason> refused;
        std::optional<std::uint64_t> displaced; ///< Ticket that lost its place; to be refused.
    };

    explicit FairQueue(std::size_t limit);

    /// Accepts the entry, if needed in place of one of lower priority or of a workspace that holds
    /// more of the queue for its share; otherwise refuses it.
    Pushed push(QueueEntry entry);

    /// Removes an entry. Pass dispatched = true when it runs, which advances the virtual time.
    bool erase(std::uint64_t ticket, bool dispatched);

    QueueEntry *find(std::uint64_t ticket);

    /// The first tickets of a service in order. Of the groups only the oldest is listed: groups are
    /// served first-come.
    std::vector<std::uint64_t> order(const std::string &service, std::size_t count) const;

    bool hasGroup(const std::string &service) const;
    bool hasService(const std::string &service) const;
    /// True when a request of this priority or a more urgent one waits.
    bool blocks(const std::string &service, Priority priority) const;
    std::vector<std::string> services() const;
    /// Prompt tokens that are served before a new request of the priority.
    double tokensAhead(const std::string &service, Priority priority) const;
    std::vector<QueueEntry> entries() const;
    std::size_t size() const { return entries_.size(); }
    std::size_t limit() const { return limit_; }

private:
    using Key = std::tuple<Priority, double, std::uint64_t>; ///< Priority, start tag, ticket.
    struct Flow
    {
        double virtualTime = 0;
        std::map<std::string, double> finish; ///< By workspace; later than the virtual time.
    };
    struct ServiceQueue
    {
        std::set<Key> order;
        std::set<std::pair<std::uint64_t, std::uint64_t>> groups; ///< Group order, ticket.
        unsigned normalSinceBackground = 0; ///< Counted while background requests wait.
        std::map<Priority, Flow> flows;
    };
    struct Stored
    {
        QueueEntry entry;
        Key key;
    };

    static void countDispatch(ServiceQueue &queue, Priority priority);
    std::optional<std::uint64_t> displaceable(const QueueEntry &entry) const;

    std::unordered_map<std::uint64_t, Stored> entries_;
    std::map<std::string, ServiceQueue> services_;
    std::size_t limit_;
};

} // namespace cicadafork
