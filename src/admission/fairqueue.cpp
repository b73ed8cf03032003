#include "admission/fairqueue.h"

#include <algorithm>

namespace cicadafork {

namespace {

constexpr double kMinShare = 0.001;

double shareOf(const QueueEntry &entry)
{
    return std::max(entry.share, kMinShare);
}

} // namespace

FairQueue::FairQueue(std::size_t limit)
    : limit_(limit)
{
}

FairQueue::PushResult FairQueue::push(QueueEntry entry)
{
    PushResult pushed;
    const std::size_t bound = entry.retry ? limit_ : queueLimit(entry.priority, limit_);
    if (entries_.size() >= bound) {
        pushed.displaced = findDisplaceable(entry);
        if (!pushed.displaced) {
            pushed.refused = entry.priority == Priority::Background ? RefusalReason::LoadShed
                                                                    : RefusalReason::QueueFull;
            return pushed;
        }
        erase(*pushed.displaced, false);
    }
    ServiceQueue &queue = services_[entry.service];
    const double start = queue.tags[entry.priority].next(
            entry.workspace,
            static_cast<double>(entry.promptTokens + entry.maxTokens + 1) / shareOf(entry));
    const Key key{entry.priority, start, entry.ticket};
    queue.order.insert(key);
    if (entry.group)
        queue.groups.emplace(entry.groupOrder, entry.ticket);
    const std::uint64_t ticket = entry.ticket;
    entries_[ticket] = {std::move(entry), key};
    return pushed;
}

bool FairQueue::erase(std::uint64_t ticket, bool dispatched)
{
    const auto found = entries_.find(ticket);
    if (found == entries_.end())
        return false;
    const QueueEntry &entry = found->second.entry;
    ServiceQueue &queue = services_[entry.service];
    queue.order.erase(found->second.key);
    queue.groups.erase({entry.groupOrder, ticket});
    if (dispatched) {
        countDispatch(queue, entry.priority);
        queue.tags[entry.priority].advance(std::get<1>(found->second.key));
    }
    if (queue.order.empty())
        services_.erase(entry.service);
    entries_.erase(found);
    return true;
}

QueueEntry *FairQueue::find(std::uint64_t ticket)
{
    const auto found = entries_.find(ticket);
    return found == entries_.end() ? nullptr : &found->second.entry;
}

std::vector<std::uint64_t> FairQueue::order(const std::string &service, std::size_t count) const
{
    std::vector<std::uint64_t> tickets;
    const auto found = services_.find(service);
    if (found == services_.end())
        return tickets;
    const ServiceQueue &queue = found->second;
    const auto background = queue.order.lower_bound({Priority::Background, 0, 0});
    const auto normal = queue.order.lower_bound({Priority::Normal, 0, 0});
    const auto add = [&](const Key &key) {
        const std::uint64_t ticket = std::get<2>(key);
        const QueueEntry &entry = entries_.at(ticket).entry;
        const bool laterGroup = entry.group && queue.groups.begin()->second != ticket;
        if (tickets.size() < count && !laterGroup)
            tickets.push_back(ticket);
    };
    std::for_each(queue.order.begin(), normal, add);
    const bool backgroundDue = background != queue.order.end()
                               && queue.normalSinceBackground >= kNormalPerBackground;
    if (backgroundDue)
        add(*background);
    std::for_each(normal, background, add);
    std::for_each(backgroundDue ? std::next(background) : background, queue.order.end(), add);
    return tickets;
}

void FairQueue::countDispatch(ServiceQueue &queue, Priority priority)
{
    const bool waiting = queue.order.lower_bound({Priority::Background, 0, 0}) != queue.order.end();
    if (priority == Priority::Background || !waiting)
        queue.normalSinceBackground = 0;
    else if (priority == Priority::Normal)
        ++queue.normalSinceBackground;
}

bool FairQueue::hasGroup(const std::string &service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && !found->second.groups.empty();
}

bool FairQueue::hasService(const std::string &service) const
{
    return services_.contains(service);
}

bool FairQueue::hasAtLeastPriority(const std::string &service, Priority priority) const
{
    const auto found = services_.find(service);
    return found != services_.end() && std::get<0>(*found->second.order.begin()) <= priority;
}

std::vector<std::string> FairQueue::services() const
{
    std::vector<std::string> names;
    for (const auto &entry : services_)
        names.push_back(entry.first);
    return names;
}

double FairQueue::tokensAhead(const std::string &service, Priority priority) const
{
    double tokens = 0;
    for (const auto &[ticket, stored] : entries_) {
        if (stored.entry.service == service && stored.entry.priority <= priority)
            tokens += static_cast<double>(stored.entry.promptTokens);
    }
    return tokens;
}

std::vector<QueueEntry> FairQueue::entries() const
{
    std::vector<QueueEntry> result;
    for (const auto &[ticket, stored] : entries_)
        result.push_back(stored.entry);
    std::sort(result.begin(), result.end(),
              [](const auto &a, const auto &b) { return a.ticket < b.ticket; });
    return result;
}

std::optional<std::uint64_t> FairQueue::findDisplaceable(const QueueEntry &entry) const
{
    std::optional<std::uint64_t> lowestPriorityTicket;
    Priority lowest = entry.priority;
    std::map<std::string, double> weightedEntries; ///< Entries / share by workspace.
    for (const auto &[ticket, stored] : entries_) {
        const Priority priority = stored.entry.priority;
        if (stored.entry.retry)
            continue;
        if (priority > lowest
            || (lowestPriorityTicket && priority == lowest && ticket > *lowestPriorityTicket)) {
            lowest = priority;
            lowestPriorityTicket = ticket;
        }
        if (priority == entry.priority)
            weightedEntries[stored.entry.workspace] += 1 / shareOf(stored.entry);
    }
    if (lowestPriorityTicket)
        return lowestPriorityTicket;
    const auto largest
            = std::max_element(weightedEntries.begin(), weightedEntries.end(),
                               [](const auto &a, const auto &b) { return a.second < b.second; });
    if (largest == weightedEntries.end() || largest->first == entry.workspace
        || largest->second <= weightedEntries[entry.workspace] + 1 / shareOf(entry))
        return std::nullopt;
    std::optional<std::uint64_t> newest;
    for (const auto &[ticket, stored] : entries_) {
        if (!stored.entry.retry && stored.entry.priority == entry.priority
            && stored.entry.workspace == largest->first && (!newest || ticket > *newest))
            newest = ticket;
    }
    return newest;
}

} // namespace cicadafork
