#ifndef SEQUOIAGATE_LIB_OPERATE_STATUSREPORT_H
#define SEQUOIAGATE_LIB_OPERATE_STATUSREPORT_H

/// Works out what operators are shown of a fleet from what its keepers and the
/// configuration say: what isn't served, why, and how old that knowledge is.

#include <optional>
#include <string>
#include <vector>

#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Operate/KeeperClient.h"

namespace sequoiagate {

struct HostRow
{
    std::string host;
    std::string domain;
    std::string address;
    bool heard = false;
    std::string state; ///< serving, draining, not serving: why; not heard: why
    uint64_t configVersion = 0;
    uint64_t ledgerOffset = 0;
    std::size_t grants = 0;
    uint64_t openReservations = 0;
    uint64_t pendingBills = 0;
    std::optional<Seconds> logAge; ///< since it last heard the log
};

/// An endpoint that gets no work, or a service that no endpoint can serve.
struct UnservedRow
{
    std::string name;
    std::string reason;
    std::optional<Seconds> age; ///< of the observation behind the reason
};

struct StatusReport
{
    std::vector<HostRow> hosts;
    std::vector<UnservedRow> endpoints;
    std::vector<UnservedRow> services;
};

/// Thread safe.
StatusReport makeStatusReport(const std::vector<KeeperStatus> &keepers,
                              const wire::ConfigState &config, WallTime now);

} // namespace sequoiagate

#endif
