#include "proofs/proof.h"
#include "support/keyedload.h"

#include <fmt/format.h>

namespace cicadafork::test {

namespace {

constexpr std::size_t kCallers = 10;
constexpr std::size_t kRounds = 16;
constexpr std::size_t kBriefRounds = 5;
// The longest timeout of a call is 2.5 s; frozen and delayed bytes are delivered when healed.
constexpr Millis kQuiet{3000};
constexpr Millis kDrainTimeout{12'000};

} // namespace

ProofResult proveNotRunIsTrue(const ProofOptions &options)
{
    Random random(options.seed);
    ProofSystem system(keyedCluster());
    CallJournal journal;
    KeyedLoad load(system, journal, {});
    Outages outages;
    CallerPool callers;
    callers.start(
            kCallers, [&](Random &own) { load.call(own); }, options.seed);
    ProofResult result;
    result.faults = injectFaults(system, outages, random, options.brief ? kBriefRounds : kRounds);
    callers.stop();
    awaitQuiet(system, kQuiet, kDrainTimeout);
    const std::vector<CallRecord> calls = journal.calls();
    const std::vector<Execution> executions = readExecutions(system);
    result.requests = calls.size();
    result.violations = falseNotRuns(calls, executions);
    result.figure = fmt::format("false={} {} executions={}", result.violations.size(),
                                summaryOf(calls), executions.size());
    return result;
}

} // namespace cicadafork::test
