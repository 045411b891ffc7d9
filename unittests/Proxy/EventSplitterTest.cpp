/// Splitting of event streams into complete events, independent of how the bytes are chunked.

#include <gtest/gtest.h>

#include "sequoiagate/Proxy/EventSplitter.h"

using namespace sequoiagate;

namespace {

struct SplitCase
{
    const char *name;
    std::string bytes;
    std::vector<std::optional<uint64_t>> ids;
    std::size_t pending;
};

class EventSplitting : public testing::TestWithParam<SplitCase>
{};

const SplitCase SplitCases[] = {
        {"Two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", {1, 2}, 0},
        {"CarriageReturns", "id: 7\r\ndata: a\r\n\r\nid: 8\r\n\r\n", {7, 8}, 0},
        {"IdBehindOtherLines", "weight-versions: 3\nid:4\ndata: x\n\n", {4}, 0},
        {"WithoutId", "data: a\n\n", {std::nullopt}, 0},
        {"IdThatIsNoNumber", "id: abc\n\n", {std::nullopt}, 0},
        {"HalfAnEventIsKept", "id: 1\n\nid: 2\nda", {1}, 8},
        {"BlankLineInPieces", "id: 1\n", {}, 6},
};

TEST_P(EventSplitting, WholeOrByteByByte)
{
    const SplitCase &row = GetParam();
    for (const std::size_t step : {row.bytes.size(), std::size_t{1}, std::size_t{3}}) {
        EventSplitter splitter;
        std::vector<std::optional<uint64_t>> ids;
        std::string joined;
        for (std::size_t at = 0; at < row.bytes.size(); at += step) {
            for (const StreamEvent &event : splitter.feed(row.bytes.substr(at, step))) {
                ids.push_back(event.id);
                joined += event.bytes;
            }
        }
        EXPECT_EQ(ids, row.ids);
        EXPECT_EQ(splitter.pending(), row.pending);
        EXPECT_EQ(joined, row.bytes.substr(0, row.bytes.size() - row.pending));
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, EventSplitting, testing::ValuesIn(SplitCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
