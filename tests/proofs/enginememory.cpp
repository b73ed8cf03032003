#include "proofs/proof.h"

#include "base/ids.h"
#include "support/eventually.h"
#include "support/faultplan.h"
#include "support/proofsystem.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace cicadafork::test {

namespace {

constexpr Millis kFreedWithin{10'000};
constexpr Millis kMemoryPoll{50};
constexpr std::size_t kCallers = 8;
constexpr std::size_t kGroupPromptTokens = 1'000'000;
constexpr std::size_t kGroupMaxTokens = 300;
// Long, because admission refuses what it expects to be late, and faults make it expect the worst.
constexpr Millis kGroupTimeout{300'000};
constexpr int kGroupTries = 4;
constexpr Millis kPhaseTimeout{9'000};
constexpr std::size_t kAwaySpreadMs = 1'200;
// At 0.4 ms a token the live requests outlast the bound of 10 s.
constexpr std::uint32_t kWitnessTokens = 60'000;
constexpr std::size_t kWitnessPromptTokens = 5'000;

ClusterOptions clusterOptions(std::uint64_t seed)
{
    ClusterOptions options;
    options.engines = 6;
    options.daemons = 6;
    options.timeScale = 20;
    options.domainLinks = true;
    // With the default of 5 s the expiry of holds alone would free the memory in time. Every second
    // seed keeps it out, so that the sweep has to do it.
    if (seed % 2 == 1)
        options.extraSettings = "timing:\n  hold_lifetime: 60s\n";
    return options;
}

/// Where a request for a group of engines is when its daemon is hit.
enum class Phase { Reservation, Prefill, Decode };

constexpr std::array<Phase, 3> kPhases = {Phase::Reservation, Phase::Prefill, Phase::Decode};

class MemoryProof
{
public:
    explicit MemoryProof(const ProofOptions &options)
        : system_(clusterOptions(options.seed))
        , plan_(system_, outages_)
        , random_(options.seed)
        , seed_(options.seed)
    {
    }

    ProofResult run()
    {
        for (std::size_t i = 0; i < system_.engines(); ++i)
            system_.cluster().setFaults(system_.cluster().engine(i),
                                        {{"ignore_fencing", (i + seed_) % 2 == 0}});
        CallerPool pool;
        pool.start(
                kCallers, [this](Random &random) { callOnce(random); }, seed_);
        for (int i = 0; i < 4; ++i) {
            plan_.inject(random_, {"kill-engine", "freeze-engine", "kill-daemon", "freeze-daemon"});
            std::this_thread::sleep_for(Millis(300 + pick(random_, kAwaySpreadMs)));
            plan_.heal();
        }
        for (const Phase phase : kPhases) {
            for (const bool frozen : {false, true})
                hitGroup(phase, frozen);
        }
        pool.stop();
        // The last fault leaves a half-built group behind; the time counts from here.
        hitGroup(Phase::Prefill, false);
        judge();
        ProofResult result;
        result.faults = plan_.injected() + groupFaults_;
        result.requests = requests_;
        result.figure = fmt::format("memory equal to that of live requests after {} ms (bound "
                                    "10000), groups hit {} of {}",
                                    freedAfter_.count(), groupFaults_, 2 * kPhases.size() + 1);
        result.violations = violations_;
        return result;
    }

private:
    void callOnce(Random &random)
    {
        constexpr std::array<std::size_t, 3> kTokens = {500, 8'000, 60'000};
        CompletionCall call;
        call.prompt = makePrompt(kTokens[pick(random, kTokens.size())], random());
        call.maxTokens = 20 + static_cast<std::uint32_t>(pick(random, 600));
        call.timeout = Millis(8'000);
        const std::size_t breakAfter = 1 + pick(random, 400);
        std::size_t events = 0;
        // Some callers go away in mid-answer.
        (void)system_.client(pick(random, system_.daemons()))
                .complete(call, [&](const std::string &) { return ++events < breakAfter; });
        ++requests_;
    }

    /// Kills or freezes a daemon whose request is in the given phase at a group of engines.
    void hitGroup(Phase phase, bool frozen)
    {
        const std::size_t index = pick(random_, system_.daemons());
        bool hit = false;
        for (int i = 0; i < kGroupTries && !hit; ++i) {
            system_.awaitSendable(index, system_.engines(), kPhaseTimeout);
            hit = tryToHitGroup(index, phase, frozen);
        }
        if (!hit)
            violations_.push_back(fmt::format("no group was met in phase {}, so that nothing is "
                                              "shown; the last request: status {} after {} ms {}",
                                              static_cast<int>(phase), groupResult_.status,
                                              groupResult_.duration.count(), groupResult_.problem));
        groupFaults_ += hit ? 1 : 0;
    }

    bool tryToHitGroup(std::size_t index, Phase phase, bool frozen)
    {
        CompletionCall call;
        call.prompt = makePrompt(kGroupPromptTokens, random_());
        call.maxTokens = kGroupMaxTokens;
        call.timeout = kGroupTimeout;
        call.requestId = newUuidV7(wallNow());
        std::atomic<bool> decoding{false};
        std::atomic<bool> ended{false};
        std::jthread caller([&] {
            groupResult_ = system_.client(index).complete(call, [&](const std::string &) {
                decoding = true;
                return true;
            });
            ended = true;
            ++requests_;
        });
        bool reached = false;
        eventually(kPhaseTimeout, [&] {
            reached = phase == Phase::Decode ? decoding.load() : holdsOf(call.requestId, phase);
            return reached || ended;
        });
        if (reached) {
            ClusterMember &daemon = system_.cluster().daemon(index);
            if (frozen)
                plan_.freeze(daemon);
            else
                plan_.kill(daemon);
            std::this_thread::sleep_for(Millis(200 + pick(random_, kAwaySpreadMs)));
            plan_.heal();
        }
        // A killed daemon has ended the caller's connection; a frozen one continues the request,
        // which is not judged here.
        caller.join();
        return reached;
    }

    bool holdsOf(const std::string &requestId, Phase phase)
    {
        for (std::size_t i = 0; i < system_.engines(); ++i) {
            const auto holds = system_.admin(system_.cluster().engine(i), "/v1/holds");
            for (const auto &hold : holds.value("holds", nlohmann::json::array())) {
                const bool own = hold.value("request_id", "").find(requestId) != std::string::npos;
                if (own && (phase == Phase::Reservation || hold.value("filled_tokens", 0) > 0))
                    return true;
            }
        }
        return false;
    }

    /// With a few known live requests and no others, each engine must hold exactly their memory.
    void judge()
    {
        const TimePoint begin = steadyNow();
        std::atomic<bool> over{false};
        std::vector<std::jthread> witnesses;
        for (std::size_t i = 0; i < system_.engines(); ++i)
            witnesses.emplace_back([&, i] { witness(i, over); });
        std::string difference;
        const bool equal = eventually(kFreedWithin, [&] {
            std::this_thread::sleep_for(kMemoryPoll);
            difference = findDifference();
            return difference.empty();
        });
        freedAfter_ = std::chrono::duration_cast<Millis>(steadyNow() - begin);
        over = true;
        for (std::jthread &thread : witnesses)
            thread.join();
        if (!equal)
            violations_.push_back(difference + witnessEnds_);
        const bool empty = eventually(kFreedWithin, [&] { return heldTokens() == 0; });
        if (!empty)
            violations_.push_back(
                    fmt::format("{} tokens are held though no request is live", heldTokens()));
    }

    void witness(std::size_t number, const std::atomic<bool> &over)
    {
        CompletionCall call;
        call.prompt = makePrompt(kWitnessPromptTokens, seed_ * 100 + number);
        call.maxTokens = kWitnessTokens;
        call.timeout = Millis(60'000);
        call.requestId = fmt::format("witness-{}", number);
        CallResult result;
        // The daemon that was hit last may not know its endpoints yet.
        do {
            result = system_.client(number % system_.daemons())
                             .complete(call, [&](const std::string &) { return !over; });
            std::this_thread::sleep_for(kMemoryPoll);
        } while (!over && result.execution == "not_run");
        ++requests_;
        const std::lock_guard lock(mutex_);
        if (!over)
            witnessEnds_ += fmt::format("; {} ended with status {} after {} ms: {}", call.requestId,
                                        result.status, result.duration.count(), result.problem);
    }

    std::uint64_t heldTokens()
    {
        std::uint64_t tokens = 0;
        for (std::size_t i = 0; i < system_.engines(); ++i) {
            const auto memory = system_.admin(system_.cluster().engine(i), "/admin/memory");
            tokens += memory.value("live_tokens", std::uint64_t{1})
                      + memory.value("hold_tokens", std::uint64_t{1});
        }
        return tokens;
    }

    /// Empty when the engines hold the witnesses' memory and nothing else.
    std::string findDifference()
    {
        std::size_t found = 0;
        for (std::size_t i = 0; i < system_.engines(); ++i) {
            const ClusterMember &engine = system_.cluster().engine(i);
            const auto streams = system_.admin(engine, "/v1/streams");
            std::uint64_t live = 0;
            for (const auto &stream : streams.value("streams", nlohmann::json::array())) {
                const std::string state = stream.value("state", "");
                if (state != "waiting" && state != "started")
                    continue;
                if (stream.value("request_id", "").find("witness-") == std::string::npos)
                    return fmt::format("{} still runs {}", engine.id, stream.dump());
                ++live;
            }
            found += live;
            const auto memory = system_.admin(engine, "/admin/memory");
            const std::uint64_t expected = live * (kWitnessPromptTokens + kWitnessTokens);
            const std::uint64_t held = memory.value("live_tokens", std::uint64_t{0});
            const std::uint64_t holds = memory.value("hold_tokens", std::uint64_t{0});
            if (held != expected || holds != 0)
                return fmt::format("{} holds {} tokens for streams and {} for holds; its {} live "
                                   "requests have {}",
                                   engine.id, held, holds, live, expected);
        }
        if (found != system_.engines())
            return fmt::format("{} of {} live requests run", found, system_.engines());
        return {};
    }

    ProofSystem system_;
    Outages outages_;
    FaultPlan plan_;
    Random random_;
    std::uint64_t seed_;
    std::atomic<std::uint64_t> requests_{0};
    std::uint64_t groupFaults_ = 0;
    CallResult groupResult_; ///< Of the last request for a group of engines.
    Millis freedAfter_{0};
    std::mutex mutex_;
    std::string witnessEnds_; ///< Live requests that ended too early.
    std::vector<std::string> violations_;
};

} // namespace

ProofResult proveEngineMemory(const ProofOptions &options)
{
    return MemoryProof(options).run();
}

} // namespace cicadafork::test
