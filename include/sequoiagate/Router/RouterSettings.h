#ifndef SEQUOIAGATE_ROUTER_ROUTERSETTINGS_H
#define SEQUOIAGATE_ROUTER_ROUTERSETTINGS_H

/// The router's settings as types. share/schemas/sequoia-router.json describes
/// each key; intervals become deadlines where a timer is armed.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

struct RouterSettings
{
    HostId host;
    DomainId domain;
    std::string listen;               ///< IP:port; port 0 lets the kernel choose
    std::vector<std::string> keepers; ///< gRPC addresses to find the domain's keepers through
    std::string resumeKey;            ///< HMAC secret, the same at all routers
    std::size_t connections = 0;      ///< caller connections served at once
    uint32_t slots = 0;
    uint32_t queueLimit = 0;
    uint64_t defaultOutputTokens = 0; ///< ceiling of a request that names none
    uint64_t maximumOutputTokens = 0; ///< for workspaces without a ceiling of their own
    std::size_t maximumBodyBytes = 0;
    uint32_t streamResumes = 0; ///< tries to take a cut engine stream up again
    Millis queueWait{};
    Millis keeperTimeout{};
    Millis viewWait{};
    Millis connectTimeout{};
    Millis stallTimeout{};  ///< silence on an engine connection that counts as a cut
    Millis callTimeout{};   ///< of a plain service's answer
    Millis claimTimeout{};  ///< of a run claim, which waits for the log
    Millis hangUpGrace{};   ///< a stream nobody reads goes on that long
    Millis settleAgain{};   ///< until a bill not yet durable is sent again
    Millis callerTimeout{}; ///< silence of a caller that is sending its request
};

/// \pre \p settings passed the schema.
RouterSettings routerSettingsFrom(const nlohmann::json &settings);

/// An address split at its last colon.
struct SocketAddress
{
    std::string ip;
    int port = 0;
};

/// \throws SettingsError unless \p address is IP:port.
SocketAddress parseAddress(const std::string &address);

} // namespace sequoiagate

#endif
