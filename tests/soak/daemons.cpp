#include "soak/daemons.h"

#include "support/environment.h"

#include <fmt/format.h>
#include <linux/close_range.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace cicadafork::test {

namespace {

// The same ports on every address, as on the users' machines.
constexpr std::uint16_t kCallerPort = 20'101;
constexpr std::uint16_t kReadinessPort = 20'102;
constexpr std::uint16_t kControlPort = 20'103;
constexpr std::uint16_t kPeerPort = 20'104;
// SIGHUP switches between two sets of limits.
constexpr Millis kShutdownGrace[] = {Millis(8000), Millis(10'000)};
constexpr unsigned kRetryAllowance[] = {100, 150};

/// Ends those that have not ended.
void endAll(std::vector<Disturbance> &disturbances, std::size_t daemon, TimePoint now)
{
    for (Disturbance &disturbance : disturbances) {
        if (disturbance.daemon == daemon && disturbance.until == TimePoint::max())
            disturbance.until = now;
    }
}

} // namespace

DaemonFleet::DaemonFleet(std::string directory, SoakEvidence &evidence, DaemonFleetHooks hooks)
    : directory_(std::move(directory))
    , evidence_(evidence)
    , hooks_(std::move(hooks))
{
}

void DaemonFleet::add(const std::string &ip, const Address &store)
{
    Daemon daemon;
    daemon.number = daemons_.size();
    daemon.ip = ip;
    daemon.store = store;
    daemon.settings = fmt::format("{}/gateway-{}.yaml", directory_, daemon.number);
    daemon.log = fmt::format("{}/gateway-{}.log", directory_, daemon.number);
    daemons_.push_back(std::move(daemon));
    writeSettings(daemons_.back());
    start(daemons_.back());
}

Address DaemonFleet::callers(std::size_t daemon) const
{
    return {daemons_[daemon].ip, kCallerPort};
}

Address DaemonFleet::readiness(std::size_t daemon) const
{
    return {daemons_[daemon].ip, kReadinessPort};
}

unsigned DaemonFleet::noteConnected(std::size_t daemon)
{
    daemons_[daemon].listening = true;
    return daemons_[daemon].incarnation;
}

void DaemonFleet::writeSettings(const Daemon &daemon) const
{
    // Renamed into place, so that the daemon never reads a part of it.
    const std::string draft = daemon.settings + ".new";
    std::ofstream(draft) << fmt::format(
            R"(member: front-{0}
failure_domain: z{1}
caller_address: {2}:{3}
readiness_address: {2}:{4}
control_address: {2}:{5}
peer_address: {2}:{6}
store_address: {7}
seeds: "none,{8}:1"
retries:
  share: 0.2
  allowance: {9}
  window_s: 10
shutdown_grace_s: {10}
)",
            daemon.number, daemon.number % 2, daemon.ip, kCallerPort, kReadinessPort, kControlPort,
            kPeerPort, toString(daemon.store), daemons_.front().ip, kRetryAllowance[daemon.limits],
            kShutdownGrace[daemon.limits].count() / 1000);
    std::filesystem::rename(draft, daemon.settings);
}

void DaemonFleet::start(Daemon &daemon)
{
    evidence_.restarts.push_back({daemon.number, daemon.endedAt, steadyNow()});
    ++daemon.incarnation;
    daemon.listening = false;
    daemon.killed = false;
    daemon.shutdownAt = {};
    daemon.startAgain = {};
    daemon.wakeUp = {};
    // A daemon that inherited a connection of the stand-ins would keep it open after their close.
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    daemon.process = std::make_unique<ChildProcess>(
            binaryDirectory() + "/cicadafork",
            std::vector<std::string>{"gateway", "--settings", daemon.settings}, daemon.log);
}

void DaemonFleet::kill(Daemon &daemon)
{
    daemon.process->sendSignal(SIGKILL);
    daemon.killed = true;
    evidence_.disturbances.push_back({daemon.number, steadyNow()});
}

void DaemonFleet::disturb(const Fault &fault)
{
    Daemon &daemon = daemons_[fault.target];
    if (!daemon.process->running())
        return;
    const TimePoint now = steadyNow();
    if (fault.kind == FaultKind::Kill) {
        daemon.restartDelay = fault.duration;
        kill(daemon);
    } else if (fault.kind == FaultKind::Freeze) {
        daemon.process->sendSignal(SIGSTOP);
        daemon.wakeUp = std::max(daemon.wakeUp, now + fault.duration);
        evidence_.disturbances.push_back({daemon.number, now});
    } else if (!daemon.listening) {
        // SIGTERM and SIGHUP would end a process that does not handle signals yet.
    } else if (fault.kind == FaultKind::Terminate) {
        daemon.process->sendSignal(SIGTERM);
        daemon.restartDelay = fault.duration;
        if (daemon.shutdownAt == TimePoint{}) {
            daemon.shutdownAt = now;
            evidence_.shutdowns.push_back({daemon.number, now});
        }
    } else if (fault.kind == FaultKind::Hangup) {
        if (daemon.settingsWritten.valid())
            return;
        daemon.limits = 1 - daemon.limits;
        // A busy disk can take seconds to replace a file, which must not hold up the stand-ins.
        daemon.settingsWritten
                = std::async(std::launch::async, [this, &daemon] { writeSettings(daemon); });
    }
}

void DaemonFleet::tend(TimePoint now)
{
    for (Daemon &daemon : daemons_) {
        const bool written
                = daemon.settingsWritten.valid()
                  && daemon.settingsWritten.wait_for(Millis(0)) == std::future_status::ready;
        if (written) {
            daemon.settingsWritten.get();
            if (daemon.listening)
                daemon.process->sendSignal(SIGHUP);
        }
        if (daemon.process->running()) {
            tendRunning(daemon, now);
        } else if (daemon.startAgain == TimePoint{}) {
            noteEnd(daemon, now);
        } else if (now >= daemon.startAgain) {
            start(daemon);
            hooks_.note(fmt::format("started target={} incarnation={}", daemon.number,
                                    daemon.incarnation));
        }
    }
}

void DaemonFleet::tendRunning(Daemon &daemon, TimePoint now)
{
    if (daemon.wakeUp != TimePoint{} && now >= daemon.wakeUp) {
        daemon.process->sendSignal(SIGCONT);
        daemon.wakeUp = {};
        if (daemon.shutdownAt != TimePoint{})
            daemon.shutdownAt = now;
        if (!daemon.killed)
            endAll(evidence_.disturbances, daemon.number, now);
    }
    const bool overdue = daemon.shutdownAt != TimePoint{} && daemon.wakeUp == TimePoint{}
                         && now > daemon.shutdownAt + kShutdownGrace[1] + kAnswerMargin;
    if (overdue && !daemon.killed) {
        hooks_.broken(fmt::format("daemon {} did not end within its grace period", daemon.number));
        kill(daemon);
    }
}

void DaemonFleet::noteEnd(Daemon &daemon, TimePoint now)
{
    const int status = daemon.process->wait(Millis(0)).value_or(-1);
    hooks_.note(fmt::format("ended target={} status={}", daemon.number, status));
    const bool asked = (status == 0 && daemon.shutdownAt != TimePoint{})
                       || (status == 128 + SIGKILL && daemon.killed);
    if (!asked)
        hooks_.broken(fmt::format("daemon {} ended with {} at {}", daemon.number, status,
                                  timeOfDay(now)));
    endAll(evidence_.disturbances, daemon.number, now);
    endAll(evidence_.shutdowns, daemon.number, now);
    daemon.endedAt = now;
    daemon.startAgain = now + daemon.restartDelay;
}

} // namespace cicadafork::test
