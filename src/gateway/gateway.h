#pragma once

// The daemon that stands between callers and endpoints on the users' platform.
//
//   Gateway gateway(context, settings, protocol, layout, storeCalls, pool);
//   if (auto started = capture([&] { return gateway.start(); }); !started)
//       return started.error();
//   context.run();
//
// All of it runs on one thread. Decisions are in placement, exchange, sharedbudget and endpoints;
// this class carries them out.

#include "base/metrics.h"
#include "gateway/confighistory.h"
#include "gateway/endpoints.h"
#include "gateway/exchange.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/mesh.h"
#include "gateway/settings.h"
#include "gateway/sharedretrybudget.h"
#include "gateway/storeoutage.h"
#include "gateway/topicfollower.h"
#include "net/server.h"
#include "net/upstream.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
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

    /// Binds all addresses and begins to read the store.
    Result<void> start();

    /// Leaves the rotation, finishes what is in progress and calls done when nothing is left, or
    /// when the grace period ends.
    void shutDown(std::function<void()> done);

    /// Takes settings that may change while the process runs.
    void reload(const GatewaySettings &settings);

    bool ready() const;
    /// State of this process as JSON.
    std::string dump() const;

private:
    // Callers.
    void onRequest(const std::shared_ptr<HttpServerConnection> &caller, HttpRequest request);
    std::unique_ptr<Exchange> admit(const std::shared_ptr<HttpServerConnection> &caller,
                                    HttpRequest &&request);
    void onCallerGone(std::uint64_t id);
    void onDeadline(std::uint64_t id);
    /// Ends the request with its final answer: a stream that has begun breaks off, one that may
    /// have run fails with the status, any other is refused.
    void endWithError(Exchange &exchange, int statusIfSent, const char *reason);
    void refuse(Exchange &exchange, const char *reason);
    void fail(Exchange &exchange, int status, const char *reason);
    void abortStream(Exchange &exchange, const char *reason);
    void finish(Exchange &exchange, const char *outcome, int status);

    // Endpoints.
    bool tryPlace(Exchange &exchange);
    std::vector<EndpointView> viewsFor(const Exchange &exchange) const;
    /// The cost model of the endpoints that a request needs; null for plain calls.
    const EngineModel *engineFor(const Exchange &exchange) const;
    PlacementRequest placementRequest(const Exchange &exchange) const;
    Placement place(const Exchange &exchange) const;
    void send(Exchange &exchange, const Placement &placement);
    void announceJob(const Exchange &exchange, const Placement &placement);
    void reserve(Exchange &exchange, const Placement &placement);
    void startCall(Exchange &exchange);
    HeadAction onHead(std::uint64_t id, HttpResponseHead &&head);
    void onBody(std::uint64_t id, std::string_view bytes);
    void onEnd(std::uint64_t id, UpstreamOutcome end);
    /// Nothing of the attempt has reached an endpoint.
    void undoSend(Exchange &exchange);
    void relayEvents(Exchange &exchange);
    void beginRelay(Exchange &exchange);
    void forwardWholeAnswer(Exchange &exchange);
    void finishRelay(Exchange &exchange);
    void onAttemptFailed(Exchange &exchange, EndpointFailure failure, bool mayHaveRun,
                         const char *reason);
    /// Takes the attempt off the exchange and tells the load board and the peers; null without one.
    std::unique_ptr<Attempt> endAttempt(Exchange &exchange);
    /// The endpoint's answer becomes the caller's, unchanged.
    void forwardAnswer(Exchange &exchange, Attempt &attempt, const char *outcome);
    void noteFirstAnswer(Exchange &exchange);
    void armTimer(Exchange &exchange);
    Millis silenceLimit(const Exchange &exchange) const;

    // Waiting requests.
    void enqueue(Exchange &exchange);
    /// Looks at the waiting requests again; sooner when a slot was freed by a request of ours.
    void scheduleDispatch(bool ownSlot = false);
    void dispatchWaiting();
    Millis suggestedRetryAfter(const Exchange &exchange) const;

    // Knowledge.
    void onMemberRecords(const std::vector<StoreRecord> &records);
    void onConfigRecords(const std::vector<StoreRecord> &records);
    bool applyConfig(const std::string &text, const char *source);
    void onEndpointSnapshot(const std::vector<StoreRecord> &records);
    void onEndpointChanges(const std::vector<StoreRecord> &records);
    void applyEndpoint(const std::string &id, const std::optional<std::string> &value);
    void removeEndpoint(const std::string &id, const char *why);
    void noteEndpointChange(const std::string &id, EndpointChange change, const char *source);
    void onStoreContact(bool reached);
    void onPeerChanged(const PeerInfo &peer);
    void onPeerHeard(const PeerInfo &peer);
    void onEndpointUpdates(const PeerInfo &peer, const std::vector<EndpointUpdate> &updates);
    void onConfigChange(const PeerInfo &peer, const ConfigChange &change);
    void applyConfigChange(const ConfigChange &change, const std::string &peer);
    /// May be cut off from all peers, and so from the readers: reads the store itself.
    void onIsolated();
    /// The first reads of the store are still to be expected.
    bool isBootstrapping(TimePoint now) const;
    void announceEndpointChanges();
    /// Few daemons of a failure domain read the store often and tell the others.
    void updateReaderRole();
    std::uint64_t endpointsPosition() const;
    std::uint64_t sharedPosition() const; ///< As peers are told it.
    void pullFrom(const PeerInfo &peer);
    void answerPull(const std::shared_ptr<HttpServerConnection> &caller, const std::string &target);
    std::string sharedState(std::uint64_t knownConfig, std::string_view knownGroups) const;
    void applySharedState(const std::string &bytes, const std::string &peer);
    void registerMember();
    bool isStoreUnavailable() const;

    void onControl(const std::shared_ptr<HttpServerConnection> &caller, const HttpRequest &request);
    Exchange *find(std::uint64_t id);
    std::size_t daemons() const;
    void drainStep();

    asio::io_context &context_;
    GatewaySettings settings_;
    WireProtocol protocol_;
    StoreLayout layout_;
    StoreCalls store_;
    OrderCalls orders_;
    UpstreamPool &pool_;
    std::uint64_t incarnation_;

    Metrics metrics_;
    GatewayMetrics counters_;
    LoadTracker loadTracker_;
    EndpointTable endpoints_;
    SharedRetryBudget retryBudget_;
    Mesh mesh_;
    std::shared_ptr<const RoutingConfig> config_;
    ConfigHistory configs_;
    TopicFollower configFollower_;
    TopicFollower endpointFollower_;
    TopicFollower memberFollower_;
    bool endpointsKnown_ = false;
    bool storeReached_ = false;
    bool storeLost_ = false; ///< Tried and not reached.
    StoreOutage storeOutage_;
    std::uint64_t newestPeerPosition_ = 0;
    /// Endpoints whose records vanished around an outage of the store; kept until they may be back.
    std::unordered_set<std::string> unconfirmedEndpoints_;
    asio::steady_timer unconfirmedTimer_;
    std::unique_ptr<UpstreamCall> pull_;
    std::string pullBody_;
    int pullStatus_ = 0;
    TimePoint lastPull_{};
    TimePoint missingSince_{}; ///< A peer knows more since then; unset when nothing is missing.
    TimePoint missingLastSeen_{};
    TimePoint lastOwnRead_{}; ///< Of a version that no peer handed over.
    TimePoint startedAt_{};
    bool isolated_ = false;
    TimePoint sharedWindow_{}; ///< Second in which sharedBytes_ were handed to peers.
    std::size_t sharedBytes_ = 0;
    std::uint64_t positionFromPeers_ = 0;
    std::vector<EndpointUpdate> unsentUpdates_; ///< Read from the store and not yet told to peers.
    bool isPrimaryReader_ = true;               ///< Of its failure domain.
    bool announcesStoreChanges_ = true;         ///< Among the first readers.

    AsyncHttpServer callers_;
    AsyncHttpServer readiness_;
    AsyncHttpServer control_;
    std::unique_ptr<AsyncHttpServer> metricsServer_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> exchanges_;
    std::uint64_t nextExchange_ = 0;
    std::uint32_t nextJob_ = 0;
    std::vector<std::uint64_t> waiting_;
    asio::steady_timer dispatchTimer_;
    bool dispatchScheduled_ = false;

    bool draining_ = false;
    TimePoint drainBegan_{};
    std::function<void()> drained_;
    asio::steady_timer drainTimer_;
};

} // namespace cicadafork::gateway
