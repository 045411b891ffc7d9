#include "platform/PlatformAdapter.h"
#include "sequoiagate/Edge/Edge.h"
#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Service/Program.h"

using namespace sequoiagate;

namespace {

int serve(DaemonContext &daemon)
{
    const EdgeSettings settings = edgeSettingsFrom(daemon.settings);
    platform::PlatformAdapter adapter;
    Edge edge(settings, adapter, daemon.log,
              [&daemon] { return edgeSettingsFrom(daemon.reread()); });
    daemon.stop.unblock();
    daemon.log.write(Event(events::ProcessStarted).with("address", settings.listenCallers));
    const std::size_t cutOff = edge.run();
    daemon.log.write(Event(events::ProcessStopped).with("cut_off", cutOff));
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    return runDaemon(argc, argv, "sequoia-edge",
                     "Faces callers on one host of the platform: routes, budgets, streams.", serve,
                     LogOutput::BoundedStandardOutput);
}
