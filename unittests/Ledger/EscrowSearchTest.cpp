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
    std::size_t minStates; ///< fewer: the search misses steps
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

/// A budget of four tokens, all in one grant. In every run within the bounds, with any process
/// paused at any step and any message or response lost, delayed or duplicated, the tokens that the
/// holder may spend stay within those allocated in the log.
TEST_P(EscrowSearch, NeverExceedsBudget)
{
    const EscrowSearchResult result = searchEscrow(GetParam().bounds, {}, {});
    EXPECT_TRUE(result.trace.empty()) << fmt::format("{}", fmt::join(result.trace, "; "));
    std::cout << GetParam().name << ": " << result.states << " states\n";
    EXPECT_GT(result.states, GetParam().minStates);
}

INSTANTIATE_TEST_SUITE_P(Bounds, EscrowSearch, testing::ValuesIn(AllBounds),
                         [](const auto &row) { return std::string(row.param.name); });

struct DisabledSafeguard
{
    const char *name;
    EscrowSearchBounds bounds;
    GrantSafeguards grants;
    LedgerSafeguards ledger;
};

const DisabledSafeguard DisabledSafeguards[] = {
        {"HolderStopsWindowsFirst", Replacements, {.holderStopsWindowsFirst = false}, {}},
        {"WitnessStopsSigningFirst", Replacements, {.witnessStopsSigningFirst = false}, {}},
        {"WitnessKeepsCount", Replacements, {.witnessKeepsCount = false}, {}},
        {"DropDuplicates", Returns, {}, {.dropDuplicates = false}},
        {"FirstEndWins", Ends, {}, {.firstEndWins = false}},
};

class EscrowSearchSafeguard : public testing::TestWithParam<DisabledSafeguard>
{};

/// With one safeguard disabled, some run overspends; the test prints the shortest one.
TEST_P(EscrowSearchSafeguard, PreventsOverspending)
{
    const DisabledSafeguard &disabled = GetParam();
    const EscrowSearchResult result =
            searchEscrow(disabled.bounds, disabled.grants, disabled.ledger);
    std::cout << disabled.name << " off: " << fmt::format("{}", fmt::join(result.trace, "; "))
              << "\n";
    EXPECT_FALSE(result.trace.empty());
}

INSTANTIATE_TEST_SUITE_P(Flags, EscrowSearchSafeguard, testing::ValuesIn(DisabledSafeguards),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
