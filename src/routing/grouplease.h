#pragma once

// Reserves memory at all members of a group, or at none.
//
//   GroupLease lease = startLease({"e1", "e4"}, timing);
//   for (;;) {
//       LeaseAction action = nextAction(lease, now);
//       ... send action.kind for lease.members[action.member]; on an answer: onAnswer(lease, ...)
//   }
//
// Members are reserved one after another in ascending id, so that two reservers never wait for each
// other in a circle. A refusal releases everything at once instead of waiting with memory held.
// A lost answer counts as "may be held": the hold is released, and it expires at the engine when
// the release is lost too. An answer that arrives late is matched by hold id; a hold that the lease
// no longer wants is released.

#include "base/clock.h"

#include <string>
#include <vector>

namespace cicadafork {

enum class LeaseState {
    Reserving,
    Held,      ///< All members are held; renew until release().
    Releasing, ///< Refused, lost or finished; releases are sent.
    Released,  ///< Nothing is held, or what may be held has expired at the engine.
};

enum class MemberState { None, ReserveSent, Held, ReleasePending, ReleaseSent };

struct LeaseMember
{
    std::string endpoint;
    MemberState state = MemberState::None;
    TimePoint lastSent;        ///< Last time a message was sent.
    TimePoint expires;         ///< Latest time at which the engine drops the hold.
    TimePoint heldUntil;       ///< Earliest time at which it may drop a confirmed hold.
    TimePoint firstUnanswered; ///< When the oldest unanswered message was sent.
    bool unanswered = false;
};

struct LeaseTiming
{
    Millis lifetime{5000};     ///< Expiry of a hold at the engine, from the last renewal.
    Millis answerTimeout{500}; ///< After this an answer counts as lost.
};

struct GroupLease
{
    LeaseState state = LeaseState::Reserving;
    std::vector<LeaseMember> members; ///< Ascending endpoint id.
    LeaseTiming timing;
    bool refused = false; ///< The reservation failed; try again after a jittered delay.
};

enum class LeaseActionKind { Nothing, Reserve, Renew, Release };

struct LeaseAction
{
    LeaseActionKind kind = LeaseActionKind::Nothing;
    std::size_t member = 0;
};

enum class LeaseAnswer { Accepted, Refused, NotFound };

/// Endpoints may come in any order; they are sorted.
GroupLease startLease(std::vector<std::string> endpoints, const LeaseTiming &timing);

/// The next message to send. Call it until it returns Nothing, then again after an answer or a
/// tick; it assumes that the message is sent at `now`.
LeaseAction nextAction(GroupLease &lease, TimePoint now);

/// The answer to a message of the given kind; late and repeated answers are harmless.
void onAnswer(GroupLease &lease, std::size_t member, LeaseActionKind kind, LeaseAnswer answer,
              TimePoint now);

/// Ends the lease: everything that is or may be held is released.
void release(GroupLease &lease);

} // namespace cicadafork
