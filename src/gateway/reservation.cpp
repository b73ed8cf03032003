#include "gateway/reservation.h"

#include <algorithm>

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

Reservation::Reservation(asio::io_context &context, const OrderCalls &orders, std::string ticket,
                         std::vector<ReservationTarget> targets)
    : orders_(orders)
    , ticket_(std::move(ticket))
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
