#include "gateway/reservation.h"

namespace cicadafork::gateway {

namespace {

// An order that an endpoint carries out seconds late must hold memory for less than 2 s.
constexpr Millis kLeaseDuration{1900};
// The lease outlasts two consecutive lost renewals.
constexpr Millis kRenewalInterval{550};
constexpr Millis kOrderTimeout{400};

} // namespace

Reservation::Reservation(asio::io_context &context, const OrderCalls &orders, std::string ticket,
                         std::vector<ReservationTarget> targets)
    : orders_(orders)
    , ticket_(std::move(ticket))
    , targets_(std::move(targets))
    , timer_(context)
{
}

Reservation::~Reservation()
{
    for (const ReservationTarget &target : targets_)
        orders_.release(target.address, target.endpointId, ticket_, kOrderTimeout,
                        [](const OrderReply &) {});
}

void Reservation::acquire(std::function<void(bool)> done)
{
    done_ = std::move(done);
    pending_ = targets_.size();
    refused_ = targets_.empty();
    for (const ReservationTarget &target : targets_) {
        orders_.reserve(target.address, target.endpointId, ticket_, target.tokens, kLeaseDuration,
                        kOrderTimeout,
                        [this, weak = std::weak_ptr(alive_)](const OrderReply &reply) {
                            if (!weak.expired())
                                onOrderOutcome(reply.outcome);
                        });
    }
    scheduleRenewal();
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

void Reservation::scheduleRenewal()
{
    timer_.expires_after(kRenewalInterval);
    // An expired timer's handler may already be queued when the reservation is destroyed.
    timer_.async_wait([this, weak = std::weak_ptr(alive_)](const asio::error_code &error) {
        if (!error && !weak.expired())
            renew();
    });
}

void Reservation::renew()
{
    for (const ReservationTarget &target : targets_) {
        // The outcome is ignored: the next renewal makes up for a lost one.
        orders_.reserve(target.address, target.endpointId, ticket_, target.tokens, kLeaseDuration,
                        kOrderTimeout, [](const OrderReply &) {});
    }
    scheduleRenewal();
}

} // namespace cicadafork::gateway
