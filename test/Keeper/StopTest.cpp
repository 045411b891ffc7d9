/// Planned stops, and the bills of requests whose router or keeper goes away.

#include <csignal>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Service/Events.h"

#include "test/Keeper/BareRouter.h"

using namespace sequoiagate;

namespace {

const char *const Workspace = "luthier";

FleetShape oneDomain()
{
    FleetShape shape;
    shape.hosts = {{"h1", "d1"}, {"h2", "d1"}};
    shape.endpoints = {{"engine1", "d1", "chat", false, 64, 5}};
    shape.workspaces = {{Workspace, 100'000}};
    shape.withRouters = false;
    shape.keeperSettings = {{"probe_period_ms", 100},  {"probe_timeout_ms", 80},
                            {"suspicion_ms", 400},     {"suspect_grace_ms", 1000},
                            {"router_silent_ms", 400}, {"bill_flush_ms", 50},
                            {"log_silent_ms", 700},    {"tail_wait_ms", 200}};
    return shape;
}

class Keepers : public testing::Test
{
protected:
    Keepers()
    {
        for (std::size_t host = 0; host < 2; ++host) {
            fleet_.waitInForce(host, 1);
            routers_.push_back(std::make_unique<BareRouter>(fleet_.keeper(host).address(),
                                                            fleet_.endpointAddress("engine1")));
        }
    }

    wire::Reservation reserve(std::size_t host, const BareRequest &request)
    {
        for (;;) {
            const wire::ReserveReply reply = routers_[host]->reserve(request);
            if (reply.has_reservation()) {
                return reply.reservation();
            }
            if (reply.refused().retry_after_ms() == 0) {
                throw std::runtime_error(reply.ShortDebugString());
            }
        }
    }
    /// What the router says while its stream is open.
    void announce(std::size_t host, const wire::Reservation &reservation, const std::string &stream)
    {
        wire::SettleRequest open;
        open.set_reservation(reservation.id());
        open.set_router(routers_[host]->incarnation());
        open.set_still_open(true);
        open.set_endpoint_address(fleet_.endpointAddress("engine1"));
        open.set_engine_stream(stream);
        open.mutable_bill()->set_endpoint("engine1");
        routers_[host]->settle(open);
    }
    FinalBill billOf(const std::string &request)
    {
        fleet_.waitBilled(Workspace, {request});
        for (const FinalBill &bill : fleet_.history().bills) {
            if (bill.request.text() == request) {
                return bill;
            }
        }
        return {};
    }

    Fleet fleet_{oneDomain()};
    std::vector<std::unique_ptr<BareRouter>> routers_;
};

/// A keeper is asked to stop while a request runs. New requests are refused, truthfully
/// as not run, so that the router goes to the other keeper; the open one comes to its end;
/// its bill and the closed grants reach the log; the process ends with nothing stranded.
TEST_F(Keepers, PlannedStopCutsNothingOffAndStrandsNothing)
{
    const BareRequest request{Workspace, "open", 50};
    const wire::Reservation reservation = reserve(0, request);
    fleet_.keeper(0).signal(SIGTERM);
    fleet_.keeper(0).waitFor(std::string(events::ProcessDraining));
    const wire::ReserveReply refused = routers_[0]->reserve({Workspace, "late"});
    EXPECT_EQ(refused.refused().reason(), "draining");
    EXPECT_EQ(refused.refused().execution(), wire::NOT_RUN);
    EXPECT_TRUE(fleet_.keeper(0).running());
    routers_[0]->settle(reservation, request, routers_[0]->generate(request));
    EXPECT_EQ(fleet_.keeper(0).wait(), 0);
    const Process::Line stopped = fleet_.keeper(0).waitFor(std::string(events::ProcessStopped));
    EXPECT_EQ(stopped.value("stranded_tokens", -1), 0);
    EXPECT_EQ(billOf("open").tokens, 51U);
    expectHolds(fleet_.history());
}

struct OtherKeeper
{
    const char *name;
    bool notRun;
};

class SettledElsewhere : public Keepers, public testing::WithParamInterface<OtherKeeper>
{};

constexpr OtherKeeper OtherKeeperRows[] = {{"Ran", false}, {"NotRun", true}};

/// The workspace's home moves while a request runs, as it does when a keeper drains, and
/// the router settles with the new home. The old home must hear of it: else it would keep
/// the tokens set aside, and its planned stop would wait for ever.
TEST_P(SettledElsewhere, ReachesTheKeeperThatHoldsTheReservation)
{
    const BareRequest request{Workspace, "moved", 50};
    // Any server that answers stands for the router's own face: the router lives.
    routers_[0]->ownAddress = fleet_.endpointAddress("engine1");
    const wire::Reservation reservation = reserve(0, request);
    fleet_.keeper(0).signal(SIGTERM);
    fleet_.keeper(0).waitFor(std::string(events::ProcessDraining));
    if (GetParam().notRun) {
        wire::SettleRequest settle;
        settle.set_reservation(reservation.id());
        settle.set_execution(wire::NOT_RUN);
        settle.mutable_bill()->set_workspace(Workspace);
        settle.mutable_bill()->set_request(request.request);
        *settle.mutable_bill()->mutable_draws() = reservation.draws();
        routers_[1]->settle(settle);
    } else {
        routers_[1]->settleDurably(reservation, request, routers_[1]->generate(request));
    }
    EXPECT_EQ(fleet_.keeper(0).wait(), 0);
    expectHolds(fleet_.history());
}

INSTANTIATE_TEST_SUITE_P(Homes, SettledElsewhere, testing::ValuesIn(OtherKeeperRows),
                         [](const auto &row) { return std::string(row.param.name); });

struct SilentRouter
{
    const char *name;
    bool announced;  ///< the keeper was told where the stream runs
    bool engineGone; ///< and can't be asked
    bool inDoubt;
};

class SilentRouters : public Keepers, public testing::WithParamInterface<SilentRouter>
{};

constexpr SilentRouter SilentRouterRows[] = {
        {"StreamIsKnown", true, false, false},
        {"StreamIsLookedFor", false, false, false},
        {"EngineCannotTell", true, true, true},
};

/// A router is killed while a stream runs. Its keeper hears nothing more, finds that the
/// router's address refuses connections, cancels the stream and bills what the engine had
/// generated; if the engine can't say, all that was set aside, marked as in doubt. Without
/// it the tokens would be served and never billed.
TEST_P(SilentRouters, AreBilledByTheKeeper)
{
    const BareRequest request{Workspace, "orphan", 2000};
    const wire::Reservation reservation = reserve(0, request);
    const std::string stream = routers_[0]->startStream(request);
    if (GetParam().announced) {
        announce(0, reservation, GetParam().engineGone ? "no-such-stream" : stream);
    }
    const FinalBill bill = billOf("orphan");
    EXPECT_EQ(bill.inDoubt, GetParam().inDoubt);
    EXPECT_EQ(bill.tokens == reservation.tokens(), GetParam().inDoubt);
    expectHolds(fleet_.history());
}

INSTANTIATE_TEST_SUITE_P(Deaths, SilentRouters, testing::ValuesIn(SilentRouterRows),
                         [](const auto &row) { return std::string(row.param.name); });

/// A router serves one long stream and has no reason to call the keeper meanwhile. It is
/// silent, but answers at its address: its stream must not be cancelled.
TEST_F(Keepers, RouterThatIsOnlyQuietKeepsItsStream)
{
    const BareRequest request{Workspace, "quiet", 200};
    // Any server that answers stands for the router's own face.
    routers_[0]->ownAddress = fleet_.endpointAddress("engine1");
    const wire::Reservation reservation = reserve(0, request);
    const uint64_t generated = routers_[0]->generate(request);
    EXPECT_EQ(generated, request.ceiling) << "the stream was cut off";
    routers_[0]->settleDurably(reservation, request, generated);
    EXPECT_EQ(billOf("quiet").tokens, reservation.tokens());
    expectHolds(fleet_.history());
}

/// The keeper dies after the answer and before the bill. The router holds the bill too
/// and hands it to another keeper, which has never heard of the reservation.
TEST_F(Keepers, BillOfADeadKeeperIsTakenByAnother)
{
    const BareRequest request{Workspace, "handed-on", 50};
    const wire::Reservation reservation = reserve(0, request);
    const uint64_t generated = routers_[0]->generate(request);
    fleet_.keeper(0).kill();
    routers_[1]->settleDurably(reservation, request, generated);
    EXPECT_EQ(billOf("handed-on").tokens, 51U);
    expectHolds(fleet_.history());
}

/// The log takes the bills and loses its answers, for several appends running. The
/// keeper sends the same records again; the fold drops the copies: one bill each.
TEST_F(Keepers, LostAppendAnswersBillOnce)
{
    std::vector<std::string> requests;
    for (int index = 0; index < 5; ++index) {
        setFaults(fleet_.logAddress(), {{"lose_answers", 2}});
        const BareRequest request{Workspace, fmt::format("lost-{}", index), 10};
        const wire::Reservation reservation = reserve(0, request);
        routers_[0]->settleDurably(reservation, request, routers_[0]->generate(request));
        requests.push_back(request.request);
    }
    fleet_.waitBilled(Workspace, requests);
    fleet_.keeper(0).waitFor("append.failed");
    expectHolds(fleet_.history());
}

} // namespace
