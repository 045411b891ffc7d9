#include <iostream>

#include <fmt/ranges.h>
#include <gtest/gtest.h>

#include "unittests/Support/EscrowSearch.h"

using namespace sequoiagate;

namespace {

struct Bounds
{
    const char *name;
    EscrowSearchBounds bounds;
    std::size_t leastStates; ///< fewer: the search has lost moves
};

constexpr EscrowSearchBounds Replacements = {
        .records = 4, .witnessChanges = 2, .returns = 0, .closes = 0, .lostAnswers = 0};
constexpr EscrowSearchBounds Returns = {
        .records = 3, .witnessChanges = 1, .returns = 1, .closes = 0, .lostAnswers = 1};
constexpr EscrowSearchBounds Ends = {
        .records = 3, .witnessChanges = 1, .returns = 0, .closes = 1, .lostAnswers = 0};

const Bounds AllBounds[] = {
        {"Replacements", Replacements, 40'000},
        {"Returns", Returns, 100'000},
        {"Ends", Ends, 20'000},
};

class EscrowSearch : public testing::TestWithParam<Bounds>
{};

/// A budget of four tokens, all in one grant. In every run within the bounds, with any
/// process paused at any step and any message or answer lost, late or doubled, what the
/// holder may spend stays within what the log holds as given out.
TEST_P(EscrowSearch, FindsNoOverspend)
{
    const EscrowSearchResult result = searchEscrow(GetParam().bounds, {}, {});
    EXPECT_TRUE(result.trace.empty()) << fmt::format("{}", fmt::join(result.trace, "; "));
    std::cout << GetParam().name << ": " << result.states << " states\n";
    EXPECT_GT(result.states, GetParam().leastStates);
}

INSTANTIATE_TEST_SUITE_P(Bounds, EscrowSearch, testing::ValuesIn(AllBounds),
                         [](const auto &row) { return std::string(row.param.name); });

struct Without
{
    const char *name;
    EscrowSearchBounds bounds;
    GrantSafeguards grants;
    LedgerSafeguards ledger;
};

const Without Withouts[] = {
        {"HolderStopsWindowsFirst", Replacements, {.holderStopsWindowsFirst = false}, {}},
        {"WitnessStopsSigningFirst", Replacements, {.witnessStopsSigningFirst = false}, {}},
        {"WitnessKeepsItsCount", Replacements, {.witnessKeepsItsCount = false}, {}},
        {"DropDoubles", Returns, {}, {.dropDoubles = false}},
        {"FirstEndWins", Ends, {}, {.firstEndWins = false}},
};

class EscrowSearchSafeguard : public testing::TestWithParam<Without>
{};

/// With one safeguard off there is a run that overspends; the test prints the shortest.
TEST_P(EscrowSearchSafeguard, IsNeeded)
{
    const Without &without = GetParam();
    const EscrowSearchResult result = searchEscrow(without.bounds, without.grants, without.ledger);
    std::cout << without.name << " off: " << fmt::format("{}", fmt::join(result.trace, "; "))
              << "\n";
    EXPECT_FALSE(result.trace.empty());
}

INSTANTIATE_TEST_SUITE_P(Flags, EscrowSearchSafeguard, testing::ValuesIn(Withouts),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
