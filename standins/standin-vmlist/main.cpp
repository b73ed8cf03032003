// Stand-in of the platform's VM list.

#include "common/standin.h"

#include <fmt/format.h>

#include <deque>
#include <mutex>

using namespace cicadafork;
using namespace cicadafork::standin;

namespace {

struct Version
{
    TimePoint visibleAt;
    nlohmann::json body;
};

struct VmListState
{
    std::mutex mutex;
    std::int64_t run = sinceEpoch(wallNow()).count();
    std::uint64_t version = 0;
    Millis lag{0};
    nlohmann::json visible = {{"version", 0}, {"vms", nlohmann::json::array()}};
    std::deque<Version> pending;
};

void replace(VmListState &list, const httplib::Request &request, httplib::Response &response)
{
    const auto body = jsonBody(request, response);
    if (!body)
        return;
    if (!body->contains("vms") || !body->at("vms").is_array())
        return replyJson(response, 400, {{"error", "the body has no array 'vms'"}});
    const std::lock_guard lock(list.mutex);
    list.pending.push_back(
            {steadyNow() + list.lag, {{"version", ++list.version}, {"vms", body->at("vms")}}});
    replyJson(response, 200, {{"version", list.version}});
}

void show(VmListState &list, const httplib::Request &request, httplib::Response &response)
{
    const std::lock_guard lock(list.mutex);
    while (!list.pending.empty() && list.pending.front().visibleAt <= steadyNow()) {
        list.visible = std::move(list.pending.front().body);
        list.pending.pop_front();
    }
    // The tag names this run too, because versions start again with it.
    const std::string tag = fmt::format("\"{}-{}\"", list.run, list.visible["version"].dump());
    response.set_header("ETag", tag);
    if (request.get_header_value("If-None-Match") == tag) {
        response.status = 304;
        return;
    }
    replyJson(response, 200, list.visible);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-vmlist", "Stand-in of the platform's VM list");
    addCommonFlags(options);
    const auto flags = parseFlags(options, argc, argv);
    blockSignals();
    FaultGate gate;
    VmListState list;
    HttpServer server(serverOptions(flags));
    installFaults(
            server, gate,
            [&](const nlohmann::json &faults) {
                const std::lock_guard lock(list.mutex);
                list.lag = Millis(faults.value("lag_ms", list.lag.count()));
            },
            flags);
    server.routes().Get("/vms", gate.guard([&](const auto &request, auto &response) {
        show(list, request, response);
    }));
    server.routes().Post("/admin/vms", [&](const auto &request, auto &response) {
        replace(list, request, response);
    });
    return serveUntilSignal(server, gate, "standin-vmlist");
}
