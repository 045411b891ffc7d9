/// Budgets held by several real keepers that are cut apart, paused and killed.

#include <csignal>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Service/Events.h"

#include "test/Keeper/BareRouter.h"

using namespace sequoiagate;

namespace {

constexpr uint64_t Budget = 12'000;
constexpr uint64_t Ceiling = 99; ///< with the prompt, 100 tokens a request
const char *const Workspace = "luthier";

/// Two hosts in each of three failure domains, with every timer short.
FleetShape threeDomains()
{
    FleetShape shape;
    shape.hosts = {{"h1", "d1"}, {"h2", "d1"}, {"h3", "d2"},
                   {"h4", "d2"}, {"h5", "d3"}, {"h6", "d3"}};
    shape.endpoints = {{"engine1", "d1", "chat", false, 64, 0}};
    shape.workspaces = {{Workspace, Budget}};
    shape.withRouters = false;
    shape.keeperSettings = {{"probe_period_ms", 100},       {"probe_timeout_ms", 80},
                            {"suspicion_ms", 400},          {"suspect_grace_ms", 1000},
                            {"log_silent_ms", 700},         {"tail_wait_ms", 200},
                            {"window_open_after_ms", 300},  {"window_open_full_after_ms", 1500},
                            {"window_horizon_ms", 500},     {"grant_horizon_ms", 20'000},
                            {"minimum_grant_tokens", 2000}, {"bill_flush_ms", 50},
                            {"append_retry_ms", 50},        {"grant_share_of_remainder", 0.5},
                            {"reserve_wait_ms", 400}};
    return shape;
}

/// A fleet with a bare router at every keeper.
class Escrow
{
public:
    Escrow() : fleet_(threeDomains())
    {
        for (std::size_t host = 0; host < Hosts; ++host) {
            fleet_.waitInForce(host, 1);
            connect(host);
        }
        for (std::size_t host = 0; host < Hosts; ++host) {
            awaitMembers(host);
        }
    }

    static constexpr std::size_t Hosts = 6;

    Fleet &fleet() { return fleet_; }
    BareRouter &router(std::size_t host) { return *routers_.at(host); }
    void connect(std::size_t host)
    {
        routers_.resize(Hosts);
        routers_[host] = std::make_unique<BareRouter>(fleet_.keeper(host).address(),
                                                      fleet_.endpointAddress("engine1"));
    }
    /// Serves at one host up to \p limit requests, until it is refused several times in a
    /// row. \returns how many were served.
    int serve(std::size_t host, int limit)
    {
        constexpr int RefusalsToStop = 2;
        int served = 0;
        int refused = 0;
        while (served < limit && refused < RefusalsToStop) {
            const std::string request = fmt::format("h{}-{}", host, ++requests_);
            const bool had = router(host).serve({Workspace, request, Ceiling});
            served += had ? 1 : 0;
            refused = had ? 0 : refused + 1;
        }
        return served;
    }
    int serveAt(const std::vector<std::size_t> &hosts, int limit)
    {
        int served = 0;
        for (const std::size_t host : hosts) {
            served += serve(host, limit);
        }
        return served;
    }
    /// Cuts each domain off from the others and from the log.
    void cutDomainsApart()
    {
        for (std::size_t host = 0; host < Hosts; ++host) {
            std::vector<std::string> blocked = {"log"};
            for (std::size_t other = 0; other < Hosts; ++other) {
                if (other / 2 != host / 2) {
                    blocked.push_back(fmt::format("h{}", other + 1));
                }
            }
            fleet_.cut(host, blocked);
        }
    }
    void heal()
    {
        for (std::size_t host = 0; host < Hosts; ++host) {
            fleet_.cut(host, {});
        }
    }
    /// The keeper that holds a witnessed grant, and its witness.
    struct Pair
    {
        std::size_t holder = 0;
        std::size_t witness = 0;
        std::string grant;
    };
    Pair pairOf(std::size_t holder)
    {
        const wire::ReadStatusReply status = router(holder).status();
        for (const wire::HeldGrant &grant : status.grants()) {
            for (std::size_t host = 0; host < Hosts; ++host) {
                if (router(host).status().self().incarnation() == grant.witness()) {
                    return {holder, host, grant.grant()};
                }
            }
        }
        throw std::runtime_error("no witnessed grant: " + status.ShortDebugString());
    }
    void awaitSeal(const Pair &pair)
    {
        fleet_.keeper(pair.witness)
                .waitFor(std::string(events::GrantEnded), [&](const Process::Line &line) {
                    return line.value("grant", "") == pair.grant;
                });
    }
    void awaitRewitness(const Pair &pair)
    {
        fleet_.keeper(pair.holder).waitFor("grant.rewitnessed", [&](const Process::Line &line) {
            return line.value("grant", "") == pair.grant;
        });
    }

private:
    void awaitMembers(std::size_t host)
    {
        const Instant giveUpAt = std::chrono::steady_clock::now() + Seconds(20);
        while (router(host).status().members_size() < static_cast<int>(Hosts)) {
            if (std::chrono::steady_clock::now() > giveUpAt) {
                throw std::runtime_error("the keepers never found each other");
            }
            std::this_thread::sleep_for(Millis(20));
        }
    }

    Fleet fleet_;
    std::vector<std::unique_ptr<BareRouter>> routers_;
    int requests_ = 0;
};

constexpr int Everything = 1000;
const std::vector<std::size_t> AllHosts = {0, 1, 2, 3, 4, 5};

// ---- partitions ----

struct Partition
{
    const char *name;
    bool topUpDuring; ///< which nobody who is cut off can hear of
    bool topUpHeardByOne;
};

class Partitions : public testing::TestWithParam<Partition>
{};

constexpr Partition PartitionRows[] = {
        {"NoTopUp", false, false},
        {"TopUpNobodyHears", true, false},
        {"TopUpOneDomainHears", true, true},
};

/// Each domain's callers are served from what its holders were granted before the cut,
/// and refused, truthfully, when that is gone. All three draw on one budget; none hears
/// of the others. After the cut what is left can be served, and the sum is the budget.
TEST_P(Partitions, NeverOverspend)
{
    Escrow escrow;
    int served = escrow.serveAt({0, 2, 4}, 4);
    escrow.cutDomainsApart();
    if (GetParam().topUpDuring) {
        escrow.fleet().topUp(Workspace, "t1", 1000);
    }
    if (GetParam().topUpHeardByOne) {
        escrow.fleet().cut(0, {"h3", "h4", "h5", "h6"});
    }
    served += escrow.serveAt(AllHosts, Everything);
    escrow.heal();
    served += escrow.serveAt({0, 2, 4}, Everything);
    expectHolds(escrow.fleet().history());
    EXPECT_GT(served, 0);
    RecordProperty("served", served);
}

INSTANTIATE_TEST_SUITE_P(Cuts, Partitions, testing::ValuesIn(PartitionRows),
                         [](const auto &row) { return std::string(row.param.name); });

// ---- pauses and deaths ----

enum class Fate {
    Lives,
    Paused,
    Killed,
};

struct Loss
{
    const char *name;
    Fate holder;
    Fate witness;
};

class Losses : public testing::TestWithParam<Loss>
{};

constexpr Loss LossRows[] = {
        {"PausedHolderWakesAfterItsGrantWasSealed", Fate::Paused, Fate::Lives},
        {"PausedWitnessWakesAfterItWasReplaced", Fate::Lives, Fate::Paused},
        {"HolderKilled", Fate::Killed, Fate::Lives},
        {"WitnessKilled", Fate::Lives, Fate::Killed},
        {"BothKilled", Fate::Killed, Fate::Killed},
};

void strike(Process &process, Fate fate)
{
    if (fate == Fate::Paused) {
        process.signal(SIGSTOP);
    } else if (fate == Fate::Killed) {
        process.kill();
    }
}

/// The holder is believed dead, its grant sealed, and the refund served elsewhere; or the
/// witness is believed dead and replaced. Then the paused one wakes and acts as if nothing
/// had happened: the holder goes on serving, the witness is asked to sign. What is served
/// in all stays within the budget, since a sealed grant counts every window ever signed,
/// and a replaced witness's windows are no longer taken.
TEST_P(Losses, NeverOverspend)
{
    Escrow escrow;
    int served = escrow.serve(0, 10);
    const Escrow::Pair pair = escrow.pairOf(0);
    strike(escrow.fleet().keeper(pair.holder), GetParam().holder);
    strike(escrow.fleet().keeper(pair.witness), GetParam().witness);
    if (GetParam().holder != Fate::Lives && GetParam().witness == Fate::Lives) {
        escrow.awaitSeal(pair);
    }
    if (GetParam().holder == Fate::Lives) {
        escrow.awaitRewitness(pair);
    }
    std::vector<std::size_t> awake;
    for (const std::size_t host : AllHosts) {
        const bool away = (host == pair.holder && GetParam().holder != Fate::Lives)
                          || (host == pair.witness && GetParam().witness != Fate::Lives);
        if (!away) {
            awake.push_back(host);
        }
    }
    served += escrow.serveAt(awake, Everything);
    if (GetParam().holder == Fate::Paused) {
        escrow.fleet().keeper(pair.holder).signal(SIGCONT);
        served += escrow.serve(pair.holder, Everything);
    }
    if (GetParam().witness == Fate::Paused) {
        escrow.fleet().keeper(pair.witness).signal(SIGCONT);
        served += escrow.serve(pair.holder, Everything);
    }
    expectHolds(escrow.fleet().history());
    EXPECT_GT(served, 10);
    RecordProperty("served", served);
    std::printf("served %d tokens of %d\n", served * 100, static_cast<int>(Budget));
}

INSTANTIATE_TEST_SUITE_P(Fates, Losses, testing::ValuesIn(LossRows),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
