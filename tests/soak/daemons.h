#pragma once

// The gateway processes of a soak: starts them, sends them the signals of the faults, and starts
// them again after they have ended.
//
//   DaemonFleet daemons(directory, storeAddress, evidence, {.note = ..., .broken = ...});
//   daemons.add("127.1.2.3");
//   daemons.disturb(fault);
//   daemons.tend(steadyNow()); // regularly

#include "soak/checks.h"
#include "soak/faults.h"
#include "support/process.h"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace cicadafork::test {

struct DaemonFleetHooks
{
    std::function<void(const std::string &event)> note;
    std::function<void(std::string text)> broken; ///< A promise about the processes did not hold.
};

class DaemonFleet
{
public:
    /// Settings and logs are put into the directory; disturbances, shutdowns and restarts are added
    /// to the evidence.
    DaemonFleet(std::string directory, SoakEvidence &evidence, DaemonFleetHooks hooks);

    void add(const std::string &ip, const Address &store);
    std::size_t size() const { return daemons_.size(); }
    Address callers(std::size_t daemon) const;
    Address readiness(std::size_t daemon) const;
    /// A connection was accepted; returns the incarnation of the process.
    unsigned noteConnected(std::size_t daemon);

    /// Terminate, Kill, Freeze or Hangup.
    void disturb(const Fault &fault);
    /// Ends freezes that are over, and starts processes that have ended.
    void tend(TimePoint now);

private:
    struct Daemon
    {
        std::size_t number = 0;
        std::string ip;
        Address store;
        std::string settings;
        std::string log;
        std::unique_ptr<ChildProcess> process;
        std::future<void> settingsWritten; ///< Then it gets SIGHUP.
        unsigned incarnation = 0;
        unsigned limits = 0;    ///< Set of limits in the settings file.
        bool listening = false; ///< A connection was accepted; signals are handled.
        bool killed = false;    ///< SIGKILL was sent to this incarnation.
        TimePoint shutdownAt{}; ///< SIGTERM, or the end of a freeze after it.
        TimePoint endedAt{};
        TimePoint startAgain{};
        TimePoint wakeUp{};
        Millis restartDelay{200};
    };

    void writeSettings(const Daemon &daemon) const;
    void start(Daemon &daemon);
    void kill(Daemon &daemon);
    void tendRunning(Daemon &daemon, TimePoint now);
    void noteEnd(Daemon &daemon, TimePoint now);

    std::string directory_;
    SoakEvidence &evidence_;
    DaemonFleetHooks hooks_;
    std::vector<Daemon> daemons_;
};

} // namespace cicadafork::test
