#include "proofs/proof.h"

#include "base/ids.h"
#include "support/faultplan.h"
#include "support/proofsystem.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace cicadafork::test {

namespace {

constexpr Millis kLateAtMost{250};
constexpr std::size_t kCallers = 14;
constexpr int kRounds = 9;
constexpr Millis kShortestFault{900};
constexpr std::size_t kFaultSpreadMs = 900;
constexpr Millis kPauseBetweenFaults{200};
constexpr int kCallerTries = 4;

// Nothing of an engine is left that could answer, so that waiting does not help.
constexpr Millis kLongTimeout{25'000};
constexpr Millis kAnswerAboutDeadEngines{3'000};
// An endpoint is given up after twice the 2.5 s that a permission lasts.
constexpr Millis kAnswerAboutFrozenEngines{8'000};

ClusterOptions clusterOptions()
{
    ClusterOptions options;
    options.engines = 6;
    options.services = 3;
    options.daemons = 6;
    options.timeScale = 4;
    options.domainLinks = true;
    return options;
}

std::string describe(const std::string &what, const CallResult &result)
{
    return fmt::format("{}: status {} execution '{}' after {} ms: {}", what, result.status,
                       result.execution, result.duration.count(), result.problem);
}

class Callers
{
public:
    Callers(ProofSystem &system, Outages &outages)
        : system_(system)
        , outages_(outages)
    {
    }

    void operator()(Random &random)
    {
        if (pick(random, 4) == 0)
            callService(random);
        else
            complete(random);
    }

    /// The answer must come at the latest by the limit; abandoned requests state Retry-After.
    void judge(const std::string &what, const CallResult &result, Millis limit)
    {
        judgement_.count();
        {
            const std::lock_guard lock(mutex_);
            latest_ = std::max(latest_, result.duration - limit);
        }
        const bool ended = result.done || !result.execution.empty();
        const bool abandoned = result.status >= 500 || result.status == 429
                               || (result.status == 200 && !result.done);
        if (!ended)
            judgement_.violation(describe(what + " got no final answer", result));
        else if (result.duration > limit + kLateAtMost)
            judgement_.violation(describe(what + " was late", result));
        else if (abandoned && result.retryAfter.empty())
            judgement_.violation(describe(what + " was abandoned without Retry-After", result));
    }

    const Judgement &judgement() const { return judgement_; }
    Millis latest() const { return latest_; }

private:
    Millis randomTimeout(Random &random)
    {
        constexpr std::array<Millis, 4> kTimeouts
                = {Millis(200), Millis(700), Millis(1500), Millis(4000)};
        return kTimeouts[pick(random, kTimeouts.size())];
    }

    /// Calls at one daemon after the other until one that was not hit itself has answered.
    template <class Call>
    void callUntilAnswered(Random &random, const std::string &what, Millis timeout, Call call)
    {
        for (int i = 0; i < kCallerTries;) {
            const std::size_t daemon = pick(random, system_.daemons());
            const std::string id = system_.cluster().daemon(daemon).id;
            if (outages_.away(id))
                continue;
            ++i;
            const TimePoint begin = steadyNow();
            const CallResult result = call(system_.client(daemon));
            if (!outages_.touched(id, begin, steadyNow()))
                return judge(fmt::format("{} at {}", what, id), result, timeout);
        }
        judgement_.count();
        judgement_.violation(what + " found no daemon that answers");
    }

    void complete(Random &random)
    {
        constexpr std::array<std::size_t, 4> kTokens = {200, 1'000, 10'000, 40'000};
        CompletionCall call;
        call.prompt = makePrompt(kTokens[pick(random, kTokens.size())], random());
        call.maxTokens = 1 + static_cast<std::uint32_t>(pick(random, 250));
        call.stream = pick(random, 3) != 0;
        call.timeout = randomTimeout(random);
        call.requestId = newUuidV7(wallNow());
        callUntilAnswered(random, fmt::format("completion {}", call.requestId), call.timeout,
                          [&](const SystemClient &client) {
                              CallResult result = client.complete(call);
                              call.lastEventId = call.stream ? result.lastEventId : "";
                              return result;
                          });
    }

    void callService(Random &random)
    {
        ServiceCall call;
        call.service = kPlainService;
        const bool keyed = pick(random, 2) == 0;
        call.operation = keyed ? "send-text" : "read-gate";
        if (keyed)
            call.idempotencyKey = newUuidV7(wallNow());
        call.timeout = randomTimeout(random);
        callUntilAnswered(random, "call of " + call.operation, call.timeout,
                          [&](const SystemClient &client) { return client.callService(call); });
    }

    ProofSystem &system_;
    Outages &outages_;
    Judgement judgement_;
    std::mutex mutex_;
    Millis latest_{-1'000'000};
};

/// Sends requests with a long timeout while no engine can answer.
Millis askWithoutEngines(ProofSystem &system, Callers &callers, const std::string &what,
                         Millis limit, std::uint64_t seed)
{
    std::mutex mutex;
    Millis longest{0};
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < 2 * system.daemons(); ++i) {
        threads.emplace_back([&, i] {
            CompletionCall call;
            call.prompt = makePrompt(500, seed * 100 + i);
            call.stream = i % 2 == 0;
            call.timeout = kLongTimeout;
            const CallResult result = system.client(i % system.daemons()).complete(call);
            callers.judge(what, result, limit - kLateAtMost);
            const std::lock_guard lock(mutex);
            longest = std::max(longest, result.duration);
        });
    }
    for (std::jthread &thread : threads)
        thread.join();
    return longest;
}

} // namespace

ProofResult proveFinishInTime(const ProofOptions &options)
{
    ProofSystem system(clusterOptions());
    Outages outages;
    FaultPlan plan(system, outages);
    Callers callers(system, outages);
    Random random(options.seed);
    CallerPool pool;
    pool.start(kCallers, std::ref(callers), options.seed);
    for (int round = 0; round < kRounds; ++round) {
        plan.inject(random);
        if (round % 2 == 1)
            plan.inject(random);
        std::this_thread::sleep_for(kShortestFault + Millis(pick(random, kFaultSpreadMs)));
        plan.heal();
        std::this_thread::sleep_for(kPauseBetweenFaults);
    }
    pool.stop();
    const Millis latest = callers.latest();

    const auto hitEngines = [&](void (FaultPlan::*how)(ClusterMember &)) {
        for (std::size_t i = 0; i < system.engines(); ++i)
            (plan.*how)(system.cluster().engine(i));
    };
    hitEngines(&FaultPlan::kill);
    const Millis dead = askWithoutEngines(system, callers, "request to dead engines",
                                          kAnswerAboutDeadEngines, options.seed);
    plan.heal();
    for (std::size_t i = 0; i < system.daemons(); ++i)
        system.awaitSendable(i, system.engines() + 3, Millis(8'000));
    hitEngines(&FaultPlan::freeze);
    const Millis frozen = askWithoutEngines(system, callers, "request to frozen engines",
                                            kAnswerAboutFrozenEngines, options.seed + 1);
    plan.heal();

    ProofResult result;
    result.faults = plan.injected() + 2 * system.engines();
    result.requests = callers.judgement().counted();
    result.figure = fmt::format("latest {:+} ms to the timeout (bound +250), all engines dead: {} "
                                "ms, frozen: {} ms",
                                latest.count(), dead.count(), frozen.count());
    result.violations = callers.judgement().violations();
    return result;
}

} // namespace cicadafork::test
