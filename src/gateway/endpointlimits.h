#pragma once

// Keeps all daemons together within the limits of requests that endpoints state, and within those
// that the configuration sets for endpoints that are cold.
//
//   EndpointLimits limits(self);
//   limits.note({endpoint, 2.5, now});
//   limits.assignOwners(alive, now);
//   if (limits.allows(endpoint, now))
//       limits.take(endpoint, now);
//
// Shared evenly, a limit of a few requests a second would leave each of hundreds of daemons a
// request in minutes. So only a few daemons use an endpoint with a limit, its owners, each for the
// same part of the limit; the others leave it alone. All daemons that know the same fleet and the
// same limits choose the same owners, so that each daemon may send about as much as the others.
//
// A limit of a cold endpoint is for a burst of endpoints that start: all daemons send to them, as
// they are idle. It lasts for some seconds, in which daemons hear of the endpoints at different
// times, and it counts over one second, not four. So its owners are chosen for each endpoint by
// itself, and daemons that know different endpoints or daemons still agree on nearly all of them.

#include "gateway/loadtracker.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cicadafork::gateway {

/// What an instance of an endpoint has stated.
struct EndpointLimit
{
    EndpointKey endpoint = 0;
    std::optional<double> requestsPerSecond; ///< None if it states no limit any more.
    TimePoint statedAt{};
};

/// A limit of an endpoint that is cold, for all daemons together.
struct ColdLimit
{
    EndpointKey endpoint = 0;
    double requestsPerSecond = 0;
    TimePoint until{};
};

/// A daemon as rendezvous hashing sees it; the same number at all daemons.
using DaemonKey = std::uint64_t;

/// Number of daemons that share a limit.
std::size_t limitOwners(double requestsPerSecond);

/// The owners of each endpoint with a limit.
std::unordered_map<EndpointKey, std::vector<DaemonKey>>
chooseLimitOwners(std::vector<EndpointLimit> limits, const std::vector<DaemonKey> &daemons);

/// Number of daemons that share the limit of a cold endpoint.
std::size_t coldLimitOwners(double requestsPerSecond, std::size_t daemons);

/// The owners of the limit of a cold endpoint. Each begins to use its part somewhat later than the
/// one before, so that they do not send at the same time.
std::vector<DaemonKey> chooseColdLimitOwners(const ColdLimit &limit,
                                             const std::vector<DaemonKey> &daemons);

class EndpointLimits
{
public:
    EndpointLimits(DaemonKey self, std::size_t maxEndpoints);

    /// Chooses the owners of all limits among the daemons that share them: those that are alive and
    /// not shutting down. To be called when these or the limits have changed; until then this
    /// daemon may use nothing of a new limit.
    void assignOwners(const std::vector<DaemonKey> &daemons, TimePoint now);
    /// Puts these limits of cold endpoints in force instead of the ones before. The daemons are
    /// those that share them; if there is none, this daemon may use nothing. To be called when
    /// these or the endpoints have changed; a limit ends by itself with the cold time.
    void setColdLimits(const std::vector<ColdLimit> &limits, const std::vector<DaemonKey> &daemons,
                       TimePoint now);
    /// The limit of a cold endpoint; null if it is not cold now.
    const ColdLimit *coldLimit(EndpointKey endpoint, TimePoint now) const;
    /// When the endpoint will be cold no longer, and without a limit; absent if it has none now or
    /// states one.
    std::optional<TimePoint> endsAt(EndpointKey endpoint, TimePoint now) const;
    /// Remembers what an endpoint has stated to this daemon or to a peer. Returns true if its limit
    /// is new, another one than before, or gone.
    bool note(const EndpointLimit &stated);
    /// False while the endpoint has a limit of which nothing is left for this daemon now.
    bool allows(EndpointKey endpoint, TimePoint now) const;
    /// A request is sent to the endpoint.
    void take(EndpointKey endpoint, TimePoint now);
    /// Nothing of the request that was sent at `takenAt` has reached the endpoint.
    void giveBack(EndpointKey endpoint, TimePoint takenAt, TimePoint now);
    /// When this daemon may send the next request; nothing if it owns no part of the limit. The
    /// limit of a cold endpoint ends with its cold time.
    std::optional<TimePoint> nextAt(EndpointKey endpoint, TimePoint now) const;
    /// Requests a second that this daemon may send to the endpoint; 0 without a limit.
    double ownPerSecond(EndpointKey endpoint, TimePoint now) const;
    /// The limits in force and those that have ended, for peers.
    std::vector<EndpointLimit> limits() const;
    /// Forgets limits that no answer has stated for a long time, and ended ones.
    void expire(TimePoint now);

private:
    /// This daemon's part of a limit.
    struct Part
    {
        double perSecond = 0;
        double tokens = 0; ///< Requests that it may send at `countedAt`.
        TimePoint countedAt{};
    };
    struct Share
    {
        EndpointLimit limit;
        Part part;
    };
    struct SentRequest
    {
        EndpointKey endpoint = 0;
        TimePoint at{};
    };
    struct ColdShare
    {
        ColdLimit limit;
        Part part;
        std::optional<TimePoint> since; ///< When its owners were first chosen.
    };

    /// Null without a limit.
    const Share *limited(EndpointKey endpoint) const;
    /// Null unless the endpoint is cold and states no lower limit.
    const ColdShare *coldShare(EndpointKey endpoint, TimePoint now) const;
    /// The part of the limit in force; null without a limit.
    const Part *partInForce(EndpointKey endpoint, TimePoint now) const;
    Part *partInForce(EndpointKey endpoint, TimePoint now);
    void assignColdOwners(ColdShare &share, const std::vector<DaemonKey> &daemons,
                          TimePoint now) const;
    /// Requests that a daemon with this part of a new limit of a cold endpoint has sent in excess
    /// of its part, because it has just heard of it.
    double excessOf(const ColdLimit &limit, double perSecond, double owners, TimePoint now) const;
    static void replace(Share &share, const EndpointLimit &stated);
    static double tokensAt(const Part &part, TimePoint now);
    /// Keeps the tokens up to now and lets them grow at the given rate.
    static void setPart(Part &part, double perSecond, TimePoint now);
    static std::optional<TimePoint> nextAt(const Part &part, TimePoint now);

    DaemonKey self_;
    std::size_t maxEndpoints_;
    std::unordered_map<EndpointKey, Share> shares_;
    std::unordered_map<EndpointKey, ColdShare> cold_;
    std::vector<DaemonKey> coldDaemons_; ///< Those among which the owners were chosen.
    std::deque<SentRequest> recent_;     ///< Requests to all endpoints in the last second.
};

} // namespace cicadafork::gateway
