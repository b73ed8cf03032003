#include "proofs/proof.h"

#include "base/ids.h"
#include "support/eventually.h"
#include "support/faultplan.h"
#include "support/proofsystem.h"

#include <fmt/format.h>

#include <array>
#include <cstdlib>

namespace cicadafork::test {

namespace {

constexpr std::size_t kCallers = 12;
constexpr int kRounds = 8;
constexpr int kBriefRounds = 2;
constexpr Millis kRound{1'500};
constexpr std::size_t kStreamsOfKilledDaemon = 8;
constexpr std::uint32_t kLongAnswer = 400;
constexpr int kTries = 6;

ClusterOptions clusterOptions()
{
    ClusterOptions options;
    options.engines = 5;
    options.daemons = 6;
    options.timeScale = 4;
    options.domainLinks = true;
    return options;
}

/// One request as its caller sees it over all its tries.
struct Whole
{
    std::string text;
    std::string lastEventId;
    CallResult last;
    bool done = false;
    int tries = 0;
};

class AnswerProof
{
public:
    explicit AnswerProof(const ProofOptions &options)
        : system_(clusterOptions())
        , plan_(system_, outages_)
        , random_(options.seed)
        , seed_(options.seed)
        , brief_(options.brief)
    {
    }

    ProofResult run()
    {
        CallerPool pool;
        pool.start(
                kCallers, [this](Random &random) { callOnce(random); }, seed_);
        for (int round = 0; round < (brief_ ? kBriefRounds : kRounds); ++round) {
            disturbEngines();
            if (round % 2 == 1)
                plan_.inject(random_, {"break-link", "cut-link-both", "cut-link-to_client",
                                       "kill-engine", "kill-daemon", "freeze-link"});
            std::this_thread::sleep_for(kRound);
            plan_.heal();
        }
        pool.stop();
        calmEngines();
        killDaemonInMidStream(pick(random_, system_.daemons()), true);
        killDaemonInMidStream(pick(random_, system_.daemons()), false);
        ProofResult result;
        result.faults = plan_.injected() + engineFaults_ + 2;
        result.requests = judgement_.counted();
        result.figure
                = fmt::format("{} whole, {} definite failures; after a killed daemon {} of {} "
                              "streams resumed, {} of {} repeated before the first event",
                              whole_.load(), failed_.load(), resumed_, kStreamsOfKilledDaemon,
                              repeated_, kStreamsOfKilledDaemon);
        result.violations = judgement_.violations();
        return result;
    }

private:
    void disturbEngines()
    {
        calmEngines();
        const std::int64_t event = static_cast<std::int64_t>(pick(random_, 60));
        const std::array<nlohmann::json, 4> faults
                = {nlohmann::json{{"late_ms", 300}}, nlohmann::json{{"crossed_event", event}},
                   nlohmann::json{{"truncate_after", event}},
                   nlohmann::json{{"duplicate_event", event}}};
        for (std::size_t i = 0; i < 2; ++i) {
            const std::size_t victim = pick(random_, system_.engines());
            system_.cluster().setFaults(system_.cluster().engine(victim),
                                        faults[pick(random_, faults.size())]);
            ++engineFaults_;
        }
    }

    void calmEngines()
    {
        for (std::size_t i = 0; i < system_.engines(); ++i)
            system_.cluster().setFaults(system_.cluster().engine(i), {{"late_ms", 0},
                                                                      {"crossed_event", -1},
                                                                      {"truncate_after", -1},
                                                                      {"duplicate_event", -1}});
    }

    void callOnce(Random &random)
    {
        CompletionCall call;
        call.prompt = makePrompt(100 + pick(random, 3'000), random());
        call.maxTokens = 1 + static_cast<std::uint32_t>(pick(random, 120));
        call.stream = pick(random, 3) != 0;
        call.timeout = Millis(6'000);
        call.requestId = newUuidV7(wallNow());
        judge(call, callUntilEnded(call, pick(random, system_.daemons()), random));
    }

    /// Calls, and calls again elsewhere when the daemon was hit. A stream that had begun is
    /// resumed.
    Whole callUntilEnded(CompletionCall call, std::size_t daemon, Random &random,
                         const std::function<void()> &onEvent = {})
    {
        Whole whole;
        while (whole.tries < kTries) {
            const std::string id = system_.cluster().daemon(daemon).id;
            if (!outages_.away(id)) {
                ++whole.tries;
                call.lastEventId = whole.lastEventId;
                const TimePoint begin = steadyNow();
                whole.last = system_.client(daemon).complete(call, [&](const std::string &) {
                    if (onEvent)
                        onEvent();
                    return true;
                });
                whole.text += whole.last.text;
                if (!whole.last.lastEventId.empty())
                    whole.lastEventId = whole.last.lastEventId;
                whole.done = whole.last.done;
                // Refused without having run: the caller does as Retry-After says.
                if (whole.last.execution == "not_run" && whole.tries > 1
                    && !whole.last.retryAfter.empty()) {
                    std::this_thread::sleep_for(
                            std::chrono::seconds(std::atoi(whole.last.retryAfter.c_str())));
                    continue;
                }
                const bool ended = whole.done || !whole.last.execution.empty();
                if (ended || !outages_.touched(id, begin, steadyNow()))
                    return whole;
            }
            daemon = pick(random, system_.daemons());
        }
        return whole;
    }

    bool judge(const CompletionCall &call, const Whole &whole)
    {
        judgement_.count();
        const std::string expected = expectedAnswer(call.prompt, call.maxTokens);
        const auto fail = [&](const char *what) {
            judgement_.violation(fmt::format(
                    "{} {}: status {} after {} tries, {} of {} bytes, execution '{}' {}",
                    call.requestId, what, whole.last.status, whole.tries, whole.text.size(),
                    expected.size(), whole.last.execution, whole.last.problem));
            return false;
        };
        if (whole.done) {
            ++whole_;
            return whole.text == expected || fail("ended as whole with another answer");
        }
        ++failed_;
        if (!expected.starts_with(whole.text))
            return fail("got a part that is not of its answer");
        if (whole.last.execution.empty())
            return fail("got neither a whole answer nor a definite failure");
        return false;
    }

    /// Kills a daemon with streams in progress, or with prompts in prefill, without other faults.
    void killDaemonInMidStream(std::size_t index, bool midStream)
    {
        awaitCalm();
        std::atomic<std::size_t> begun{0};
        std::vector<std::jthread> threads;
        std::vector<CompletionCall> calls(kStreamsOfKilledDaemon);
        std::vector<Whole> results(kStreamsOfKilledDaemon);
        for (std::size_t i = 0; i < kStreamsOfKilledDaemon; ++i) {
            CompletionCall &call = calls[i];
            call.prompt = makePrompt(midStream ? 200 : 60'000, random_());
            call.maxTokens = kLongAnswer;
            call.timeout = Millis(15'000);
            call.requestId = newUuidV7(wallNow());
            threads.emplace_back([&, i, seed = random_()] {
                Random random(seed);
                std::size_t events = 0;
                results[i] = callUntilEnded(calls[i], index, random, [&] {
                    if (++events == 20)
                        ++begun;
                });
            });
        }
        if (midStream)
            eventually(Millis(5'000), [&] { return begun == kStreamsOfKilledDaemon; });
        else
            std::this_thread::sleep_for(Millis(400));
        plan_.kill(system_.cluster().daemon(index));
        for (std::jthread &thread : threads)
            thread.join();
        plan_.heal();
        for (std::size_t i = 0; i < kStreamsOfKilledDaemon; ++i) {
            const bool own = judge(calls[i], results[i]) && results[i].tries > 1;
            (midStream ? resumed_ : repeated_) += own ? 1 : 0;
            if (!own)
                judgement_.violation(fmt::format(
                        "{} of a killed daemon did not get its whole answer elsewhere: status {} "
                        "after {} tries: {}",
                        calls[i].requestId, results[i].last.status, results[i].tries,
                        results[i].last.problem));
        }
    }

    void awaitCalm()
    {
        for (std::size_t i = 0; i < system_.daemons(); ++i)
            system_.awaitSendable(i, system_.engines(), Millis(10'000));
    }

    ProofSystem system_;
    Outages outages_;
    FaultPlan plan_;
    Random random_;
    std::uint64_t seed_;
    bool brief_;
    Judgement judgement_;
    std::uint64_t engineFaults_ = 0;
    std::atomic<std::uint64_t> whole_{0};
    std::atomic<std::uint64_t> failed_{0};
    std::size_t resumed_ = 0;
    std::size_t repeated_ = 0;
};

} // namespace

ProofResult proveOwnWholeAnswer(const ProofOptions &options)
{
    return AnswerProof(options).run();
}

} // namespace cicadafork::test
