#include "proofs/proof.h"

#include "base/ids.h"
#include "support/faultplan.h"
#include "support/proofsystem.h"

#include <fmt/format.h>

#include <algorithm>

namespace cicadafork::test {

namespace {

constexpr Millis kLastNewWork{3'000};
constexpr Millis kObserved{5'500};
constexpr Millis kLoadBefore{1'000};
constexpr Millis kReturnTimeout{10'000};
constexpr std::size_t kCallers = 12;
constexpr std::size_t kServices = 3;

ClusterOptions clusterOptions()
{
    ClusterOptions options;
    options.engines = 6;
    options.services = kServices;
    options.daemons = 6;
    options.timeScale = 20;
    options.domainLinks = true;
    return options;
}

/// An endpoint that leaves, and when the first sign was given.
struct Leaver
{
    ClusterMember *member = nullptr;
    std::string sign;
    WallTime signAt;
};

class LeavingProof
{
public:
    explicit LeavingProof(const ProofOptions &options)
        : system_(clusterOptions())
        , plan_(system_, outages_)
        , random_(options.seed)
        , seed_(options.seed)
    {
    }

    ProofResult run()
    {
        CallerPool pool;
        pool.start(
                kCallers, [this](Random &random) { callOnce(random); }, seed_);
        oneSignOnly();
        statusWithoutPlatform();
        drainBeforeOutage();
        pool.stop();
        ProofResult result;
        result.faults = plan_.injected() + leavers_;
        result.requests = requests_;
        result.figure = fmt::format("latest execution {} ms after the first sign (bound 3000), {} "
                                    "endpoints left",
                                    latest_.count(), leavers_);
        result.violations = violations_;
        return result;
    }

private:
    void callOnce(Random &random)
    {
        const SystemClient client = system_.client(pick(random, system_.daemons()));
        if (pick(random, 2) == 0) {
            CompletionCall call;
            call.prompt = makePrompt(50 + pick(random, 400), random());
            call.maxTokens = 4;
            call.timeout = Millis(1'500);
            (void)client.complete(call);
        } else {
            ServiceCall call;
            call.service = kPlainService;
            call.operation = "read-gate";
            call.timeout = Millis(1'500);
            (void)client.callService(call);
        }
        ++requests_;
        // The load stays far below the capacity, so that no endpoint queues work.
        std::this_thread::sleep_for(Millis(5));
    }

    /// Each of three engines and of two services gives one sign; its other signs stay "live".
    void oneSignOnly()
    {
        std::vector<Leaver> leavers;
        const std::size_t first = pick(random_, system_.engines());
        const auto engine = [&](std::size_t step) {
            return &system_.cluster().engine((first + step) % system_.engines());
        };
        const std::size_t service = pick(random_, kServices);
        loadBefore();
        leavers.push_back(listed({engine(0), "VM list only", {}}));
        leavers.push_back(announced({engine(1), "status only", {}}));
        leavers.push_back(drained({engine(2), "drain only", {}}));
        leavers.push_back(
                service % 2 == 0
                        ? listed({&system_.cluster().service(service), "VM list only", {}})
                        : announced({&system_.cluster().service(service), "status only", {}}));
        plan_.inject(random_, {"freeze-daemon", "kill-daemon"});
        observe(leavers);
    }

    void statusWithoutPlatform()
    {
        loadBefore();
        plan_.inject(random_, {"platform-down", "platform-silent"});
        const std::size_t first = pick(random_, system_.engines());
        observe({announced(
                {&system_.cluster().engine(first), "status while the platform is down", {}})});
    }

    /// The drain is accepted; then one domain is cut from the platform, or the platform fails.
    void drainBeforeOutage()
    {
        loadBefore();
        const std::size_t first = pick(random_, system_.engines());
        const Leaver leaver = drained({&system_.cluster().engine(first), "drain, then outage", {}});
        plan_.inject(random_, {"platform-down", "platform-silent"});
        observe({leaver});
    }

    void loadBefore()
    {
        for (std::size_t i = 0; i < system_.daemons(); ++i) {
            if (!system_.awaitSendable(i, system_.engines() + kServices, kReturnTimeout))
                violations_.push_back("an endpoint that is live again is not used");
        }
        std::this_thread::sleep_for(kLoadBefore);
    }

    Leaver listed(Leaver leaver)
    {
        leaver.signAt = wallNow();
        system_.cluster().setState(*leaver.member, "leaving");
        system_.cluster().publishVmList();
        return leaver;
    }

    Leaver announced(Leaver leaver)
    {
        leaver.signAt = wallNow();
        system_.cluster().setFaults(*leaver.member, {{"announce_leaving", true}});
        return leaver;
    }

    Leaver drained(Leaver leaver)
    {
        // The sign is given with the command's acceptance; the time before it is the stricter one.
        leaver.signAt = wallNow();
        system_.client(pick(random_, system_.daemons()))
                .command("drain endpoint " + leaver.member->id);
        return leaver;
    }

    void observe(const std::vector<Leaver> &leavers)
    {
        std::this_thread::sleep_for(kObserved);
        for (const Leaver &leaver : leavers)
            judge(leaver);
        plan_.heal();
        for (const Leaver &leaver : leavers) {
            system_.cluster().setState(*leaver.member, "live");
            system_.cluster().setFaults(*leaver.member, {{"announce_leaving", false}});
            if (leaver.sign.starts_with("drain"))
                system_.client(0).command("undrain endpoint " + leaver.member->id);
        }
        system_.cluster().publishVmList();
    }

    void judge(const Leaver &leaver)
    {
        ++leavers_;
        const auto record = system_.admin(*leaver.member, "/admin/executions");
        std::size_t before = 0;
        std::size_t late = 0;
        Millis latest{0};
        for (const auto &execution : record.value("executions", nlohmann::json::array())) {
            const Millis after = Millis(execution.value("started_ms", std::int64_t{0}))
                                 - sinceEpoch(leaver.signAt);
            if (after < Millis(0))
                ++before;
            latest = std::max(latest, after);
            late += after > kLastNewWork ? 1 : 0;
        }
        latest_ = std::max(latest_, latest);
        const std::string name = leaver.member->id + ", " + leaver.sign;
        if (before == 0)
            violations_.push_back(name + ": no work before the sign, so that nothing is shown");
        if (late > 0)
            violations_.push_back(fmt::format("{}: {} executions later than 3 s, the last after {} "
                                              "ms",
                                              name, late, latest.count()));
    }

    ProofSystem system_;
    Outages outages_;
    FaultPlan plan_;
    Random random_;
    std::uint64_t seed_;
    std::atomic<std::uint64_t> requests_{0};
    std::uint64_t leavers_ = 0;
    Millis latest_{0};
    std::vector<std::string> violations_;
};

} // namespace

ProofResult proveLeavingEndpoint(const ProofOptions &options)
{
    return LeavingProof(options).run();
}

} // namespace cicadafork::test
