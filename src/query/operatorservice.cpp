#include "query/operatorservice.h"

#include "base/ids.h"
#include "query/configrows.h"

namespace cicadafork {

namespace {

Result<std::shared_ptr<const Configuration>> currentConfiguration(const ConfigStore &store)
{
    auto configuration = store.current();
    if (configuration)
        return configuration;
    return fail(ErrorCode::Unavailable, "no configuration is known yet",
                "retry when /readyz of this daemon answers 200");
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

/// Version of the entity that a command names; 0 when it does not exist.
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
        return {statement.error()};
    const auto reply = [](const auto &outcome) {
        return outcome ? OperatorReply{*outcome} : OperatorReply{outcome.error()};
    };
    if (const auto *showStatement = std::get_if<ShowStatement>(&*statement))
        return reply(capture([&] { return show(*showStatement, request.timeout); }));
    if (const auto *whyStatement = std::get_if<WhyStatement>(&*statement))
        return reply(capture([&] { return why(*whyStatement, request.timeout); }));
    auto command = std::get<CommandStatement>(std::move(*statement));
    return reply(capture([&] { return change(std::move(command), request); }));
}

Result<ResultTable> OperatorService::show(const ShowStatement &statement, Millis timeout)
{
    ResultTable table;
    switch (statement.subject) {
    case Subject::Services:
    case Subject::Workspaces:
    case Subject::History: {
        // These come from the configuration, which is the same everywhere.
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
        const auto answers = hooks_.askMembers(statement.subject, timeout);
        BOOST_LEAF_ASSIGN(table, mergeAnswers(hooks_.localRows(statement.subject), answers));
        break;
    }
    }
    BOOST_LEAF_CHECK(applyShow(table, statement));
    return table;
}

Result<ResultTable> OperatorService::why(const WhyStatement &statement, Millis timeout)
{
    ResultTable local = hooks_.explainLocally(statement.requestId);
    if (!local.rows.empty())
        return local;
    return mergeAnswers(std::move(local), hooks_.askMembersWhy(statement.requestId, timeout));
}

Result<Verdict> OperatorService::change(CommandStatement statement, const OperatorRequest &request)
{
    BOOST_LEAF_AUTO(configuration, currentConfiguration(store_));
    Command command = std::move(statement.command);
    command.commandId = newUuidV7(wallNow());
    command.operatorName = request.operatorName;
    if (!statement.versionGiven)
        command.baseVersion = currentVersion(*configuration, command);
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
        return {{"verdict", json}};
    }
    return {{"error", errorJson(std::get<Error>(reply.body))}};
}

} // namespace cicadafork
