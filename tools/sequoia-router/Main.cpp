#include "sequoiagate/Router/Router.h"
#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Service/Program.h"

using namespace sequoiagate;

namespace {

int serve(DaemonContext &daemon)
{
    Security security(daemon.settings, daemon.log);
    Router router(routerSettingsFrom(daemon.settings), security, daemon.log);
    router.start();
    daemon.log.write(Event(events::ProcessStarted).with("address", router.address()));
    daemon.stop.wait();
    daemon.log.write(Event(events::ProcessDraining));
    const std::size_t cutOff = router.drain();
    daemon.log.write(
            Event(events::ProcessStopped).with("stranded_tokens", 0).with("cut_off", cutOff));
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    return runDaemon(argc, argv, "sequoia-router",
                     "Faces callers: admission, choice of endpoint, streams.", serve);
}
