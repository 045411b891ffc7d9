/// The log keeps records for a limited time: checkpoints, and starts over a gap.

#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Service/Events.h"

#include "test/Keeper/BareRouter.h"

using namespace sequoiagate;

namespace {

const char *const Workspace = "luthier";
constexpr uint64_t Budget = 6000;
constexpr uint64_t Ceiling = 99; ///< with the prompt, 100 tokens a request

FleetShape twoHosts(uint64_t checkpointRecords)
{
    FleetShape shape;
    shape.hosts = {{"h1", "d1"}, {"h2", "d1"}};
    shape.endpoints = {{"engine1", "d1", "chat", false, 64, 0}};
    shape.workspaces = {{Workspace, Budget}};
    shape.withRouters = false;
    shape.keeperSettings = {{"probe_period_ms", 100},
                            {"probe_timeout_ms", 80},
                            {"suspicion_ms", 400},
                            {"suspect_grace_ms", 1000},
                            {"log_silent_ms", 700},
                            {"tail_wait_ms", 200},
                            {"window_horizon_ms", 500},
                            {"grant_horizon_ms", 20'000},
                            {"minimum_grant_tokens", 1000},
                            {"bill_flush_ms", 1},
                            {"checkpoint_records", checkpointRecords},
                            {"reserve_wait_ms", 400}};
    return shape;
}

uint64_t tokensRun(const Process &standins)
{
    uint64_t tokens = 0;
    for (const Process::Line &line : standins.lines()) {
        if (line.value("event", "") == events::EndpointRan) {
            tokens += line.value("tokens", uint64_t{0});
        }
    }
    return tokens;
}

BareRouter routerAt(Fleet &fleet, std::size_t host)
{
    return BareRouter(fleet.keeper(host).address(), fleet.endpointAddress("engine1"));
}

/// Serves \p count requests, waiting for each bill, so that each is a record of its own.
void serveDurably(BareRouter &router, const std::string &prefix, int count)
{
    for (int index = 0; index < count; ++index) {
        const BareRequest request{Workspace, fmt::format("{}-{}", prefix, index), Ceiling};
        wire::ReserveReply reply = router.reserve(request);
        while (!reply.has_reservation()) {
            reply = router.reserve(request);
        }
        router.settleDurably(reply.reservation(), request, router.generate(request));
    }
}

/// Waits until the router's keeper knows that the one on \p host is no use as a witness.
void awaitUnfit(BareRouter &router, const std::string &host)
{
    const Instant giveUpAt = std::chrono::steady_clock::now() + Seconds(20);
    for (;;) {
        const wire::ReadViewReply view = router.readView();
        for (const wire::KeeperEntry &keeper : view.keepers()) {
            if (keeper.host() == host && keeper.draining()) {
                return;
            }
        }
        if (std::chrono::steady_clock::now() > giveUpAt) {
            throw std::runtime_error("the keeper over the gap never said so");
        }
        std::this_thread::sleep_for(Millis(20));
    }
}

wire::BudgetState budgetAt(Fleet &fleet, std::size_t host)
{
    const wire::ReadStatusReply status = routerAt(fleet, host).status();
    return status.budgets().empty() ? wire::BudgetState() : status.budgets(0);
}

/// Most of the ledger's records expire, and a keeper is replaced. The new one starts from
/// the newest checkpoint, holds the same state as those that have run all along, and the
/// budget is served to its end and not beyond it.
TEST(Retention, NewKeeperStartsFromACheckpoint)
{
    Fleet fleet(twoHosts(10));
    fleet.waitInForce(0, 1);
    fleet.waitInForce(1, 1);
    BareRouter first = routerAt(fleet, 0);
    serveDurably(first, "before", 30);
    setFaults(fleet.logAddress(), {{"retain", 25}});
    fleet.keeper(0).kill();
    fleet.restartKeeper(0);
    fleet.keeper(0).waitFor("log.gap");
    BareRouter second = routerAt(fleet, 0);
    serveDurably(second, "after", 1);
    EXPECT_EQ(budgetAt(fleet, 0).total_tokens(), Budget);
    second.serveUntilRefused(Workspace, "rest", Ceiling);
    routerAt(fleet, 1).serveUntilRefused(Workspace, "last", Ceiling);
    const uint64_t tokens = tokensRun(fleet.standins());
    EXPECT_LE(tokens, Budget);
    EXPECT_GT(tokens, 3100U);
    std::printf("served %d tokens of %d\n", static_cast<int>(tokens), static_cast<int>(Budget));
}

/// The records expire and no checkpoint covers them. What a new keeper could read is too
/// little: bills and grants are missing, and the budget would look larger than it is. It
/// refuses, truthfully as not run; the keepers that have read everything go on.
TEST(Retention, NewKeeperRefusesOverAGap)
{
    Fleet fleet(twoHosts(1'000'000));
    fleet.waitInForce(0, 1);
    fleet.waitInForce(1, 1);
    BareRouter first = routerAt(fleet, 0);
    serveDurably(first, "before", 20);
    setFaults(fleet.logAddress(), {{"retain", 5}});
    fleet.keeper(0).kill();
    fleet.restartKeeper(0);
    fleet.keeper(0).waitFor("log.gap");
    fleet.waitInForce(0, 1);
    BareRouter second = routerAt(fleet, 0);
    const wire::ReserveReply refused = second.reserve({Workspace, "r1"});
    EXPECT_EQ(refused.refused().reason(), "not_ready");
    EXPECT_EQ(refused.refused().execution(), wire::NOT_RUN);
    EXPECT_FALSE(second.status().serving());
    BareRouter other = routerAt(fleet, 1);
    awaitUnfit(other, "h1");
    EXPECT_GT(other.serveUntilRefused(Workspace, "other", Ceiling), 0);
    EXPECT_LE(tokensRun(fleet.standins()), Budget);
}

} // namespace
