#include "config/fold.h"

#include "base/number.h"
#include "config/codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace cicadafork {

namespace {

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kCredentialHexDigits = 64;

using Fields = std::map<std::string, std::string>;
using OptionalError = std::optional<Error>;

Error invalidArgument(std::string message, std::string remedy)
{
    return {ErrorCode::InvalidArgument, std::move(message), std::move(remedy)};
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= kMaxIdBytes
           && std::all_of(text.begin(), text.end(), [](unsigned char c) {
                  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
                         || c == '-' || c == '_' || c == '.' || c == '/' || c == ':' || c == '@';
              });
}

OptionalError parseNames(const std::string &field, const std::string &text,
                         std::set<std::string> &out)
{
    std::set<std::string> names;
    std::size_t begin = 0;
    while (!text.empty() && begin <= text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const std::string name = text.substr(begin, end - begin);
        if (!isName(name)) {
            return invalidArgument(fmt::format("{} contains the invalid name '{}'", field, name),
                                   "specify names separated by commas, without spaces");
        }
        names.insert(name);
        begin = end + 1;
    }
    out = std::move(names);
    return std::nullopt;
}

OptionalError parsePairs(const std::string &field, const std::string &text, Fields &out)
{
    Fields pairs;
    std::size_t begin = 0;
    while (!text.empty() && begin <= text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const std::string pair = text.substr(begin, end - begin);
        const std::size_t equals = pair.find('=');
        if (equals == std::string::npos || !isName(pair.substr(0, equals))
            || !isName(pair.substr(equals + 1))) {
            return invalidArgument(fmt::format("{} contains the invalid pair '{}'", field, pair),
                                   "specify model=value pairs separated by commas");
        }
        pairs[pair.substr(0, equals)] = pair.substr(equals + 1);
        begin = end + 1;
    }
    out = std::move(pairs);
    return std::nullopt;
}

OptionalError parseNumberField(const std::string &field, const std::string &text, bool zeroAllowed,
                               double &out)
{
    const auto number = parseNumber<double>(text);
    const bool valid
            = number && std::isfinite(*number) && (*number > 0 || (zeroAllowed && *number == 0));
    if (!valid) {
        return invalidArgument(
                fmt::format("{} cannot be '{}'; the current value is {}", field, text, out),
                zeroAllowed ? "specify a number of at least 0" : "specify a number above 0");
    }
    out = *number;
    return std::nullopt;
}

OptionalError unknownField(EntityKind kind, const std::string &name, const char *known)
{
    return invalidArgument(fmt::format("unknown {} field '{}'", toString(kind), name),
                           fmt::format("use one of {}", known));
}

OptionalError setField(Workspace &workspace, const std::string &name, const std::string &value)
{
    if (name == "services")
        return parseNames(name, value, workspace.services);
    if (name == "requests_per_second")
        return parseNumberField(name, value, true, workspace.requestsPerSecond);
    if (name == "share")
        return parseNumberField(name, value, false, workspace.share);
    if (name != "credential_sha256") {
        return unknownField(EntityKind::Workspace, name,
                            "credential_sha256, services, requests_per_second, share");
    }
    const bool hex = value.size() == kCredentialHexDigits
                     && value.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!hex)
        return invalidArgument("credential_sha256 is not a SHA-256 hash",
                               "specify 64 lower-case hex digits");
    workspace.credentialSha256 = value;
    return std::nullopt;
}

OptionalError setField(Service &service, const std::string &name, const std::string &value)
{
    if (name == "models")
        return parseNames(name, value, service.models);
    if (name == "adapters")
        return parsePairs(name, value, service.adapters);
    if (name == "model_versions")
        return parsePairs(name, value, service.modelVersions);
    if (name == "non_repeatable")
        return parseNames(name, value, service.nonRepeatable);
    if (name == "priority") {
        const auto priority = parsePriority(value);
        if (!priority)
            return invalidArgument(fmt::format("priority cannot be '{}'; the current value is {}",
                                               value, toString(service.priority)),
                                   "use urgent, normal or background");
        service.priority = *priority;
        return std::nullopt;
    }
    if (name == "kind") {
        if (value != "model" && value != "plain")
            return invalidArgument(fmt::format("kind cannot be '{}'", value), "use model or plain");
        service.kind = value == "model" ? ServiceKind::Model : ServiceKind::Plain;
        return std::nullopt;
    }
    return unknownField(EntityKind::Service, name,
                        "kind, models, adapters, model_versions, non_repeatable, priority");
}

OptionalError setField(EndpointIntent &intent, const std::string &name, const std::string &value)
{
    if (name == "models")
        return parseNames(name, value, intent.models);
    if (name != "role")
        return unknownField(EntityKind::Endpoint, name, "models, role");
    if (!value.empty() && value != "mixed" && value != "prefill" && value != "decode")
        return invalidArgument(
                fmt::format("role cannot be '{}'; the current value is '{}'", value, intent.role),
                "use mixed, prefill or decode");
    intent.role = value;
    return std::nullopt;
}

template <class Entity>
OptionalError setFields(Entity &entity, const Fields &fields)
{
    for (const auto &[name, value] : fields) {
        if (OptionalError error = setField(entity, name, value))
            return error;
    }
    return std::nullopt;
}

OptionalError notApplicable(const Command &command)
{
    return invalidArgument(
            fmt::format("{} is not supported for entities of kind {}", toString(command.verb),
                        toString(command.kind)),
            "create and change workspaces and services; drain, undrain and stop services; "
            "drain, undrain, load and role endpoints");
}

OptionalError execute(Workspace &workspace, const Command &command,
                      const Configuration &configuration)
{
    if (command.verb != CommandVerb::Create && command.verb != CommandVerb::Change)
        return notApplicable(command);
    if (OptionalError error = setFields(workspace, command.fields))
        return error;
    if (workspace.credentialSha256.empty())
        return invalidArgument("a workspace requires credential_sha256",
                               "specify the hash of its credential");
    for (const auto &[id, other] : configuration.workspaces) {
        if (id != workspace.id && other.credentialSha256 == workspace.credentialSha256)
            return invalidArgument(
                    "credential_sha256: the credential is in use by another workspace",
                    "use a different credential for each workspace");
    }
    return std::nullopt;
}

OptionalError execute(Service &service, const Command &command, const Configuration &)
{
    switch (command.verb) {
    case CommandVerb::Create:
    case CommandVerb::Change:
        if (command.verb == CommandVerb::Change && command.fields.contains("kind"))
            return invalidArgument(fmt::format("kind of service '{}' is {} and cannot be changed",
                                               service.id, toString(service.kind)),
                                   "create a new service");
        return setFields(service, command.fields);
    case CommandVerb::Drain:
        service.state = ServiceState::Draining;
        return std::nullopt;
    case CommandVerb::Undrain:
        service.state = ServiceState::Active;
        return std::nullopt;
    case CommandVerb::Stop:
        service.state = ServiceState::Stopped;
        return std::nullopt;
    case CommandVerb::Load:
    case CommandVerb::Role:
        break;
    }
    return notApplicable(command);
}

OptionalError execute(EndpointIntent &intent, const Command &command, const Configuration &)
{
    const char *needed = command.verb == CommandVerb::Load ? "models" : "role";
    switch (command.verb) {
    case CommandVerb::Drain:
    case CommandVerb::Undrain:
        intent.drained = command.verb == CommandVerb::Drain;
        return std::nullopt;
    case CommandVerb::Load:
    case CommandVerb::Role:
        if (command.fields.size() != 1 || !command.fields.contains(needed))
            return invalidArgument(fmt::format("{} requires exactly one field: {}",
                                               toString(command.verb), needed),
                                   "specify this field and no other");
        return setFields(intent, command.fields);
    case CommandVerb::Create:
    case CommandVerb::Change:
    case CommandVerb::Stop:
        break;
    }
    return notApplicable(command);
}

/// Commands for an endpoint create its intent when there is none: endpoints themselves are defined
/// by the VM list, not by a create command.
bool createsEntity(const Command &command)
{
    return command.verb == CommandVerb::Create || command.kind == EntityKind::Endpoint;
}

/// Names the operator who made the current version, so that the one whose command is rejected knows
/// whom to contact.
std::string lastChangedBy(const Configuration &configuration, std::uint64_t version)
{
    for (const ChangeHistoryEntry &entry : configuration.history) {
        if (entry.accepted && entry.version == version && !entry.operatorName.empty())
            return fmt::format(", last changed by {}", entry.operatorName);
    }
    return "";
}

OptionalError checkVersion(const Configuration &configuration, const Command &command,
                           std::uint64_t current)
{
    if (current == 0 && !createsEntity(command)) {
        return Error{ErrorCode::NotFound,
                     fmt::format("there is no {} '{}'", toString(command.kind), command.entityId),
                     "check the id or create it first"};
    }
    const bool exists = command.verb == CommandVerb::Create && current != 0;
    if (!exists && command.baseVersion == current)
        return std::nullopt;
    return Error{ErrorCode::Conflict,
                 exists ? fmt::format("{} '{}' exists at version {}{}", toString(command.kind),
                                      command.entityId, current,
                                      lastChangedBy(configuration, current))
                        : fmt::format("{} '{}' is at version {}{}; the command was based on {}",
                                      toString(command.kind), command.entityId, current,
                                      lastChangedBy(configuration, current), command.baseVersion),
                 "check the current state and resend the command if it still applies"};
}

template <class Entity>
Verdict decide(Configuration &configuration, std::map<std::string, Entity> &entities,
               const Command &command, Offset offset)
{
    const auto found = entities.find(command.entityId);
    Entity updated = found == entities.end() ? Entity{} : found->second;
    const std::uint64_t current = updated.version;
    OptionalError error = checkVersion(configuration, command, current);
    if (!error && !isName(command.entityId))
        error = invalidArgument("the entity id is not valid",
                                "use letters, digits and . _ - / : @");
    updated.id = command.entityId;
    if (!error)
        error = execute(updated, command, configuration);
    if (error)
        return {command.commandId, false, *error, current};
    updated.version = offset + 1;
    entities[command.entityId] = updated;
    return {command.commandId, true, {}, offset + 1};
}

Verdict decide(Configuration &configuration, const Command &command, Offset offset)
{
    switch (command.kind) {
    case EntityKind::Workspace:
        return decide(configuration, configuration.workspaces, command, offset);
    case EntityKind::Service:
        return decide(configuration, configuration.services, command, offset);
    case EntityKind::Endpoint:
        break;
    }
    return decide(configuration, configuration.endpointIntents, command, offset);
}

} // namespace

std::optional<Verdict> applyRecord(Configuration &configuration, const LogRecord &record)
{
    if (record.offset < configuration.nextOffset)
        return std::nullopt;
    configuration.nextOffset = record.offset + 1;
    const std::optional<Command> command = decodeCommand(record.data);
    if (!command || findVerdict(configuration, command->commandId))
        return std::nullopt;
    const Verdict verdict = decide(configuration, *command, record.offset);
    configuration.history.push_back({record.offset, record.time, command->operatorName,
                                     command->text, verdict.accepted, verdict.error.message,
                                     command->commandId, verdict.error.code, verdict.error.remedy,
                                     verdict.version});
    if (configuration.history.size() > kHistoryLimit)
        configuration.history.pop_front();
    return verdict;
}

std::optional<Verdict> findVerdict(const Configuration &configuration, const std::string &commandId)
{
    for (const ChangeHistoryEntry &entry : configuration.history) {
        if (entry.commandId != commandId)
            continue;
        return Verdict{commandId, entry.accepted, Error{entry.code, entry.reason, entry.remedy},
                       entry.version};
    }
    return std::nullopt;
}

} // namespace cicadafork
