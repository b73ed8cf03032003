// TCP proxy with faults that are set over HTTP.

#include "common/standin.h"
#include "fault-proxy/proxy.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <cstdio>
#include <future>
#include <memory>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::standin;

namespace {

struct Link
{
    Address listen;
    Address target;
};

Address parseOrExit(const std::string &text)
{
    const auto address = capture([&] { return parseAddress(text); });
    if (address)
        return *address;
    std::fprintf(stderr, "%s; %s\n", address.error().message.c_str(),
                 address.error().remedy.c_str());
    std::exit(2);
}

std::vector<Link> linkFlags(const cxxopts::ParseResult &flags)
{
    std::vector<Link> links;
    for (const std::string &text : flags["link"].as<std::vector<std::string>>()) {
        const std::size_t equals = std::min(text.find('='), text.size() - 1);
        links.push_back(
                {parseOrExit(text.substr(0, equals)), parseOrExit(text.substr(equals + 1))});
    }
    return links;
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

void change(asio::io_context &io, std::vector<std::unique_ptr<Proxy>> &proxies, ProxyFaults &faults,
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
            for (auto &proxy : proxies) {
                if (reset)
                    proxy->resetAll();
            }
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
    options.add_options()("link",
                          "LISTEN=TARGET addresses of a forwarded link; repeated for several links "
                          "that share the faults",
                          cxxopts::value<std::vector<std::string>>());
    const auto flags = parseFlags(options, argc, argv);
    blockSignals();
    if (flags.count("link") == 0) {
        std::fprintf(stderr, "--link is required\n");
        return 2;
    }
    const std::vector<Link> links = linkFlags(flags);
    asio::io_context io;
    ProxyFaults faults;
    std::vector<std::unique_ptr<Proxy>> proxies;
    try {
        applyProxyFaults(faults, nlohmann::json::parse(flags["faults"].as<std::string>()));
        for (const Link &link : links)
            proxies.push_back(std::make_unique<Proxy>(io, link.listen, link.target, faults));
    } catch (const std::exception &problem) {
        std::fprintf(stderr, "cannot forward: %s\n", problem.what());
        return 1;
    }
    auto work = asio::make_work_guard(io);
    std::thread thread([&] { io.run(); });
    FaultGate gate;
    HttpServer server(serverOptions(flags));
    server.routes().Post("/admin/faults", [&](const auto &request, auto &response) {
        change(io, proxies, faults, request, response);
    });
    server.routes().Get("/admin/stats", [&](const auto &, auto &response) {
        std::size_t connections = 0;
        runOn(io, [&] {
            for (auto &proxy : proxies)
                connections += proxy->connections();
        });
        replyJson(response, 200, {{"connections", connections}});
    });
    const int status = serveUntilSignal(server, gate, "fault-proxy");
    runOn(io, [&] {
        for (auto &proxy : proxies)
            proxy->resetAll();
    });
    io.stop();
    thread.join();
    return status;
}
