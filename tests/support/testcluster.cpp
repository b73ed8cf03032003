#include "support/testcluster.h"

#include "http/client.h"
#include "support/environment.h"
#include "support/eventually.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace cicadafork::test {

namespace {

constexpr std::size_t kFailureDomains = 3;
constexpr Millis kStartTimeout{10'000};
// Long enough for a stand-in on a machine with many more threads than cores.
constexpr Millis kAdminTimeout{10'000};

std::string domainName(std::size_t number)
{
    return fmt::format("domain-{}", 1 + number % kFailureDomains);
}

constexpr const char *kPlatform = "platform";
constexpr const char *kDaemonProgram = "cicadafork";

std::string vmListId(const std::string &domain)
{
    return "vmlist-" + domain;
}

// Members in the VM list; the others are the platform.
bool isListed(const ClusterMember &member)
{
    return member.program == kDaemonProgram || member.program == "standin-engine"
           || member.program == "standin-service";
}

std::unique_ptr<ChildProcess> startFaultProxy(const std::vector<std::string> &arguments,
                                              const Address &admin, const std::string &errorFile)
{
    auto process = std::make_unique<ChildProcess>(binaryDirectory() + "/fault-proxy", arguments,
                                                  errorFile);
    if (!eventually(kStartTimeout, [&] { return accepts(admin); }))
        throw std::runtime_error("fault-proxy does not listen: " + process->errorOutput());
    return process;
}

void postFaults(const Address &address, const nlohmann::json &faults)
{
    const auto reply
            = capture([&] { return postJson(address, "/admin/faults", faults, kAdminTimeout); });
    if (!reply)
        throw std::runtime_error(reply.error().message);
}

} // namespace

bool accepts(const Address &address)
{
    const auto reply = capture([&] { return httpGet(address, "/", Millis(500)); });
    return static_cast<bool>(reply);
}

TestCluster::TestCluster(ClusterOptions options)
    : options_(std::move(options))
{
    std::string name = std::filesystem::temp_directory_path() / "cicadafork-test-XXXXXX";
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot create " + name);
    directory_ = name;
    add("log", 0, "standin-log");
    add("vmlist", 0, "standin-vmlist");
    add("weights", 0, "standin-weights");
    addEngines();
    for (std::size_t i = 0; i < options_.services; ++i) {
        ClusterMember &member = add(fmt::format("service-{}", i + 1), i, "standin-service");
        member.arguments.insert(member.arguments.end(), {"--id", member.id});
    }
    addDaemons();
    if (options_.domainLinks)
        addDomainLinks();
}

TestCluster::~TestCluster()
{
    members_.clear();
    if (std::getenv("CICADAFORK_KEEP_TEST_FILES") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
}

ClusterMember &TestCluster::add(const std::string &id, std::size_t domain,
                                const std::string &program)
{
    ClusterMember member;
    member.id = id;
    member.failureDomain = domainName(domain);
    member.address = addresses_.next();
    member.viaProxy = member.address;
    member.program = program;
    member.arguments = {"--listen", toString(member.address)};
    if (program != kDaemonProgram && program != "standin-engine")
        member.arguments.insert(member.arguments.end(), {"--threads", options_.otherThreads});
    const auto &proxied = options_.proxied;
    if (std::find(proxied.begin(), proxied.end(), id) != proxied.end()) {
        member.viaProxy = addresses_.next();
        member.proxyAdmin = addresses_.next();
    }
    states_[id] = "live";
    return members_.emplace(id, std::move(member)).first->second;
}

void TestCluster::addEngines()
{
    for (std::size_t i = 0; i < options_.engines; ++i) {
        ClusterMember &member = add(fmt::format("engine-{}", i + 1), i, "standin-engine");
        auto &arguments = member.arguments;
        arguments.insert(arguments.end(), {"--id", member.id, "--threads", options_.engineThreads,
                                           "--time-scale", fmt::format("{}", options_.timeScale),
                                           "--weights", toString(weights().viaProxy)});
        arguments.insert(arguments.end(), options_.engineFlags.begin(), options_.engineFlags.end());
    }
}

void TestCluster::addDaemons()
{
    for (std::size_t i = 0; i < options_.daemons; ++i) {
        ClusterMember &member = add(fmt::format("daemon-{}", i + 1), i, kDaemonProgram);
        member.peerAddress = addresses_.next();
        member.arguments = {"serve", "--config", fmt::format("{}/{}.yaml", directory_, member.id)};
    }
}

void TestCluster::addDomainLinks()
{
    for (std::size_t i = 0; i < kFailureDomains; ++i) {
        const std::string from = domainName(i);
        addPath(from, kPlatform, log());
        addPath(from, kPlatform, add(vmListId(from), i, "standin-vmlist"));
    }
    for (std::size_t i = 0; i < kFailureDomains; ++i) {
        for (const auto &[id, member] : members_) {
            if (isListed(member) && member.failureDomain != domainName(i))
                addPath(domainName(i), member.failureDomain, member);
        }
    }
}

void TestCluster::addPath(const std::string &from, const std::string &to,
                          const ClusterMember &member)
{
    DomainLink &link = links_[{from, to}];
    if (link.arguments.empty()) {
        link.admin = addresses_.next();
        link.arguments = {"--listen", toString(link.admin), "--threads", "4"};
    }
    // The other side accepts a peer by the source address, so that the list must show the peer's
    // own.
    auto forward = [&](const Address &target, const std::string &ip = "") {
        Address listen = addresses_.next();
        if (!ip.empty())
            listen.ip = ip;
        link.arguments.insert(link.arguments.end(),
                              {"--link", toString(listen) + "=" + toString(target)});
        return listen;
    };
    link.addresses[member.id] = forward(member.viaProxy);
    if (member.program == kDaemonProgram)
        link.peerAddresses[member.id] = forward(member.peerAddress, member.peerAddress.ip);
}

Address TestCluster::addressSeenFrom(const std::string &domain, const ClusterMember &member) const
{
    const bool platform = !isListed(member);
    const auto link = links_.find({domain, platform ? kPlatform : member.failureDomain});
    return link == links_.end() ? member.viaProxy : link->second.addresses.at(member.id);
}

Address TestCluster::peerAddressSeenFrom(const std::string &domain,
                                         const ClusterMember &member) const
{
    const auto link = links_.find({domain, member.failureDomain});
    return link == links_.end() ? member.peerAddress : link->second.peerAddresses.at(member.id);
}

std::string TestCluster::writeSettings(const ClusterMember &member)
{
    std::string path = fmt::format("{}/{}.yaml", directory_, member.id);
    std::ofstream file(path);
    const std::string &domain = member.failureDomain;
    const ClusterMember &list = options_.domainLinks ? members_.at(vmListId(domain)) : vmList();
    file << fmt::format("member_id: {}\n"
                        "failure_domain: {}\n"
                        "region: region-1\n"
                        "caller_address: {}\n"
                        "peer_address: {}\n"
                        "platform:\n"
                        "  log: {}\n"
                        "  vm_list: {}\n"
                        "  request_timeout: 1s\n"
                        "  vm_list_interval: 250ms\n"
                        "operator_credential_sha256: \"{}\"\n"
                        "{}",
                        member.id, member.failureDomain, toString(member.address),
                        toString(member.peerAddress), toString(addressSeenFrom(domain, log())),
                        toString(addressSeenFrom(domain, list)), options_.operatorCredentialSha256,
                        options_.extraSettings);
    return path;
}

void TestCluster::start()
{
    for (auto &[id, member] : members_) {
        if (!isListed(member))
            startMember(member);
    }
    for (auto &[ends, link] : links_) {
        link.process
                = startFaultProxy(link.arguments, link.admin,
                                  fmt::format("{}/{}-{}.err", directory_, ends.first, ends.second));
    }
    publishVmList();
    for (auto &[id, member] : members_) {
        if (!member.process)
            startMember(member);
    }
}

void TestCluster::startMember(ClusterMember &member)
{
    if (member.program == kDaemonProgram)
        writeSettings(member);
    member.process = std::make_unique<ChildProcess>(
            fmt::format("{}/{}", binaryDirectory(), member.program), member.arguments,
            fmt::format("{}/{}.err", directory_, member.id));
    const bool listens = eventually(
            kStartTimeout, [&] { return !member.process->running() || accepts(member.address); });
    if (!listens || !member.process->running()) {
        throw std::runtime_error(
                fmt::format("{} does not listen: {}", member.id, member.process->errorOutput()));
    }
    if (member.viaProxy != member.address && !member.proxy)
        startProxy(member);
}

void TestCluster::startProxy(ClusterMember &member)
{
    const std::string link = toString(member.viaProxy) + "=" + toString(member.address);
    member.proxy = startFaultProxy(
            {"--listen", toString(member.proxyAdmin), "--threads", "4", "--link", link},
            member.proxyAdmin, fmt::format("{}/{}-proxy.err", directory_, member.id));
}

void TestCluster::restart(ClusterMember &member)
{
    member.process.reset();
    startMember(member);
}

ClusterMember &TestCluster::engine(std::size_t index)
{
    return members_.at(fmt::format("engine-{}", index + 1));
}

ClusterMember &TestCluster::service(std::size_t index)
{
    return members_.at(fmt::format("service-{}", index + 1));
}

ClusterMember &TestCluster::daemon(std::size_t index)
{
    return members_.at(fmt::format("daemon-{}", index + 1));
}

void TestCluster::setFaults(const ClusterMember &member, const nlohmann::json &faults)
{
    postFaults(member.address, faults);
}

void TestCluster::setLinkFaults(const ClusterMember &member, const nlohmann::json &faults)
{
    postFaults(member.proxyAdmin, faults);
}

void TestCluster::setState(const ClusterMember &member, const std::string &state)
{
    states_[member.id] = state;
}

void TestCluster::setPathFaults(const std::string &from, const std::string &to,
                                const nlohmann::json &faults)
{
    postFaults(links_.at({from, to}).admin, faults);
}

void TestCluster::cutFromOtherDomains(const std::string &domain, bool cut)
{
    for (auto &[ends, link] : links_) {
        const bool between = ends.first == domain || ends.second == domain;
        if (between && ends.second != kPlatform)
            postFaults(link.admin, {{"cut", cut ? "both" : "none"}});
    }
}

void TestCluster::publishVmList()
{
    publishTo(vmList(), "");
    for (std::size_t i = 0; options_.domainLinks && i < kFailureDomains; ++i)
        publishTo(members_.at(vmListId(domainName(i))), domainName(i));
}

void TestCluster::publishTo(const ClusterMember &list, const std::string &domain)
{
    nlohmann::json vms = nlohmann::json::array();
    for (const auto &[id, member] : members_) {
        const bool isDaemon = member.program == kDaemonProgram;
        if (!isListed(member) || states_.at(id) == "gone")
            continue;
        std::string service;
        if (!isDaemon) {
            const bool isEngine = member.program == "standin-engine";
            service = isEngine ? options_.engineService : options_.plainService;
        }
        vms.push_back(
                {{"id", id},
                 {"kind", isDaemon ? "entry" : "endpoint"},
                 {"domain", member.failureDomain},
                 {"address", toString(addressSeenFrom(domain, member))},
                 {"peer_address", isDaemon ? toString(peerAddressSeenFrom(domain, member)) : ""},
                 {"service", service},
                 {"state", states_.at(id)}});
    }
    const nlohmann::json body = {{"vms", vms}};
    const auto reply
            = capture([&] { return postJson(list.address, "/admin/vms", body, kAdminTimeout); });
    if (!reply)
        throw std::runtime_error(reply.error().message);
}

} // namespace cicadafork::test
