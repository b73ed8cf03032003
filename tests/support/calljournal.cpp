#include "support/calljournal.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <stdexcept>

namespace cicadafork::test {

namespace {

constexpr Millis kPoll{200};

using Executions = std::multimap<std::string, const Execution *>;

Executions byKey(const std::vector<Execution> &executions)
{
    Executions rows;
    for (const Execution &execution : executions) {
        if (!execution.key.empty())
            rows.emplace(execution.key, &execution);
    }
    return rows;
}

WallTime timeOf(const nlohmann::json &row)
{
    return WallTime(Millis(row.value("started_ms", std::int64_t{0})));
}

/// An engine knows a request under workspace~request id.
std::string callersId(const std::string &requestId)
{
    const std::size_t separator = requestId.find('~');
    return separator == std::string::npos ? requestId : requestId.substr(separator + 1);
}

} // namespace

void CallJournal::add(CallRecord call)
{
    const std::lock_guard lock(mutex_);
    calls_.push_back(std::move(call));
}

std::vector<CallRecord> CallJournal::calls() const
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

std::vector<Execution> readExecutions(ProofSystem &system)
{
    std::vector<Execution> executions;
    for (const auto &[id, member] : system.cluster().members()) {
        if (member.program != "standin-engine" && member.program != "standin-service")
            continue;
        const nlohmann::json record = system.admin(member, "/admin/executions");
        if (!record.contains("executions"))
            throw std::runtime_error(id + " does not show its executions");
        for (const nlohmann::json &row : record["executions"]) {
            executions.push_back({id, callersId(row.value("request_id", "")), row.value("key", ""),
                                  timeOf(row)});
        }
    }
    return executions;
}

void awaitQuiet(ProofSystem &system, Millis quiet, Millis timeout)
{
    const TimePoint limit = steadyNow() + timeout;
    std::size_t last = readExecutions(system).size();
    TimePoint since = steadyNow();
    while (steadyNow() < limit && steadyNow() < since + quiet) {
        std::this_thread::sleep_for(kPoll);
        const std::size_t now = readExecutions(system).size();
        if (now != last)
            since = steadyNow();
        last = now;
    }
}

std::vector<std::string> falseNotRuns(const std::vector<CallRecord> &calls,
                                      const std::vector<Execution> &executions)
{
    std::map<std::string, const CallRecord *> byId;
    for (const CallRecord &call : calls)
        byId[call.requestId] = &call;
    std::map<std::string, const Execution *> ran;
    for (const Execution &execution : executions)
        ran[execution.requestId] = &execution;
    const Executions ranByKey = byKey(executions);
    std::vector<std::string> found;
    for (const CallRecord &call : calls) {
        if (call.result.execution != "not_run")
            continue;
        if (ran.contains(call.requestId)) {
            found.push_back(fmt::format("call {} at {} was told not_run and ran at {}",
                                        call.requestId, call.daemonId,
                                        ran.at(call.requestId)->endpointId));
        }
        const auto [begin, end] = ranByKey.equal_range(call.key);
        for (auto row = begin; row != end; ++row) {
            const auto other = byId.find(row->second->requestId);
            if (other == byId.end() || other->second == &call)
                continue;
            const bool endedBefore = other->second->answered <= call.sent;
            const bool ranBefore = row->second->started < call.answered;
            // The endpoint records whole milliseconds.
            const bool sentBefore = other->second->sent < call.answered - Millis(1);
            if (endedBefore || (ranBefore && sentBefore)) {
                found.push_back(fmt::format(
                        "call {} at {} was told not_run: {}; attempt {} with its key ran at {}",
                        call.requestId, call.daemonId, call.result.problem, other->first,
                        row->second->endpointId));
            }
        }
    }
    return found;
}

std::vector<std::string> repeatedExecutions(const std::vector<Execution> &executions)
{
    const Executions rows = byKey(executions);
    std::vector<std::string> found;
    for (auto row = rows.begin(); row != rows.end(); row = rows.upper_bound(row->first)) {
        const std::size_t count = rows.count(row->first);
        if (count > 1)
            found.push_back(fmt::format("key {} ran {} times", row->first, count));
    }
    return found;
}

std::vector<std::string> differingOutcomes(const std::vector<CallRecord> &calls,
                                           const std::vector<Execution> &executions)
{
    const Executions ran = byKey(executions);
    std::map<std::string, const CallRecord *> first;
    std::vector<std::string> found;
    for (const CallRecord &call : calls) {
        if (call.key.empty() || call.result.status != 200)
            continue;
        if (!ran.contains(call.key))
            found.push_back(
                    fmt::format("call {} was answered and its key did not run", call.requestId));
        const auto [row, inserted] = first.emplace(call.key, &call);
        if (!inserted && row->second->result.text != call.result.text) {
            found.push_back(fmt::format("calls {} and {} with key {} got different answers",
                                        row->second->requestId, call.requestId, call.key));
        }
    }
    return found;
}

std::string summaryOf(const std::vector<CallRecord> &calls)
{
    std::map<std::string, std::size_t> counts
            = {{"not_run", 0}, {"may_have_run", 0}, {"answered", 0}, {"unanswered", 0}};
    for (const CallRecord &call : calls) {
        const CallResult &result = call.result;
        if (result.status == 200)
            ++counts["answered"];
        else
            ++counts[result.execution.empty() ? "unanswered" : result.execution];
    }
    return fmt::format("not_run={} may_have_run={} answered={} unanswered={}", counts["not_run"],
                       counts["may_have_run"], counts["answered"], counts["unanswered"]);
}

} // namespace cicadafork::test
