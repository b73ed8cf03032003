// TCP proxy with faults that are set over HTTP.

#include "common/standin.h"
#include "fault-proxy/proxy.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include <cstdio>
#include <future>

using namespace cicadafork;
using namespace cicadafork::standin;

namespace {

Address addressFlag(const cxxopts::ParseResult &flags, const char *name)
{
    const auto address = capture([&] { return parseAddress(flags[name].as<std::string>()); });
    if (address)
        return *address;
    std::fprintf(stderr, "--%s: %s; %s\n", name, address.error().message.c_str(),
                 address.error().remedy.c_str());
    std::exit(2);
}

// Runs a function on the proxy's thread and waits for it.
template <class Function>
void runOn(asio::io_context &io, Function function)
{
    std::promise<void> done;
    asio::post(io, [&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

void change(asio::io_context &io, Proxy &proxy, ProxyFaults &faults,
            const httplib::Request &request, httplib::Response &response)
{
    const auto body = jsonBody(request, response);
    if (!body)
        return;
    ProxyFaults next;
    runOn(io, [&] { next = faults; });
    try {
        applyProxyFaults(next, *body);
        const bool reset = body->value("reset", false);
        runOn(io, [&] {
            faults = next;
            if (reset)
                proxy.resetAll();
        });
        replyJson(response, 200, nlohmann::json::object());
    } catch (const std::exception &problem) {
        replyJson(response, 400, {{"error", problem.what()}});
    }
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("fault-proxy", "TCP proxy that disturbs a link; --listen is the "
                                            "address of POST /admin/faults");
    addCommonFlags(options);
    options.add_options()("proxy-listen", "address that clients connect to",
                          cxxopts::value<std::string>())(
            "target", "address that connections are forwarded to", cxxopts::value<std::string>());
    const auto flags = parseFlags(options, argc, argv);
    blockSignals();
    if (flags.count("proxy-listen") == 0 || flags.count("target") == 0) {
        std::fprintf(stderr, "--proxy-listen and --target are required\n");
        return 2;
    }
    const Address listen = addressFlag(flags, "proxy-listen");
    const Address target = addressFlag(flags, "target");
    asio::io_context io;
    ProxyFaults faults;
    std::unique_ptr<Proxy> proxy;
    try {
        applyProxyFaults(faults, nlohmann::json::parse(flags["faults"].as<std::string>()));
        proxy = std::make_unique<Proxy>(io, listen, target, faults);
    } catch (const std::exception &problem) {
        std::fprintf(stderr, "%s: %s\n", toString(listen).c_str(), problem.what());
        return 1;
    }
    auto work = asio::make_work_guard(io);
    std::thread thread([&] { io.run(); });
    FaultGate gate;
    HttpServer server(serverOptions(flags));
    server.routes().Post("/admin/faults", [&](const auto &request, auto &response) {
        change(io, *proxy, faults, request, response);
    });
    server.routes().Get("/admin/stats", [&](const auto &, auto &response) {
        std::size_t connections = 0;
        runOn(io, [&] { connections = proxy->connections(); });
        replyJson(response, 200, {{"connections", connections}});
    });
    const int status = serveUntilSignal(server, gate, "fault-proxy");
    runOn(io, [&] { proxy->resetAll(); });
    io.stop();
    thread.join();
    return status;
}
