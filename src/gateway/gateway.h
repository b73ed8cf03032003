#pragma once

// Gateway daemon: accepts requests from callers and forwards them to endpoints on the users'
// platform.
//
//   Gateway gateway(context, settings, protocol, layout, storeCalls, pool);
//   if (auto started = capture([&] { return gateway.start(); }); !started)
//       return started.error();
//   context.run();
//
// Single-threaded: every member function and callback runs on the thread of the io_context. The
// decisions are made by free functions and classes without I/O (placement, exchange,
// sharedretrybudget, endpoints); this class performs the I/O.

#include "base/metrics.h"
#include "gateway/coldendpoints.h"
#include "gateway/confighistory.h"
#include "gateway/crashwatch.h"
#include "gateway/departedendpoints.h"
#include "gateway/endpoints.h"
#include "gateway/exchange.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/handover.h"
#include "gateway/limitsharers.h"
#include "gateway/mesh.h"
#include "gateway/reachwatch.h"
#include "gateway/settings.h"
#include "gateway/sharedretrybudget.h"
#include "gateway/storeera.h"
#include "gateway/storeoutage.h"
#include "gateway/topicfollower.h"
#include "net/server.h"
#include "net/upstream.h"
#include "overload/demand.h"
#include "overload/workspaceusage.h"
#include "prefixcache/prefixcache.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace cicadafork::gateway {

class Gateway
{
public:
    Gateway(asio::io_context &context, GatewaySettings settings, WireProtocol protocol,
            StoreLayout layout, StoreCalls store, OrderCalls orders, UpstreamPool &pool);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Binds all listening addresses and starts reading the store. Fails when an address cannot be
    /// bound.
    Result<void> start();

    /// Reports not ready, completes the requests in progress and calls done when none is left or
    /// shortly before the shutdown grace period ends. Requests that are left then end with an
    /// error.
    void shutDown(std::function<void()> done);

    /// Applies the settings that may change while the process runs: retries, shutdown grace, log
    /// level and placement by prefixes.
    void reload(const GatewaySettings &settings);

    /// True when a configuration and the endpoints are known and the daemon is not draining.
    bool ready() const;
    /// State of this process as JSON, for diagnostics.
    std::string dump() const;

private:
    // Callers.
    /// `terms` are those of the peer that hands the request over; absent for one of a caller.
    void onRequest(const std::shared_ptr<HttpServerConnection> &caller, HttpRequest request,
                   const std::optional<HandoverTerms> &terms);
    std::unique_ptr<Exchange> admit(const std::shared_ptr<HttpServerConnection> &caller,
                                    HttpRequest &&request,
                                    const std::optional<HandoverTerms> &terms);
    void onCallerDisconnected(std::uint64_t id);
    ServerOptions callerOptions();
    /// Logs and counts a request that does not become an exchange; returns the header fields of
    /// its answer.
    HeaderList noteRejected(const std::string &requestId, int status, const char *reason,
                            std::optional<Millis> retryAfter, bool fromPeer);
    void onCallerConnectionEnded(ConnectionEnd end, std::size_t unusedBytes);
    void onDeadline(std::uint64_t id);
    /// Ends the request unsuccessfully: aborts the stream if events have gone to the caller,
    /// answers statusIfSent if the request is at an endpoint or may have run, and refuses it with
    /// 503 otherwise.
    void endWithError(Exchange &exchange, int statusIfSent, const char *reason);
    /// Answers 503 with Retry-After.
    void refuse(Exchange &exchange, const char *reason);
    void fail(Exchange &exchange, int status, const char *reason);
    void abortStream(Exchange &exchange, const char *reason);
    /// Logs and counts the outcome and destroys the exchange on a later turn of the event loop.
    void finish(Exchange &exchange, const char *outcome, int status);

    // Endpoints.
    /// Its id, or its key if its record is not known.
    std::string nameOf(EndpointKey endpoint) const;
    /// The orders, with a look at what the endpoints state about themselves in their answers.
    OrderCalls observed(OrderCalls orders);
    /// `requestId` is empty if the answer belongs to no request.
    void noteStatement(EndpointKey endpoint, const EndpointStatement &statement,
                       const std::string &requestId);
    /// Returns false if it was known. `source` is where this daemon learned it.
    bool noteLeaving(EndpointKey endpoint, const char *source, const std::string &requestId);
    /// An endpoint has stated its limit, or none, to this daemon or to a peer.
    void noteLimit(const EndpointLimit &limit, const char *source, const std::string &requestId);
    /// The daemons that share the limits of endpoints have changed.
    void assignLimitOwners();
    /// A limit has changed.
    void assignLimitOwnersSoon();

    // Cold endpoints.
    /// Returns true if the end of its cold time has changed, and a limit depends on that.
    bool noteColdRecord(const EndpointRecord &record);
    void noteColdAnswer(EndpointKey endpoint, Millis left);
    void noteColdFromPeer(const EndpointRecord &record);
    /// The limit that the configuration sets for each cold endpoint of the service.
    std::optional<double> coldLimitOf(const std::string &service) const;
    /// Called once for all records of a message or a read, before any request is placed.
    void updateColdLimitsIfChanged();
    /// The endpoints that are cold, the configuration or the daemons that share limits have
    /// changed.
    void updateColdLimits();
    std::vector<DaemonKey> coldLimitSharers(TimePoint now);
    /// The record with the time for which the endpoint is still cold.
    EndpointRecord withColdTime(EndpointRecord record) const;

    /// False if the endpoint of the attempt or one of its helpers has said that it leaves or wants
    /// no requests.
    bool mayStart(const Attempt &attempt) const;
    /// End of the time for which the request can wait for an endpoint.
    TimePoint giveUpTime(const Exchange &exchange, TimePoint now) const;
    /// True when an endpoint was chosen. A request that can never be placed is ended with an error,
    /// so the exchange may no longer exist when this returns false.
    bool tryPlace(Exchange &exchange);
    /// Marks the endpoints that may get no request because of their limits.
    std::vector<EndpointView> withLimits(std::vector<EndpointView> views) const;
    /// The endpoints to which the request has not been sent.
    std::vector<EndpointView> untriedViews(const Exchange &exchange) const;
    std::vector<EndpointView> viewsFor(const Exchange &exchange) const;
    // Regions that routes and workspaces allow.
    /// The regions of a request that arrives. Removes what a peer has added to its head.
    static residency::AllowedRegions regionsFor(const Route &route, const Workspace *workspace,
                                                HttpRequest &request, bool fromPeer);
    /// Empty if any region may handle the request.
    DomainFilter regionFilter(const Exchange &exchange) const;
    /// Refuses a request for which no allowed region has an endpoint in service that this daemon
    /// reaches. Returns false if there is one, or if events have gone to the caller.
    bool refuseByRegion(Exchange &exchange);
    bool reachesAllowedRegion(const Exchange &exchange) const;

    /// Cost model of the engines that serve the request; null for plain calls.
    const EngineModel *engineFor(const Exchange &exchange) const;
    PlacementRequest placementRequest(const Exchange &exchange) const;
    Placement place(const Exchange &exchange) const;
    /// The placement that was booked for the request if its endpoints are free now. Gives the
    /// booking up if it cannot be used any more.
    std::optional<Placement> placeBooked(Exchange &exchange);
    /// Books endpoints for a request that waits, if it is so large that it would hardly find enough
    /// of them.
    void book(Exchange &exchange);
    void endBooking(Exchange &exchange, const char *reason);
    /// True for a request that waits for a slot. Long prompts wait for several endpoints without
    /// pending prefills, so they neither take turns with short ones nor hold them up.
    bool sharesQueue(const Exchange &exchange) const;
    /// The rank of a request among all that wait for its service.
    overload::WaitingRank rankOf(const Exchange &exchange) const;
    /// While requests of other daemons wait too, leaves the request only the endpoints at which it
    /// is its turn. Returns the number of these requests.
    unsigned restrictToTurn(const Exchange &exchange, std::vector<EndpointView> &views) const;
    /// What waits here, for the other daemons.
    std::vector<overload::ServiceDemand> ownDemands();
    /// Tells the others what waits here if they are to know.
    void tellDemands();
    /// True if requests of other daemons wait for a service for which one waits here.
    bool othersWait() const;
    void send(Exchange &exchange, const Placement &placement);
    void announceJob(const Exchange &exchange, const Placement &placement);
    void reserve(Exchange &exchange, const Placement &placement);
    /// Ends an attempt that does not use the memory reserved for it.
    void onMemoryUnused(std::uint64_t id, JobId job);
    void startCall(Exchange &exchange);
    void startCall(Exchange &exchange, HeaderList headers);
    HeadAction onHead(std::uint64_t id, JobId job, HttpResponseHead &&head);
    void onBody(std::uint64_t id, JobId job, std::string_view bytes);
    void onEnd(std::uint64_t id, JobId job, UpstreamOutcome end);
    /// Takes the attempt out of sendCount and the retry budget, because nothing of it has reached
    /// an endpoint.
    void undoSend(Exchange &exchange, const Attempt &attempt);
    /// Delays the next attempt if every endpoint that could serve the request was tried.
    void delayReconnect(Exchange &exchange);
    /// Relays the complete events that have arrived.
    void relayEvents(Exchange &exchange, Attempt &attempt);
    /// Adds the event to what goes to the caller. Returns why the attempt fails; null if it does
    /// not.
    const char *relayEvent(Exchange &exchange, Attempt &attempt, const std::string &event,
                           std::string &relayed);
    /// The same for a comment, which is held back until an event shows which attempt answers.
    static const char *relayComment(const Exchange &exchange, Attempt &attempt,
                                    const std::string &comment, std::string &relayed);
    static void noteFirstEvent(Attempt &attempt);
    void beginRelay(Exchange &exchange);
    void forwardWholeAnswer(Exchange &exchange, Attempt &attempt);
    /// The success is unsigned, or not the endpoint's whole body.
    void failInvalidAnswer(Exchange &exchange, Attempt &attempt);
    void finishRelay(Exchange &exchange, Attempt &attempt);
    /// Handles the failure of any open attempt of the request.
    void failAttempt(Exchange &exchange, Attempt &attempt, EndpointFailure failure, bool mayHaveRun,
                     const char *reason);
    /// The current attempt has failed.
    void onAttemptFailed(Exchange &exchange, EndpointFailure failure, bool mayHaveRun,
                         const char *reason);
    /// Detaches the attempt from the exchange and reports its end to the load tracker and the
    /// peers. Returns null when there is no attempt.
    std::unique_ptr<Attempt> endAttempt(Exchange &exchange);
    void noteJobEnded(const Attempt &attempt);
    FailureFacts failureFacts(const Exchange &exchange, bool attemptMayHaveRun, TimePoint now);
    /// Sends the endpoint's answer to the caller, unchanged except for hop-by-hop headers.
    void forwardAnswer(Exchange &exchange, Attempt &attempt, const char *outcome);
    void noteFirstAnswer(Exchange &exchange);
    /// The endpoint has prefilled the prompt alone, and now holds its prefixes.
    void notePrefilled(const Exchange &exchange, const Attempt &attempt, FloatMillis took);
    void armTimer(Exchange &exchange);
    /// Sends the request to another endpoint if one can take it now. The attempt stays open, until
    /// one of both has the next event or the answer, or until the deadline: a silent endpoint may
    /// be sound.
    void onSilence(Exchange &exchange);
    void noteProgress(const Exchange &exchange, Attempt &attempt);
    /// Makes the attempt the current one and ends all others.
    void settleOn(Exchange &exchange, Attempt &attempt);
    void endSilentAttempt(Exchange &exchange, const Attempt &attempt, EndpointFailure failure,
                          const char *reason);
    /// Time without progress after which another endpoint is tried.
    Millis silenceLimit(const Exchange &exchange) const;
    /// Time without progress after which this daemon finds out whether it is cut off.
    Millis reachCheckLimit(const Exchange &exchange) const;

    // Requests that are handed over because a daemon is cut off from the endpoints.
    ReachHooks reachHooks();
    void onReachChanged(const std::string &service, bool cutOff);
    static bool isHandedOver(const Exchange &exchange);
    /// The peers that the request may be handed over to; none if this daemon reaches the endpoints.
    std::vector<HandoverPeer> handoverCandidates(const Exchange &exchange) const;
    /// Hands the request over, or lets it wait for a peer to get its configuration. Returns whether
    /// it was handed over, or nothing if no peer can take it and it must be placed here.
    std::optional<bool> tryHandOver(Exchange &exchange);
    void handOver(Exchange &exchange, const std::string &peer);
    /// The terms on which a peer gets the request.
    HandoverTerms termsFor(const Exchange &exchange);
    /// The head of an answer has come from a peer, which may have answered itself.
    void noteAnswerOfPeer(Exchange &exchange, Attempt &attempt);
    /// The peer has returned the request, or has answered it, after an attempt.
    void noteAttemptsOfPeer(Exchange &exchange, const Attempt &attempt);
    ServerOptions handoverOptions();
    void onHandedOver(const std::shared_ptr<HttpServerConnection> &caller, HttpRequest request);
    HeaderList ownAnswerHeaders(const Exchange &exchange, std::optional<Millis> retryAfter) const;
    /// Adds what the peer that has handed the request over must know of its attempts.
    static void stateSends(const Exchange &exchange, HeaderList &headers);
    static void stateTried(const Exchange &exchange, HeaderList &headers);
    /// Ends a request of a peer that this daemon can do nothing for; returns false if it can.
    bool returnToPeer(Exchange &exchange);

    // Requests on which endpoints crash.
    CrashWatchHooks crashWatchHooks();
    /// Other endpoints of the service, one of each failure domain, that accept connections unless
    /// this daemon is cut off.
    std::vector<Address> witnessesFor(EndpointKey endpoint) const;
    /// The connection of the attempt ended before its answer was complete.
    void noteBrokenAnswer(const Exchange &exchange, const Attempt &attempt);
    /// The parts of the request on which endpoints may crash. Without its digest while no crash is
    /// known, since that takes time for large bodies.
    RequestParts partsOf(const HttpRequest &request, const CallerFields &fields,
                         const std::string &workspace) const;
    RequestParts partsOf(const Exchange &exchange) const;
    /// True if the request has met so many crashes that it must not meet two more at once.
    bool hasMetCrashes(const Exchange &exchange) const;
    /// False if the request is on trial and another daemon may send it, or this one sends it
    /// already. `self` is its exchange if it has one.
    bool mayTry(const RequestParts &parts, const Exchange *self) const;
    /// The addresses of this daemon and of those that are alive and do not leave, hashed.
    std::vector<std::uint64_t> daemonKeys() const;
    void onEndpointCrashed(const EndpointCrash &crash);
    void onBlockedPartsChanged(const BlockedParts &parts, bool blocked);
    /// Writes what has been blocked or unblocked to the store, if that is this daemon's task.
    void saveBlocks();
    void readBlocks(const StoreRecord &record);
    void endCrashingRequests();
    /// Ends a request with blocked parts, unless its answer is being written.
    void endCrashingRequest(Exchange &exchange);
    void refuseCrashingRequest(Exchange &exchange);
    /// Answers a request that has just arrived if it has blocked parts; returns false if not.
    bool rejectCrashingRequest(const std::shared_ptr<HttpServerConnection> &caller,
                               const HttpRequest &request, const CallerFields &fields,
                               const std::string &workspace, bool fromPeer);
    void respondToCrashingRequest(HttpServerConnection &caller, const BlockedParts &blocked,
                                  HeaderList headers);

    // Waiting requests.
    void enqueue(Exchange &exchange);
    /// Schedules another attempt to place the waiting requests; it runs earlier when a request of
    /// this daemon has freed a slot.
    void scheduleDispatch(bool ownSlotFreed = false);
    void dispatchWaiting();
    /// Number of requests for the service that wait.
    std::size_t waitingFor(const std::string &service) const;
    /// Longest time between two dispatches while requests wait.
    Millis maxDispatchDelay() const;
    /// Excludes the endpoints that the request must leave to those of other daemons, whose
    /// workspaces have used less. `waitingElsewhere` is the number of these requests. Returns the
    /// number of endpoints excluded.
    unsigned leaveToOthers(const Exchange &exchange, unsigned waitingElsewhere,
                           std::vector<EndpointView> &views) const;
    /// Counts the cost of a job of this daemon or a peer as usage of its workspace.
    void countUsage(const Job &job);
    double costOf(const Exchange &exchange) const;
    /// True if the request can no longer be on time.
    bool isLate(const Exchange &exchange, TimePoint now) const;
    Millis suggestedRetryAfter(const Exchange &exchange) const;

    // Reports of the endpoints' load to other failure domains of a large fleet, by the daemons that
    // read the store: a few of each domain.
    void armLoadReports();
    void sendLoads();

    // Configuration, endpoints, members and peers.
    void onMemberRecords(const std::vector<StoreRecord> &records);
    void onConfigSnapshot(const std::vector<StoreRecord> &records);
    void onConfigRecords(const std::vector<StoreRecord> &records);
    void noteEvacuations(const std::vector<Evacuation> &orders, const char *source);
    /// Ends the evacuations that a complete read of the store, current at `end`, did not list.
    void endUnlistedEvacuations(const std::set<std::string> &listed, const StorePosition &end);
    bool applyConfig(const std::string &text, const char *source);
    void onEndpointSnapshot(const std::vector<StoreRecord> &records);
    void onEndpointChanges(const std::vector<StoreRecord> &records);
    void applyEndpoint(const StoreRecord &record);
    /// The store no longer lists the endpoint; `last` is what is known of its last record.
    void onEndpointMissing(const std::string &id, const EndpointVersion &last,
                           std::optional<TimePoint> mayReturnUntil);
    /// Returns false if the record says nothing new because it comes from an older copy.
    bool updateEndpoint(EndpointRecord record, const char *source);
    void removeEndpoint(const std::string &id, const char *why, const EndpointVersion &last,
                        Millis goneFor = Millis(0));
    void noteEndpointChange(const std::string &id, EndpointChange change, const char *source);
    void onConfigContact(bool reached);
    void onStoreContact(bool reached);
    void onPeerChanged(const PeerInfo &peer);
    void onPeerMessage(const PeerInfo &peer);
    void onLeavingEndpoints(const std::vector<EndpointKey> &endpoints);
    void onEndpointUpdates(const PeerInfo &peer, const std::vector<EndpointUpdate> &updates);
    void onConfigChange(const PeerInfo &peer, const ConfigChange &change);
    void applyConfigChange(const ConfigChange &change, const std::string &peer);
    /// All peers are silent, so updates from the daemons that read the store may be missing: reads
    /// the store directly.
    void onIsolated();
    /// True shortly after the start, while the first reads of the store may still be answered.
    bool isBootstrapping(TimePoint now) const;
    void announceEndpointChanges();
    /// Only a few daemons of a failure domain read the store at short intervals; they pass changes
    /// on to the others.
    void updateReaderRole();
    StorePosition endpointsPosition() const;
    /// Position of the state that peers may pull: zero while some endpoints are unconfirmed.
    StorePosition sharedPosition() const;
    /// The store has come back from an older copy.
    void onNewStoreEra(std::uint64_t before, const char *source);
    void learnStoreEra(const PeerInfo &peer);
    void pullFrom(const PeerInfo &peer);
    void answerPull(const std::shared_ptr<HttpServerConnection> &caller, const std::string &target);
    std::string sharedState(std::uint64_t knownConfig, std::string_view knownGroups) const;
    void applySharedState(const std::string &bytes, const std::string &peer);
    void registerMember();
    void registerMemberAfter(Millis delay);
    bool isStoreUnavailable() const;

    void onControl(const std::shared_ptr<HttpServerConnection> &caller, const HttpRequest &request);
    Exchange *find(std::uint64_t id);
    std::size_t daemonCount() const;
    /// Daemons in this failure domain, including this one.
    std::size_t domainDaemonCount() const;
    void checkDrain();
    /// Time after the begin of a shutdown for which requests are taken. The rest of the grace
    /// period is for their answers.
    Millis lastArrivalDelay() const;

    asio::io_context &context_;
    GatewaySettings settings_;
    WireProtocol protocol_;
    StoreLayout layout_;
    StoreEra storeEra_;
    StoreCalls store_;
    OrderCalls orders_;
    UpstreamPool &pool_;
    std::uint64_t incarnation_;

    Metrics metrics_;
    GatewayMetrics counters_;
    LoadTracker loadTracker_;
    EndpointTable endpoints_;
    overload::WorkspaceUsage workspaceUsage_;
    EndpointLimits limits_;
    asio::steady_timer limitTimer_;
    bool limitTimerArmed_ = false;
    ColdEndpoints cold_;
    LimitSharers limitSharers_;
    bool coldChanged_ = false;          ///< Since the limits were last updated.
    std::set<EndpointKey> coldLimited_; ///< Those with a limit because they are cold.
    asio::steady_timer coldTimer_;
    SharedRetryBudget retryBudget_;
    PrefixCache prefixCache_;
    CrashWatch crashWatch_;
    ReachWatch reach_;
    asio::steady_timer crashTimer_;
    std::map<std::string, BlockedParts>
            unsavedBlocks_; ///< By key; their records are to be written.
    asio::steady_timer saveTimer_;
    Mesh mesh_;
    std::shared_ptr<const RoutingConfig> config_;
    ConfigHistory configs_;
    Evacuations evacuations_;
    asio::steady_timer evacuationTimer_;
    TopicFollower configFollower_;
    TopicFollower endpointFollower_;
    TopicFollower memberFollower_;
    bool endpointsKnown_ = false;
    bool storeReached_ = false;
    bool storeLost_ = false;     ///< The last read got no answer.
    bool configReached_ = false; ///< The last read of the configuration was answered.
    bool registered_ = false;    ///< The store has this daemon's own member record.
    TimePoint lastEarlyRetry_{}; ///< Last read because a peer had reached the store again.
    StoreOutage storeOutage_;
    DepartedEndpoints departed_;
    StorePosition newestPeerPosition_;
    /// Endpoints whose records disappeared around an outage of the store; kept for a while, since
    /// the records may come back.
    std::unordered_set<std::string> unconfirmedEndpoints_;
    asio::steady_timer unconfirmedTimer_;
    std::unique_ptr<UpstreamCall> pull_;
    std::string pullBody_;
    int pullStatus_ = 0;
    TimePoint lastPull_{};
    TimePoint behindSince_{};    ///< A peer has had newer state since then; unset when none has.
    TimePoint lastSeenBehind_{}; ///< Last message of a peer with newer state.
    TimePoint lastDirectConfigRead_{}; ///< For a version that no peer had delivered in time.
    TimePoint startedAt_{};
    bool isolated_ = false;
    TimePoint sharedWindow_{};    ///< Start of the current one-second window of sharedBytes_.
    std::size_t sharedBytes_ = 0; ///< Bytes of state sent to peers in the window.
    StorePosition positionFromPeers_;
    std::vector<EndpointUpdate> pendingUpdates_; ///< Read from the store, not yet sent to peers.
    bool isPrimaryReader_ = false;               ///< Role in this failure domain.
    bool announcesStoreChanges_ = false;         ///< Primary or secondary reader.
    asio::steady_timer roleTimer_;

    BodyRoom bodyRoom_;
    AsyncHttpServer callers_;
    AsyncHttpServer readiness_;
    AsyncHttpServer control_;
    AsyncHttpServer handovers_; ///< Requests that peers hand over.
    std::unique_ptr<AsyncHttpServer> metricsServer_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> exchanges_;
    std::uint64_t nextExchange_ = 0;
    std::uint32_t nextJob_ = 0;
    std::vector<std::uint64_t> waiting_;
    asio::steady_timer dispatchTimer_;
    bool dispatchScheduled_ = false;
    std::string lastDispatchedService_; ///< Of the request that was tried last.
    overload::DemandTable demands_;     ///< What waits at other daemons.
    TimePoint demandsToldAt_{};         ///< Last datagram with what waits here.
    bool toldDemands_ = false;          ///< That datagram named waiting requests.
    asio::steady_timer loadReportTimer_;
    unsigned loadReportRound_ = 0;

    bool draining_ = false;
    TimePoint drainStartedAt_{};
    std::function<void()> onDrained_;
    asio::steady_timer drainTimer_;
};

} // namespace cicadafork::gateway
