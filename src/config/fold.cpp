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
using Problem = std::optional<Error>;

Error invalid(std::string message, std::string remedy)
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

Problem readNames(const std::string &field, const std::string &text, std::set<std::string> &out)
{
    std::set<std::string> names;
    std::size_t begin = 0;
    while (!text.empty() && begin <= text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const std::string name = text.substr(begin, end - begin);
        if (!isName(name)) {
            return invalid(fmt::format("{} holds the bad name '{}'", field, name),
                           "give names separated by commas, without spaces");
        }
        names.insert(name);
        begin = end + 1;
    }
    out = std::move(names);
    return std::nullopt;
}

Problem readPairs(const std::string &field, const std::string &text, Fields &out)
{
    Fields pairs;
    std::size_t begin = 0;
    while (!text.empty() && begin <= text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const std::string pair = text.substr(begin, end - begin);
        const std::size_t equals = pair.find('=');
        if (equals == std::string::npos || !isName(pair.substr(0, equals))
            || !isName(pair.substr(equals + 1))) {
            return invalid(fmt::format("{} holds the bad pair '{}'", field, pair),
                           "give pairs as model=value, separated by commas");
        }
        pairs[pair.substr(0, equals)] = pair.substr(equals + 1);
        begin = end + 1;
    }
    out = std::move(pairs);
    return std::nullopt;
}

Problem readNumber(const std::string &field, const std::string &text, bool zeroAllowed, double &out)
{
    const auto number = parseNumber<double>(text);
    const bool valid
            = number && std::isfinite(*number) && (*number > 0 || (zeroAllowed && *number == 0));
    if (!valid) {
        return invalid(fmt::format("{} cannot be '{}'; it is {}", field, text, out),
                       zeroAllowed ? "give a number of at least 0" : "give a number above 0");
    }
    out = *number;
    return std::nullopt;
}

Problem unknownField(EntityKind kind, const std::string &name, const char *known)
{
    return invalid(fmt::format("a {} has no field '{}'", toString(kind), name),
                   fmt::format("use one of {}", known));
}

Problem setField(Workspace &workspace, const std::string &name, const std::string &value)
{
    if (name == "services")
        return readNames(name, value, workspace.services);
    if (name == "requests_per_second")
        return readNumber(name, value, true, workspace.requestsPerSecond);
    if (name == "share")
        return readNumber(name, value, false, workspace.share);
    if (name != "credential_sha256") {
        return unknownField(EntityKind::Workspace, name,
                            "credential_sha256, services, requests_per_second, share");
    }
    const bool hex = value.size() == kCredentialHexDigits
                     && value.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!hex)
        return invalid("credential_sha256 is not a SHA-256", "give 64 lower-case hex digits");
    workspace.credentialSha256 = value;
    return std::nullopt;
}

Problem setField(Service &service, const std::string &name, const std::string &value)
{
    if (name == "models")
        return readNames(name, value, service.models);
    if (name == "adapters")
        return readPairs(name, value, service.adapters);
    if (name == "model_versions")
        return readPairs(name, value, service.modelVersions);
    if (name == "non_repeatable")
        return readNames(name, value, service.nonRepeatable);
    if (name == "priority") {
        const auto priority = parsePriority(value);
        if (!priority)
            return invalid(fmt::format("priority cannot be '{}'; it is {}", value,
                                       toString(service.priority)),
                           "use urgent, normal or background");
        service.priority = *priority;
        return std::nullopt;
    }
    if (name == "kind") {
        if (value != "model" && value != "plain")
            return invalid(fmt::format("kind cannot be '{}'", value), "use model or plain");
        service.kind = value == "model" ? ServiceKind::Model : ServiceKind::Plain;
        return std::nullopt;
    }
    return unknownField(EntityKind::Service, name,
                        "kind, models, adapters, model_versions, non_repeatable, priority");
}

Problem setField(EndpointIntent &intent, const std::string &name, const std::string &value)
{
    if (name == "models")
        return readNames(name, value, intent.models);
    if (name != "role")
        return unknownField(EntityKind::Endpoint, name, "models, role");
    if (!value.empty() && value != "mixed" && value != "prefill" && value != "decode")
        return invalid(fmt::format("role cannot be '{}'; it is '{}'", value, intent.role),
                       "use mixed, prefill or decode");
    intent.role = value;
    return std::nullopt;
}

template <class Entity>
Problem setFields(Entity &entity, const Fields &fields)
{
    for (const auto &[name, value] : fields) {
        if (Problem problem = setField(entity, name, value))
            return problem;
    }
    return std::nullopt;
}

Problem notApplicable(const Command &command)
{
    return invalid(fmt::format("{} does not apply to a {}", toString(command.verb),
                               toString(command.kind)),
                   "create and change workspaces and services; drain, undrain and stop services; "
                   "drain, undrain, load and role endpoints");
}

Problem execute(Workspace &workspace, const Command &command, const Configuration &configuration)
{
    if (command.verb != CommandVerb::Create && command.verb != CommandVerb::Change)
        return notApplicable(command);
    if (Problem problem = setFields(workspace, command.fields))
        return problem;
    if (workspace.credentialSha256.empty())
        return invalid("a workspace needs credential_sha256", "add the hash of its credential");
    for (const auto &[id, other] : configuration.workspaces) {
        if (id != workspace.id && other.credentialSha256 == workspace.credentialSha256)
            return invalid("credential_sha256: the credential is in use by another workspace",
                           "give this workspace a credential of its own");
    }
    return std::nullopt;
}

Problem execute(Service &service, const Command &command, const Configuration &)
{
    switch (command.verb) {
    case CommandVerb::Create:
    case CommandVerb::Change:
        if (command.verb == CommandVerb::Change && command.fields.contains("kind"))
            return invalid(fmt::format("kind of service '{}' is {} and cannot be changed",
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

Problem execute(EndpointIntent &intent, const Command &command, const Configuration &)
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
            return invalid(
                    fmt::format("{} needs exactly the field {}", toString(command.verb), needed),
                    "give the field and no other");
        return setFields(intent, command.fields);
    case CommandVerb::Create:
    case CommandVerb::Change:
    case CommandVerb::Stop:
        break;
    }
    return notApplicable(command);
}

/// Orders to an endpoint create its intent, because endpoints come from the VM list.
bool createsEntity(const Command &command)
{
    return command.verb == CommandVerb::Create || command.kind == EntityKind::Endpoint;
}

/// Who made a version; two operators that change one entity need to talk to each other.
std::string changedBy(const Configuration &configuration, std::uint64_t version)
{
    for (const ChangeHistoryEntry &entry : configuration.history) {
        if (entry.accepted && entry.version == version && !entry.operatorName.empty())
            return fmt::format(", last changed by {}", entry.operatorName);
    }
    return "";
}

Problem checkVersion(const Configuration &configuration, const Command &command,
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
                                      command.entityId, current, changedBy(configuration, current))
                        : fmt::format("{} '{}' is at version {}{}; the command was based on {}",
                                      toString(command.kind), command.entityId, current,
                                      changedBy(configuration, current), command.baseVersion),
                 "look at the current state and send the command again if it still applies"};
}

template <class Entity>
Verdict decide(Configuration &configuration, std::map<std::string, Entity> &entities,
               const Command &command, Offset offset)
{
    const auto found = entities.find(command.entityId);
    Entity next = found == entities.end() ? Entity{} : found->second;
    const std::uint64_t current = next.version;
    Problem problem = checkVersion(configuration, command, current);
    if (!problem && !isName(command.entityId))
        problem = invalid("the id is not valid", "use letters, digits and . _ - / : @");
    next.id = command.entityId;
    if (!problem)
        problem = execute(next, command, configuration);
    if (problem)
        return {command.commandId, false, *problem, current};
    next.version = offset + 1;
    entities[command.entityId] = next;
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
