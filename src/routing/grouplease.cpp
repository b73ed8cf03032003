#include "routing/grouplease.h"

#include <algorithm>

namespace cicadafork {

namespace {

bool mayBeHeld(MemberState state)
{
    return state != MemberState::None;
}

LeaseAction send(GroupLease &lease, std::size_t index, LeaseActionKind kind, TimePoint now)
{
    LeaseMember &member = lease.members[index];
    member.lastSent = now;
    if (!member.unanswered) {
        member.unanswered = true;
        member.firstUnanswered = now;
    }
    if (kind != LeaseActionKind::Release) {
        // The engine counts the lifetime from the arrival of the message, at most one answer
        // timeout from now. If the message arrives later, the lease is already being released, and
        // the hold ends by its own expiry.
        member.expires = now + lease.timing.answerTimeout + lease.timing.lifetime;
    }
    return {kind, index};
}

/// Counts the lifetime from the oldest unanswered message, because the answer may belong to it.
void confirm(GroupLease &lease, LeaseMember &member)
{
    if (member.unanswered)
        member.heldUntil = member.firstUnanswered + lease.timing.lifetime;
    member.unanswered = false;
}

LeaseAction nextRenewal(GroupLease &lease, TimePoint now)
{
    for (std::size_t i = 0; i < lease.members.size(); ++i) {
        const LeaseMember &member = lease.members[i];
        if (member.state != MemberState::Held)
            continue;
        if (now >= member.heldUntil) {
            // No renewal was confirmed for a whole lifetime, so the engine may have given the
            // memory to another request.
            lease.refused = true;
            release(lease);
            return nextAction(lease, now);
        }
        if (now - member.lastSent >= lease.timing.lifetime / 3)
            return send(lease, i, LeaseActionKind::Renew, now);
    }
    return {};
}

LeaseAction nextReservation(GroupLease &lease, TimePoint now)
{
    // Reserving a large group can take longer than the lifetime of a hold, so holds are renewed
    // meanwhile.
    const LeaseAction renewal = nextRenewal(lease, now);
    if (renewal.kind != LeaseActionKind::Nothing || lease.state != LeaseState::Reserving)
        return renewal;
    for (std::size_t i = 0; i < lease.members.size(); ++i) {
        LeaseMember &member = lease.members[i];
        if (member.state == MemberState::Held)
            continue;
        if (member.state == MemberState::ReserveSent) {
            if (now - member.lastSent < lease.timing.answerTimeout)
                return {};
            lease.refused = true;
            release(lease);
            return nextAction(lease, now);
        }
        member.state = MemberState::ReserveSent;
        return send(lease, i, LeaseActionKind::Reserve, now);
    }
    lease.state = LeaseState::Held;
    return {};
}

LeaseAction nextRelease(GroupLease &lease, TimePoint now)
{
    bool anyHeld = false;
    for (std::size_t i = 0; i < lease.members.size(); ++i) {
        LeaseMember &member = lease.members[i];
        if (mayBeHeld(member.state) && now >= member.expires)
            member.state = MemberState::None;
        if (!mayBeHeld(member.state))
            continue;
        anyHeld = true;
        const bool lost = member.state == MemberState::ReleaseSent
                          && now - member.lastSent >= lease.timing.answerTimeout;
        if (member.state == MemberState::ReleasePending || lost) {
            member.state = MemberState::ReleaseSent;
            return send(lease, i, LeaseActionKind::Release, now);
        }
    }
    if (!anyHeld)
        lease.state = LeaseState::Released;
    return {};
}

} // namespace

GroupLease startLease(std::vector<std::string> endpoints, const LeaseTiming &timing)
{
    std::sort(endpoints.begin(), endpoints.end());
    endpoints.erase(std::unique(endpoints.begin(), endpoints.end()), endpoints.end());
    GroupLease lease;
    lease.timing = timing;
    for (std::string &endpoint : endpoints) {
        LeaseMember member;
        member.endpoint = std::move(endpoint);
        lease.members.push_back(std::move(member));
    }
    return lease;
}

LeaseAction nextAction(GroupLease &lease, TimePoint now)
{
    switch (lease.state) {
    case LeaseState::Reserving:
        return nextReservation(lease, now);
    case LeaseState::Held:
        return nextRenewal(lease, now);
    case LeaseState::Releasing:
        return nextRelease(lease, now);
    case LeaseState::Released:
        break;
    }
    return {};
}

void onAnswer(GroupLease &lease, std::size_t index, LeaseActionKind kind, LeaseAnswer answer,
              TimePoint now)
{
    if (index >= lease.members.size())
        return;
    LeaseMember &member = lease.members[index];
    switch (kind) {
    case LeaseActionKind::Nothing:
        return;
    case LeaseActionKind::Reserve:
        if (answer == LeaseAnswer::Accepted) {
            if (lease.state == LeaseState::Reserving && member.state == MemberState::ReserveSent) {
                member.state = MemberState::Held;
                confirm(lease, member);
            } else if (lease.state == LeaseState::Released
                       || (lease.state == LeaseState::Releasing
                           && member.state == MemberState::None)) {
                // The engine granted a hold that the lease has already given up.
                member.state = MemberState::ReleasePending;
                member.expires = now + lease.timing.lifetime;
                lease.state = LeaseState::Releasing;
            }
        } else if (lease.state == LeaseState::Reserving
                   && member.state == MemberState::ReserveSent) {
            member.state = MemberState::None;
            lease.refused = true;
            release(lease);
        }
        return;
    case LeaseActionKind::Renew:
        if (answer == LeaseAnswer::Accepted) {
            confirm(lease, member);
        } else if (member.state == MemberState::Held
                   && (lease.state == LeaseState::Held || lease.state == LeaseState::Reserving)) {
            member.state = MemberState::None;
            lease.refused = true;
            release(lease);
        }
        return;
    case LeaseActionKind::Release:
        // A release can overtake its reservation, which the engine would then grant afterwards. So
        // the hold is considered ended only if the engine knew it; otherwise the release is
        // repeated until the hold expires.
        if (answer == LeaseAnswer::Accepted && member.state == MemberState::ReleaseSent)
            member.state = MemberState::None;
        return;
    }
}

void release(GroupLease &lease)
{
    if (lease.state == LeaseState::Released)
        return;
    lease.state = LeaseState::Releasing;
    for (LeaseMember &member : lease.members) {
        if (member.state == MemberState::ReserveSent || member.state == MemberState::Held)
            member.state = MemberState::ReleasePending;
    }
}

} // namespace cicadafork
