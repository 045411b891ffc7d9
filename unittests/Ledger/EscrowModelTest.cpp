#include <array>
#include <iostream>
#include <random>
#include <sstream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unittests/Support/EscrowWorld.h"

using namespace sequoiagate;

namespace sequoiagate {

static void showValue(const EscrowCommand &command, std::ostream &out)
{
    out << command;
}

} // namespace sequoiagate

namespace {

using Commands = std::vector<EscrowCommand>;

constexpr int StepsPerRun = 250;

/// The frequency of each step, in the order of EscrowOp: work often enough to use up the budget,
/// faults often enough to coincide.
constexpr std::array<std::size_t, static_cast<std::size_t>(EscrowOp::Count)> Weights = {
        30, // Reserve
        15, // Settle
        15, // Tick
        25, // Append
        4,  // AppendAnswerLost
        4,  // LandLateCopy
        40, // Read
        20, // DeliverAsk
        20, // DeliverReply
        4,  // DoubleReply
        2,  // SuspectHolder
        4,  // SuspectWitness
        2,  // LogAway
        8,  // LogBack
        1,  // TopUp
        2,  // Restart
        1,  // Drain
};

std::vector<EscrowOp> weightedOps()
{
    std::vector<EscrowOp> ops;
    for (std::size_t op = 0; op < Weights.size(); ++op) {
        ops.insert(ops.end(), Weights[op], static_cast<EscrowOp>(op));
    }
    return ops;
}

rc::Gen<EscrowCommand> anyCommand()
{
    return rc::gen::build<EscrowCommand>(
            rc::gen::set(&EscrowCommand::op, rc::gen::elementOf(weightedOps())),
            rc::gen::set(&EscrowCommand::node, rc::gen::inRange<uint8_t>(0, EscrowWorld::Nodes)),
            rc::gen::set(&EscrowCommand::choice, rc::gen::inRange<uint8_t>(0, 255)));
}

/// Three keepers share a budget. Messages and appends are lost, delayed and duplicated, every
/// keeper may be paused, restarted or suspected at any step, and seals, rewitnesses, returns and
/// closes race. In any case spent and spendable tokens together stay within the budget.
RC_GTEST_PROP(EscrowModel, NeverExceedsBudget, ())
{
    const auto commands = *rc::gen::container<Commands>(StepsPerRun, anyCommand());
    EscrowWorld world;
    for (const EscrowCommand &command : commands) {
        world.run(command);
        RC_ASSERT(world.spentOrSpendable() <= world.allocated());
        RC_ASSERT(world.allocated() <= world.total());
    }
}

/// Each seed draws its own weights (swarm testing): a run without restarts, or with frequent
/// suspicions, reaches states that a uniform mixture hardly ever reaches.
std::vector<EscrowOp> swarmOps(std::mt19937_64 &random)
{
    constexpr std::array<std::size_t, 4> Factors = {0, 1, 1, 4};
    std::vector<EscrowOp> ops = {EscrowOp::Read, EscrowOp::Append, EscrowOp::Reserve};
    for (std::size_t op = 0; op < Weights.size(); ++op) {
        const std::size_t factor = Factors[random() % Factors.size()];
        ops.insert(ops.end(), Weights[op] * factor, static_cast<EscrowOp>(op));
    }
    return ops;
}

Commands seededCommands(uint64_t seed)
{
    std::mt19937_64 random(seed);
    const std::vector<EscrowOp> ops = swarmOps(random);
    Commands commands(StepsPerRun);
    for (EscrowCommand &command : commands) {
        command.op = ops[random() % ops.size()];
        command.node = static_cast<uint8_t>(random() % EscrowWorld::Nodes);
        command.choice = static_cast<uint8_t>(random() % 256);
    }
    return commands;
}

/// The first step after which more than the budget could be spent, or 0 if there is none.
std::size_t overspendStep(const Commands &commands, GrantSafeguards grants, LedgerSafeguards ledger)
{
    EscrowWorld world(grants, ledger);
    for (std::size_t step = 0; step < commands.size(); ++step) {
        world.run(commands[step]);
        if (world.overspent()) {
            return step + 1;
        }
    }
    return 0;
}

TEST(EscrowModel, NeverExceedsBudgetForManySeeds)
{
    constexpr uint64_t Seeds = 5'000;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        ASSERT_EQ(overspendStep(seededCommands(seed), {}, {}), 0U) << "seed " << seed;
    }
}

/// Messages and appends are lost, delayed and duplicated, but no keeper restarts or is suspected.
/// After a planned stop of all keepers, the tokens allocated in the log are exactly the spent ones:
/// no token is stranded.
TEST(EscrowModel, PlannedStopStrandsNoTokens)
{
    constexpr uint64_t Seeds = 1'000;
    const auto isFailure = [](const EscrowCommand &command) {
        return command.op == EscrowOp::Restart || command.op == EscrowOp::SuspectHolder
               || command.op == EscrowOp::SuspectWitness;
    };
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        Commands commands = seededCommands(seed);
        std::erase_if(commands, isFailure);
        EscrowWorld world;
        for (const EscrowCommand &command : commands) {
            world.run(command);
        }
        const uint64_t allocated = world.drainAll();
        ASSERT_EQ(allocated, world.spent()) << "seed " << seed;
    }
}

/// Removes the commands that the overspending doesn't need.
Commands shrink(Commands commands, GrantSafeguards grants, LedgerSafeguards ledger)
{
    commands.resize(overspendStep(commands, grants, ledger));
    bool isShrinking = true;
    while (isShrinking) {
        isShrinking = false;
        for (std::size_t index = commands.size(); index-- > 0;) {
            Commands fewer = commands;
            fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(index));
            if (overspendStep(fewer, grants, ledger) != 0) {
                commands = std::move(fewer);
                isShrinking = true;
            }
        }
    }
    return commands;
}

std::string asText(const Commands &commands)
{
    std::ostringstream text;
    for (const EscrowCommand &command : commands) {
        text << ' ' << command;
    }
    return text.str();
}

struct DisabledSafeguard
{
    const char *name;
    GrantSafeguards grants;
    LedgerSafeguards ledger;
};

/// witnessKeepsCount requires a witness that returns to the same grant, which is too rare for a
/// random run: EscrowSearchTest covers it.
const DisabledSafeguard DisabledSafeguards[] = {
        {"HolderStopsWindowsFirst", {.holderStopsWindowsFirst = false}, {}},
        {"WitnessStopsSigningFirst", {.witnessStopsSigningFirst = false}, {}},
        {"DropDuplicates", {}, {.dropDuplicates = false}},
        {"FirstEndWins", {}, {.firstEndWins = false}},
};

class EscrowSafeguard : public testing::TestWithParam<DisabledSafeguard>
{};

/// With one safeguard disabled, some run overspends the budget; with all enabled, the same run
/// doesn't. So each safeguard is needed, and the model detects the fault that it prevents.
TEST_P(EscrowSafeguard, PreventsOverspending)
{
    constexpr uint64_t MaxSeeds = 20'000;
    const DisabledSafeguard &disabled = GetParam();
    for (uint64_t seed = 1; seed <= MaxSeeds; ++seed) {
        const Commands commands = seededCommands(seed);
        if (overspendStep(commands, disabled.grants, disabled.ledger) == 0) {
            continue;
        }
        const Commands trace = shrink(commands, disabled.grants, disabled.ledger);
        RecordProperty("trace", asText(trace));
        std::cout << disabled.name << " off, seed " << seed << ":" << asText(trace) << "\n";
        EXPECT_EQ(overspendStep(trace, {}, {}), 0U);
        EXPECT_EQ(overspendStep(commands, {}, {}), 0U);
        return;
    }
    FAIL() << "no run overspends without the safeguard: the model doesn't detect its absence";
}

INSTANTIATE_TEST_SUITE_P(Flags, EscrowSafeguard, testing::ValuesIn(DisabledSafeguards),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
