/// Reservations and bills of real keeper processes.

#include <gtest/gtest.h>

#include "sequoiagate/Service/Events.h"

#include "test/Keeper/BareRouter.h"

using namespace sequoiagate;

namespace {

FleetShape oneHost(uint64_t budget)
{
    FleetShape shape;
    shape.hosts = {{"h1", "d1"}};
    shape.endpoints = {{"engine1", "d1"}};
    shape.workspaces = {{"luthier", budget}};
    shape.withRouters = false;
    return shape;
}

/// The caller's requests are served until the prepaid budget is gone, and each has one
/// bill on the log. What was set aside and not used can be drawn again.
TEST(Reservations, ServeTheWholeBudgetAndNoMore)
{
    constexpr uint64_t Budget = 2000;
    Fleet fleet(oneHost(Budget));
    fleet.waitInForce(0, 1);
    BareRouter router(fleet.keeper(0).address(), fleet.endpointAddress("engine1"));
    const int served = router.serveUntilRefused("luthier", "r", 99);
    EXPECT_EQ(served, 20);
    std::vector<std::string> requests;
    for (int index = 0; index < served; ++index) {
        requests.push_back("r-" + std::to_string(index));
    }
    fleet.waitBilled("luthier", requests);
    expectHolds(fleet.history());
}

} // namespace
