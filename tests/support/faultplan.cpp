#include "support/faultplan.h"

#include <csignal>

namespace cicadafork::test {

namespace {

constexpr std::size_t kDomains = 3;
constexpr int kTries = 20;

std::string domainOf(std::size_t index)
{
    return "domain-" + std::to_string(1 + index % kDomains);
}

} // namespace

FaultPlan::FaultPlan(ProofSystem &system, Outages &outages)
    : system_(system)
    , outages_(outages)
{
    addProcessKinds();
    addPathKinds();
    addPlatformKinds();
    addEngineKinds();
}

void FaultPlan::addProcessKinds()
{
    const auto hit = [this](ClusterMember &member, void (FaultPlan::*how)(ClusterMember &)) {
        if (!take(member.id))
            return std::string();
        (this->*how)(member);
        return member.id;
    };
    kinds_.push_back({"kill-engine", [this, hit](Random &random) {
                          return hit(randomEngine(random), &FaultPlan::kill);
                      }});
    kinds_.push_back({"freeze-engine", [this, hit](Random &random) {
                          return hit(randomEngine(random), &FaultPlan::freeze);
                      }});
    kinds_.push_back({"kill-daemon", [this, hit](Random &random) {
                          return hit(randomDaemon(random), &FaultPlan::kill);
                      }});
    kinds_.push_back({"freeze-daemon", [this, hit](Random &random) {
                          return hit(randomDaemon(random), &FaultPlan::freeze);
                      }});
}

void FaultPlan::addPathKinds()
{
    for (const char *cut : {"both", "to_target", "to_client"}) {
        kinds_.push_back({std::string("cut-link-") + cut, [this, cut](Random &random) {
                              return disturbPath(random, {{"cut", cut}}, {{"cut", "none"}});
                          }});
    }
    kinds_.push_back({"freeze-link", [this](Random &random) {
                          return disturbPath(random, {{"freeze", true}}, {{"freeze", false}});
                      }});
    kinds_.push_back({"break-link", [this](Random &random) {
                          return disturbPath(random, {{"drop_after_bytes", 3000}, {"reset", true}},
                                             {{"drop_after_bytes", 0}});
                      }});
}

void FaultPlan::addPlatformKinds()
{
    kinds_.push_back({"platform-down", [this](Random &) {
                          return disturbPlatform({{"outage", true}}, {{"outage", false}});
                      }});
    kinds_.push_back({"platform-slow", [this](Random &) {
                          return disturbPlatform({{"delay_ms", 800}}, {{"delay_ms", 0}});
                      }});
    kinds_.push_back({"platform-silent", [this](Random &) {
                          return disturbPlatform({{"silent", true}}, {{"silent", false}});
                      }});
    // The list still shows the engine that is gone.
    kinds_.push_back({"stale-vm-list", [this](Random &random) {
                          ClusterMember &victim = randomEngine(random);
                          if (!take("vm-list") || !take(victim.id))
                              return std::string();
                          for (std::size_t i = 0; i < kDomains; ++i)
                              system_.cluster().setFaults(
                                      system_.cluster().members().at("vmlist-" + domainOf(i)),
                                      {{"lag_ms", 2000}});
                          kill(victim);
                          system_.cluster().setState(victim, "gone");
                          system_.cluster().publishVmList();
                          undo_.push_back([this, &victim] {
                              system_.cluster().setState(victim, "live");
                              system_.cluster().publishVmList();
                          });
                          for (std::size_t i = 0; i < kDomains; ++i)
                              undo_.push_back([this, i] {
                                  system_.cluster().setFaults(
                                          system_.cluster().members().at("vmlist-" + domainOf(i)),
                                          {{"lag_ms", 0}});
                              });
                          return victim.id;
                      }});
}

void FaultPlan::addEngineKinds()
{
    kinds_.push_back({"slow-engine", [this](Random &random) {
                          return disturbEngine(random, {{"slow_factor", 50}}, {{"slow_factor", 1}});
                      }});
    kinds_.push_back({"silent-engine", [this](Random &random) {
                          return disturbEngine(random, {{"silent", true}}, {{"silent", false}});
                      }});
    kinds_.push_back({"engine-outage", [this](Random &random) {
                          return disturbEngine(random, {{"outage", true}}, {{"outage", false}});
                      }});
}

bool FaultPlan::take(const std::string &victim)
{
    return victims_.insert(victim).second;
}

ClusterMember &FaultPlan::randomEngine(Random &random)
{
    return system_.cluster().engine(pick(random, system_.engines()));
}

ClusterMember &FaultPlan::randomDaemon(Random &random)
{
    return system_.cluster().daemon(pick(random, system_.daemons()));
}

std::string FaultPlan::disturbEngine(Random &random, const nlohmann::json &on,
                                     const nlohmann::json &off)
{
    ClusterMember &victim = randomEngine(random);
    if (!take(victim.id))
        return {};
    system_.cluster().setFaults(victim, on);
    undo_.push_back([this, &victim, off] { system_.cluster().setFaults(victim, off); });
    return victim.id;
}

std::string FaultPlan::disturbPath(Random &random, const nlohmann::json &on,
                                   const nlohmann::json &off)
{
    const std::size_t index = pick(random, kDomains);
    const std::size_t step = 1 + pick(random, kDomains);
    const std::string from = domainOf(index);
    const std::string to = step == kDomains ? "platform" : domainOf(index + step);
    const std::string victim = from + ">" + to;
    if (!take(victim))
        return {};
    system_.cluster().setPathFaults(from, to, on);
    undo_.push_back([this, from, to, off] { system_.cluster().setPathFaults(from, to, off); });
    return victim;
}

std::string FaultPlan::disturbPlatform(const nlohmann::json &on, const nlohmann::json &off)
{
    if (!take("platform"))
        return {};
    std::vector<const ClusterMember *> members = {&system_.cluster().log()};
    for (std::size_t i = 0; i < kDomains; ++i)
        members.push_back(&system_.cluster().members().at("vmlist-" + domainOf(i)));
    for (const ClusterMember *member : members) {
        system_.cluster().setFaults(*member, on);
        undo_.push_back([this, member, off] { system_.cluster().setFaults(*member, off); });
    }
    return "platform";
}

std::string FaultPlan::inject(Random &random, const std::set<std::string> &kinds)
{
    std::vector<const Kind *> allowed;
    for (const Kind &kind : kinds_) {
        if (kinds.empty() || kinds.contains(kind.name))
            allowed.push_back(&kind);
    }
    for (int i = 0; i < kTries; ++i) {
        const Kind &kind = *allowed[pick(random, allowed.size())];
        const std::string victim = kind.apply(random);
        if (victim.empty())
            continue;
        ++injected_;
        return kind.name + " " + victim;
    }
    return {};
}

void FaultPlan::kill(ClusterMember &member)
{
    outages_.begin(member.id);
    member.process->sendSignal(SIGKILL);
    undo_.push_back([this, &member] {
        system_.cluster().restart(member);
        outages_.end(member.id);
    });
}

void FaultPlan::freeze(ClusterMember &member)
{
    outages_.begin(member.id);
    member.process->sendSignal(SIGSTOP);
    undo_.push_back([this, &member] {
        member.process->sendSignal(SIGCONT);
        outages_.end(member.id);
    });
}

void FaultPlan::heal()
{
    for (const auto &undo : undo_)
        undo();
    undo_.clear();
    victims_.clear();
}

} // namespace cicadafork::test
