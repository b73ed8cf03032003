#pragma once

// A small system on loopback: platform, engines, services and daemons in three failure domains.
//
//   TestCluster cluster({.engines = 3, .services = 1, .daemons = 3});
//   cluster.start();
//   cluster.setFaults(cluster.log(), {{"outage", true}});
//   cluster.daemon(0).process->sendSignal(SIGKILL);

#include "http/address.h"
#include "support/network.h"
#include "support/process.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cicadafork::test {

struct ClusterOptions
{
    std::size_t engines = 3;
    std::size_t services = 0;
    std::size_t daemons = 0;
    double timeScale = 1;
    std::string engineService = "report-writer"; ///< Service name of the engines in the VM list.
    std::string plainService = "gate-calls";
    std::vector<std::string> engineFlags = {}; ///< Added to every engine.
    /// Connections of each engine. The default suits integration tests; the engine's own default of
    /// 1,300 would cost each engine memory.
    std::string engineThreads = "160";
    /// Connections of each plain service, log, VM list and weight store. A silent stand-in holds
    /// one for every call that it does not answer, and its admin calls need one too.
    std::string otherThreads = "256";
    /// Links with a fault-proxy: names of members, for example "log", "vmlist", "engine-1". Clients
    /// then get the address of the proxy.
    std::vector<std::string> proxied = {};
    /// Puts a fault-proxy on every path between two failure domains and from each domain to the
    /// platform. Each domain then has a VM list of its own that names the proxies.
    bool domainLinks = false;
    /// Put into every daemon's settings file: sections limits, timing and routing.
    std::string extraSettings = {};
    std::string operatorCredentialSha256 = std::string(64, '0');
};

struct ClusterMember
{
    std::string id;
    std::string failureDomain;
    Address address;     ///< Where the program listens.
    Address viaProxy;    ///< Where clients connect; equal to address without a proxy.
    Address proxyAdmin;  ///< Control address of the proxy.
    Address peerAddress; ///< Only daemons have one.
    std::string program;
    std::vector<std::string> arguments;
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<ChildProcess> proxy;
};

/// All paths from one failure domain to another, or to the platform.
struct DomainLink
{
    Address admin;
    std::map<std::string, Address> addresses;     ///< Of members, as the domain sees them.
    std::map<std::string, Address> peerAddresses; ///< Of daemons, as the domain sees them.
    std::vector<std::string> arguments;
    std::unique_ptr<ChildProcess> process;
};

class TestCluster
{
public:
    explicit TestCluster(ClusterOptions options);
    /// Ends everything; removes the directory unless CICADAFORK_KEEP_TEST_FILES is set.
    ~TestCluster();

    /// Starts all programs and waits until they listen. Throws std::runtime_error, with the error
    /// output of the program that did not.
    void start();

    ClusterMember &log() { return members_.at("log"); }
    ClusterMember &vmList() { return members_.at("vmlist"); }
    ClusterMember &weights() { return members_.at("weights"); }
    ClusterMember &engine(std::size_t index);  ///< From 0; its id is "engine-<index + 1>".
    ClusterMember &service(std::size_t index); ///< From 0.
    ClusterMember &daemon(std::size_t index);  ///< From 0.

    /// Posts to /admin/faults of the program. Throws std::runtime_error when it is not accepted.
    void setFaults(const ClusterMember &member, const nlohmann::json &faults);
    /// Posts to /admin/faults of the member's proxy.
    void setLinkFaults(const ClusterMember &member, const nlohmann::json &faults);

    /// Faults of the path from one domain ("domain-1") to another or to "platform". Connections
    /// that the other side opened are on the path of the opposite direction.
    void setPathFaults(const std::string &from, const std::string &to,
                       const nlohmann::json &faults);
    /// Cuts or heals all paths between a domain and the other domains, in both directions.
    void cutFromOtherDomains(const std::string &domain, bool cut);
    /// Address of a member as a domain sees it.
    Address addressSeenFrom(const std::string &domain, const ClusterMember &member) const;

    /// Starts a member again after it ended; waits until it listens.
    void restart(ClusterMember &member);

    /// Fills the VM list from the members and the states set with setState().
    void publishVmList();
    /// "live", "leaving" or "gone"; takes effect with publishVmList().
    void setState(const ClusterMember &member, const std::string &state);

    const std::map<std::string, ClusterMember> &members() const { return members_; }
    const std::string &directory() const { return directory_; }

private:
    ClusterMember &add(const std::string &id, std::size_t domain, const std::string &program);
    void addEngines();
    void addDaemons();
    void startMember(ClusterMember &member);
    void startProxy(ClusterMember &member);
    void addDomainLinks();
    void addPath(const std::string &from, const std::string &to, const ClusterMember &member);
    void publishTo(const ClusterMember &list, const std::string &domain);
    Address peerAddressSeenFrom(const std::string &domain, const ClusterMember &member) const;
    std::string writeSettings(const ClusterMember &member);

    ClusterOptions options_;
    std::string directory_;
    AddressPool addresses_;
    std::map<std::string, ClusterMember> members_;
    std::map<std::string, std::string> states_;
    std::map<std::pair<std::string, std::string>, DomainLink> links_; ///< By from and to.
};

/// True when a TCP connection to the address is accepted.
bool accepts(const Address &address);

} // namespace cicadafork::test
