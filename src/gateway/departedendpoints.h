#pragma once

// Remembers endpoints that have left, so that a store that comes back from an older copy does not
// bring them back.
//
//   DepartedEndpoints departed(4096, std::chrono::minutes(2));
//   departed.note(id, {versionOf(lastRecord), now});
//   if (departed.outdates(record, now))
//       return;   // the older copy still lists the endpoint
//
// Within an era the order of the store's log decides; only a record of a later era is checked.

#include "base/clock.h"
#include "gateway/model.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace cicadafork::gateway {

/// Identifies one record among those that an endpoint wrote.
struct EndpointVersion
{
    std::int64_t bornMs = 0;
    std::uint64_t revision = 0;
    std::uint64_t storeEra = 0; ///< In which it was read, or in which its end was known.
};

EndpointVersion versionOf(const EndpointRecord &record);

/// True if the same start of the endpoint wrote the record after the known one.
bool wasWrittenAfter(const EndpointRecord &record, const EndpointVersion &known);

/// True if the record comes from an older copy of the store: it was read in a later era than that
/// of the known version, but was not written after it.
bool isOutdated(const EndpointRecord &record, const EndpointVersion &known);

/// True if the record would make an endpoint available again that was draining when it was written.
bool undoesDraining(const EndpointRecord &record, const EndpointRecord &known);

struct Departure
{
    EndpointVersion last;
    TimePoint at{};
};

class DepartedEndpoints
{
public:
    /// Beyond the limit, the endpoint that left first is forgotten first.
    DepartedEndpoints(std::size_t limit, Millis lifetime);

    /// May be told of the same departure more than once.
    void note(const std::string &id, const Departure &departure);
    bool outdates(const EndpointRecord &record, TimePoint now) const;
    /// The endpoint has written again.
    void forget(const std::string &id);
    void expire(TimePoint now);
    const std::unordered_map<std::string, Departure> &rows() const { return rows_; }

private:
    std::size_t limit_;
    Millis lifetime_;
    std::unordered_map<std::string, Departure> rows_; ///< By id.
    std::deque<std::string> order_;                   ///< In the order in which they were noted.
};

} // namespace cicadafork::gateway
