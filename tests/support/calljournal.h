#pragma once

// What callers saw and what endpoints recorded, and the judgement of one against the other.
//
//   CallJournal journal;
//   journal.add(call);                              // from many threads
//   std::vector<Execution> ran = readExecutions(system);
//   violations = falseNotRuns(journal.calls(), ran);

#include "support/proofsystem.h"

#include <mutex>
#include <string>
#include <vector>

namespace cicadafork::test {

struct CallRecord
{
    std::string requestId; ///< Different for each call.
    std::string key;       ///< Empty when the call was sent without one.
    std::string daemonId;
    WallTime sent;
    WallTime answered;
    CallResult result;
};

struct Execution
{
    std::string endpointId;
    std::string requestId;
    std::string key;
    WallTime started;
};

class CallJournal
{
public:
    void add(CallRecord call);
    std::vector<CallRecord> calls() const;

private:
    mutable std::mutex mutex_;
    std::vector<CallRecord> calls_;
};

/// The records of all engines and services. Throws std::runtime_error when one does not answer.
std::vector<Execution> readExecutions(ProofSystem &system);

/// Waits until no execution is added for the time, at most until the timeout.
void awaitQuiet(ProofSystem &system, Millis quiet, Millis timeout);

/// Calls that were told not_run although the call itself, or an earlier attempt with its key, ran.
/// An attempt with the key that overlaps the call may run after the answer.
std::vector<std::string> falseNotRuns(const std::vector<CallRecord> &calls,
                                      const std::vector<Execution> &executions);

/// Keys that ran more than once.
std::vector<std::string> repeatedExecutions(const std::vector<Execution> &executions);

/// Keys whose callers got two different answers, or an answer without an execution.
std::vector<std::string> differingOutcomes(const std::vector<CallRecord> &calls,
                                           const std::vector<Execution> &executions);

/// "not_run=3 may_have_run=2 answered=40 unanswered=1".
std::string summaryOf(const std::vector<CallRecord> &calls);

} // namespace cicadafork::test
