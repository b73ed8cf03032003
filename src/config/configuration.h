#pragma once

// The configuration that operators control: workspaces, services and the desired state of
// endpoints.
//
//   std::shared_ptr<const Configuration> configuration = store.current();
//   const Workspace *workspace = findWorkspaceByCredential(*configuration, sha256Hex(credential));
//
// A Configuration is a value. It changes only by applying records of the log in offset order; see
// fold.h.

#include "logservice/logclient.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadafork {

/// Lower values are served first. The number is sent in the engine's priority field.
enum class Priority { Urgent = 0, Normal = 1, Background = 2 };

std::optional<Priority> parsePriority(std::string_view text);
const char *toString(Priority priority);

struct Workspace
{
    std::string id;
    std::string credentialSha256;   ///< Hex SHA-256 of the bearer credential.
    std::set<std::string> services; ///< Services that the workspace may call.
    double requestsPerSecond = 0;   ///< 0 means no limit.
    double share = 1;               ///< Weight in fair queueing.
    std::uint64_t version = 0;      ///< Offset of the last record that changed it, plus 1.
};

enum class ServiceKind { Model, Plain };
enum class ServiceState { Active, Draining, Stopped };

const char *toString(ServiceKind kind);
const char *toString(ServiceState state);

struct Service
{
    std::string id; ///< Also the service label of its endpoints.
    ServiceKind kind = ServiceKind::Model;
    ServiceState state = ServiceState::Active;
    std::set<std::string> models;                     ///< Model names that callers may request.
    std::map<std::string, std::string> adapters;      ///< Adapter by model.
    std::map<std::string, std::string> modelVersions; ///< Version by model.
    std::set<std::string> nonRepeatable;  ///< Operations of a plain service that run at most once.
    Priority priority = Priority::Normal; ///< For requests that specify none.
    std::uint64_t version = 0;
};

/// Desired state of one endpoint as set by operators. Empty fields are not managed.
struct EndpointIntent
{
    std::string id;
    bool drained = false;
    std::set<std::string> models; ///< Models to load, as "model[:adapter][@version]".
    std::string role;             ///< Empty, "mixed", "prefill" or "decode".
    std::uint64_t version = 0;    ///< Also the fencing number of orders to the endpoint.
};

struct ChangeHistoryEntry
{
    Offset offset = 0;
    WallTime time;
    std::string operatorName;
    std::string text; ///< The command as written.
    bool accepted = false;
    std::string reason; ///< Error message when rejected.
    std::string commandId;
    ErrorCode code = ErrorCode::Internal; ///< Meaningful when rejected.
    std::string remedy;
    std::uint64_t version = 0; ///< Version of the entity after the record.
};

/// Maximum number of entries in Configuration::history. Verdicts are looked up there: the verdict
/// of a command is lost once this many commands follow it.
inline constexpr std::size_t kHistoryLimit = 256;

struct Configuration
{
    Offset nextOffset = 0; ///< All records before this offset are applied.
    std::map<std::string, Workspace> workspaces;
    std::map<std::string, Service> services;
    std::map<std::string, EndpointIntent> endpointIntents;
    std::deque<ChangeHistoryEntry> history; ///< The latest changes, oldest first.
};

enum class CommandVerb { Create, Change, Drain, Stop, Load, Role, Undrain };
enum class EntityKind { Workspace, Service, Endpoint };

const char *toString(CommandVerb verb);
const char *toString(EntityKind kind);

/// A change requested by an operator. Fields hold the settings of the entity as text, for example
/// {"services", "reports,gate"}; applyRecord() checks names and values.
struct Command
{
    std::string commandId; ///< UUIDv7; identifies the verdict when the reply to the append is lost.
    std::string operatorName;
    CommandVerb verb = CommandVerb::Create;
    EntityKind kind = EntityKind::Service;
    std::string entityId;
    std::map<std::string, std::string> fields;
    std::uint64_t baseVersion
            = 0;      ///< Version of the entity that the command was based on; 0 if none.
    std::string text; ///< The command as written, for the history.
};

struct Verdict
{
    std::string commandId;
    bool accepted = false;
    Error error;               ///< Set when rejected; the message of Conflict has the version.
    std::uint64_t version = 0; ///< Current version of the entity after the record.
};

/// The workspace with this credential hash; nullptr if none. Compares in constant time.
const Workspace *findWorkspaceByCredential(const Configuration &configuration,
                                           std::string_view credentialSha256);

/// The active or draining model service that offers the model to the workspace; nullptr if none.
const Service *findServiceForModel(const Configuration &configuration, const Workspace &workspace,
                                   std::string_view model);

} // namespace cicadafork
