#pragma once

// Watches whether this daemon can connect to the endpoints of each service, and finds the way back.
//
//   ReachWatch watch(context, dialer, {.endpointsOf = ..., .changed = ...});
//   watch.noteNotConnected("maps", endpoint);
//   if (watch.isCutOff("maps"))
//       handOver(request);

#include "gateway/reach.h"
#include "http/address.h"
#include "net/listenprobe.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cicadafork::gateway {

struct ReachTarget
{
    ProbeCandidate candidate;
    Address address;
};

struct ReachHooks
{
    /// The ready endpoints of a service.
    std::function<std::vector<ReachTarget>(const std::string &service)> endpointsOf;
    /// The service is out of reach now, or can be reached again.
    std::function<void(const std::string &service, bool cutOff)> changed;
};

class ReachWatch
{
public:
    ReachWatch(asio::io_context &context, const Dialer &dialer, ReachHooks hooks);

    /// A call has made a new connection to an endpoint of the service.
    void noteConnected(const std::string &service);
    /// A call could not make one.
    void noteNotConnected(const std::string &service, EndpointKey endpoint);
    /// An endpoint of the service is silent.
    void noteSilence(const std::string &service);

    bool isCutOff(const std::string &service) const;
    /// The services that are out of reach.
    std::vector<std::string> cutOffServices() const;

private:
    struct Watched
    {
        explicit Watched(asio::io_context &context)
            : timer(context)
        {
        }

        Reach reach;
        std::vector<std::unique_ptr<ListenProbe>> probes;
        std::size_t pending = 0;
        bool anyListens = false;
        asio::steady_timer timer;
    };

    /// Null if the table is full.
    Watched *watched(const std::string &service);
    void probeIfNeeded(const std::string &service);
    void probe(const std::string &service);
    void onProbed(const std::string &service, ProbeResult result);
    void finishProbes(const std::string &service);

    asio::io_context &context_;
    const Dialer &dialer_;
    ReachHooks hooks_;
    std::map<std::string, std::unique_ptr<Watched>> services_;
    std::uint64_t rounds_ = 0;
};

} // namespace cicadafork::gateway
