#pragma once

// Functions that read and update FleetState. They take the time as a parameter and do no locking.

#include "config/configuration.h"
#include "logservice/vmlist.h"
#include "membership/fleet.h"
#include "membership/tables.h"

namespace cicadafork {

/// Up to this number of members, every daemon exchanges heartbeats with every other one. Above it,
/// daemons exchange heartbeats within their failure domain only, and one delegate per domain
/// exchanges heartbeats with the delegates of the other domains.
inline constexpr std::size_t kMaxFullMeshMembers = 16;

/// Applies a list unless it is older than the last one applied. Endpoints that are missing from it
/// count as leaving. Do not call it when the list could not be fetched: a failed fetch says nothing
/// about the endpoints.
void applyVmList(FleetState &state, const VmList &list, TimePoint now);

/// Sets the drained flag of every endpoint from its intent in the configuration.
void applyIntents(FleetState &state, const Configuration &configuration);

/// Whether the last heartbeat of the member is newer than its heartbeat timeout.
bool isAlive(const MemberRow &row, TimePoint now);

/// Sorted ids of the members that are alive and not leaving, and may therefore own work. An empty
/// domain selects the members of all domains.
std::vector<std::string> liveMembers(const FleetState &state, const std::string &domain,
                                     TimePoint now);

/// Sets coordinator and backup of every endpoint: the first two in rendezvous order of the live
/// members of the endpoint's domain, or of all live members when its domain has none. Endpoints
/// whose live members are unchanged keep theirs.
void updateCoordinators(FleetState &state, TimePoint now);

struct PollRequest
{
    std::string endpointId;
    Address address;
};

/// Endpoints that this member has to poll now; marks them as being polled. The backup polls when no
/// recent report from the coordinator is known. Call updateCoordinators() first.
std::vector<PollRequest> pollsDue(FleetState &state, const std::string &selfId, Millis interval,
                                  TimePoint now);

/// Hash of the status fields that rarely change: incarnation, role, models and capacity.
std::uint64_t detailsHash(const EndpointStatus &status);

/// Applies a status to its endpoint. reportAt is the time at which the status was requested, or a
/// lower bound of it when the status came in a digest. Leaving is applied even when the status is
/// old; everything else only when it is newer than the known status.
void applyStatus(EndpointRow &row, const EndpointStatus &status, TimePoint reportAt, TimePoint now);

/// Whether new requests may be sent to the endpoint; see section 9 of the design, "Leaving
/// endpoints". sendPermission is the maximum age of its status.
bool sendPermitted(const EndpointRow &row, Millis sendPermission, TimePoint now);

/// Applies a peer's digest. Returns false, without effect, when it is repeated, out of order, of an
/// older incarnation or from an unknown member.
bool applyDigest(FleetState &state, const Digest &digest, const std::string &selfIncarnation,
                 TimePoint now);

/// The member that exchanges heartbeats with other domains; empty when the domain has no live
/// member.
std::string delegateOf(const FleetState &state, const std::string &domain, TimePoint now);

/// Ids of the members to which this member sends heartbeats.
std::vector<std::string> heartbeatTargets(const FleetState &state, const std::string &selfId,
                                          TimePoint now);

/// Fills a digest for a peer with the statuses that the peer has not acknowledged and with all own
/// unreported requests. The caller fills the fields about itself.
/// A delegate (relays) relays a limited number of members and endpoints per digest, round robin:
/// the 525 endpoints and 315 members of seven other domains at once would take 60 times the byte
/// budget.
void fillDigest(FleetState &state, const std::string &selfId, const std::string &peerId,
                bool relays, TimePoint now, Digest &digest);

/// Whether this member is the delegate of its domain and relays statuses and members.
bool isRelay(const FleetState &state, const std::string &selfId, TimePoint now);

/// max(minimum, peers * bytesPerDigest / bytesPerSecond); minimum when bytesPerSecond is 0.
Millis heartbeatInterval(Millis minimum, std::size_t peers, double bytesPerDigest,
                         std::size_t bytesPerSecond);

/// Updates the prefill rate and the slow factor of the endpoint.
void applyObservation(EndpointRow &row, const AttemptObservation &observation, TimePoint now);

/// The slow factor of the endpoint. It decays to 1 without new observations, because an endpoint
/// that gets no requests cannot show that it has recovered.
double currentSlowFactor(const EndpointRow &row, TimePoint now);

EndpointView makeEndpointView(const EndpointRow &row, Millis sendPermission, TimePoint now);

} // namespace cicadafork
