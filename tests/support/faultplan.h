#pragma once

// Faults that a seed chooses, applied to a running system and undone again.
//
//   FaultPlan plan(system, outages);
//   plan.inject(random); // one fault at a victim that has none
//   plan.heal();

#include "support/proofsystem.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace cicadafork::test {

/// All calls come from one thread. Needs a cluster with domainLinks.
class FaultPlan
{
public:
    FaultPlan(ProofSystem &system, Outages &outages);

    /// Applies one fault of the given kinds, or of all kinds; returns its name and victim. Two
    /// faults in force have different victims.
    std::string inject(Random &random, const std::set<std::string> &kinds = {});
    /// Undoes all faults in force. Killed programs start again.
    void heal();

    /// Faults applied so far.
    std::uint64_t injected() const { return injected_; }

    /// SIGKILL; the next heal() starts the program again.
    void kill(ClusterMember &member);
    /// SIGSTOP; the next heal() continues the program.
    void freeze(ClusterMember &member);

private:
    struct Kind
    {
        std::string name;
        std::function<std::string(Random &)> apply; ///< Returns the victim, or "" when it is taken.
    };

    void addProcessKinds();
    void addPathKinds();
    void addPlatformKinds();
    void addEngineKinds();
    bool take(const std::string &victim);
    ClusterMember &randomEngine(Random &random);
    ClusterMember &randomDaemon(Random &random);
    std::string disturbEngine(Random &random, const nlohmann::json &on, const nlohmann::json &off);
    std::string disturbPath(Random &random, const nlohmann::json &on, const nlohmann::json &off);
    std::string disturbPlatform(const nlohmann::json &on, const nlohmann::json &off);

    ProofSystem &system_;
    Outages &outages_;
    std::vector<Kind> kinds_;
    std::set<std::string> victims_;
    std::vector<std::function<void()>> undo_;
    std::uint64_t injected_ = 0;
};

} // namespace cicadafork::test
