/// Hosts that allocate scarce tokens by rank while the store is away.

#include "EdgeProcess.h"

using namespace sequoiagate;

namespace {

class TokenAllocationProcess : public EdgeProcess
{
protected:
    std::unique_ptr<Process> startByRank(int host, const std::string &name)
    {
        nlohmann::json values = settings(host);
        values["token_allocation"] = "by_rank";
        auto process = std::make_unique<Process>(scratch_, "sequoia-edge", name, values);
        process->waitFor("config.in_force");
        process->waitFor("endpoint.listed");
        return process;
    }

    /// Uses both hosts, so that they hold tokens and know each other, and makes the store silent.
    void loseStore(Process &first, Process &second)
    {
        ASSERT_TRUE(eventually([] { return status(post(1, "r1", 5'000)) == 200; }));
        ASSERT_TRUE(eventually([] { return status(post(2, "r2", 5'000)) == 200; }));
        ASSERT_TRUE(eventually([&] { return canAnyUse({&first, &second}, 9'000); }));
        ASSERT_TRUE(eventually([this] { return batchesThatNamePeers() == 2; }));
        store_.setFault(StoreFault::Silent);
        first.waitFor("ledger.lost");
        second.waitFor("ledger.lost");
    }
};

// Guards against requests that are refused though a peer holds the tokens they lack, and against
// hosts that don't claim again when the store returns.
TEST_F(TokenAllocationProcess, GetsTokensOfPeersAndThenOfTheStore)
{
    const auto first = startByRank(1, "first");
    const auto second = startByRank(2, "second");
    loseStore(*first, *second);
    EXPECT_TRUE(eventually([] { return status(post(1, "r3", 9'000)) == 200; }));
    store_.setFault(StoreFault::None);
    EXPECT_TRUE(eventually([] { return status(post(1, "r4", 40'000)) == 200; }));
}

// Guards against requests that wait although all peers have responded, and against refusals whose
// cause the log doesn't tell.
TEST_F(TokenAllocationProcess, RefusesSoonWhatNoHostHas)
{
    const auto first = startByRank(1, "first");
    const auto second = startByRank(2, "second");
    loseStore(*first, *second);
    const httplib::Result refused = post(1, "r3", 80'000);
    ASSERT_EQ(status(refused), 503);
    // The outage is more than a second old when its loss is logged.
    EXPECT_GE(std::stod(refused->get_header_value("Retry-After")), 1.0);
    const nlohmann::json line = first->waitFor("tokens.refused");
    EXPECT_EQ(line.at("why"), "peers_lack_tokens");
    EXPECT_EQ(line.at("priority"), 0);
    EXPECT_GE(line.at("store_lost_ms").get<int>(), 1'000);
    EXPECT_LT(line.at("waited_ms").get<int>(), 100); // two rounds without a response
    store_.setFault(StoreFault::None);
}

} // namespace
