#include "sequoiagate/Router/RouterView.h"

#include <algorithm>

#include "sequoiagate/Config/Sha256.h"

namespace sequoiagate {

ConfigIndex::ConfigIndex(wire::ConfigState state) : state_(std::move(state))
{
    for (const wire::WorkspaceConfig &workspace : state_.workspaces()) {
        for (const std::string &hash : workspace.key_hashes()) {
            workspaceOfHash_.emplace(hash, &workspace);
        }
    }
    for (const wire::EndpointChange &endpoint : state_.endpoints()) {
        endpoints_.emplace(endpoint.endpoint(), &endpoint);
    }
}

const wire::WorkspaceConfig *ConfigIndex::workspaceOfApiKey(std::string_view apiKey) const
{
    const auto found = workspaceOfHash_.find(sha256Hex(apiKey));
    return found == workspaceOfHash_.end() ? nullptr : found->second;
}

const wire::EndpointChange *ConfigIndex::endpoint(const EndpointId &endpoint) const
{
    const auto found = endpoints_.find(endpoint.text());
    return found == endpoints_.end() ? nullptr : found->second;
}

bool ConfigIndex::offers(const ServiceId &service, wire::EndpointKind kind) const
{
    const auto &endpoints = state_.endpoints();
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto &endpoint) {
        const auto &services = endpoint.services();
        return endpoint.kind() == kind
               && std::find(services.begin(), services.end(), service.text()) != services.end();
    });
}

bool mayCall(const wire::WorkspaceConfig &workspace, const ServiceId &service)
{
    const auto &services = workspace.settings().services();
    return std::find(services.begin(), services.end(), service.text()) != services.end();
}

} // namespace sequoiagate
