#include "proofs/proof.h"
#include "support/configwatch.h"
#include "support/faultplan.h"

#include <fmt/format.h>

#include <csignal>
#include <functional>
#include <thread>

namespace cicadafork::test {

namespace {

constexpr std::size_t kDaemons = 6;
constexpr std::size_t kDomains = 3;
constexpr std::size_t kEntities = 3;
constexpr std::size_t kOperators = 4;
constexpr std::size_t kRounds = 9;
constexpr std::size_t kBriefRounds = 2;
constexpr Millis kPoll{50};
constexpr Millis kShortestFault{1500};
constexpr std::size_t kFaultSpreadMs = 1500;
constexpr Millis kPause{300};
/// Below the number of changes of a run, so that records expire; above the 200 records between two
/// snapshots.
constexpr int kRetentionRecords = 260;

std::string entityName(std::size_t number)
{
    return fmt::format("w{}", number);
}

class ConfigurationProof
{
public:
    explicit ConfigurationProof(const ProofOptions &options)
        : random_(options.seed)
        , seed_(options.seed)
        , rounds_(options.brief ? kBriefRounds : kRounds)
        , system_(clusterOptions())
    {
    }

    ~ConfigurationProof() { stopWatching(); }
    ConfigurationProof(const ConfigurationProof &) = delete;
    ConfigurationProof &operator=(const ConfigurationProof &) = delete;

    ProofResult run()
    {
        system_.cluster().setFaults(system_.cluster().log(),
                                    {{"retention_records", kRetentionRecords}});
        for (std::size_t i = 0; i < kEntities; ++i) {
            system_.client(0).command(
                    fmt::format("create workspace {} services=\"{}\" credential_sha256={:064x}",
                                entityName(i), kPlainService, i + 1));
        }
        for (std::size_t i = 0; i < kDaemons; ++i)
            watchers_.emplace_back([this, i] { observe(i); });
        CallerPool operators;
        operators.start(
                kOperators, [this](Random &own) { change(own); }, seed_);
        for (std::size_t round = 0; round < rounds_; ++round)
            disturb();
        operators.stop();
        std::this_thread::sleep_for(kMaxPropagationTime + 5 * kPoll);
        stopWatching();
        return judged();
    }

private:
    void stopWatching()
    {
        stopping_ = true;
        for (std::jthread &watcher : watchers_)
            watcher.join();
        watchers_.clear();
    }

    static ClusterOptions clusterOptions()
    {
        ClusterOptions options;
        options.engines = 1;
        options.services = 1;
        options.daemons = kDaemons;
        options.domainLinks = true;
        options.engineFlags = {"--threads", "32"};
        options.extraSettings = "limits:\n  max_streams: 24\n";
        return options;
    }

    /// Calls a function with (entity, version, share) for each row of the daemon's workspaces.
    template <class Function>
    void eachVersion(std::size_t daemon, Function function)
    {
        const nlohmann::json reply = system_.client(daemon).statement("show workspaces");
        if (!reply.contains("table"))
            return;
        for (const auto &row : reply["table"]["rows"])
            function(row[0].get<std::string>(), std::stoull(row[4].get<std::string>()),
                     row[3].get<std::string>());
    }

    void observe(std::size_t daemon)
    {
        const std::string id = system_.cluster().daemon(daemon).id;
        while (!stopping_) {
            eachVersion(daemon, [&](const std::string &entity, std::uint64_t version,
                                    const std::string &share) {
                watch_.recordVersion(id, entity, version, share, steadyNow());
            });
            std::this_thread::sleep_for(kPoll);
        }
    }

    /// Sends a command on the version that one daemon shows through another daemon. With several
    /// operators on few entities, many commands are based on the same version.
    void change(Random &random)
    {
        ChangeAnswer answer;
        answer.entity = entityName(pick(random, kEntities));
        eachVersion(pick(random, kDaemons),
                    [&](const std::string &entity, std::uint64_t version, const std::string &) {
                        if (entity == answer.entity)
                            answer.baseVersion = version;
                    });
        std::this_thread::sleep_for(kPoll);
        if (answer.baseVersion == 0)
            return;
        answer.value = std::to_string(++values_);
        const nlohmann::json reply
                = system_.client(pick(random, kDaemons))
                          .statement(fmt::format("change workspace {} share={} if version = {}",
                                                 answer.entity, answer.value, answer.baseVersion));
        answer.answered = steadyNow();
        if (reply.contains("verdict")) {
            const bool accepted = reply["verdict"].value("accepted", false);
            answer.kind = accepted ? ChangeAnswer::Kind::Accepted : ChangeAnswer::Kind::Rejected;
            answer.version = reply["verdict"].value("version", std::uint64_t{0});
        }
        watch_.recordAnswer(std::move(answer));
    }

    /// Runs one fault for its time; daemons of the domain count as disturbed from before the fault
    /// until after it.
    void during(const std::vector<std::size_t> &daemons, const std::function<void()> &on,
                const std::function<void()> &off)
    {
        ++faults_;
        const TimePoint from = steadyNow();
        on();
        std::this_thread::sleep_for(kShortestFault + Millis(pick(random_, kFaultSpreadMs)));
        off();
        for (const std::size_t daemon : daemons)
            disturbances_.push_back({system_.cluster().daemon(daemon).id, from, steadyNow()});
    }

    void cut(const std::string &domain, const std::vector<std::size_t> &members, bool others,
             bool platform)
    {
        const auto set = [this, domain, others, platform](bool on) {
            if (others)
                system_.cluster().cutFromOtherDomains(domain, on);
            if (platform) {
                system_.cluster().setPathFaults(domain, "platform",
                                                {{"cut", on ? "both" : "none"}});
            }
        };
        // With one of its two sources left, the domain still has to follow.
        const bool unreachable = others && platform;
        during(
                unreachable ? members : std::vector<std::size_t>{}, [&] { set(true); },
                [&] { set(false); });
    }

    void restartDomain(const std::vector<std::size_t> &members)
    {
        during(
                members,
                [&] {
                    for (const std::size_t daemon : members)
                        system_.cluster().daemon(daemon).process->sendSignal(SIGKILL);
                },
                [&] {
                    for (const std::size_t daemon : members)
                        system_.cluster().restart(system_.cluster().daemon(daemon));
                });
    }

    void disturbLog(const nlohmann::json &on, const nlohmann::json &off)
    {
        ClusterMember &log = system_.cluster().log();
        during(
                {}, [&] { system_.cluster().setFaults(log, on); },
                [&] { system_.cluster().setFaults(log, off); });
    }

    void disturb()
    {
        const std::size_t index = pick(random_, kDomains);
        const std::vector<std::size_t> members = {index, index + kDomains};
        const std::string domain = fmt::format("domain-{}", index + 1);
        switch (pick(random_, 9)) {
        case 0:
            cut(domain, members, true, false);
            break;
        case 1:
            cut(domain, members, false, true);
            break;
        case 2:
            cut(domain, members, true, true);
            break;
        case 3:
        case 4:
            restartDomain(members);
            break;
        case 5:
            disturbLog({{"outage", true}}, {{"outage", false}});
            break;
        case 6:
            disturbLog({{"delay_ms", 600}}, {{"delay_ms", 0}});
            break;
        case 7:
            disturbLog({{"lose_append_answers", true}}, {{"lose_append_answers", false}});
            break;
        default: {
            ClusterMember &daemon = system_.cluster().daemon(members[pick(random_, 2)]);
            during(
                    {members.begin(), members.end()}, [&] { daemon.process->sendSignal(SIGSTOP); },
                    [&] { daemon.process->sendSignal(SIGCONT); });
            break;
        }
        }
        std::this_thread::sleep_for(kPause);
    }

    ProofResult judged()
    {
        ProofResult result;
        result.faults = faults_;
        std::size_t accepted = 0;
        std::size_t rejected = 0;
        const std::vector<ChangeAnswer> answers = watch_.answers();
        for (const ChangeAnswer &answer : answers) {
            accepted += answer.kind == ChangeAnswer::Kind::Accepted ? 1 : 0;
            rejected += answer.kind == ChangeAnswer::Kind::Rejected ? 1 : 0;
        }
        result.requests = answers.size();
        result.violations = watch_.findViolations(disturbances_);
        result.figure = fmt::format("accepted={} rejected={} unknown={} slowest +{} ms", accepted,
                                    rejected, answers.size() - accepted - rejected,
                                    watch_.longestPropagation(disturbances_).count());
        return result;
    }

    Random random_;
    std::uint64_t seed_;
    std::size_t rounds_;
    ProofSystem system_;
    ConfigWatch watch_;
    std::vector<Disturbance> disturbances_;
    std::vector<std::jthread> watchers_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> values_{1};
    std::uint64_t faults_ = 0;
};

} // namespace

ProofResult proveConfigurationHolds(const ProofOptions &options)
{
    return ConfigurationProof(options).run();
}

} // namespace cicadafork::test
