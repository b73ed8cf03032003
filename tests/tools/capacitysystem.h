#pragma once

// The processes of one capacity measurement: platform, status-only endpoints and daemons.
//
//   CapacitySystem system({.daemons = 45, .endpoints = 75});
//   system.start();
//   const Sample before = system.sample();
//
// The daemons of the first failure domain are measured. Every further domain has one daemon, which
// is also its delegate, and listed entry VMs that do not run.

#include "logservice/logclient.h"
#include "support/network.h"
#include "support/process.h"

#include <map>
#include <memory>
#include <vector>

namespace cicadafork::test {

struct CapacityOptions
{
    std::size_t daemons = 8;   ///< In the first failure domain.
    std::size_t endpoints = 6; ///< In the first failure domain.
    std::size_t domains = 1;
    std::size_t farEndpoints = 0;   ///< In each further domain.
    std::size_t farUnreachable = 0; ///< Listed entry VMs that do not run, in each further domain.
    std::size_t workspaces = 10;
    std::size_t models = 4;
    std::size_t streams = 0; ///< Needs a real engine, which is started for them.
};

struct DaemonSample
{
    double processorSeconds = 0;
    double residentMegabytes = 0;
    std::map<std::string, double> metrics; ///< By name with labels.
};

struct Sample
{
    TimePoint at;
    std::vector<DaemonSample> daemons; ///< Of the first domain, then one of each further domain.
};

class CapacitySystem
{
public:
    explicit CapacitySystem(CapacityOptions options);
    ~CapacitySystem();

    /// Starts everything and waits until each daemon knows its peers and the configuration, or
    /// until 20 s have passed. Throws std::runtime_error when a daemon is not ready.
    void start();

    Sample sample() const;
    /// Appends one accepted change; returns the offset after it.
    Offset appendChange();
    /// Time from begin until each daemon has the offset in force; nothing for one that has not
    /// within the timeout.
    std::vector<std::optional<Millis>> timesInForce(Offset next, TimePoint begin,
                                                    Millis timeout) const;
    void killDaemons(std::size_t count);
    void restartDaemons(std::size_t count);
    /// Waits until the daemons are ready and each knows all running ones of the first domain.
    std::optional<Millis> waitUntilComplete(TimePoint begin, Millis timeout) const;

    std::size_t measured() const { return options_.daemons; }
    Address daemonAddress(std::size_t index) const { return daemons_[index].address; }

private:
    struct Node
    {
        std::string id;
        std::string domain;
        Address address;
        Address peerAddress;
        std::unique_ptr<ChildProcess> process;
    };

    std::string program(const char *name) const;
    void startPlatform();
    void startEndpoints();
    void startDaemon(Node &node);
    void publish();
    void writeConfiguration();
    std::vector<std::string> modelNames() const;
    DaemonSample sampleOf(const Node &node) const;
    bool complete(const Node &node) const;

    const CapacityOptions options_;
    std::string directory_;
    AddressPool addresses_;
    Address log_;
    Address vmList_;
    std::vector<std::unique_ptr<ChildProcess>> platform_;
    std::vector<Node> endpoints_;
    std::vector<Node> unreachable_;
    std::vector<Node> daemons_;
    std::uint64_t changes_ = 0;
};

} // namespace cicadafork::test
