#pragma once

// One request of a caller on its way to an endpoint and back: its state, and the decisions on it.
//
//   Exchange exchange = ...;                      // queued
//   Recovery recovery = recoverFrom(facts);       // after an attempt failed
//
// The gateway owns the exchanges and carries the decisions out.

#include "gateway/loadtracker.h"
#include "gateway/protocol.h"
#include "gateway/reservation.h"
#include "net/server.h"
#include "net/upstream.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cicadafork::gateway {

enum class ExchangeState {
    Waiting, ///< For an endpoint; nothing of it is at one.
    Sent,    ///< At an endpoint; nothing of the answer has gone to the caller.
    Relaying ///< The head and at least one event have gone to the caller.
};

/// One sending of a request to one endpoint.
struct Attempt
{
    EndpointKey endpoint = 0;
    std::string endpointId;
    Address address;
    JobId job;
    TimePoint sentAt{};
    FloatMillis expected{0}; ///< Expected time to the first event or the answer.
    bool headSeen = false;
    bool notRun = false;
    bool streams = false; ///< The answer is relayed event by event.
    HttpResponseHead head;
    ReplyFields reply;
    std::string body; ///< Of an answer that is sent whole; else the part of an unfinished event.
    std::vector<DispatchHelper> helpers;
    std::unique_ptr<Reservation> reservation; ///< Of memory at helpers; may be null.
    std::unique_ptr<UpstreamCall> call;       ///< Null until the memory is held.
};

struct Exchange
{
    std::uint64_t id = 0;
    std::string requestId;
    std::shared_ptr<HttpServerConnection> caller;
    HttpRequest request;
    CallerFields fields;
    std::shared_ptr<const RoutingConfig> config; ///< In force when the request arrived.
    Route route;
    std::string service;
    std::string workspace;
    int priority = 0;
    TimePoint arrivedAt{};
    TimePoint objective{};
    TimePoint deadline{}; ///< The caller's or the route's, whichever is first.
    TimePoint queueDeadline{};
    TimePoint notBefore{}; ///< Of the next attempt.
    ExchangeState state = ExchangeState::Waiting;
    std::unique_ptr<Attempt> attempt;
    std::vector<EndpointKey> triedEndpoints;
    unsigned sendCount = 0;  ///< Attempts of which something may have reached an endpoint.
    bool mayHaveRun = false; ///< Some attempt did not prove that it did not run.
    bool refusedWhileFull = false;
    std::optional<std::uint64_t> lastEventId; ///< Of the last event sent to the caller.
    std::uint64_t eventsRelayed = 0;
    TimePoint lastEventAt{};
    FloatMillis longestGap{0}; ///< Between two events sent to the caller.
    TimePoint lastProgressAt{};
    asio::steady_timer timer;

    explicit Exchange(asio::io_context &context)
        : timer(context)
    {
    }
};

/// A request may be sent again after an attempt that may have run.
bool isRepeatable(const Route &route);

/// What is known when an attempt has failed.
struct FailureFacts
{
    bool repeatable = false;
    bool attemptMayHaveRun = false; ///< Of the attempt that failed.
    bool sentBefore = false;        ///< Any attempt may have run, this one included.
    bool relaying = false;          ///< Events have gone to the caller.
    unsigned sendCount = 0;
    unsigned maxEndpoints = 1;
    bool retryBudgetLeft = false;
    Millis timeLeft{0};
};

enum class Recovery {
    TryAgain,       ///< Send it to another endpoint.
    RefuseNotRun,   ///< 503: it has not run and will not.
    FailMayHaveRun, ///< 502: nothing is promised.
    AbortStream,    ///< The caller has part of the answer; the connection ends.
};

Recovery recoverFrom(const FailureFacts &facts);

/// Splits the next whole event, with its blank line, off the buffer; empty when there is none.
std::string takeEvent(std::string &buffer);

/// The id of an event; nothing when it states none.
std::optional<std::uint64_t> eventId(std::string_view event);

} // namespace cicadafork::gateway
