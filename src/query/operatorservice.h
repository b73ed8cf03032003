#pragma once

// Runs operators' statements on a daemon: queries fan out to all daemons, commands go to the log.
//
//   OperatorService service(configStore, hooks);
//   OperatorReply reply = service.run({.text = "show requests", .operatorName = "ana"});
//
// A query never waits for a dead member longer than its timeout; the reply names who is missing.

#include "config/configstore.h"
#include "query/resulttable.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace cicadafork {

struct OperatorRequest
{
    std::string text;
    std::string operatorName; ///< Recorded in the history of changes.
    bool dryRun = false;      ///< Check a command against the configuration, append nothing.
    Millis timeout{3000};
};

/// One member's answer to a query that was fanned out; no table when it did not answer in time.
struct MemberAnswer
{
    std::string memberId;
    std::string failureDomain;
    std::optional<ResultTable> table;
};

struct OperatorHooks
{
    /// Rows of this process for subjects that differ between processes.
    std::function<ResultTable(Subject)> localRows;
    /// Asks every other member for its local rows of a subject.
    std::function<std::vector<MemberAnswer>(Subject, Millis timeout)> askMembers;
    /// Explains what a request of this process waits for.
    std::function<ResultTable(const std::string &requestId)> explainLocally;
    /// Asks every other member to explain a request.
    std::function<std::vector<MemberAnswer>(const std::string &requestId, Millis timeout)>
            askMembersWhy;
    /// Verdict that a command would get now, without appending it.
    std::function<Verdict(const Command &)> preview;
};

struct OperatorReply
{
    std::variant<ResultTable, Verdict, Error> body;
    std::vector<std::string> notes; ///< What the operator may have overlooked in a command.
};

class OperatorService
{
public:
    OperatorService(ConfigStore &store, OperatorHooks hooks);

    OperatorReply run(const OperatorRequest &request);

private:
    Result<ResultTable> show(const ShowStatement &statement, Millis timeout);
    Result<ResultTable> why(const WhyStatement &statement, Millis timeout);
    Result<Verdict> change(CommandStatement statement, const OperatorRequest &request);

    ConfigStore &store_;
    OperatorHooks hooks_;
};

/// The reply as JSON: {"table":…}, {"verdict":…} or {"error":…}, with "notes" if there are any.
nlohmann::json toJson(const OperatorReply &reply);

} // namespace cicadafork
