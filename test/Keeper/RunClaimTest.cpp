/// Calls that run at most once: claims on the log through real keepers.

#include <csignal>
#include <thread>

#include <gtest/gtest.h>

#include "sequoiagate/Ledger/LedgerFold.h"
#include "sequoiagate/Platform/Streams.h"

#include "test/Keeper/BareRouter.h"

using namespace sequoiagate;

namespace {

const char *const Workspace = "tariffs";

FleetShape twoDomains()
{
    FleetShape shape;
    shape.hosts = {{"h1", "d1"}, {"h2", "d2"}};
    shape.endpoints = {{"engine1", "d1"}};
    shape.workspaces = {{Workspace, 10'000}};
    shape.withRouters = false;
    shape.keeperSettings = {{"claim_wait_ms", 800},  {"log_silent_ms", 700},
                            {"tail_wait_ms", 200},   {"append_timeout_ms", 500},
                            {"append_retry_ms", 50}, {"claims_retention_ms", 600'000}};
    return shape;
}

class RunClaims : public testing::Test
{
protected:
    RunClaims()
    {
        for (std::size_t host = 0; host < 2; ++host) {
            fleet_.waitInForce(host, 1);
            routers_.push_back(std::make_unique<BareRouter>(fleet_.keeper(host).address(),
                                                            fleet_.endpointAddress("engine1")));
        }
    }

    wire::ClaimRunReply claim(std::size_t host, const std::string &key,
                              const std::string &attempt = randomHex128())
    {
        return routers_[host]->claim(Workspace, key, attempt);
    }
    /// Claims until the log is up again for the keeper.
    wire::ClaimRunReply claimWhenLogIsBack(std::size_t host, const std::string &key)
    {
        for (;;) {
            const wire::ClaimRunReply reply = claim(host, key);
            if (!reply.has_refused() || reply.refused().reason() != "log_unavailable") {
                return reply;
            }
        }
    }
    /// The highest offset that the ledger's stream has taken so far.
    int64_t lastOffset()
    {
        int64_t last = -1;
        for (const Process::Line &line : fleet_.standins().lines()) {
            if (line.value("stream", "") == ledgerStreamOfShard(0)) {
                last = std::max(last, line.value("offset", int64_t{-1}));
            }
        }
        return last;
    }
    /// Waits until the ledger's stream takes an append of \p host beyond \p offset.
    void awaitAppend(const std::string &host, int64_t offset)
    {
        fleet_.standins().waitFor("log.accepted", [&](const Process::Line &line) {
            return line.value("stream", "") == ledgerStreamOfShard(0)
                   && line.value("sender", "") == host
                   && line.value("offset", int64_t{-1}) > offset;
        });
    }
    /// Both keepers record the workspace's total at their start; what comes after that is
    /// the test's.
    void awaitQuiet()
    {
        EXPECT_TRUE(claim(0, uuidV7()).may_run());
        EXPECT_TRUE(claim(1, uuidV7()).may_run());
    }
    /// The outcome that other keepers see for the key, once there is one.
    wire::RunState awaitOutcome(std::size_t host, const std::string &key)
    {
        const Instant giveUpAt = std::chrono::steady_clock::now() + Seconds(20);
        for (;;) {
            const wire::ReadRunReply reply = routers_[host]->readRun(Workspace, key);
            if (reply.run().has_outcome()) {
                return reply.run();
            }
            if (std::chrono::steady_clock::now() > giveUpAt) {
                throw std::runtime_error("no outcome: " + reply.ShortDebugString());
            }
            std::this_thread::sleep_for(Millis(20));
        }
    }

    Fleet fleet_{twoDomains()};
    std::vector<std::unique_ptr<BareRouter>> routers_;
};

/// The same key is claimed in two domains at once. The log's order decides: one may run,
/// the other is told whose claim stands, and that it may have run, as no outcome is known.
TEST_F(RunClaims, SameKeyInTwoDomainsRunsOnce)
{
    for (int round = 0; round < 10; ++round) {
        const std::string key = uuidV7();
        wire::ClaimRunReply first;
        std::thread other([&] { first = claim(0, key); });
        const wire::ClaimRunReply second = claim(1, key);
        other.join();
        EXPECT_EQ(first.may_run() + second.may_run(), 1)
                << first.ShortDebugString() << second.ShortDebugString();
        const wire::ClaimRunReply &loser = first.may_run() ? second : first;
        EXPECT_TRUE(loser.has_taken());
        EXPECT_FALSE(loser.taken().has_outcome());
    }
}

/// The claim reaches the log and the answer is lost; the claimer reads its own claim back
/// and may run. Had it believed the lost answer, nobody could ever run the call; had it
/// claimed anew under another name, its own first claim would have looked like a rival's.
TEST_F(RunClaims, LostAnswerStillRuns)
{
    setFaults(fleet_.logAddress(), {{"lose_answers", 1}});
    const std::string key = uuidV7();
    EXPECT_TRUE(claim(0, key).may_run());
    EXPECT_TRUE(claim(1, key).has_taken());
}

/// The log is away: the caller is told at once, truthfully, that nothing ran and when to
/// come back. Afterwards the key is free, for the claim was never sent.
TEST_F(RunClaims, LogAwayIsNotRunAndLeavesTheKeyFree)
{
    const std::string key = uuidV7();
    setFaults(fleet_.logAddress(), {{"down", true}});
    const wire::ClaimRunReply refused = claim(0, key);
    EXPECT_EQ(refused.refused().execution(), wire::NOT_RUN);
    EXPECT_EQ(refused.refused().reason(), "log_unavailable");
    EXPECT_GT(refused.refused().retry_after_ms(), 0U);
    setFaults(fleet_.logAddress(), {{"down", false}});
    EXPECT_TRUE(claimWhenLogIsBack(1, key).may_run());
}

/// The log is slower than the claimer waits: the caller is told "not run", and the claim
/// lands all the same. It must never be taken for "may run" by its claimer, who promised,
/// nor stand as "may have run" for ever: its outcome says that it did not.
TEST_F(RunClaims, ClaimThatLandsTooLateIsUndone)
{
    const std::string key = uuidV7();
    const std::string attempt = randomHex128();
    awaitQuiet();
    const int64_t before = lastOffset();
    setFaults(fleet_.logAddress(), {{"slow_ms", 1500}});
    const wire::ClaimRunReply refused = claim(0, key, attempt);
    ASSERT_TRUE(refused.has_refused()) << refused.ShortDebugString();
    EXPECT_EQ(refused.refused().execution(), wire::NOT_RUN);
    awaitAppend("h1", before);
    setFaults(fleet_.logAddress(), {{"slow_ms", 0}});
    EXPECT_FALSE(claim(0, key, attempt).may_run()) << "the attempt was given up";
    EXPECT_EQ(awaitOutcome(1, key).outcome().execution(), wire::NOT_RUN);
    // The caller does as it was told and comes back under the same key.
    EXPECT_TRUE(claim(1, key).may_run());
    EXPECT_TRUE(claim(0, key).has_taken()) << "the key is taken again, by the second claim";
}

/// The claimer is paused for longer than any timeout, after its claim reached the log.
/// Its router has told the caller "not run" by then. When it wakes it must not run, and
/// the key's outcome must say so.
TEST_F(RunClaims, PausedClaimerNeverRuns)
{
    const std::string key = uuidV7();
    const std::string attempt = randomHex128();
    wire::ClaimRunReply reply;
    awaitQuiet();
    const int64_t before = lastOffset();
    setFaults(fleet_.logAddress(), {{"slow_ms", 400}});
    std::thread claimer([&] { reply = claim(0, key, attempt); });
    fleet_.keeper(0).waitFor("run.claiming", [&](const Process::Line &line) {
        return line.value("attempt", "") == attempt;
    });
    fleet_.keeper(0).signal(SIGSTOP);
    awaitAppend("h1", before);
    setFaults(fleet_.logAddress(), {{"slow_ms", 0}});
    // The pause outlives claim_wait_ms; the verdict doesn't depend on by how much.
    std::this_thread::sleep_for(Millis(1500));
    EXPECT_TRUE(claim(1, key).has_taken()) << "the paused claimer's claim stands";
    fleet_.keeper(0).signal(SIGCONT);
    claimer.join();
    EXPECT_FALSE(reply.may_run()) << reply.ShortDebugString();
    EXPECT_EQ(awaitOutcome(1, key).outcome().execution(), wire::NOT_RUN);
}

/// A key whose time is past the claims' retention: a claim may have stood and been
/// forgotten. The caller is told that it may have run; nothing is claimed.
TEST_F(RunClaims, KeyOlderThanTheRetentionMayHaveRun)
{
    const wire::ClaimRunReply reply = claim(0, uuidV7(Seconds(601)));
    EXPECT_EQ(reply.refused().execution(), wire::MAY_HAVE_RUN);
    EXPECT_EQ(reply.refused().reason(), "key_too_old");
}

/// The outcome that the router reports is what everybody asking for the key is told, also
/// through a keeper in another domain.
TEST_F(RunClaims, OutcomeIsKnownEverywhere)
{
    const std::string key = uuidV7();
    const std::string attempt = randomHex128();
    ASSERT_TRUE(claim(0, key, attempt).may_run());
    wire::RunOutcome outcome;
    outcome.set_workspace(Workspace);
    outcome.set_key(key);
    outcome.set_attempt(attempt);
    outcome.set_execution(wire::RAN);
    outcome.set_answer("booked");
    EXPECT_TRUE(routers_[0]->finish(outcome).held());
    EXPECT_EQ(awaitOutcome(1, key).outcome().answer(), "booked");
}

} // namespace
