#pragma once

// State of one caller's request from its arrival to its answer, and the decision on what to do
// after a failed attempt.
//
//   Recovery recovery = recoverFrom(facts);       // after an attempt failed
//
// The gateway owns the exchanges and acts on the decisions.

#include "gateway/eventbuffer.h"
#include "gateway/loadtracker.h"
#include "gateway/placement.h"
#include "gateway/protocol.h"
#include "gateway/reservation.h"
#include "net/server.h"
#include "net/upstream.h"
#include "prefixcache/prefixcache.h"
#include "residency/residency.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadafork::gateway {

enum class ExchangeState {
    Waiting, ///< Waits for an endpoint; no attempt is in progress.
    Sent,    ///< An attempt is in progress; nothing of an answer has gone to the caller.
    Relaying ///< The head has gone to the caller, and the events that have arrived so far.
};

/// One sending of a request to one endpoint.
struct Attempt
{
    EndpointKey endpoint = 0; ///< 0 if a peer has the request.
    std::string peer;         ///< IP address of the peer it is handed over to; empty if to none.
    std::vector<EndpointKey> helperKeys;
    std::string endpointId;
    Address address;
    JobId job;
    TimePoint sentAt{};
    /// It is written before this time or not at all.
    TimePoint sendBy = TimePoint::max();
    FloatMillis expected{0};        ///< Expected time to the first event or the answer.
    PrefixUse prefixUse;            ///< Empty unless prefixes are observed.
    FloatMillis prefixSaving{0};    ///< Expected saving by a held prefix; not part of `expected`.
    std::uint64_t prefixTokens = 0; ///< Expected to be saved.
    bool headSeen = false;
    bool notRun = false;  ///< The endpoint states that it did not run the request.
    bool streams = false; ///< The answer is relayed event by event.
    /// Why a success cannot be the endpoint's whole body; null if nothing shows that.
    const char *bodyFault = nullptr;
    /// The endpoint has made no progress for longer than expected. The attempt goes on, since a
    /// sound endpoint may pause, but it is replaced as soon as another endpoint can take over.
    bool silent = false;
    TimePoint nextSilenceCheck{};
    bool reachChecked = false;  ///< The way to the endpoints was asked for, as nothing came.
    TimePoint lastProgressAt{}; ///< Time of the send, or of the last event or bytes of a whole
                                ///< answer.
    TimePoint firstEventAt{};   ///< Unset until the endpoint has sent a whole event.
    unsigned events = 0;        ///< Whole events that the endpoint has sent, without comments.
    std::string comments;       ///< Those that go to the caller with the next event.
    HttpResponseHead head;
    ReplyFields reply;
    std::string body;          ///< The whole answer; empty if it is a stream.
    EventBuffer pendingEvents; ///< What has arrived of a stream and is not relayed.
    std::vector<DispatchHelper> helpers;
    std::unique_ptr<Reservation> reservation; ///< Memory at helpers; null if none is needed.
    std::unique_ptr<UpstreamCall> call;       ///< Null until the memory is reserved.
};

/// Endpoints that are kept free until a large prompt can use them together.
struct Booking
{
    Placement placement;
    std::vector<JobId> jobs; ///< One for each endpoint; they count as load at all daemons.
    TimePoint madeAt{};
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
    /// Where it may be handled, by the configuration in force when it arrived at its first daemon.
    residency::AllowedRegions residency;
    std::uint32_t workspaceKey = 0; ///< Hash of the workspace's name; 0 for none.
    int priority = 0;
    TimePoint arrivedAt{};
    TimePoint objective{};     ///< A first event after this time counts as late.
    TimePoint deadline{};      ///< The caller's or the route's, whichever is earlier.
    TimePoint queueDeadline{}; ///< The request ends if no endpoint has taken it by then.
    std::optional<Booking> booking;
    unsigned queuedAfterSends = 0; ///< Value of sendCount for which queueDeadline was set.
    TimePoint notBefore{};         ///< Earliest time of the next attempt.
    Millis reconnectDelay{0};      ///< The last one after no endpoint could be connected to.
    ExchangeState state = ExchangeState::Waiting;
    std::unique_ptr<Attempt> attempt;
    /// Attempts at silent endpoints that `attempt` is to replace, the newest last. They stay open
    /// until one of all of them has the next event or the answer.
    std::vector<std::unique_ptr<Attempt>> silentAttempts;
    std::vector<EndpointKey> triedEndpoints;
    std::vector<std::string> triedPeers;     ///< IP addresses; without those of answeringPeers.
    std::vector<std::string> answeringPeers; ///< Those that have returned it after an attempt.
    /// Those that turned the request away, as they lack the configuration it was accepted with.
    std::vector<std::string> peersBehind;
    bool fromPeer = false;         ///< A peer has handed it over.
    unsigned retriesOfLender = 0;  ///< Attempts that the peer can make if it gets it back.
    bool lenderReadsTried = false; ///< The peer is told which endpoints were tried.
    bool refusedByPeer = false;
    std::optional<Millis> peerRetryAfter; ///< What the peer that refused it has said.
    unsigned sendCount = 0;  ///< Attempts of which something may have reached an endpoint.
    bool mayHaveRun = false; ///< True after a failed attempt that is not known not to have run.
    bool refusedWhileFull = false;
    std::optional<std::uint64_t> lastEventId; ///< Of the last event sent to the caller.
    std::uint64_t eventsRelayed = 0;
    TimePoint lastEventAt{};
    FloatMillis longestGap{0}; ///< Longest time between two events sent to the caller.
    asio::steady_timer timer;

    explicit Exchange(asio::io_context &context)
        : timer(context)
    {
    }
};

/// The open attempt with this job, or null.
Attempt *findAttempt(Exchange &exchange, const JobId &job);

/// True when the request has an open attempt at the endpoint.
bool isOpenAt(const Exchange &exchange, EndpointKey endpoint);

/// True when the request may be sent again after an attempt that may have run.
bool isRepeatable(const Route &route);

/// Input of recoverFrom(): what is known when an attempt has failed.
struct FailureFacts
{
    bool repeatable = false;
    bool attemptMayHaveRun = false;    ///< The attempt that failed may have run.
    bool anyAttemptMayHaveRun = false; ///< It or an earlier attempt may have run.
    bool relaying = false;             ///< Events have gone to the caller.
    unsigned sendCount = 0;
    unsigned maxEndpoints = 1;
    bool retryBudgetLeft = false;
    Millis timeLeft{0};
    bool crashesEndpoints = false; ///< Endpoints crash on it or on a part of its prompt.
    bool refusedByPeer = false;    ///< A peer that reaches the endpoints has no room for it.
    bool suspected = false; ///< The failed attempt may be another crash of several that it caused.
};

enum class Recovery {
    Retry,          ///< Send it to another endpoint.
    RefuseNotRun,   ///< Answer 503: it has not run and will not.
    FailMayHaveRun, ///< Answer 502: it may have run.
    AbortStream,    ///< Close the connection: the caller has received part of the answer.
};

Recovery recoverFrom(const FailureFacts &facts);

/// Input of endOfWait() and callerLeavesAt(): a request for which no endpoint is free.
struct WaitFacts
{
    bool stream = false;
    bool relaying = false; ///< Events have gone to the caller.
    Millis objective{0};
    Millis maxEventGap{0};
    TimePoint arrivedAt{};
    TimePoint deadline = TimePoint::max();
};

/// When the caller leaves if nothing of the answer has reached it by then.
TimePoint callerLeavesAt(const WaitFacts &facts, TimePoint now);

/// End of the time for which a request that begins to wait now may wait for an endpoint. A request
/// whose answer has not begun is refused before its caller leaves.
TimePoint endOfWait(const WaitFacts &facts, TimePoint now);

/// True if the event consists of comments.
bool isComment(std::string_view event);

/// True if every line of the event is a field or a comment. Other lines are bytes of a framing that
/// was not recognized, such as the sizes of chunks.
bool isWellFormedEvent(std::string_view event);

/// Numeric id of a server-sent event; nullopt when it has none.
std::optional<std::uint64_t> eventId(std::string_view event);

} // namespace cicadafork::gateway
