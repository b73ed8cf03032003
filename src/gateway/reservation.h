#pragma once

// Reserves memory at several endpoints for one prompt that does not fit into the memory of one.
//
//   Reservation reservation(context, orders, "t-7", targets);
//   reservation.acquire([&](bool held) { ... });   // held: every target has reserved its memory
//   reservation.watchUse([&] { ... });             // no request uses the memory any more
//   ...                                            // renewed until it is destroyed
//
// Leases are short, so that memory is soon free again when this process dies or an endpoint carries
// out an order late. They outlast a pause of an endpoint, and two consecutive lost renewals.

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

/// What is known of the lease at one target.
struct LeaseFacts
{
    TimePoint lastSent{};      ///< When the last order that reserves or renews was sent.
    TimePoint lastConfirmed{}; ///< When the last such order that was carried out was sent.
    TimePoint quietUntil{};    ///< The endpoint turned a renewal away and wants none until then.
};

/// Time of the next renewal.
TimePoint nextRenewal(const LeaseFacts &facts);

/// True if memory is to be released, of which a holder has just said this. An endpoint that has
/// received a request may never begin it, or may drop it without a word.
bool isUnused(MemoryUse use, bool wasUsed, Millis sinceReserved);

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

    /// Asks the first holder, whose memory is used first, again and again for the use of it. Calls
    /// unused once if no request uses it; the reservation may be destroyed by that.
    void watchUse(std::function<void()> unused);
    /// The first event shows that the memory is in use.
    void endWatch();

    const std::string &ticket() const { return ticket_; }

private:
    struct Lease
    {
        ReservationTarget target;
        LeaseFacts facts;
        asio::steady_timer timer;
    };

    void sendReserve(Lease &lease, Millis timeout, std::function<void(OrderOutcome)> done);
    void onOrderOutcome(OrderOutcome outcome);
    void scheduleRenewal(Lease &lease);
    void scheduleUseCheck(Millis delay);
    void onUse(MemoryUse use);

    const OrderCalls &orders_;
    std::string ticket_;
    std::vector<Lease> leases_; ///< Not resized: callbacks refer to its elements.
    std::function<void(bool)> done_;
    std::size_t pending_ = 0;
    bool refused_ = false;
    asio::steady_timer useTimer_;
    std::function<void()> unused_; ///< Empty unless the use is watched.
    TimePoint watchedSince_{};
    bool wasUsed_ = false;
    /// Lets callbacks that run after the destruction detect it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cicadafork::gateway
