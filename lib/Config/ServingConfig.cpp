#include "sequoiagate/Config/ServingConfig.h"

#include <algorithm>

#include <absl/strings/ascii.h>

namespace sequoiagate {

namespace {

/// The key of a route in the lookup table. The separator is a space, since neither host
/// names nor paths contain one.
std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + prefix.size() + 1);
    return key.append(host).append(" ").append(prefix);
}

/// \p host in lower case, without a port and without the trailing dot of a fully qualified
/// name.
std::string normalizedHost(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool colonInBrackets =
            host.find(']', std::min(colon, host.size())) != std::string_view::npos;
    host = colonInBrackets ? host : host.substr(0, colon);
    if (!host.empty() && host.back() == '.') {
        host.remove_suffix(1);
    }
    return absl::AsciiStrToLower(std::string(host));
}

} // namespace

void ServingConfig::buildIndexes()
{
    for (std::size_t i = 0; i < routes.size(); ++i) {
        routeByKey_[routeKey(routes[i].host, routes[i].pathPrefix)] = i;
    }
    for (std::size_t i = 0; i < workspaces.size(); ++i) {
        workspaceByName_[workspaces[i].name.text()] = i;
        for (const std::string &key : workspaces[i].keys) {
            workspaceByKey_[key] = i;
        }
    }
    for (std::size_t i = 0; i < services.size(); ++i) {
        serviceByName_[services[i].name.text()] = i;
    }
}

const Route *ServingConfig::findRoute(std::string_view host, std::string_view path) const
{
    const std::string hostName = normalizedHost(host);
    const std::string_view pathOnly = path.substr(0, path.find('?'));
    for (std::size_t end = pathOnly.rfind('/'); end != std::string_view::npos;
         end = pathOnly.rfind('/', end - 1)) {
        const auto found = routeByKey_.find(routeKey(hostName, pathOnly.substr(0, end + 1)));
        if (found != routeByKey_.end()) {
            return &routes[found->second];
        }
        if (end == 0) {
            break;
        }
    }
    return nullptr;
}

const WorkspaceSpec *ServingConfig::findWorkspaceByKey(const std::string &key) const
{
    const auto found = workspaceByKey_.find(key);
    return found == workspaceByKey_.end() ? nullptr : &workspaces[found->second];
}

const WorkspaceSpec *ServingConfig::findWorkspace(const WorkspaceId &name) const
{
    const auto found = workspaceByName_.find(name.text());
    return found == workspaceByName_.end() ? nullptr : &workspaces[found->second];
}

const ServiceSpec *ServingConfig::findService(const ServiceId &name) const
{
    const auto found = serviceByName_.find(name.text());
    return found == serviceByName_.end() ? nullptr : &services[found->second];
}

} // namespace sequoiagate
