#ifndef SEQUOIAGATE_STANDINS_PLATFORM_H
#define SEQUOIAGATE_STANDINS_PLATFORM_H

/// The stand-ins that one process's settings ask for.

#include <memory>
#include <vector>

#include <nlohmann/json.hpp>

#include "sequoiagate/Service/EventLog.h"
#include "sequoiagate/Standins/EngineStandin.h"
#include "sequoiagate/Standins/LogStandin.h"
#include "sequoiagate/Standins/ServiceStandin.h"

namespace sequoiagate {

/// One thread constructs, starts and stops it.
class PlatformStandins
{
public:
    /// \pre the settings passed share/schemas/sequoia-standins.json
    PlatformStandins(const nlohmann::json &settings, EventLog &log);

    /// Starts all and logs an event standin.listening {kind, name, address} for each.
    void start();
    void stop();

private:
    void announce(const char *kind, const std::string &name, const std::string &address);

    EventLog &log_;
    std::unique_ptr<LogStandin> logService_;
    std::unique_ptr<HostListStandin> hostList_;
    std::vector<std::unique_ptr<EngineStandin>> engines_;
    std::vector<std::unique_ptr<ServiceStandin>> services_;
};

} // namespace sequoiagate

#endif
