#pragma once

// Caller-facing HTTP (docs/design.md section 8).
//
//   Frontend frontend(settings, configStore, fleet, admission, claims, metrics, incarnation,
//   hooks); HttpServer server({.address = settings.callerAddress, .threads =
//   settings.limits.maxStreams,
//                      .maxBodyBytes = settings.limits.maxBodyBytes});
//   frontend.registerRoutes(server.routes());
//   ...
//   frontend.beginDrain();             // readiness fails, new requests get 503
//   while (!frontend.drained()) ...
//   server.stop();                     // before the frontend is destroyed
//
// A server thread serves a caller; a thread of the upstream pool runs the attempts of a request.
// Both meet in the request's StreamBuffer. Everything passed to the constructor must outlive the
// frontend.

#include "admission/admission.h"
#include "base/metrics.h"
#include "base/threadpool.h"
#include "claims/claimservice.h"
#include "config/configstore.h"
#include "frontend/callerrequest.h"
#include "frontend/holds.h"
#include "frontend/hooks.h"
#include "frontend/requesttable.h"
#include "frontend/runcontext.h"
#include "frontend/silence.h"
#include "membership/fleet.h"
#include "settings/settings.h"

#include <httplib.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cicadafork {

class Frontend
{
public:
    Frontend(const Settings &settings, const ConfigStore &configuration, Fleet &fleet,
             Admission &admission, Claims &claims, Metrics &metrics, std::string incarnation,
             FrontendHooks hooks);
    /// Cancels what is still running and joins the upstream pool.
    ~Frontend();
    Frontend(const Frontend &) = delete;
    Frontend &operator=(const Frontend &) = delete;

    /// Adds the caller routes, and problem objects for errors that the library itself answers.
    /// Ends the requests that wait for an endpoint of a stopped service. Those at an endpoint
    /// finish.
    void endStopped(const Configuration &configuration);

    void registerRoutes(httplib::Server &server);

    /// New requests get 503 from now on; those in progress continue.
    void beginDrain() { draining_ = true; }
    /// True while new requests are accepted; the daemon adds its own conditions.
    bool accepting() const { return !draining_; }
    /// No request is in progress. Cancels that are still sent to engines are not counted.
    bool drained() const { return table_.size() == 0; }

    /// Requests in progress, for operators.
    std::vector<RequestView> requests(TimePoint now) const { return table_.views(now); }

    /// Interrupts attempts at endpoints that give no sign of life; they are resumed, repeated, or
    /// fail definitely. Call on each tick with the age of each endpoint's last status report.
    void breakOffSilent(const std::map<std::string, Millis> &reportAges, TimePoint now);

private:
    void complete(const httplib::Request &request, httplib::Response &response,
                  CompletionForm form);
    void callService(const httplib::Request &request, httplib::Response &response);
    void listModels(const httplib::Request &request, httplib::Response &response);
    void showRequest(const httplib::Request &request, httplib::Response &response);

    Checked<CallerContext> admitCaller(const httplib::Request &request) const;
    /// Adds the request to the table; nothing and a problem written when that fails.
    std::shared_ptr<ActiveRequest> begin(const CallerContext &caller, const Service &service,
                                         const std::string &model, std::uint64_t promptTokens,
                                         bool nonRepeatable, httplib::Response &response);
    void startModelRun(const std::shared_ptr<ActiveRequest> &request, const CallerContext &caller,
                       CompletionBody body);
    void reject(const httplib::Request &request, httplib::Response &response, Problem problem);

    const Settings &settings_;
    const ConfigStore &configuration_;
    const FrontendHooks hooks_;
    FrontendCounters counters_;
    HoldKeeper holds_;
    RunContext context_;
    RequestTable table_;
    SilenceWatchState silence_; ///< Only the thread that ticks uses it.
    std::atomic<bool> draining_{false};
    ThreadPool upstream_;
};

} // namespace cicadafork
