#pragma once

// Notices that endpoints crash, and tells which requests must be kept away from them.
//
//   CrashWatch watch(context, {.crashed = ..., .cleared = ..., .blockedChanged = ...});
//   watch.noteBroken(endpoint, address, {parts, sentAt}, progress);
//   if (watch.findBlocked(parts))
//       refuse(request);
//
// An answer that breaks off is no proof of a crash, so the endpoint is then asked for a connection.
// Only if it refuses one has it crashed, and only if the daemon is not cut off: another endpoint of
// the service must accept a connection, or no peer may reach the service.

#include "gateway/crashevidence.h"
#include "http/address.h"
#include "net/listenprobe.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cicadafork::gateway {

/// How far an endpoint was with a request when the answer broke off; the likeliest to have caused a
/// crash comes first.
enum class AnswerProgress { Begun, NotBegun, EventsSent };

struct CrashWatchHooks
{
    /// An endpoint of which this daemon had requests has crashed, or further suspects of a crash
    /// are known.
    std::function<void(const EndpointCrash &)> crashed;
    /// Parts that were suspected until now have proved sound at this daemon.
    std::function<void(const RequestParts &)> cleared;
    std::function<void(const BlockedParts &, bool blocked)> blockedChanged;
    /// Addresses of other endpoints of the service that should accept a connection.
    std::function<std::vector<Address>(EndpointKey)> witnesses;
    /// True if a peer reaches the service of the endpoint.
    std::function<bool(EndpointKey)> peersReach;
};

class CrashWatch
{
public:
    CrashWatch(asio::io_context &context, const Dialer &dialer, CrashWatchHooks hooks);

    /// The connection of a request ended before its answer was complete.
    void noteBroken(EndpointKey endpoint, const Address &address, const SentSuspect &request,
                    AnswerProgress progress);
    /// An answer on these parts has ended well.
    void noteCompleted(const RequestParts &parts);
    /// A request was refused because of the blocked parts.
    void noteRefused(const BlockedParts &blocked);

    /// From peers.
    void noteCrash(EndpointCrash crash);
    void noteCleared(const RequestParts &parts, TimePoint at);

    /// The blocked parts that a request with these parts has, or null.
    const BlockedParts *findBlocked(const RequestParts &parts) const;
    /// True if a crash is known.
    bool knowsCrashes() const { return !evidence_.crashes.empty(); }
    /// Number of crashes that count against the request as a whole.
    unsigned crashesOf(const RequestParts &parts) const;
    /// The part of a request with these parts that is on trial, or null.
    const RequestPart *findOnTrial(const RequestParts &parts) const;
    const RequestParts &onTrial() const { return evidence_.onTrial; }
    const std::vector<BlockedParts> &blocked() const { return evidence_.blocked; }
    const CrashEvidence &evidence() const { return evidence_; }
    std::vector<EndpointCrash> crashesToRepeat() const;
    /// Forgets what is no longer needed.
    void expire();

private:
    struct Suspect
    {
        AnswerProgress progress;
        SentSuspect request;
    };
    /// An endpoint at which an answer has broken off.
    struct Suspicion
    {
        explicit Suspicion(asio::io_context &context)
            : timer(context)
        {
        }

        Address address;
        TimePoint since{};
        std::vector<Suspect> suspects;
        bool confirmed = false;
        unsigned probes = 0;
        std::unique_ptr<ListenProbe> probe;
        std::vector<std::unique_ptr<ListenProbe>> witnesses;
        std::size_t pendingWitnesses = 0;
        asio::steady_timer timer;
    };

    void probe(EndpointKey endpoint);
    void onProbed(EndpointKey endpoint, ProbeResult result);
    void askWitnesses(EndpointKey endpoint);
    void onWitness(EndpointKey endpoint, ProbeResult result);
    void confirmUnlessCutOff(EndpointKey endpoint);
    void confirm(EndpointKey endpoint);
    void report(EndpointKey endpoint);
    /// Runs the step after a delay, unless the suspicion has ended by then.
    void schedule(EndpointKey endpoint, Millis delay, std::function<void()> step);
    /// Applies a change of the evidence and tells what it blocks or unblocks.
    void change(const std::function<void()> &apply);

    asio::io_context &context_;
    const Dialer &dialer_;
    CrashWatchHooks hooks_;
    CrashEvidence evidence_;
    std::unordered_map<EndpointKey, std::unique_ptr<Suspicion>> suspicions_;
};

} // namespace cicadafork::gateway
