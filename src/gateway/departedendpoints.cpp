#include "gateway/departedendpoints.h"

#include <algorithm>

namespace cicadafork::gateway {

EndpointVersion versionOf(const EndpointRecord &record)
{
    return {record.bornMs, record.revision, record.storeEra};
}

bool wasWrittenAfter(const EndpointRecord &record, const EndpointVersion &known)
{
    return record.bornMs == known.bornMs && record.revision > known.revision;
}

bool isOutdated(const EndpointRecord &record, const EndpointVersion &known)
{
    return record.bornMs == known.bornMs && record.storeEra > known.storeEra
           && !wasWrittenAfter(record, known);
}

bool undoesDraining(const EndpointRecord &record, const EndpointRecord &known)
{
    return known.state == EndpointState::Draining && record.state == EndpointState::Ready
           && isOutdated(record, versionOf(known));
}

DepartedEndpoints::DepartedEndpoints(std::size_t limit, Millis lifetime)
    : limit_(limit)
    , lifetime_(lifetime)
{
}

void DepartedEndpoints::note(const std::string &id, const Departure &departure)
{
    const auto [found, isNew] = rows_.emplace(id, departure);
    if (isNew) {
        order_.push_back(id);
        while (rows_.size() > limit_) {
            rows_.erase(order_.front());
            order_.pop_front();
        }
        return;
    }
    EndpointVersion &known = found->second.last;
    if (known.bornMs != departure.last.bornMs) {
        found->second = departure;
        return;
    }
    known.revision = std::max(known.revision, departure.last.revision);
    known.storeEra = std::min(known.storeEra, departure.last.storeEra);
}

bool DepartedEndpoints::outdates(const EndpointRecord &record, TimePoint now) const
{
    const auto found = rows_.find(record.id);
    return found != rows_.end() && now - found->second.at < lifetime_
           && isOutdated(record, found->second.last);
}

void DepartedEndpoints::forget(const std::string &id)
{
    if (rows_.erase(id) > 0)
        std::erase(order_, id);
}

void DepartedEndpoints::expire(TimePoint now)
{
    const auto isOver = [&](const std::string &id) { return now - rows_.at(id).at >= lifetime_; };
    // Those that peers told of may have left before others that were noted earlier.
    while (!order_.empty() && isOver(order_.front())) {
        rows_.erase(order_.front());
        order_.pop_front();
    }
}

} // namespace cicadafork::gateway
