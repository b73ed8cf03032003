#pragma once

// Systems over the tables of members and endpoints. None of them reads a clock or locks.

#include "config/configuration.h"
#include "logservice/vmlist.h"
#include "membership/fleet.h"
#include "membership/tables.h"

namespace cicadafork {

/// Up to this number of members, every daemon exchanges heartbeats with every other one. Above it
/// the mesh spans a failure domain, and one delegate per domain talks to the other delegates.
inline constexpr std::size_t kFullMeshMembers = 16;

/// Applies a list unless it is older than one applied before. An endpoint that is missing from it
/// counts as leaving. A missing list must not be passed at all: it is no sign.
void applyVmList(FleetTables &tables, const VmList &list, TimePoint now);

void applyIntents(FleetTables &tables, const Configuration &configuration);

/// Whether heartbeats of the member are fresh.
bool isAlive(const MemberRow &row, TimePoint now);

/// Ids of members that may own work: alive and not leaving; of one domain, or of all when empty.
std::vector<std::string> liveMembers(const FleetTables &tables, const std::string &domain,
                                     TimePoint now);

/// Sets coordinator and backup of every endpoint: the first two in rendezvous order of the live
/// members of the endpoint's domain, or of all live members when it has none. Rows are computed
/// again only when the live members changed.
void updateCoordinators(FleetTables &tables, TimePoint now);

struct PollRequest
{
    std::string endpointId;
    Address address;
};

/// Endpoints that this member must ask for their status now; marks them as being asked. The backup
/// steps in when the coordinator's reports stay away. Call updateCoordinators() before.
std::vector<PollRequest> pollsDue(FleetTables &tables, const std::string &selfId, Millis interval,
                                  TimePoint now);

/// Hash of what rarely changes in a status: incarnation, role, models and capacity.
std::uint64_t detailsHash(const EndpointStatus &status);

/// Takes over a status. reportAt is when it was requested, or an earlier time when it came in a
/// digest. A leaving status always counts; a live one only when it is newer than what is known.
void applyStatus(EndpointRow &row, const EndpointStatus &status, TimePoint reportAt, TimePoint now);

/// Whether new work may be sent; see section 9 of the design, "Leaving endpoints".
bool sendPermitted(const EndpointRow &row, Millis life, TimePoint now);

/// Takes over a peer's digest. Returns false when it is out of order, of an older incarnation or
/// from an unknown member.
bool applyDigest(FleetTables &tables, const Digest &digest, const std::string &selfIncarnation,
                 TimePoint now);

/// The member that speaks for a domain; empty when none is alive.
std::string delegateOf(const FleetTables &tables, const std::string &domain, TimePoint now);

/// Members that receive this member's heartbeats.
std::vector<std::string> heartbeatTargets(const FleetTables &tables, const std::string &selfId,
                                          TimePoint now);

/// What this member tells a peer: the statuses that the peer has not acknowledged, and all own
/// unreported requests. The caller fills the fields about itself.
/// Part of what a delegate passes on goes with each digest, in turn: in full, the 525 endpoints and
/// 315 members of seven other domains would take 60 times the byte budget.
void fillDigest(FleetTables &tables, const std::string &selfId, const std::string &peerId,
                bool relays, TimePoint now, Digest &digest);

/// Whether this member passes on what it knows, as delegate of its domain.
bool isRelay(const FleetTables &tables, const std::string &selfId, TimePoint now);

/// max(minimum, peers x bytes / budget).
Millis heartbeatInterval(Millis minimum, std::size_t peers, double bytesPerDigest,
                         std::size_t bytesPerSecond);

void learn(EndpointRow &row, const AttemptObservation &observation, TimePoint now);

/// The slow factor, which falls back to 1 while nothing is observed: an endpoint that gets no
/// requests could not show its recovery.
double currentSlowFactor(const EndpointRow &row, TimePoint now);

EndpointView viewOf(const EndpointRow &row, Millis permissionLife, TimePoint now);

} // namespace cicadafork
