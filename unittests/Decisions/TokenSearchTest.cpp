/// Which peers are asked for a request's tokens, and when the search ends.

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/TokenSearch.h"

using namespace sequoiagate;

namespace {

constexpr Instant Start{std::chrono::hours(1)};

struct SearchCase
{
    const char *name;
    std::size_t homes;
    std::size_t peers;
    bool asksOtherPeers;
    bool respond;            ///< whether peers respond, 3 ms after each round
    bool hasMoreSoon;        ///< whether the homes' first responses say so
    std::vector<int> rounds; ///< expected
    Millis endsAfter;        ///< expected
};

class TokenSearchTest : public testing::TestWithParam<SearchCase>
{};

// Guards against requests that are held although all peers have responded, against searches that
// skip peers, and against those that never end when datagrams are lost.
TEST_P(TokenSearchTest, EndsWithTheLastResponse)
{
    const SearchCase &row = GetParam();
    TokenSearch search(row.homes, row.peers, row.asksOtherPeers);
    std::vector<int> rounds;
    Instant respondAt = Never;
    std::size_t responders = 0;
    Millis elapsed(0);
    for (; elapsed < Millis(500); ++elapsed) {
        const Instant now = Start + elapsed;
        if (now == respondAt) {
            for (std::size_t i = 0; i < responders; ++i) {
                const bool soon = row.hasMoreSoon && rounds.size() == 1;
                search.onResponse(Incarnation("p" + std::to_string(i)), soon);
            }
        }
        if (const auto round = search.nextRound(now)) {
            rounds.push_back(*round);
            responders = *round == TokenSearch::NearHome   ? 1
                         : *round == TokenSearch::AllHomes ? row.homes
                                                           : row.peers;
            respondAt = row.respond ? now + Millis(3) : Never;
        }
        if (search.isOver(now)) {
            break;
        }
    }
    EXPECT_EQ(rounds, row.rounds);
    EXPECT_EQ(elapsed, row.endsAfter);
}

const SearchCase SearchCases[] = {
        {"LessUrgent", 3, 64, false, true, false, {0, 1}, Millis(6)},
        {"Urgent", 3, 8, true, true, false, {0, 1, 2}, Millis(9)},
        {"OneHome", 1, 2, true, true, false, {0, 2}, Millis(6)},
        {"NoHome", 0, 2, true, true, false, {2}, Millis(3)},
        {"NoPeers", 0, 0, true, true, false, {}, Millis(0)},
        {"LostDatagrams", 3, 64, false, false, false, {0, 1}, Millis(100)},
        {"HomeIsClaiming", 3, 64, false, true, true, {0, 1, 1}, Millis(66)},
};

INSTANTIATE_TEST_SUITE_P(Rows, TokenSearchTest, testing::ValuesIn(SearchCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
