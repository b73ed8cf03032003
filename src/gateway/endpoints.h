#pragma once

// The endpoints of all services, and what this daemon has observed of each.
//
//   EndpointTable table;
//   EndpointChange change = table.update(record, now);
//   table.noteFailure(key, EndpointFailure::NoConnection, now);
//   std::vector<EndpointView> views = table.views("maps", board, now);

#include "gateway/placement.h"

#include <array>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cicadafork::gateway {

enum class EndpointChange { None, Joined, Restarted, Draining, Ready, Moved, Gone };

const char *toString(EndpointChange change);

enum class EndpointFailure {
    NoConnection, ///< It cannot be reached; nothing was sent.
    NoAnswer,     ///< The connection broke, or it was silent, before an answer.
    Broken,       ///< The answer broke off or was not valid.
    Refused,      ///< It said that it did not run the request.
    Error,        ///< It answered with a failure of its own.
};

struct EndpointRow
{
    EndpointRecord record;
    EndpointKey key = 0;
    unsigned consecutiveFailures = 0; ///< Of any kind but Refused and Error.
    double errorRate = 0;             ///< Moving average of all outcomes, 1 is always failing.
    double slowdown = 1;              ///< Moving average of observed over expected time.
    TimePoint suspendedUntil{};
};

/// Endpoints are grouped by a hash of their ids, so that two daemons find and exchange only the
/// groups in which they differ.
inline constexpr std::size_t kEndpointGroups = 64;
using GroupDigests = std::array<std::uint32_t, kEndpointGroups>;

std::size_t endpointGroup(const std::string &id);

class EndpointTable
{
public:
    explicit EndpointTable(std::size_t limit);

    /// Adds or changes an endpoint. A changed bornMs makes it a new one.
    EndpointChange update(const EndpointRecord &record, TimePoint now);
    /// Gone when the endpoint was known.
    EndpointChange remove(const std::string &id);
    std::vector<std::string> ids() const;

    void noteSuccess(EndpointKey key, double observedSlowdown);
    /// Returns true when the endpoint is suspended by this failure.
    bool noteFailure(EndpointKey key, EndpointFailure failure, TimePoint now);

    const EndpointRow *find(EndpointKey key) const;
    const EndpointRow *findById(const std::string &id) const;
    const std::unordered_map<std::string, EndpointRow> &rows() const { return rows_; }

    /// The daemon's number breaks ties. Endpoints of a service that are not draining, suspended or
    /// excluded. When nothing else is left, suspended ones are offered too: a guess is better than
    /// a certain refusal.
    std::vector<EndpointView> views(const std::string &service, const std::string &ownDomain,
                                    std::uint64_t daemon, const std::vector<EndpointKey> &excluded,
                                    const std::function<bool(const std::string &)> &cutOff,
                                    const LoadTracker &board, TimePoint now) const;
    std::size_t size() const { return rows_.size(); }
    /// The same at two daemons that know the same endpoints in the same states.
    std::uint64_t digest() const { return digest_; }
    GroupDigests groupDigests() const;

private:
    EndpointChange apply(const EndpointRecord &record, TimePoint now);
    /// Digests are sums, so that the share of an endpoint changes in constant time.
    void changeDigest(const std::string &id, std::uint64_t by);

    /// Endpoints of a failure domain that could not be reached since one of them last answered.
    struct Unreachable
    {
        std::unordered_set<EndpointKey> endpoints;
        TimePoint newest{};
    };

    EndpointRow *row(EndpointKey key);
    bool seemsCutOff(const std::string &failureDomain, TimePoint now) const;

    std::size_t limit_;
    std::uint64_t digest_ = 0;
    std::array<std::uint64_t, kEndpointGroups> groupSums_{};
    std::unordered_map<std::string, EndpointRow> rows_; ///< By id.
    std::unordered_map<EndpointKey, std::string> idByKey_;
    std::unordered_map<std::string, Unreachable> unreachable_; ///< By failure domain.
};

} // namespace cicadafork::gateway
