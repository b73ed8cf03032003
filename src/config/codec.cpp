#include "config/codec.h"

#include "base/json.h"

#include <array>
#include <stdexcept>

namespace cicadafork {

namespace {

using nlohmann::json;

constexpr std::array kVerbs
        = {CommandVerb::Create, CommandVerb::Change, CommandVerb::Drain,  CommandVerb::Stop,
           CommandVerb::Load,   CommandVerb::Role,   CommandVerb::Undrain};
constexpr std::array kEntityKinds
        = {EntityKind::Workspace, EntityKind::Service, EntityKind::Endpoint};
constexpr std::array kServiceStates
        = {ServiceState::Active, ServiceState::Draining, ServiceState::Stopped};
constexpr std::array kServiceKinds = {ServiceKind::Model, ServiceKind::Plain};

template <class Enum, std::size_t Size>
Enum parseName(const std::array<Enum, Size> &values, const std::string &text)
{
    for (Enum value : values) {
        if (text == toString(value))
            return value;
    }
    throw std::out_of_range("unknown name " + text);
}

json toJson(const Workspace &workspace)
{
    return {{"id", workspace.id},
            {"credential_sha256", workspace.credentialSha256},
            {"services", workspace.services},
            {"requests_per_second", workspace.requestsPerSecond},
            {"share", workspace.share},
            {"version", workspace.version}};
}

Workspace workspaceFrom(const json &data)
{
    return {data.at("id"),
            data.at("credential_sha256"),
            data.at("services").get<std::set<std::string>>(),
            data.at("requests_per_second"),
            data.at("share"),
            data.at("version")};
}

json toJson(const Service &service)
{
    return {{"id", service.id},
            {"kind", toString(service.kind)},
            {"state", toString(service.state)},
            {"models", service.models},
            {"adapters", service.adapters},
            {"model_versions", service.modelVersions},
            {"non_repeatable", service.nonRepeatable},
            {"priority", toString(service.priority)},
            {"version", service.version}};
}

Service serviceFrom(const json &data)
{
    Service service;
    service.id = data.at("id");
    service.kind = parseName(kServiceKinds, data.at("kind"));
    service.state = parseName(kServiceStates, data.at("state"));
    service.models = data.at("models").get<std::set<std::string>>();
    service.adapters = data.at("adapters").get<std::map<std::string, std::string>>();
    service.modelVersions = data.at("model_versions").get<std::map<std::string, std::string>>();
    service.nonRepeatable = data.at("non_repeatable").get<std::set<std::string>>();
    service.priority = parsePriority(data.at("priority").get<std::string>()).value();
    service.version = data.at("version");
    return service;
}

json toJson(const EndpointIntent &intent)
{
    return {{"id", intent.id},
            {"drained", intent.drained},
            {"models", intent.models},
            {"role", intent.role},
            {"version", intent.version}};
}

EndpointIntent intentFrom(const json &data)
{
    return {data.at("id"), data.at("drained"), data.at("models").get<std::set<std::string>>(),
            data.at("role"), data.at("version")};
}

json toJson(const ChangeHistoryEntry &entry)
{
    return {{"offset", entry.offset},         {"time_ms", sinceEpoch(entry.time).count()},
            {"operator", entry.operatorName}, {"text", entry.text},
            {"accepted", entry.accepted},     {"reason", entry.reason},
            {"command_id", entry.commandId},  {"code", static_cast<int>(entry.code)},
            {"remedy", entry.remedy},         {"version", entry.version}};
}

ChangeHistoryEntry historyEntryFrom(const json &data)
{
    return {data.at("offset"),     fromEpoch(Millis(data.at("time_ms").get<std::int64_t>())),
            data.at("operator"),   data.at("text"),
            data.at("accepted"),   data.at("reason"),
            data.at("command_id"), static_cast<ErrorCode>(data.at("code").get<int>()),
            data.at("remedy"),     data.at("version")};
}

bool hasType(const json &data, const char *type)
{
    return data.is_object() && data.contains("type") && data["type"] == type;
}

} // namespace

json encodeCommand(const Command &command)
{
    return {{"type", "command"},
            {"command_id", command.commandId},
            {"operator", command.operatorName},
            {"verb", toString(command.verb)},
            {"kind", toString(command.kind)},
            {"entity", command.entityId},
            {"fields", command.fields},
            {"base_version", command.baseVersion},
            {"text", command.text}};
}

std::optional<Command> decodeCommand(const json &data)
{
    if (!hasType(data, "command"))
        return std::nullopt;
    try {
        return Command{data.at("command_id"),
                       data.at("operator"),
                       parseName(kVerbs, data.at("verb")),
                       parseName(kEntityKinds, data.at("kind")),
                       data.at("entity"),
                       data.at("fields").get<std::map<std::string, std::string>>(),
                       data.at("base_version").get<std::uint64_t>(),
                       data.at("text")};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

json encodeSnapshot(const Configuration &configuration)
{
    json data = {{"type", "snapshot"},          {"next_offset", configuration.nextOffset},
                 {"workspaces", json::array()}, {"services", json::array()},
                 {"endpoints", json::array()},  {"history", json::array()}};
    for (const auto &[id, workspace] : configuration.workspaces)
        data["workspaces"].push_back(toJson(workspace));
    for (const auto &[id, service] : configuration.services)
        data["services"].push_back(toJson(service));
    for (const auto &[id, intent] : configuration.endpointIntents)
        data["endpoints"].push_back(toJson(intent));
    for (const auto &entry : configuration.history)
        data["history"].push_back(toJson(entry));
    return data;
}

std::optional<Configuration> decodeSnapshot(const json &data)
{
    if (!hasType(data, "snapshot"))
        return std::nullopt;
    try {
        Configuration configuration;
        configuration.nextOffset = data.at("next_offset").get<Offset>();
        for (const auto &entry : data.at("workspaces"))
            configuration.workspaces[entry.at("id")] = workspaceFrom(entry);
        for (const auto &entry : data.at("services"))
            configuration.services[entry.at("id")] = serviceFrom(entry);
        for (const auto &entry : data.at("endpoints"))
            configuration.endpointIntents[entry.at("id")] = intentFrom(entry);
        for (const auto &entry : data.at("history"))
            configuration.history.push_back(historyEntryFrom(entry));
        return configuration;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string encodeUpdate(const ConfigUpdate &update)
{
    json data = {{"records", json::array()}};
    if (update.snapshot)
        data["snapshot"] = encodeSnapshot(*update.snapshot);
    for (const LogRecord &record : update.records) {
        data["records"].push_back({{"offset", record.offset},
                                   {"time_ms", sinceEpoch(record.time).count()},
                                   {"data", record.data}});
    }
    return data.dump();
}

Result<ConfigUpdate> decodeUpdate(const std::string &text)
{
    const auto malformed = [] {
        return fail(ErrorCode::InvalidArgument, "malformed configuration update",
                    "check that all daemons run compatible versions");
    };
    const json data = parseJson(text);
    ConfigUpdate update;
    try {
        if (data.contains("snapshot")) {
            update.snapshot = decodeSnapshot(data.at("snapshot"));
            if (!update.snapshot)
                return malformed();
        }
        for (const auto &entry : data.at("records")) {
            update.records.push_back({entry.at("offset").get<Offset>(),
                                      fromEpoch(Millis(entry.at("time_ms").get<std::int64_t>())),
                                      entry.at("data")});
        }
    } catch (const json::exception &) {
        return malformed();
    }
    return update;
}

} // namespace cicadafork
