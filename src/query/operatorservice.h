#pragma once

// Runs operators' statements on a daemon. Queries about the state of processes are sent to all
// daemons; commands are appended to the configuration log.
//
//   OperatorService service(configStore, hooks);
//   OperatorReply reply = service.run({.text = "show requests", .operatorName = "ana"});
//
// A query waits at most its timeout; the reply lists the members that did not answer.

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
    std::string operatorName; ///< Recorded in the configuration history.
    bool dryRun = false;      ///< Checks a command against the configuration, appends nothing.
    Millis timeout{3000};
};

/// One member's answer to a query that was sent to all members.
struct MemberAnswer
{
    std::string memberId;
    std::string failureDomain;
    std::optional<ResultTable> table; ///< Empty when the member did not answer in time.
};

struct OperatorHooks
{
    /// Rows of this process, for subjects whose rows differ between processes.
    std::function<ResultTable(Subject)> localRows;
    /// Requests the local rows of a subject from every other member.
    std::function<std::vector<MemberAnswer>(Subject, Millis timeout)> queryMembers;
    /// Explains what a request of this process waits for; no rows when it has no such request.
    std::function<ResultTable(const std::string &requestId)> explainLocally;
    /// Requests the explanation of a request from every other member.
    std::function<std::vector<MemberAnswer>(const std::string &requestId, Millis timeout)>
            explainOnMembers;
    /// The verdict that a command would get against the current configuration; appends nothing.
    std::function<Verdict(const Command &)> preview;
};

struct OperatorReply
{
    std::variant<ResultTable, Verdict, Error> body;
    std::vector<std::string> notes; ///< Warnings about an accepted command.
};

class OperatorService
{
public:
    OperatorService(ConfigStore &store, OperatorHooks hooks);

    OperatorReply run(const OperatorRequest &request);

private:
    Result<ResultTable> runShow(const ShowStatement &statement, Millis timeout);
    Result<ResultTable> runWhy(const WhyStatement &statement, Millis timeout);
    Result<Verdict> runCommand(CommandStatement statement, const OperatorRequest &request);

    ConfigStore &store_;
    OperatorHooks hooks_;
};

/// The reply as JSON: {"table":…}, {"verdict":…} or {"error":…}, with "notes" if any.
nlohmann::json toJson(const OperatorReply &reply);

} // namespace cicadafork
