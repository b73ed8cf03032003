#pragma once

// Reserves memory at several endpoints for one prompt that does not fit into the memory of one.
//
//   Reservation reservation(context, orders, "t-7", targets);
//   reservation.acquire([&](bool held) { ... });   // held: every target has reserved its memory
//   ...                                            // renewed until it is destroyed
//
// Leases are short, so that memory is soon free again when this process dies or an endpoint carries
// out an order late.

#include "base/clock.h"
#include "gateway/protocol.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadafork::gateway {

struct ReservationTarget
{
    Address address;
    std::string endpointId;
    std::uint64_t tokens = 0;
};

class Reservation
{
public:
    Reservation(asio::io_context &context, const OrderCalls &orders, std::string ticket,
                std::vector<ReservationTarget> targets);
    /// Releases the memory at every target, also where the reservation failed or is unknown.
    ~Reservation();
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;

    /// Calls done once, from the event loop, when all targets have answered: true when every target
    /// has reserved its memory.
    void acquire(std::function<void(bool)> done);

    const std::string &ticket() const { return ticket_; }

private:
    void onOrderOutcome(OrderOutcome outcome);
    void scheduleRenewal();
    void renew();

    const OrderCalls &orders_;
    std::string ticket_;
    std::vector<ReservationTarget> targets_;
    asio::steady_timer timer_;
    std::function<void(bool)> done_;
    std::size_t pending_ = 0;
    bool refused_ = false;
    /// Lets callbacks that run after the destruction detect it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cicadafork::gateway
