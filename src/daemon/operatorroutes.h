#pragma once

// HTTP routes for operators and monitoring: /v1/operator, /debug/dump, /metrics, /healthz, /readyz.
//
//   OperatorRoutes routes(settings, service, metrics, {...});
//   routes.registerRoutes(server.routes());
//
// /metrics, /healthz and /readyz need no credential: they carry no data of a workspace.

#include "base/metrics.h"
#include "query/operatorservice.h"
#include "settings/settings.h"

#include <httplib.h>

#include <functional>
#include <optional>
#include <string>

namespace cicadafork {

struct OperatorRouteHooks
{
    std::function<nlohmann::json()> dump;
    /// Nothing when the daemon is ready, else the reason.
    std::function<std::optional<std::string>()> notReadyReason;
    /// Sets gauges before the metrics are read.
    std::function<void()> updateGauges;
};

class OperatorRoutes
{
public:
    OperatorRoutes(const Settings &settings, OperatorService &service, Metrics &metrics,
                   OperatorRouteHooks hooks);

    void registerRoutes(httplib::Server &server);

private:
    bool authorized(const httplib::Request &request, httplib::Response &response) const;
    void runStatement(const httplib::Request &request, httplib::Response &response);

    const Settings &settings_;
    OperatorService &service_;
    Metrics &metrics_;
    OperatorRouteHooks hooks_;
};

} // namespace cicadafork
