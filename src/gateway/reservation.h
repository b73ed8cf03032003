#pragma once

// Memory reserved at several endpoints for one prompt that is larger than the memory of one.
//
//   Reservation reservation(context, orders, "t-7", targets);
//   reservation.acquire([&](bool held) { ... });   // all or nothing
//   ...                                            // renews itself until it is destroyed
//
// A lease is short: when this process dies, or an order is carried out late, the memory is free
// again before anyone misses it.

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
    /// Releases what is held.
    ~Reservation();
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;

    /// Calls done once, later: true when the memory of every target is held.
    void acquire(std::function<void(bool)> done);

    const std::string &ticket() const { return ticket_; }

private:
    void onAnswer(OrderOutcome outcome);
    void renewLater();
    void renew();

    const OrderCalls &orders_;
    std::string ticket_;
    std::vector<ReservationTarget> targets_;
    asio::steady_timer timer_;
    std::function<void(bool)> done_;
    std::size_t pending_ = 0;
    bool refused_ = false;
    /// Answers that come after the destruction are ignored.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cicadafork::gateway
