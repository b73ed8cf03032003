// Gateway: endpoints that are kept free for large prompts.

#include "base/log.h"
#include "gateway/gateway.h"

#include <fmt/format.h>

#include <algorithm>

namespace cicadafork::gateway {

std::optional<Placement> Gateway::placeBooked(Exchange &exchange)
{
    if (!exchange.booking)
        return std::nullopt;
    const Placement &booked = exchange.booking->placement;
    const EngineModel *engine = engineFor(exchange);
    const TimePoint now = steadyNow();
    std::vector<EndpointView> views = viewsFor(exchange);
    std::erase_if(views, [&](const EndpointView &view) {
        return view.key != booked.head
               && std::ranges::find(booked.helpers, view.key) == booked.helpers.end();
    });
    const bool usable = views.size() == exchange.booking->jobs.size()
                        && std::ranges::all_of(views, &EndpointView::usable);
    const PlacementRequest request = placementRequest(exchange);
    if (!engine || !usable || booked.firstEvent > request.untilDeadline) {
        endBooking(exchange, usable ? "too_late" : "endpoint_unusable");
        return std::nullopt;
    }
    for (EndpointView &view : views)
        view.load = loadTracker_.load(view.key, now, exchange.booking->jobs);
    Placement placement = booked;
    if (!isClear(request, *engine, booked, views))
        placement.outcome = PlacementOutcome::Wait;
    return placement;
}

void Gateway::book(Exchange &exchange)
{
    const EngineModel *engine = engineFor(exchange);
    // A stream that goes on has priority over what waits.
    if (exchange.booking || !engine || exchange.state != ExchangeState::Waiting)
        return;
    std::vector<EndpointView> views = viewsFor(exchange);
    // The load of endpoints in other failure domains is known only with a delay, and includes the
    // booking.
    if (!mesh_.announcesJobsGlobally())
        std::erase_if(views, [](const EndpointView &view) { return !view.inOwnDomain; });
    const PlacementRequest request = placementRequest(exchange);
    const auto placement = bookEndpoints(request, *engine, views);
    if (!placement)
        return;
    const TimePoint now = steadyNow();
    Booking booking{*placement, {}, now};
    for (const Job &job : bookingJobs(*placement, request, incarnation_, nextJob_, now)) {
        booking.jobs.push_back(job.id);
        loadTracker_.place(job);
        mesh_.placed(job, endpoints_.failureDomains());
    }
    counters_.bookings.Increment();
    logEvent(LogLevel::Info, "endpoints_booked",
             {{"request", exchange.requestId},
              {"endpoints", std::to_string(booking.jobs.size())},
              {"holders", std::to_string(placement->holders)},
              {"prompt_tokens", std::to_string(request.promptTokens)},
              {"expected_ms", fmt::format("{:.0f}", placement->firstEvent.count())},
              {"waited_ms", fmt::format("{:.0f}", FloatMillis(now - exchange.arrivedAt).count())}});
    exchange.booking = std::move(booking);
    exchange.queueDeadline
            = std::max(exchange.queueDeadline, std::min(exchange.deadline, now + kMaxBookingWait));
}

void Gateway::endBooking(Exchange &exchange, const char *reason)
{
    if (!exchange.booking)
        return;
    const TimePoint now = steadyNow();
    for (const JobId &job : exchange.booking->jobs) {
        loadTracker_.ended(job, now);
        mesh_.ended(job);
    }
    logEvent(LogLevel::Info, "booking_ended",
             {{"request", exchange.requestId},
              {"reason", reason},
              {"after_ms",
               fmt::format("{:.0f}", FloatMillis(now - exchange.booking->madeAt).count())}});
    exchange.booking.reset();
}

} // namespace cicadafork::gateway
