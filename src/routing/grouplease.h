#pragma once

// Reserves memory at all members of a group, or at none.
//
//   GroupLease lease = startLease({"e1", "e4"}, timing);
//   for (;;) {
//       LeaseAction action = nextAction(lease, now);
//       ... send action.kind for lease.members[action.member]; on an answer: onAnswer(lease, ...)
//   }
//
// Members are reserved one after another in ascending id, so that two leases cannot deadlock. If a
// member refuses, the lease releases all its holds at once instead of keeping them while it waits.
// If an answer is lost, the member may hold memory: the hold is released, and if the release is
// lost as well, the hold expires at the engine. Late answers are matched by hold id, and a hold
// that the lease no longer needs is released.

#include "base/clock.h"

#include <string>
#include <vector>

namespace cicadafork {

enum class LeaseState {
    Reserving,
    Held,      ///< All members hold memory; renew until release().
    Releasing, ///< Refused, lost or finished; holds are being released.
    Released,  ///< All holds were released or have expired at the engine.
};

enum class MemberState { None, ReserveSent, Held, ReleasePending, ReleaseSent };

struct LeaseMember
{
    std::string endpoint;
    MemberState state = MemberState::None;
    TimePoint lastSent;        ///< When the last message was sent.
    TimePoint expires;         ///< Latest time at which the engine drops the hold.
    TimePoint heldUntil;       ///< Earliest time at which it may drop a confirmed hold.
    TimePoint firstUnanswered; ///< When the oldest unanswered message was sent.
    bool unanswered = false;
};

struct LeaseTiming
{
    Millis lifetime{5000};     ///< Time from the last renewal until the engine drops a hold.
    Millis answerTimeout{500}; ///< Time after which an answer counts as lost.
};

struct GroupLease
{
    LeaseState state = LeaseState::Reserving;
    std::vector<LeaseMember> members; ///< Ascending endpoint id.
    LeaseTiming timing;
    bool refused = false; ///< The reservation failed or was lost; retry with jitter.
};

enum class LeaseActionKind { Nothing, Reserve, Renew, Release };

struct LeaseAction
{
    LeaseActionKind kind = LeaseActionKind::Nothing;
    std::size_t member = 0;
};

enum class LeaseAnswer { Accepted, Refused, NotFound };

/// Starts a reservation. The endpoints may be in any order; duplicates are removed.
GroupLease startLease(std::vector<std::string> endpoints, const LeaseTiming &timing);

/// Returns the next message to send and assumes that it is sent at `now`. Call it until it returns
/// Nothing, and again after each answer and each tick.
LeaseAction nextAction(GroupLease &lease, TimePoint now);

/// Handles the answer to a message of the given kind. Answers may be late or duplicated.
void onAnswer(GroupLease &lease, std::size_t member, LeaseActionKind kind, LeaseAnswer answer,
              TimePoint now);

/// Ends the lease. The following calls of nextAction() release every hold that exists or may exist.
void release(GroupLease &lease);

} // namespace cicadafork
