#pragma once

// The daemon of an entry VM: owns all modules and their threads.
//
//   Daemon daemon(settings);
//   auto started = capture([&] { return daemon.start(); });
//   ... wait for SIGTERM ...
//   daemon.shutDown(); // returns when no request is in progress
//
// Threads: the HTTP server's pool, the frontend's upstream pool, the control thread (tick), the
// RPC loop, one thread each for the VM list, the log reader and the repair of the configuration,
// and small pools for calls to members and endpoints. No thread waits for another one's I/O.

#include "admission/queueadmission.h"
#include "base/metrics.h"
#include "claims/logclaims.h"
#include "config/logconfigstore.h"
#include "daemon/countedplatform.h"
#include "daemon/endpointcare.h"
#include "daemon/membercalls.h"
#include "daemon/observedfleet.h"
#include "daemon/operatorroutes.h"
#include "daemon/streamdirectory.h"
#include "frontend/frontend.h"
#include "http/server.h"
#include "logservice/vmlist.h"
#include "membership/statuspoller.h"
#include "peer/configsync.h"
#include "peer/heartbeats.h"
#include "peer/peerserver.h"
#include "routing/prefixindex.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <thread>

namespace cicadafork {

class Daemon
{
public:
    explicit Daemon(Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Binds both addresses and starts all threads. Fails with Unavailable.
    Result<void> start();

    /// Fails readiness, waits for the requests in progress, then stops everything.
    void shutDown();

private:
    LogClaimsSettings claimsSettings() const;
    FrontendHooks frontendHooks();
    PeerHandlers peerHandlers();
    OperatorHooks operatorHooks();
    OperatorRouteHooks routeHooks();

    void scheduleTick();
    void tick(TimePoint now);
    void updatePools();
    void breakOffSilent(TimePoint now);
    void runVmList();
    void startThreads();
    void stopThreads();

    ResultTable localRows(Subject subject);
    ResultTable explainLocally(const std::string &requestId);
    /// Peers and this daemon.
    std::vector<PeerView> allMembers(TimePoint now) const;
    Expected<std::string> answerQuery(const std::string &text);
    Verdict previewCommand(const Command &command) const;
    nlohmann::json dump();
    std::optional<std::string> notReadyReason() const;
    void updateGauges();
    void updateTableGauges(TimePoint now);

    const Settings settings_;
    const std::string incarnation_;
    Metrics metrics_;
    HttpLogClient log_;
    CountedLog countedLog_;
    HttpVmListClient vmList_;
    FleetTable fleet_;
    LogConfigStore store_;
    OutlierDetector outliers_;
    ObservedFleet observedFleet_;
    PrefixIndex prefixes_;
    QueueAdmission admission_;
    StreamDirectory directory_;
    PeerLoop loop_;
    PeerClient client_;
    MemberCalls calls_;
    LogClaims claims_;
    CountedClaims countedClaims_;
    Frontend frontend_;
    OperatorService operatorService_;
    OperatorRoutes operatorRoutes_;
    HttpServer server_;
    PeerServer peerServer_;
    ConfigSync sync_;
    Heartbeats heartbeats_;
    StatusPoller poller_;
    EndpointCare care_;
    asio::thread_pool endpointPool_;

    asio::io_context control_;
    asio::steady_timer tickTimer_{control_};
    TimePoint nextSlowTick_{}; ///< Used by the control thread only.
    std::thread controlThread_;
    std::thread vmListThread_;
    std::thread readerThread_;
    std::thread repairThread_;
    std::thread warmUpThread_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> started_{false};
    prometheus::Histogram &tickTime_;
};

} // namespace cicadafork
