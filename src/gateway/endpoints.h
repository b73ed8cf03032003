#pragma once

// The endpoints of all services, with the failures and response times that this daemon observed.
//
//   EndpointTable table;
//   EndpointChange change = table.update(record, now);
//   table.noteFailure(key, EndpointFailure::NoConnection, now);
//   std::vector<EndpointView> views =
//           table.views("maps", ownDomain, daemon, excluded, cutOff, loadTracker, now);

#include "gateway/availability.h"
#include "gateway/endpointlimits.h"
#include "gateway/placement.h"

#include <array>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cicadafork::gateway {

enum class EndpointChange { None, Joined, Restarted, Draining, Ready, Moved, Gone };

const char *toString(EndpointChange change);

enum class EndpointFailure {
    NoConnection, ///< No connection could be made; nothing was sent.
    NoAnswer,     ///< The connection broke or timed out before an answer.
    Broken,       ///< The answer was incomplete or invalid.
    Refused,      ///< The endpoint answered that it did not run the request.
    Error,        ///< The endpoint answered with an error.
};

struct EndpointRow
{
    EndpointRecord record;
    EndpointKey key = 0;
    unsigned consecutiveFailures = 0; ///< Only NoConnection and NoAnswer count.
    double errorRate = 0;             ///< Moving average over all outcomes, from 0 to 1 (all fail).
    double slowdown = 1;              ///< Moving average of observed time divided by expected time.
    TimePoint suspendedUntil{};
};

/// Endpoints are grouped by a hash of their ids, so that two daemons can compare group digests and
/// exchange only the groups that differ.
inline constexpr std::size_t kEndpointGroups = 64;
using GroupDigests = std::array<std::uint32_t, kEndpointGroups>;

std::size_t endpointGroup(const std::string &id);

/// Tells whether the endpoints of a failure domain count; empty if those of all do.
using DomainFilter = std::function<bool(const std::string &failureDomain)>;

class EndpointTable
{
public:
    explicit EndpointTable(std::size_t limit);

    /// Adds or changes an endpoint. A different bornMs means that it was restarted: what was
    /// observed of it before is discarded. Returns None if the address, service and state are
    /// unchanged, or if the table is full.
    EndpointChange update(const EndpointRecord &record, TimePoint now);
    /// Returns Gone, or None if the endpoint is unknown.
    EndpointChange remove(const std::string &id);
    std::vector<std::string> ids() const;
    std::set<std::string> failureDomains() const;
    /// Those of the endpoints of the job.
    std::set<std::string> failureDomainsOf(const Job &job) const;

    /// `observedSlowdown` is the observed time divided by the expected time.
    void noteSuccess(EndpointKey key, double observedSlowdown);
    /// Returns true if this failure suspends an endpoint that was not suspended. Refusals, which
    /// pause an endpoint briefly, return false.
    bool noteFailure(EndpointKey key, EndpointFailure failure, TimePoint now);

    /// The endpoints of the service can be reached again: ends their suspensions.
    void endSuspensions(const std::string &service);
    /// An endpoint that was silent has gone on: ends its suspension.
    void noteAlive(EndpointKey key);
    /// True when the endpoint is known, ready and not suspended.
    bool isAvailable(EndpointKey key, TimePoint now) const;
    /// Remembers that this instance of an endpoint has said that it leaves. Returns false if that
    /// was known. The statement outlives the endpoint's record, because an older record may come
    /// back, and may precede it.
    bool noteLeaving(EndpointKey key);
    /// The instance wants no requests until then. An earlier end does not replace a later one.
    void noteQuiet(EndpointKey key, TimePoint until);
    /// Returns false if a statement of this instance was unreadable before.
    bool noteUnreadable(EndpointKey key);
    bool isLeaving(EndpointKey key) const;
    /// The endpoints of these failure domains get no new requests.
    void setEvacuated(std::set<std::string> failureDomains);
    /// False while the instance leaves or wants no requests, or its failure domain is evacuated.
    bool accepts(EndpointKey key, TimePoint now) const;
    /// The known endpoints that have said that they leave.
    std::vector<EndpointKey> leaving() const;
    /// True if some ready endpoint of the service accepts requests of this daemon; faster than
    /// availability().
    bool anyAccepts(const std::string &service, const EndpointLimits &limits, TimePoint now,
                    const DomainFilter &allowed = {}) const;
    ServiceAvailability availability(const std::string &service, const EndpointLimits &limits,
                                     TimePoint now, const DomainFilter &allowed = {}) const;
    /// True if an endpoint of the service is ready, does not leave, is not evacuated and could be
    /// connected to as far as this daemon has tried lately.
    bool anyInService(const std::string &service, const DomainFilter &allowed, TimePoint now) const;

    const EndpointRow *find(EndpointKey key) const;
    const EndpointRow *findById(const std::string &id) const;
    const std::unordered_map<std::string, EndpointRow> &rows() const { return rows_; }

    /// The ready endpoints of a service that are not excluded and accept requests as far as they
    /// have said. Endpoints that are suspended, in an
    /// unreachable failure domain or failing too often are marked as not usable. If that leaves
    /// none, all are marked as usable, because trying one is better than refusing the request.
    /// `daemon` is a number that differs between daemons and varies the tie breakers; `cutOff`
    /// tells whether a failure domain seems to be unreachable.
    std::vector<EndpointView> views(const std::string &service, const std::string &ownDomain,
                                    std::uint64_t daemon, const std::vector<EndpointKey> &excluded,
                                    const std::function<bool(const std::string &)> &cutOff,
                                    const LoadTracker &loadTracker, TimePoint now,
                                    const DomainFilter &allowed = {}) const;
    std::size_t size() const { return rows_.size(); }
    /// Equal at two daemons that know the same endpoints with the same addresses and states.
    std::uint64_t digest() const { return digest_; }
    GroupDigests groupDigests() const;

private:
    EndpointChange apply(const EndpointRecord &record, TimePoint now);
    /// The digests are sums over the endpoints, so that an update takes constant time.
    void changeDigest(const std::string &id, std::uint64_t by);

    /// Endpoints of one failure domain that could not be reached since an endpoint of that domain
    /// last answered.
    struct Unreachable
    {
        std::unordered_set<EndpointKey> endpoints;
        TimePoint lastFailure{};
    };

    /// What an instance has said about itself.
    struct Statement
    {
        bool leaving = false;
        bool unreadable = false;
        TimePoint quietUntil{};
    };

    bool isEvacuated(EndpointKey key) const;
    Statement &statement(EndpointKey key);
    EndpointRow *row(EndpointKey key);
    bool seemsCutOff(const std::string &failureDomain, TimePoint now) const;
    /// Connections to it failed lately, and it is not due for another attempt.
    bool seemsUnreachable(const EndpointRow &row, TimePoint now) const;

    std::size_t limit_;
    std::uint64_t digest_ = 0;
    std::array<std::uint64_t, kEndpointGroups> groupSums_{};
    std::unordered_map<std::string, EndpointRow> rows_; ///< By id.
    std::unordered_map<EndpointKey, std::string> idByKey_;
    std::unordered_map<std::string, Unreachable> unreachable_; ///< By failure domain.
    std::set<std::string> evacuated_;                          ///< Failure domains.
    std::unordered_map<EndpointKey, Statement> statements_;
    std::deque<EndpointKey> statementOrder_; ///< Keys of statements_, oldest first.
};

} // namespace cicadafork::gateway
