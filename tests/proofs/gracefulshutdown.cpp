#include "proofs/proof.h"

#include "base/ids.h"
#include "http/client.h"
#include "support/eventually.h"
#include "support/proofsystem.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>

namespace cicadafork::test {

namespace {

constexpr std::size_t kCallers = 28;
constexpr std::size_t kServices = 2;
constexpr Millis kServiceLatency{300};
constexpr std::uint32_t kLongAnswer = 1'500;
constexpr Millis kRequestTimeout{20'000};
constexpr Millis kEndsWithin{25'000};
// The platform's balancer needs to see the failed readiness before the listener closes.
constexpr Millis kReadinessLead{300};
constexpr Millis kReadinessFailsWithin{200};
constexpr Millis kLoadBefore{1'500};
/// A request that began this long before the signal is in progress at the daemon.
constexpr Millis kInProgressAfter{200};
constexpr Millis kSecondSignalAfter{300};
constexpr Millis kEndsAtOnce{250};
constexpr Millis kProbePoll{3};

ClusterOptions clusterOptions()
{
    ClusterOptions options;
    options.engines = 3;
    options.services = kServices;
    options.daemons = 4;
    options.timeScale = 4;
    return options;
}

struct Sample
{
    std::string what;
    std::size_t daemon = 0;
    TimePoint begin;
    TimePoint end;
    CallResult result;
    bool whole = false;
    ServiceCall keyedCall; ///< Its key is empty for other requests.
};

/// What a balancer sees of one daemon that shuts down.
struct Probe
{
    std::optional<TimePoint> notReady;
    std::optional<TimePoint> closed;
};

class ShutdownProof
{
public:
    explicit ShutdownProof(const ProofOptions &options)
        : system_(clusterOptions())
        , random_(options.seed)
        , seed_(options.seed)
        , brief_(options.brief)
    {
    }

    ProofResult run()
    {
        for (std::size_t i = 0; i < kServices; ++i)
            system_.cluster().setFaults(system_.cluster().service(i),
                                        {{"latency_ms", kServiceLatency.count()}});
        CallerPool pool;
        pool.start(
                kCallers, [this](Random &random) { callOnce(random); }, seed_);
        for (std::size_t i = 0; i < (brief_ ? 1 : 3); ++i) {
            std::this_thread::sleep_for(kLoadBefore + Millis(pick(random_, 500)));
            shutDown(pick(random_, system_.daemons()));
        }
        std::this_thread::sleep_for(kLoadBefore);
        secondSignal(pick(random_, system_.daemons()));
        pool.stop();
        judgeReplays();
        ProofResult result;
        result.faults = signals_;
        result.requests = samples_.size() + replays_;
        result.figure = fmt::format("{} requests in progress at SIGTERM, {} cut; readiness failed "
                                    "{} ms before the listener closed; second SIGTERM ended the "
                                    "process after {} ms",
                                    inProgress_, cut_, lead_.count(), endedAfter_.count());
        result.violations = violations_;
        return result;
    }

private:
    void callOnce(Random &random)
    {
        Sample sample;
        sample.daemon = pick(random, system_.daemons());
        const SystemClient client = system_.client(sample.daemon);
        sample.begin = steadyNow();
        if (pick(random, 3) == 0) {
            ServiceCall call;
            call.service = kPlainService;
            call.operation = "send-text";
            call.idempotencyKey = newUuidV7(wallNow());
            call.attempt = "1";
            call.timeout = kRequestTimeout;
            sample.what = "keyed call " + call.idempotencyKey;
            sample.result = client.callService(call);
            sample.whole = sample.result.status == 200;
            sample.keyedCall = call;
        } else {
            CompletionCall call;
            call.prompt = makePrompt(100 + pick(random, 2'000), random());
            call.maxTokens = 1 + static_cast<std::uint32_t>(pick(random, kLongAnswer));
            call.stream = pick(random, 4) != 0;
            call.timeout = kRequestTimeout;
            call.requestId = newUuidV7(wallNow());
            sample.what = "completion " + call.requestId;
            sample.result = client.complete(call);
            sample.whole = isWholeAnswer(sample.result, call.prompt, call.maxTokens);
        }
        sample.end = steadyNow();
        const std::lock_guard lock(mutex_);
        samples_.push_back(std::move(sample));
    }

    void shutDown(std::size_t index)
    {
        ClusterMember &daemon = system_.cluster().daemon(index);
        std::atomic<bool> over{false};
        Probe probe;
        std::jthread prober([&] { probe = watch(daemon.address, over); });
        const TimePoint signalAt = steadyNow();
        daemon.process->sendSignal(SIGTERM);
        ++signals_;
        const auto status = daemon.process->wait(kEndsWithin);
        const TimePoint endedAt = steadyNow();
        over = true;
        prober.join();
        if (status != 0)
            violations_.push_back(fmt::format("{} ended with status {} instead of 0", daemon.id,
                                              status ? std::to_string(*status) : "(runs)"));
        judgeProbe(daemon.id, probe, signalAt);
        // Requests that the signal met have ended by now; a caller may need a moment to note it.
        std::this_thread::sleep_for(Millis(200));
        judgeSamples(index, signalAt, endedAt, probe);
        system_.cluster().restart(daemon);
        system_.awaitSendable(index, system_.engines() + kServices, Millis(10'000));
    }

    static Probe watch(const Address &address, const std::atomic<bool> &over)
    {
        Probe probe;
        while (!over && !probe.closed) {
            const auto reply = capture([&] { return httpGet(address, "/readyz", Millis(1000)); });
            if (!reply)
                probe.closed = steadyNow();
            else if (reply->status != 200 && !probe.notReady)
                probe.notReady = steadyNow();
            std::this_thread::sleep_for(kProbePoll);
        }
        return probe;
    }

    void judgeProbe(const std::string &id, const Probe &probe, TimePoint signalAt)
    {
        if (!probe.notReady || *probe.notReady - signalAt > kReadinessFailsWithin) {
            violations_.push_back(id + " did not fail its readiness at once after SIGTERM");
            return;
        }
        const TimePoint closed = probe.closed.value_or(steadyNow());
        const Millis lead = std::chrono::duration_cast<Millis>(closed - *probe.notReady);
        lead_ = std::min(lead_, lead);
        if (lead < kReadinessLead)
            violations_.push_back(fmt::format("{} closed its listener {} ms after the readiness "
                                              "failed",
                                              id, lead.count()));
    }

    /// Requests in progress at the signal are answered whole. Later ones are refused as not run; no
    /// request is without an answer before the listener closes.
    void judgeSamples(std::size_t index, TimePoint signalAt, TimePoint endedAt, const Probe &probe)
    {
        const std::lock_guard lock(mutex_);
        for (const Sample &sample : samples_) {
            if (sample.daemon != index || sample.end < signalAt || sample.begin > endedAt)
                continue;
            const auto report = [&](const char *what) {
                ++cut_;
                violations_.push_back(fmt::format(
                        "{} {} {}: began {} ms after SIGTERM, status {} '{}' {}",
                        system_.cluster().daemon(index).id, sample.what, what,
                        std::chrono::duration_cast<Millis>(sample.begin - signalAt).count(),
                        sample.result.status, sample.result.execution, sample.result.problem));
            };
            const bool before = sample.begin + kInProgressAfter <= signalAt;
            inProgress_ += before ? 1 : 0;
            const bool refused
                    = sample.result.status == 503 && sample.result.execution == "not_run";
            const bool unanswered = sample.result.status == 0
                                    && sample.begin > signalAt + kReadinessLead
                                    && (!probe.closed || sample.end + Millis(50) > *probe.closed);
            if (before && !sample.whole)
                report("was in progress and was cut");
            else if (!before && !sample.whole && !refused && !unanswered)
                report("was neither answered nor refused as not run");
        }
    }

    void secondSignal(std::size_t index)
    {
        ClusterMember &daemon = system_.cluster().daemon(index);
        std::vector<std::jthread> streams;
        for (std::size_t i = 0; i < 4; ++i) {
            streams.emplace_back([this, index, i] {
                CompletionCall call;
                call.prompt = makePrompt(200, seed_ * 10 + i);
                call.maxTokens = 3'000;
                call.timeout = kRequestTimeout;
                (void)system_.client(index).complete(call);
            });
        }
        std::this_thread::sleep_for(Millis(500));
        daemon.process->sendSignal(SIGTERM);
        std::this_thread::sleep_for(kSecondSignalAfter);
        if (!daemon.process->running())
            violations_.push_back(daemon.id + " ended with streams in progress");
        const TimePoint begin = steadyNow();
        daemon.process->sendSignal(SIGTERM);
        signals_ += 2;
        const auto status = daemon.process->wait(Millis(5'000));
        endedAfter_ = std::chrono::duration_cast<Millis>(steadyNow() - begin);
        if (!status || *status == 0 || endedAfter_ > kEndsAtOnce)
            violations_.push_back(fmt::format("{} ended {} ms after the second SIGTERM with status "
                                              "{}",
                                              daemon.id, endedAfter_.count(),
                                              status ? std::to_string(*status) : "(runs)"));
        for (std::jthread &thread : streams)
            thread.join();
        system_.cluster().restart(daemon);
        system_.awaitSendable(index, system_.engines() + kServices, Millis(10'000));
    }

    /// Outcomes of keyed calls outlive the daemon that shut down after them.
    void judgeReplays()
    {
        for (const Sample &sample : samples_) {
            if (sample.keyedCall.idempotencyKey.empty() || !sample.whole || replays_ >= 60)
                continue;
            ++replays_;
            const std::size_t other = (sample.daemon + 1) % system_.daemons();
            const CallResult again = system_.client(other).callService(sample.keyedCall);
            if (again.status != 200 || !again.replayed || again.text != sample.result.text)
                violations_.push_back(fmt::format("{} is not replayed elsewhere: status {} {}",
                                                  sample.what, again.status, again.problem));
        }
    }

    ProofSystem system_;
    Random random_;
    std::uint64_t seed_;
    bool brief_;
    std::mutex mutex_;
    std::vector<Sample> samples_;
    std::uint64_t signals_ = 0;
    std::uint64_t inProgress_ = 0;
    std::uint64_t cut_ = 0;
    std::uint64_t replays_ = 0;
    Millis lead_{1'000'000};
    Millis endedAfter_{0};
    std::vector<std::string> violations_;
};

} // namespace

ProofResult proveGracefulShutdown(const ProofOptions &options)
{
    return ShutdownProof(options).run();
}

} // namespace cicadafork::test
