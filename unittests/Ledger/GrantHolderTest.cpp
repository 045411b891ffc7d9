#include "sequoiagate/Ledger/GrantHolder.h"

#include <gtest/gtest.h>

#include "sequoiagate/Ledger/GrantWitness.h"
#include "unittests/Support/LedgerRecords.h"

using namespace sequoiagate;
using namespace std::chrono_literals;

namespace {

/// One holder, two witnesses and a log without delay.
class GrantHolderTest : public testing::Test
{
protected:
    GrantHolderTest() { fund(1000); }

    static GrantSettings smallGrants()
    {
        GrantSettings settings;
        settings.minimumGrant = 100;
        return settings;
    }

    void fund(uint64_t total)
    {
        ++version_;
        apply("operator", records::funding("w", version_, total));
    }

    FoldResult apply(const std::string &writer, wire::Record record)
    {
        const uint64_t sequence = ++sequences_[writer];
        const FoldResult result =
                fold_.apply(records::from(writer, sequence, std::move(record)), fold_.nextOffset());
        holder_.onFold(fold_, now_);
        first_.onFold(fold_, now_);
        second_.onFold(fold_, now_);
        return result;
    }

    GrantWitness &witness(const Incarnation &id) { return id == firstId_ ? first_ : second_; }

    /// Performs the actions of the holder and the witnesses until there are none left.
    void settleActions()
    {
        bool busy = true;
        while (busy) {
            busy = false;
            for (const GrantAction &action : holder_.takeActions()) {
                busy = true;
                perform("holder", action);
            }
            for (const Incarnation &id : witnesses_) {
                for (const GrantAction &action : witness(id).takeActions()) {
                    busy = true;
                    perform(id.text(), action);
                }
            }
        }
    }

    void perform(const std::string &writer, const GrantAction &action)
    {
        if (const auto *append = std::get_if<AppendAction>(&action)) {
            appended_.push_back(append->record);
            apply(writer, append->record);
            return;
        }
        const auto &request = std::get<RequestWindowAction>(action);
        if (unresponsive_.contains(request.witness)) {
            return;
        }
        const SignOutcome outcome = witness(request.witness)
                                            .sign(request.grant, self_, request.receivedTokens,
                                                  request.wantTokens, fold_, logHeardAt_, now_);
        if (const auto *total = std::get_if<uint64_t>(&outcome)) {
            holder_.onWindow(request.grant, request.witness, *total, now_);
        } else {
            const bool final = !std::get<Verdict>(outcome).retryAt;
            holder_.onWindowRefused(request.grant, request.witness, final, now_);
        }
    }

    ReserveOutcome reserve(const std::string &id, uint64_t tokens)
    {
        ReserveOutcome outcome = tryReserve(id, tokens);
        for (int round = 0; round < 5 && std::holds_alternative<ReservePending>(outcome); ++round) {
            settleActions();
            outcome = tryReserve(id, tokens);
        }
        settleActions();
        return outcome;
    }

    ReserveOutcome tryReserve(const std::string &id, uint64_t tokens)
    {
        return holder_.reserve(ReservationId(id), tokens, witnesses_, fold_, logReachable_, now_);
    }

    void tick(Interval span)
    {
        now_ += span;
        if (logReachable_) {
            logHeardAt_ = now_;
        }
        holder_.onTick(witnesses_, fold_, logReachable_, now_);
        settleActions();
    }

    Reason refusalOf(const ReserveOutcome &outcome)
    {
        const auto *verdict = std::get_if<Verdict>(&outcome);
        return verdict ? verdict->reason : Reason::None;
    }

    uint64_t allocated() const { return fold_.budget(WorkspaceId("w"))->allocated; }

    Incarnation self_{"holder"};
    Incarnation firstId_{"first"};
    Incarnation secondId_{"second"};
    std::vector<Incarnation> witnesses_{firstId_, secondId_};
    std::set<Incarnation> unresponsive_;
    GrantSettings settings_ = smallGrants();
    LedgerFold fold_;
    GrantHolder holder_{WorkspaceId("w"), self_, settings_};
    GrantWitness first_{firstId_, settings_};
    GrantWitness second_{secondId_, settings_};
    std::map<std::string, uint64_t> sequences_;
    std::vector<wire::Record> appended_;
    uint64_t version_ = 0;
    Instant now_{};
    Instant logHeardAt_{};
    bool logReachable_ = true;
};

TEST_F(GrantHolderTest, ClaimsRequestsWindowReservesAndSettles)
{
    const ReserveOutcome outcome = reserve("r", 50);
    ASSERT_TRUE(std::holds_alternative<ReservationDraws>(outcome));
    const auto &draws = std::get<ReservationDraws>(outcome);
    ASSERT_EQ(draws.draws.size(), 1U);
    EXPECT_EQ(draws.draws[0].tokens, 50U);
    EXPECT_EQ(holder_.reservedTokens(), 50U);
    const std::vector<Draw> spent = holder_.settle(ReservationId("r"), 20, now_);
    ASSERT_EQ(spent.size(), 1U);
    EXPECT_EQ(spent[0].tokens, 20U);
    EXPECT_EQ(holder_.reservedTokens(), 0U);
    EXPECT_TRUE(holder_.settle(ReservationId("r"), 20, now_).empty()) << "settled twice";
}

TEST_F(GrantHolderTest, ReservesOnceForSameId)
{
    reserve("r", 50);
    reserve("r", 50);
    EXPECT_EQ(holder_.reservedTokens(), 50U);
}

TEST_F(GrantHolderTest, SpendsDirectlyWithoutWitness)
{
    witnesses_.clear();
    EXPECT_TRUE(std::holds_alternative<ReservationDraws>(reserve("r", 50)));
    EXPECT_EQ(fold_.grantsHeldBy(self_).at(0)->witness, Incarnation());
}

/// A caller requests more than the remaining budget. While another holder has tokens left, the
/// refusal has a time to retry; once everything is spent, it has none.
TEST_F(GrantHolderTest, ReportsBudgetSpentOnlyWhenNothingRemains)
{
    apply("other", records::claim("o", "w", 600, "other", "first"));
    EXPECT_TRUE(std::holds_alternative<ReservationDraws>(reserve("r", 400)));
    const ReserveOutcome held = reserve("s", 100);
    EXPECT_EQ(refusalOf(held), Reason::BudgetUnreachable);
    EXPECT_TRUE(std::get<Verdict>(held).retryAt.has_value());
    apply("other", records::close("o", 600));
    holder_.settle(ReservationId("r"), 400, now_);
    now_ += 5s;
    const ReserveOutcome spent = reserve("t", 100);
    EXPECT_EQ(refusalOf(spent), Reason::BudgetSpent);
    EXPECT_FALSE(std::get<Verdict>(spent).retryAt.has_value());
}

/// Guards against reporting a spent budget while the log is unreachable: the whole budget is
/// allocated, but the log may contain a top-up that hasn't been read. The caller is told to retry.
TEST_F(GrantHolderTest, DoesNotReportBudgetSpentWhileLogIsUnreachable)
{
    reserve("r", 1000);
    holder_.settle(ReservationId("r"), 1000, now_);
    settleActions();
    logReachable_ = false;
    now_ += 5s;
    EXPECT_EQ(refusalOf(reserve("s", 1)), Reason::BudgetUnreachable);
}

/// Another keeper's claim is refused because this holder has idle tokens. It returns them once, and
/// the other keeper's next claim is accepted.
TEST_F(GrantHolderTest, ReturnsIdleTokensWhenOthersLackTokens)
{
    reserve("r", 100);
    holder_.settle(ReservationId("r"), 1, now_);
    tick(1s);
    const uint64_t before = allocated();
    ASSERT_EQ(apply("other", records::claim("o", "w", 990, "other", "first")).outcome,
              FoldOutcome::Refused);
    tick(10min);
    tick(1s);
    EXPECT_LT(allocated(), before);
    EXPECT_EQ(apply("other", records::claim("p", "w", 990, "other", "first")).outcome,
              FoldOutcome::Accepted);
}

/// The witness fails. The holder names another one, with the received tokens as the base, and
/// continues to spend from the same grant.
TEST_F(GrantHolderTest, ReplacesFailedWitness)
{
    reserve("r", 50);
    unresponsive_.insert(firstId_);
    holder_.onWitnessSuspected(firstId_, witnesses_, now_);
    settleActions();
    const LedgerGrant *grant = fold_.grantsHeldBy(self_).at(0);
    EXPECT_EQ(grant->witness, secondId_);
    EXPECT_EQ(grant->baseSigned, 50U);
    EXPECT_TRUE(std::holds_alternative<ReservationDraws>(reserve("s", 40)));
    EXPECT_EQ(fold_.grantsHeldBy(self_).size(), 1U);
}

/// The only other host of the failure domain fails and is replaced. For some minutes a host
/// elsewhere is the witness; once the new host has been there for a while it becomes the witness,
/// so that the next partition doesn't separate the holder from its windows.
TEST_F(GrantHolderTest, ReturnsToPreferredWitness)
{
    witnesses_ = {secondId_};
    reserve("r", 50);
    const GrantId grant = fold_.grantsHeldBy(self_).at(0)->id;
    witnesses_ = {firstId_, secondId_};
    tick(1s);
    EXPECT_EQ(fold_.grant(grant)->witness, secondId_) << "replaced too early";
    tick(31s);
    EXPECT_EQ(fold_.grant(grant)->witness, firstId_);
    EXPECT_GE(fold_.grant(grant)->baseSigned, 50U) << "reserved tokens count as received";
}

/// The witness suspects the holder, which is only paused, and seals its grant. The holder spends
/// what it had received, and claims another grant with another witness.
TEST_F(GrantHolderTest, ContinuesAfterMistakenSeal)
{
    reserve("r", 50);
    first_.onHolderSuspected(self_, fold_, now_);
    settleActions();
    EXPECT_EQ(allocated(), 50U);
    now_ += 5s;
    EXPECT_TRUE(std::holds_alternative<ReservationDraws>(reserve("s", 40)));
    EXPECT_EQ(fold_.grantsHeldBy(self_).at(0)->witness, secondId_);
    EXPECT_LE(allocated(), 1000U);
}

/// The log is unreachable for a long time. The witness gradually widens the window up to the whole
/// grant, so that the holder continues when the witness fails as well.
TEST_F(GrantHolderTest, WindowGrowsToWholeGrantWhileLogIsUnreachable)
{
    reserve("r", 10);
    EXPECT_LT(holder_.availableTokens(), 90U);
    logReachable_ = false;
    for (int second = 0; second < 310; ++second) {
        tick(1s);
    }
    EXPECT_EQ(holder_.availableTokens(), 90U);
    unresponsive_.insert(firstId_);
    EXPECT_TRUE(std::holds_alternative<ReservationDraws>(reserve("s", 90)));
}

TEST_F(GrantHolderTest, DrainReturnsUnspentTokens)
{
    reserve("r", 50);
    EXPECT_FALSE(holder_.drain(now_)) << "a request is open";
    holder_.settle(ReservationId("r"), 30, now_);
    EXPECT_TRUE(holder_.drain(now_));
    settleActions();
    EXPECT_EQ(allocated(), 30U);
    EXPECT_EQ(refusalOf(reserve("s", 1)), Reason::Draining);
}

} // namespace
