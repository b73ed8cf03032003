#pragma once

// Result tables of this daemon's state, for operators' queries.

#include "admission/admission.h"
#include "frontend/requesttable.h"
#include "membership/fleet.h"
#include "query/resulttable.h"

#include <vector>

namespace cicadafork {

/// Shortest time without progress after which a request counts as stuck.
/// It is below the 5 s after which a request at a silent endpoint is broken off: with equal times
/// an operator could see such a request for one tick only.
inline constexpr Millis kStuckMinimum{3000};

/// No progress for longer than twice the expected step time, and for at least kStuckMinimum. The
/// step is the first token while the request is dispatched or prefilled, else a token or a retry,
/// which takes less than the minimum.
bool isStuck(const RequestView &request);

ResultTable requestRows(const std::string &memberId, const std::vector<RequestView> &requests);
/// One row that says which mechanism holds the request, since when and what frees it; no row when
/// the request is not among them. The queue names the reasons of requests that wait in it.
ResultTable explainRows(const std::string &memberId, const std::vector<RequestView> &requests,
                        const std::vector<QueuedRequestView> &queue, const std::string &requestId);
/// The configuration tells a drained endpoint from one that is away; it may be null.
ResultTable endpointRows(const std::vector<std::pair<std::string, FleetView>> &services,
                         const Configuration *configuration, Millis sendPermission);
ResultTable entryVmRows(const std::vector<PeerView> &peers);
ResultTable configurationRow(const std::string &memberId, const std::string &failureDomain,
                             std::optional<Offset> nextOffset, bool ready);

} // namespace cicadafork
