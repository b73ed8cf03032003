#include "config/configuration.h"

#include "base/hash.h"

namespace cicadafork {

std::optional<Priority> parsePriority(std::string_view text)
{
    for (Priority priority : {Priority::Urgent, Priority::Normal, Priority::Background}) {
        if (text == toString(priority))
            return priority;
    }
    return std::nullopt;
}

const char *toString(Priority priority)
{
    switch (priority) {
    case Priority::Urgent:
        return "urgent";
    case Priority::Normal:
        return "normal";
    case Priority::Background:
        return "background";
    }
    return "unknown";
}

const char *toString(ServiceKind kind)
{
    return kind == ServiceKind::Model ? "model" : "plain";
}

const char *toString(ServiceState state)
{
    switch (state) {
    case ServiceState::Active:
        return "active";
    case ServiceState::Draining:
        return "draining";
    case ServiceState::Stopped:
        return "stopped";
    }
    return "unknown";
}

const char *toString(CommandVerb verb)
{
    switch (verb) {
    case CommandVerb::Create:
        return "create";
    case CommandVerb::Change:
        return "change";
    case CommandVerb::Drain:
        return "drain";
    case CommandVerb::Stop:
        return "stop";
    case CommandVerb::Load:
        return "load";
    case CommandVerb::Role:
        return "role";
    case CommandVerb::Undrain:
        return "undrain";
    }
    return "unknown";
}

const char *toString(EntityKind kind)
{
    switch (kind) {
    case EntityKind::Workspace:
        return "workspace";
    case EntityKind::Service:
        return "service";
    case EntityKind::Endpoint:
        return "endpoint";
    }
    return "unknown";
}

const Workspace *findWorkspaceByCredential(const Configuration &configuration,
                                           std::string_view credentialSha256)
{
    const Workspace *match = nullptr;
    // No early exit, so that the time does not depend on which workspace matches.
    for (const auto &[id, workspace] : configuration.workspaces) {
        if (constantTimeEqual(workspace.credentialSha256, credentialSha256))
            match = &workspace;
    }
    return match;
}

const Service *findServiceForModel(const Configuration &configuration, const Workspace &workspace,
                                   std::string_view model)
{
    for (const std::string &id : workspace.services) {
        const auto found = configuration.services.find(id);
        if (found == configuration.services.end())
            continue;
        const Service &service = found->second;
        if (service.kind == ServiceKind::Model && service.state != ServiceState::Stopped
            && service.models.contains(std::string(model)))
            return &service;
    }
    return nullptr;
}

} // namespace cicadafork
