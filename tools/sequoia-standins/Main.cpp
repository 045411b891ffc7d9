/// Stand-ins of the platform and the endpoints, for tests and the demo only.

#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Service/Program.h"
#include "sequoiagate/Standins/Platform.h"

using namespace sequoiagate;

int main(int argc, char **argv)
{
    return runDaemon(argc, argv, "sequoia-standins",
                     "stand-ins of the log service, host list, engines and plain services",
                     [](DaemonContext &context) {
                         PlatformStandins standins(context.settings, context.log);
                         standins.start();
                         context.log.write(Event(events::ProcessStarted).with("address", ""));
                         context.stop.wait();
                         standins.stop();
                         return static_cast<int>(ExitOk);
                     });
}
