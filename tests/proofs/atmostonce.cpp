#include "base/ids.h"
#include "proofs/proof.h"
#include "support/keyedload.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <thread>

namespace cicadafork::test {

namespace {

constexpr std::size_t kCallers = 10;
constexpr std::size_t kRounds = 16;
constexpr std::size_t kBriefRounds = 5;
constexpr std::size_t kLateDuplicates = 150;
constexpr std::size_t kLateThreads = 6;
constexpr Millis kQuiet{1500};
constexpr Millis kDrainTimeout{12'000};
constexpr Millis kAfterWindow = std::chrono::minutes(11);
constexpr Millis kTimeout{3000};

/// Calls that were answered by a daemon that was neither killed nor frozen afterwards: its outcome
/// must have reached the log. At most kLateDuplicates, one of a key.
std::vector<CallRecord> answeredForGood(const std::vector<CallRecord> &calls,
                                        const std::map<std::string, bool> &disturbed)
{
    std::map<std::string, CallRecord> chosen;
    for (const CallRecord &call : calls) {
        const bool kept = call.result.status == 200 && !call.key.empty()
                          && !disturbed.at(call.daemonId) && !call.result.replayed;
        if (kept && chosen.size() < kLateDuplicates)
            chosen.emplace(call.key, call);
    }
    std::vector<CallRecord> list;
    for (auto &[key, call] : chosen)
        list.push_back(std::move(call));
    return list;
}

/// Repeats each call through another daemon, when all faults have been undone.
void repeatLate(KeyedLoad &load, const std::vector<CallRecord> &calls, std::size_t daemons,
                Judgement &judgement)
{
    std::vector<std::jthread> threads;
    for (std::size_t thread = 0; thread < kLateThreads; ++thread) {
        threads.emplace_back([&, thread] {
            for (std::size_t i = thread; i < calls.size(); i += kLateThreads) {
                const CallResult again = load.attempt(i % daemons, calls[i].key, "9", kTimeout);
                if (again.status != 200 || !again.replayed || again.text != calls[i].result.text) {
                    judgement.violation(fmt::format(
                            "key {}: the late duplicate got {} ({}) instead of the first outcome",
                            calls[i].key, again.status, again.problem));
                }
            }
        });
    }
    for (std::jthread &thread : threads)
        thread.join();
}

void tryExpiredKeys(KeyedLoad &load, std::size_t daemons, Judgement &judgement)
{
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        const CallResult result
                = load.attempt(daemon, newUuidV7(wallNow() - kAfterWindow), "", kTimeout);
        if (result.status != 400) {
            judgement.violation(
                    fmt::format("a key older than the de-duplication window got {} and not 400",
                                result.status));
        }
    }
}

void append(std::vector<std::string> &list, std::vector<std::string> more)
{
    list.insert(list.end(), more.begin(), more.end());
}

} // namespace

ProofResult proveAtMostOnce(const ProofOptions &options)
{
    Random random(options.seed);
    ProofSystem system(keyedCluster());
    CallJournal journal;
    KeyedLoad load(system, journal, {.keyedShare = 1, .engineShare = 0});
    Outages outages;
    Judgement judgement;
    CallerPool callers;
    const TimePoint begin = steadyNow();
    callers.start(
            kCallers, [&](Random &own) { load.call(own); }, options.seed);
    ProofResult result;
    result.faults = injectFaults(system, outages, random, options.brief ? kBriefRounds : kRounds);
    callers.stop();
    awaitQuiet(system, kQuiet, kDrainTimeout);
    std::map<std::string, bool> disturbed;
    for (std::size_t i = 0; i < system.daemons(); ++i) {
        const std::string &id = system.cluster().daemon(i).id;
        disturbed[id] = outages.touched(id, begin, steadyNow());
    }
    const std::vector<CallRecord> late = answeredForGood(journal.calls(), disturbed);
    repeatLate(load, late, system.daemons(), judgement);
    tryExpiredKeys(load, system.daemons(), judgement);
    awaitQuiet(system, kQuiet, kDrainTimeout);
    const std::vector<CallRecord> calls = journal.calls();
    const std::vector<Execution> executions = readExecutions(system);
    result.requests = calls.size();
    const std::vector<std::string> repeated = repeatedExecutions(executions);
    result.violations = repeated;
    append(result.violations, judgement.violations());
    append(result.violations, differingOutcomes(calls, executions));
    const auto replays = std::count_if(calls.begin(), calls.end(),
                                       [](const CallRecord &call) { return call.result.replayed; });
    result.figure = fmt::format("keys-run-twice={} executions={} replays={} late-duplicates={} {}",
                                repeated.size(), executions.size(), replays, late.size(),
                                summaryOf(calls));
    return result;
}

} // namespace cicadafork::test
