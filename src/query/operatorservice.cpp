#include "query/operatorservice.h"

#include "base/ids.h"
#include "query/configrows.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace cicadafork {

namespace {

Result<std::shared_ptr<const Configuration>> currentConfiguration(const ConfigStore &store)
{
    auto configuration = store.current();
    if (configuration)
        return configuration;
    return fail(ErrorCode::Unavailable, "no configuration has been loaded yet",
                "retry when /readyz of this daemon returns 200");
}

Result<ResultTable> mergeAnswers(ResultTable table, const std::vector<MemberAnswer> &answers)
{
    for (const MemberAnswer &answer : answers) {
        if (!answer.table) {
            table.unanswered.push_back(answer.memberId);
            continue;
        }
        BOOST_LEAF_CHECK(mergeRows(table, *answer.table));
    }
    return table;
}

/// Adds a row for each member that did not answer. Without it the table could suggest that a change
/// is in force on every member.
void addUnknownOffsets(ResultTable &table, const std::vector<MemberAnswer> &answers)
{
    for (const MemberAnswer &answer : answers) {
        if (!answer.table)
            table.rows.push_back({answer.memberId, answer.failureDomain, "unknown", "unknown"});
    }
}

/// Warns about services that a workspace names and that do not exist. This is no error because a
/// workspace may be created before its services.
std::vector<std::string> missingServiceNotes(const Configuration &configuration,
                                             const Command &command)
{
    std::vector<std::string> notes;
    const auto field = command.fields.find("services");
    if (command.kind != EntityKind::Workspace || field == command.fields.end())
        return notes;
    std::istringstream names(field->second);
    for (std::string name; std::getline(names, name, ',');) {
        if (!configuration.services.contains(name))
            notes.push_back(fmt::format("there is no service '{}' yet", name));
    }
    return notes;
}

/// Version of the entity to which a command applies; 0 when it does not exist.
std::uint64_t currentVersion(const Configuration &configuration, const Command &command)
{
    const auto versionIn = [&](const auto &entities) -> std::uint64_t {
        const auto found = entities.find(command.entityId);
        return found == entities.end() ? 0 : found->second.version;
    };
    switch (command.kind) {
    case EntityKind::Workspace:
        return versionIn(configuration.workspaces);
    case EntityKind::Service:
        return versionIn(configuration.services);
    case EntityKind::Endpoint:
        return versionIn(configuration.endpointIntents);
    }
    return 0;
}

bool hasRow(const ResultTable &table, const std::string &id)
{
    return std::ranges::any_of(table.rows, [&](const auto &row) { return row.front() == id; });
}

nlohmann::json errorJson(const Error &error)
{
    return {{"code", toString(error.code)}, {"message", error.message}, {"remedy", error.remedy}};
}

} // namespace

OperatorService::OperatorService(ConfigStore &store, OperatorHooks hooks)
    : store_(store)
    , hooks_(std::move(hooks))
{
}

OperatorReply OperatorService::run(const OperatorRequest &request)
{
    auto statement = capture([&] { return parseStatement(request.text); });
    if (!statement)
        return {statement.error(), {}};
    const auto reply = [](const auto &outcome) {
        return outcome ? OperatorReply{*outcome, {}} : OperatorReply{outcome.error(), {}};
    };
    if (const auto *showStatement = std::get_if<ShowStatement>(&*statement))
        return reply(capture([&] { return runShow(*showStatement, request.timeout); }));
    if (const auto *whyStatement = std::get_if<WhyStatement>(&*statement))
        return reply(capture([&] { return runWhy(*whyStatement, request.timeout); }));
    auto command = std::get<CommandStatement>(std::move(*statement));
    std::vector<std::string> notes;
    if (const auto configuration = store_.current())
        notes = missingServiceNotes(*configuration, command.command);
    OperatorReply answer = reply(capture([&] { return runCommand(std::move(command), request); }));
    const auto *verdict = std::get_if<Verdict>(&answer.body);
    if (verdict && verdict->accepted)
        answer.notes = std::move(notes);
    return answer;
}

Result<ResultTable> OperatorService::runShow(const ShowStatement &statement, Millis timeout)
{
    ResultTable table;
    switch (statement.subject) {
    case Subject::Services:
    case Subject::Workspaces:
    case Subject::History: {
        // These rows come from the configuration, which all members share.
        BOOST_LEAF_AUTO(configuration, currentConfiguration(store_));
        if (statement.subject == Subject::Services)
            table = serviceRows(*configuration);
        else if (statement.subject == Subject::Workspaces)
            table = workspaceRows(*configuration);
        else
            table = historyRows(*configuration);
        break;
    }
    case Subject::Endpoints:
    case Subject::EntryVms:
        table = hooks_.localRows(statement.subject);
        break;
    case Subject::Requests:
    case Subject::Configuration: {
        const auto answers = hooks_.queryMembers(statement.subject, timeout);
        BOOST_LEAF_ASSIGN(table, mergeAnswers(hooks_.localRows(statement.subject), answers));
        if (statement.subject == Subject::Configuration)
            addUnknownOffsets(table, answers);
        break;
    }
    }
    BOOST_LEAF_CHECK(applyShow(table, statement));
    return table;
}

Result<ResultTable> OperatorService::runWhy(const WhyStatement &statement, Millis timeout)
{
    ResultTable local = hooks_.explainLocally(statement.requestId);
    if (!local.rows.empty())
        return local;
    BOOST_LEAF_AUTO(found, mergeAnswers(std::move(local),
                                        hooks_.explainOnMembers(statement.requestId, timeout)));
    if (!found.rows.empty())
        return found;
    return fail(ErrorCode::NotFound,
                fmt::format("no request '{}' is in progress on the members that answered{}",
                            statement.requestId,
                            found.unanswered.empty()
                                    ? ""
                                    : fmt::format("; no answer from: {}",
                                                  fmt::join(found.unanswered, ", "))),
                "list the ids with 'show requests'; completed requests are not kept");
}

Result<Verdict> OperatorService::runCommand(CommandStatement statement,
                                            const OperatorRequest &request)
{
    BOOST_LEAF_AUTO(configuration, currentConfiguration(store_));
    Command command = std::move(statement.command);
    command.commandId = newUuidV7(wallNow());
    command.operatorName = request.operatorName;
    if (!statement.versionGiven)
        command.baseVersion = currentVersion(*configuration, command);
    // A command on an endpoint creates its intent, so a mistyped id would otherwise be accepted.
    if (command.kind == EntityKind::Endpoint && !command.entityId.empty()
        && !configuration->endpointIntents.contains(command.entityId)
        && !hasRow(hooks_.localRows(Subject::Endpoints), command.entityId)) {
        return fail(ErrorCode::NotFound,
                    fmt::format("endpoint '{}' is not in the VM list", command.entityId),
                    "list the endpoints with 'show endpoints'");
    }
    if (request.dryRun)
        return hooks_.preview(command);
    return store_.submit(command, steadyNow() + request.timeout);
}

nlohmann::json toJson(const OperatorReply &reply)
{
    if (const auto *table = std::get_if<ResultTable>(&reply.body))
        return {{"table", toJson(*table)}};
    if (const auto *verdict = std::get_if<Verdict>(&reply.body)) {
        nlohmann::json json = {{"command_id", verdict->commandId},
                               {"accepted", verdict->accepted},
                               {"version", verdict->version}};
        if (!verdict->accepted)
            json["error"] = errorJson(verdict->error);
        nlohmann::json answer = {{"verdict", std::move(json)}};
        if (!reply.notes.empty())
            answer["notes"] = reply.notes;
        return answer;
    }
    return {{"error", errorJson(std::get<Error>(reply.body))}};
}

} // namespace cicadafork
