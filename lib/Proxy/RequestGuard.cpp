#include "sequoiagate/Proxy/RequestGuard.h"

#include <string>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

RequestIdentity identifyRequest(const Route &route, const ServiceId &service,
                                const WorkspaceId &workspace, const RequestHead &head,
                                std::string_view body, const std::vector<PromptPart> &prompt)
{
    RequestIdentity identity;
    identity.service = stableHash(service.text());
    const uint64_t caller = stableHash(workspace.text());
    uint64_t parts = 0;
    for (std::size_t i = 0; i < prompt.size(); ++i) {
        parts = stableHash(std::to_string(prompt[i].id), parts);
        const bool isShared = i + 1 < prompt.size();
        if (isShared) {
            identity.sharedParts.push_back(partKey(service, prompt[i].id));
        } else {
            identity.session = stableHash(std::to_string(prompt[i].id), caller);
        }
    }
    const uint64_t origin = stableHash(route.host, caller);
    const uint64_t line = stableHash(head.target, stableHash(head.method, origin));
    identity.request = stableHash(body, stableHash(std::to_string(parts), line));
    return identity;
}

} // namespace sequoiagate
