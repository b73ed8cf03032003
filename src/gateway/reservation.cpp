#include "gateway/reservation.h"

#include <algorithm>
#include <utility>

namespace cicadafork::gateway {

namespace {

// An order that an endpoint carries out seconds late must hold memory for less than 2 s.
constexpr Millis kLeaseDuration{1900};
// A sound endpoint may be silent for this time.
constexpr Millis kLongestSilence{1500};
constexpr Millis kRenewalInterval{350};
// Time between renewals while the last one is not confirmed.
constexpr Millis kRepeatInterval{550};
// A renewal that an endpoint turned away is repeated this long before the lease ends.
constexpr Millis kLastRenewalMargin{200};
// The request waits for the answers to the first orders; another endpoint may answer at once.
constexpr Millis kReserveTimeout{400};
// Renewals and releases stay open while the lease may run, because a silent endpoint carries out
// what it has received.
constexpr Millis kOpenOrderTimeout = kLeaseDuration;

// Most prompts have their first event before the first check.
constexpr Millis kFirstUseCheck{2500};
constexpr Millis kUseCheckInterval{1000};
// The users' rules allow memory to be unused for 9 s. The rest is for a silence of the holder and
// for the release.
constexpr Millis kMaxUnused{6000};
// The same if the holder does not tell. It may be silent for kLongestSilence.
constexpr Millis kMaxUnconfirmed = kMaxUnused + kLongestSilence;

static_assert(kRenewalInterval + kLongestSilence < kLeaseDuration);
static_assert(kRenewalInterval + 2 * kRepeatInterval < kLeaseDuration);

} // namespace

TimePoint nextRenewal(const LeaseFacts &facts)
{
    const bool confirmed = facts.lastConfirmed == facts.lastSent;
    const TimePoint regular = facts.lastSent + (confirmed ? kRenewalInterval : kRepeatInterval);
    if (facts.quietUntil <= regular)
        return regular;
    const TimePoint last = facts.lastConfirmed + kLeaseDuration - kLastRenewalMargin;
    return last > facts.lastSent ? std::min(last, facts.quietUntil) : facts.quietUntil;
}

bool isUnused(MemoryUse use, bool wasUsed, Millis sinceReserved)
{
    switch (use) {
    case MemoryUse::Used:
        return false;
    case MemoryUse::Unused:
        return wasUsed || sinceReserved >= kMaxUnused;
    case MemoryUse::Unknown:
        break;
    }
    return !wasUsed && sinceReserved >= kMaxUnconfirmed;
}

Reservation::Reservation(asio::io_context &context, const OrderCalls &orders, std::string ticket,
                         std::vector<ReservationTarget> targets)
    : orders_(orders)
    , ticket_(std::move(ticket))
    , useTimer_(context)
{
    leases_.reserve(targets.size());
    for (ReservationTarget &target : targets)
        leases_.push_back({std::move(target), {}, asio::steady_timer(context)});
}

Reservation::~Reservation()
{
    for (const Lease &lease : leases_)
        orders_.release(lease.target.address, lease.target.endpointId, ticket_, kOpenOrderTimeout,
                        [](const OrderReply &) {});
}

void Reservation::acquire(std::function<void(bool)> done)
{
    done_ = std::move(done);
    pending_ = leases_.size();
    refused_ = leases_.empty();
    for (Lease &lease : leases_)
        sendReserve(lease, kReserveTimeout,
                    [this](OrderOutcome outcome) { onOrderOutcome(outcome); });
}

void Reservation::watchUse(std::function<void()> unused)
{
    unused_ = std::move(unused);
    watchedSince_ = steadyNow();
    scheduleUseCheck(kFirstUseCheck);
}

void Reservation::endWatch()
{
    unused_ = nullptr;
    useTimer_.cancel();
}

void Reservation::scheduleUseCheck(Millis delay)
{
    useTimer_.expires_after(delay);
    useTimer_.async_wait([this, weak = std::weak_ptr(alive_)](const asio::error_code &error) {
        if (error || weak.expired() || !unused_)
            return;
        orders_.askUse(leases_.front().target.address, ticket_, kUseCheckInterval,
                       [this, weak](MemoryUse use) {
                           if (!weak.expired() && unused_)
                               onUse(use);
                       });
    });
}

void Reservation::onUse(MemoryUse use)
{
    const auto sinceReserved = std::chrono::duration_cast<Millis>(steadyNow() - watchedSince_);
    if (isUnused(use, wasUsed_, sinceReserved)) {
        const auto unused = std::exchange(unused_, nullptr);
        unused();
        return;
    }
    wasUsed_ = wasUsed_ || use == MemoryUse::Used;
    scheduleUseCheck(kUseCheckInterval);
}

void Reservation::sendReserve(Lease &lease, Millis timeout, std::function<void(OrderOutcome)> done)
{
    const TimePoint sentAt = steadyNow();
    lease.facts.lastSent = sentAt;
    const ReservationTarget &target = lease.target;
    orders_.reserve(target.address, target.endpointId, ticket_, target.tokens, kLeaseDuration,
                    timeout,
                    [this, &lease, sentAt, weak = std::weak_ptr(alive_),
                     done = std::move(done)](const OrderReply &reply) {
                        if (weak.expired())
                            return;
                        LeaseFacts &facts = lease.facts;
                        if (reply.outcome == OrderOutcome::Done)
                            facts.lastConfirmed = std::max(facts.lastConfirmed, sentAt);
                        if (reply.statement.quietFor)
                            facts.quietUntil = steadyNow() + *reply.statement.quietFor;
                        scheduleRenewal(lease);
                        done(reply.outcome);
                    });
    scheduleRenewal(lease);
}

void Reservation::onOrderOutcome(OrderOutcome outcome)
{
    refused_ = refused_ || outcome != OrderOutcome::Done;
    if (--pending_ > 0)
        return;
    const auto done = std::move(done_);
    if (done)
        done(!refused_);
}

void Reservation::scheduleRenewal(Lease &lease)
{
    lease.timer.expires_at(nextRenewal(lease.facts));
    // An expired timer's handler may already be queued when the reservation is destroyed, or when
    // the timer is set again.
    lease.timer.async_wait(
            [this, &lease, weak = std::weak_ptr(alive_)](const asio::error_code &error) {
                if (!error && !weak.expired() && steadyNow() >= nextRenewal(lease.facts))
                    sendReserve(lease, kOpenOrderTimeout, [](OrderOutcome) {});
            });
}

} // namespace cicadafork::gateway
