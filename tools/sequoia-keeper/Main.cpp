/// The keeper: budget grants, reservations, bills, run claims, configuration and
/// membership of one host.

#include "sequoiagate/Keeper/KeeperProcess.h"

using namespace sequoiagate;

int main(int argc, char **argv)
{
    return runDaemon(argc, argv, "sequoia-keeper",
                     "keeps budget grants, bills and run claims for the routers of its domain",
                     [](DaemonContext &context) { return runKeeper(context); });
}
