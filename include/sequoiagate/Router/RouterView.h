#ifndef SEQUOIAGATE_ROUTER_ROUTERVIEW_H
#define SEQUOIAGATE_ROUTER_ROUTERVIEW_H

/// What a router believes at one moment: the configuration in force, what
/// endpoints last said, and its failure domain's keepers.

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "proto/keeper.pb.h"
#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// One configuration version with what a request looks up in it. Immutable, so
/// thread safe.
class ConfigIndex
{
public:
    explicit ConfigIndex(wire::ConfigState state);
    ConfigIndex(const ConfigIndex &) = delete;
    ConfigIndex &operator=(const ConfigIndex &) = delete;

    const wire::ConfigState &state() const { return state_; }
    /// The workspace that \p apiKey belongs to. nullptr: none.
    const wire::WorkspaceConfig *workspaceOfApiKey(std::string_view apiKey) const;
    /// nullptr: unknown.
    const wire::EndpointChange *endpoint(const EndpointId &endpoint) const;
    /// Whether any endpoint offers \p service as \p kind.
    bool offers(const ServiceId &service, wire::EndpointKind kind) const;

private:
    wire::ConfigState state_;
    std::unordered_map<std::string, const wire::WorkspaceConfig *> workspaceOfHash_;
    std::unordered_map<std::string, const wire::EndpointChange *> endpoints_;
};

/// Whether \p workspace may call \p service.
bool mayCall(const wire::WorkspaceConfig &workspace, const ServiceId &service);

struct RouterView
{
    std::shared_ptr<const ConfigIndex> config; ///< nullptr: none heard yet
    std::vector<wire::EndpointObservation> endpoints;
    std::vector<wire::KeeperEntry> keepers;
};

} // namespace sequoiagate

#endif
