// Stand-ins for functions of src/config, which is written in parallel. Remove this file when
// src/config is in: a weak definition in the program keeps the linker from searching the library.

#include "base/hash.h"
#include "config/configuration.h"

namespace cicadafork {

[[gnu::weak]] std::optional<Priority> parsePriority(std::string_view text)
{
    if (text == "urgent")
        return Priority::Urgent;
    if (text == "normal")
        return Priority::Normal;
    if (text == "background")
        return Priority::Background;
    return std::nullopt;
}

[[gnu::weak]] const Workspace *findWorkspaceByCredential(const Configuration &configuration,
                                                         std::string_view credentialSha256)
{
    const Workspace *match = nullptr;
    for (const auto &[id, workspace] : configuration.workspaces) {
        if (constantTimeEqual(workspace.credentialSha256, credentialSha256))
            match = &workspace;
    }
    return match;
}

[[gnu::weak]] const Service *findServiceForModel(const Configuration &configuration,
                                                 const Workspace &workspace, std::string_view model)
{
    for (const std::string &id : workspace.services) {
        const auto service = configuration.services.find(id);
        if (service != configuration.services.end() && service->second.kind == ServiceKind::Model
            && service->second.models.count(std::string(model)) != 0)
            return &service->second;
    }
    return nullptr;
}

} // namespace cicadafork
