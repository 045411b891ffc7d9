/// What one keeper answers about requests that it has met before.

#include "sequoiagate/Keeper/KeeperCore.h"

#include <gtest/gtest.h>

using namespace sequoiagate;

namespace {

const char *const Workspace = "luthier";

wire::MemberEntry selfEntry()
{
    wire::MemberEntry self;
    self.set_host("h1");
    self.set_domain("d1");
    self.set_incarnation("keeper-1");
    return self;
}

/// A core with its log in memory: what it appends is read back at once.
class CoreTest : public testing::Test
{
protected:
    CoreTest()
    {
        wire::Record record;
        record.set_writer("operator");
        record.set_sequence(1);
        wire::WorkspaceChange &added = *record.mutable_config_change()->add_workspaces();
        added.set_workspace(Workspace);
        added.set_name(Workspace);
        added.set_budget_tokens(10'000);
        streams_[0].push_back(record.SerializeAsString());
        pump();
        pump();
    }

    /// Moves records to the log and back until nothing moves any more.
    void pump()
    {
        constexpr int Rounds = 6;
        for (int round = 0; round < Rounds; ++round) {
            now_ += Seconds(1);
            core_.onTick(now_, wall_);
            for (std::size_t stream = 0; stream < core_.streamCount(); ++stream) {
                std::vector<std::string> &log = streams_[stream];
                const std::vector<std::string> batch = core_.queue(stream).takeBatch(now_);
                log.insert(log.end(), batch.begin(), batch.end());
                if (!batch.empty()) {
                    core_.queue(stream).onAcknowledged();
                }
                LogSlice slice;
                slice.next = log.size();
                for (LogOffset at = core_.nextOffset(stream); at < log.size(); ++at) {
                    slice.entries.push_back({at, log[at]});
                }
                core_.onSlice(stream, slice, now_, wall_);
            }
        }
    }
    wire::ReserveReply reserve(const std::string &request, const std::string &body,
                               const std::string &attempt)
    {
        wire::ReserveRequest message;
        message.set_workspace(Workspace);
        message.set_request(request);
        message.set_body_hash(body);
        message.set_attempt(attempt);
        message.set_prompt_tokens(1);
        message.set_output_ceiling(99);
        message.set_router("router-1");
        const auto id = randomId<ReservationId>();
        constexpr int Tries = 5;
        for (int count = 0; count < Tries; ++count) {
            const Step<wire::ReserveReply> step = core_.reserve(message, id, now_);
            if (const auto *reply = std::get_if<wire::ReserveReply>(&step)) {
                return *reply;
            }
            pump();
        }
        return {};
    }
    wire::SettleReply settle(const wire::Reservation &reservation, const std::string &request,
                             uint64_t completionTokens)
    {
        wire::SettleRequest message;
        message.set_reservation(reservation.id());
        message.set_router("router-1");
        message.set_execution(completionTokens > 0 ? wire::RAN : wire::NOT_RUN);
        message.mutable_bill()->set_workspace(Workspace);
        message.mutable_bill()->set_request(request);
        message.mutable_bill()->set_prompt_tokens(completionTokens > 0 ? 1 : 0);
        message.mutable_bill()->set_completion_tokens(completionTokens);
        return core_.settle(message, true, now_, wall_);
    }

    Statechart chart_ = Statechart::parse(
            R"({"name":"drain","initial":"serving","final":["stopped"],"events":["stop","empty"],
                "states":{"serving":{"stop":"draining","empty":"serving"},
                          "draining":{"stop":"draining","empty":"stopped"},
                          "stopped":{"stop":"stopped","empty":"stopped"}}})");
    Instant now_{Seconds(1000)};
    WallTime wall_{Seconds(1'790'000'000)};
    KeeperCore core_{KeeperCoreSettings(), selfEntry(), chart_, now_};
    std::vector<std::string> streams_[2];
};

// A caller of a workspace that was just added gets 403 from a keeper that hasn't heard of it.
TEST_F(CoreTest, RefusesAWorkspaceThatItDoesntKnowOnlyForNow)
{
    wire::ReserveRequest message;
    message.set_workspace("added");
    message.set_request("r");
    message.set_prompt_tokens(1);
    const Step<wire::ReserveReply> step = core_.reserve(message, randomId<ReservationId>(), now_);
    const auto *reply = std::get_if<wire::ReserveReply>(&step);
    ASSERT_NE(reply, nullptr);
    EXPECT_EQ(reply->refused().reason(), "not_ready");
    EXPECT_GT(reply->refused().retry_after_ms(), 0);
}

enum class Earlier {
    Open,
    NotRun,
    Billed,
};

struct SecondTry
{
    const char *name;
    Earlier earlier;
    const char *body;
    const char *attempt;
    wire::ReserveReply::OutcomeCase outcome;
    const char *reason;
};

class SecondTries : public CoreTest, public testing::WithParamInterface<SecondTry>
{};

constexpr SecondTry SecondTryRows[] = {
        {"SameTryWhileOpen", Earlier::Open, "body", "try-1", wire::ReserveReply::kReservation, ""},
        {"OtherTryWhileOpen", Earlier::Open, "body", "try-2", wire::ReserveReply::kRunning, ""},
        {"OtherBodyWhileOpen", Earlier::Open, "other", "try-2", wire::ReserveReply::kRefused,
         "body_mismatch"},
        {"AfterNotRun", Earlier::NotRun, "body", "try-2", wire::ReserveReply::kReservation, ""},
        {"AfterBilled", Earlier::Billed, "body", "try-2", wire::ReserveReply::kBilled, ""},
        {"OtherBodyAfterBilled", Earlier::Billed, "other", "try-2", wire::ReserveReply::kRefused,
         "body_mismatch"},
};

/// A caller, or its router, sends one request id twice. The second never opens a second
/// reservation beside the first, and a billed request is never run again.
TEST_P(SecondTries, AreAnsweredByWhatBecameOfTheFirst)
{
    const wire::ReserveReply first = reserve("r1", "body", "try-1");
    ASSERT_TRUE(first.has_reservation()) << first.ShortDebugString();
    if (GetParam().earlier != Earlier::Open) {
        settle(first.reservation(), "r1", GetParam().earlier == Earlier::Billed ? 50 : 0);
    }
    const wire::ReserveReply second = reserve("r1", GetParam().body, GetParam().attempt);
    EXPECT_EQ(second.outcome_case(), GetParam().outcome) << second.ShortDebugString();
    EXPECT_EQ(second.refused().reason(), GetParam().reason);
    if (GetParam().earlier == Earlier::Open && second.has_reservation()) {
        EXPECT_EQ(second.reservation().id(), first.reservation().id());
    }
}

INSTANTIATE_TEST_SUITE_P(Requests, SecondTries, testing::ValuesIn(SecondTryRows),
                         [](const auto &row) { return std::string(row.param.name); });

/// The router may forget its bill only when it stands on the log.
TEST_F(CoreTest, BillIsDurableOnceReadBack)
{
    const wire::ReserveReply first = reserve("r1", "body", "try-1");
    const wire::SettleReply held = settle(first.reservation(), "r1", 50);
    EXPECT_TRUE(held.held());
    EXPECT_EQ(held.durable_offset(), 0U);
    pump();
    EXPECT_GT(settle(first.reservation(), "r1", 50).durable_offset(), 0U);
}

/// A bill above its reservation would let the invoices exceed the budget.
TEST_F(CoreTest, BillNeverExceedsItsReservation)
{
    const wire::ReserveReply first = reserve("r1", "body", "try-1");
    settle(first.reservation(), "r1", 5000);
    const wire::ReserveReply again = reserve("r1", "body", "try-2");
    EXPECT_EQ(again.billed().prompt_tokens() + again.billed().completion_tokens(), 100U);
}

/// A keeper that is stopping refuses truthfully and waits for what is open.
TEST_F(CoreTest, DrainWaitsForOpenRequests)
{
    const wire::ReserveReply first = reserve("r1", "body", "try-1");
    core_.beginDrain();
    EXPECT_EQ(reserve("r2", "body", "try-1").refused().reason(), "draining");
    EXPECT_FALSE(core_.drained(now_, wall_));
    settle(first.reservation(), "r1", 50);
    pump();
    EXPECT_FALSE(core_.drained(now_, wall_)) << "the grant's close must be read back first";
    pump();
    EXPECT_TRUE(core_.drained(now_, wall_));
    EXPECT_EQ(core_.strandedTokens(), 0U);
}

struct TryWhileDraining
{
    const char *name;
    const char *body;
    const char *attempt;
    wire::ReserveReply::OutcomeCase outcome;
};

class TriesWhileDraining : public CoreTest, public testing::WithParamInterface<TryWhileDraining>
{};

// Guards against a planned stop that never ends: the response that opened a reservation was lost,
// and the router that asks for it again, to end it, is refused.
TEST_P(TriesWhileDraining, GetTheReservationThatTheyOpened)
{
    const TryWhileDraining &row = GetParam();
    const wire::ReserveReply first = reserve("r1", "body", "try-1");
    core_.beginDrain();
    const wire::ReserveReply again = reserve("r1", row.body, row.attempt);
    ASSERT_EQ(again.outcome_case(), row.outcome) << again.ShortDebugString();
    EXPECT_FALSE(core_.drained(now_, wall_));
    if (again.has_reservation()) {
        EXPECT_EQ(again.reservation().id(), first.reservation().id());
        settle(again.reservation(), "r1", 0);
        pump();
        core_.drained(now_, wall_);
        pump();
        EXPECT_TRUE(core_.drained(now_, wall_));
    }
}

INSTANTIATE_TEST_SUITE_P(Requests, TriesWhileDraining,
                         testing::Values(TryWhileDraining{"SameTry", "body", "try-1",
                                                          wire::ReserveReply::kReservation},
                                         TryWhileDraining{"OtherTry", "body", "try-2",
                                                          wire::ReserveReply::kRefused},
                                         TryWhileDraining{"OtherBody", "other", "try-1",
                                                          wire::ReserveReply::kRefused}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
