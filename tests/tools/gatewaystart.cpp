// Measures how long gateways that start together in one process take to know each other.
//
//   gatewaystart --daemons 45 --starts 50
//
// Prints a table with the distribution over the starts of the time until all daemons are ready,
// until each sees all others as alive, and until the daemons also agree on the two readers of the
// store. All daemons share one thread and one failure domain, so this is an upper limit for daemons
// that have a core of their own.

#include "base/json.h"
#include "base/log.h"
#include "gateway/gateway.h"
#include "gateway/readerrole.h"
#include "platform/headers.h"
#include "platform/orderclient.h"
#include "platform/records.h"
#include "platform/storeclient.h"
#include "support/network.h"
#include "support/platformstandin.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

constexpr Millis kPoll{5};
// For a condition that needs the dumps of all daemons, which take the time of the start.
constexpr Millis kLongPoll{50};
constexpr int kMinRunPerCheck = 4; ///< Time for the daemons after a check, in times of the check.
constexpr Millis kLimit{30'000};
constexpr unsigned kEndpoints = 20;
constexpr const char *kConfig
        = R"({"version":1,"services":[{"name":"plain"}],"tenants":[],"routes":[{"name":"r",
            "host":"h","pathPrefix":"/","kind":"safe","service":"plain","timeoutMs":1500,
            "targetLatencyMs":300,"maxAttempts":2}]})";

struct Daemon
{
    Daemon(asio::io_context &context, const GatewaySettings &settings)
        : pool(context, {})
        , calls(context, pool)
        , store(calls, settings.store)
        , orders(calls)
        , gateway(context, settings, platform::wireProtocol(), platform::storeLayout(),
                  store.calls(), orders.calls(), pool)
    {
        const auto started = capture([&] { return gateway.start(); });
        if (!started)
            throw std::runtime_error(started.error().message);
    }

    UpstreamPool pool;
    platform::HttpCallClient calls;
    platform::StoreClient store;
    platform::OrderClient orders;
    Gateway gateway;
};

/// From the start of the first daemon; kLimit if it was not reached by then.
struct StartTimes
{
    Millis ready{0};
    Millis connected{0};
    Millis rolesHeld{0};
    unsigned storeCalls = 0;
};

bool seesAll(const Daemon &daemon, std::size_t peers)
{
    const auto json = parseJson(daemon.gateway.dump());
    if (!json.contains("peers"))
        return peers == 0;
    const auto alive = std::ranges::count_if(
            json["peers"], [](const auto &peer) { return peer["alive"].template get<bool>(); });
    return static_cast<std::size_t>(alive) == peers;
}

class Fleet
{
public:
    explicit Fleet(unsigned count)
        : storeAddress_(addresses_.next())
        , store_(context_, storeAddress_)
    {
        store_.put("keyed.op", "config", kConfig);
        for (unsigned i = 0; i < kEndpoints; ++i) {
            store_.put("keyed.servers", fmt::format("e{}", i),
                       fmt::format(R"({{"service":"plain","address":"10.0.0.{}:80","zone":"east",
                           "slots":4,"state":"ready","seq":1,"born":5}})",
                                   i));
        }
        const std::uint16_t firstPort = addresses_.next().port;
        std::vector<std::string> ips;
        for (unsigned i = 0; i < count; ++i)
            ips.push_back(addresses_.next().ip);
        startedAt_ = steadyNow();
        for (unsigned i = 0; i < count; ++i) {
            GatewaySettings settings;
            settings.member = fmt::format("front-{}", i + 1);
            settings.failureDomain = "east";
            auto port = firstPort;
            for (Address *address :
                 {&settings.callers, &settings.readiness, &settings.control, &settings.peers})
                *address = {ips[i], port++};
            settings.store = storeAddress_;
            settings.seeds = {ips.front()};
            settings.retries = {0.2, 1000, Millis(10'000)};
            daemons_.push_back(std::make_unique<Daemon>(context_, settings));
        }
    }

    StartTimes measure()
    {
        StartTimes times;
        times.ready = waitForEach([](const Daemon &daemon) { return daemon.gateway.ready(); });
        times.connected = waitForEach(
                [&](const Daemon &daemon) { return seesAll(daemon, daemons_.size() - 1); });
        // No daemon has a role earlier.
        context_.restart();
        context_.run_until(startedAt_ + kRoleDelay + kLongPoll);
        times.rolesHeld = waitFor(kLongPoll, [&] { return readersAgreed(); });
        times.storeCalls = store_.calls;
        return times;
    }

private:
    Millis waitFor(Millis poll, const std::function<bool()> &condition)
    {
        for (;;) {
            const Millis time = sinceStart();
            if (time >= kLimit || condition())
                return std::min(time, kLimit);
            // The daemons wait while the condition is checked, so that it may take a part of the
            // time only.
            const Millis checked = sinceStart() - time;
            context_.restart();
            context_.run_for(std::max(poll, kMinRunPerCheck * checked));
        }
    }

    /// Asks only the first daemon for which the condition does not hold yet, since a dump of each
    /// would take more time than the start.
    Millis waitForEach(const std::function<bool(const Daemon &)> &condition)
    {
        std::size_t next = 0;
        return waitFor(kPoll, [&] {
            while (next < daemons_.size() && condition(*daemons_[next]))
                ++next;
            return next == daemons_.size();
        });
    }

    bool readersAgreed() const
    {
        unsigned primaries = 0;
        unsigned secondaries = 0;
        for (const auto &daemon : daemons_) {
            const auto role = parseJson(daemon->gateway.dump())["reader_role"].get<std::string>();
            primaries += role == toString(ReaderRole::Primary) ? 1 : 0;
            secondaries += role == toString(ReaderRole::Secondary) ? 1 : 0;
        }
        return primaries == 1 && (secondaries == 1 || daemons_.size() == 1);
    }

    Millis sinceStart() const
    {
        return std::chrono::duration_cast<Millis>(steadyNow() - startedAt_);
    }

    asio::io_context context_;
    AddressPool addresses_;
    Address storeAddress_;
    StoreStandin store_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    TimePoint startedAt_{};
};

template <class Value>
void printRow(const char *name, std::vector<Value> values)
{
    std::ranges::sort(values);
    const auto at
            = [&](std::size_t percent) { return values[(values.size() - 1) * percent / 100]; };
    fmt::print("{:<12}{:>8}{:>8}{:>8}{:>8}\n", name, at(0), at(50), at(90), at(100));
}

void run(unsigned daemons, unsigned starts)
{
    std::vector<Millis::rep> ready;
    std::vector<Millis::rep> connected;
    std::vector<Millis::rep> rolesHeld;
    std::vector<unsigned> storeCalls;
    for (unsigned i = 0; i < starts; ++i) {
        const StartTimes times = Fleet(daemons).measure();
        ready.push_back(times.ready.count());
        connected.push_back(times.connected.count());
        rolesHeld.push_back(times.rolesHeld.count());
        storeCalls.push_back(times.storeCalls);
    }
    fmt::print("{} daemons, {} starts, ms from the start; {} means not reached\n", daemons, starts,
               kLimit.count());
    fmt::print("{:<12}{:>8}{:>8}{:>8}{:>8}\n", "", "least", "median", "90 %", "most");
    printRow("ready", ready);
    printRow("connected", connected);
    printRow("roles held", rolesHeld);
    printRow("store calls", storeCalls);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("gatewaystart", "Measures how long gateways take to know each other.");
    options.add_options() //
            ("daemons", "gateways that start together",
             cxxopts::value<unsigned>()->default_value("8")) //
            ("starts", "how often they start", cxxopts::value<unsigned>()->default_value("10"));
    try {
        const auto parsed = options.parse(argc, argv);
        setLogLevel(LogLevel::Error);
        run(parsed["daemons"].as<unsigned>(), std::max(1U, parsed["starts"].as<unsigned>()));
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
    return 0;
}
