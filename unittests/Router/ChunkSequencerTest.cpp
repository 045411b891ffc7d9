#include "sequoiagate/Router/ChunkSequencer.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sequoiagate;

namespace {

EngineChunk chunkAt(uint64_t position, uint64_t last, const std::string &stream = "s")
{
    EngineChunk chunk;
    chunk.streamId = stream;
    chunk.position = position;
    chunk.finishReason = position == last ? "stop" : "";
    return chunk;
}

// Whatever order a connection delivers a stream's chunks in, some of them twice and
// foreign ones in between, they come out once each, in order, up to the end.
RC_GTEST_PROP(ChunkSequencer, DeliversEachChunkOnceInOrder, ())
{
    const auto last = *rc::gen::inRange<uint64_t>(0, ChunkSequencer::MaximumHeld);
    std::vector<uint64_t> order;
    for (uint64_t position = 0; position <= last; ++position) {
        order.push_back(position);
    }
    const auto doubled =
            *rc::gen::container<std::vector<uint64_t>>(rc::gen::inRange<uint64_t>(0, last + 1));
    order.insert(order.end(), doubled.begin(), doubled.end());
    for (std::size_t i = order.size(); i > 1; --i) {
        std::swap(order[i - 1], order[*rc::gen::inRange<std::size_t>(0, i)]);
    }
    ChunkSequencer sequencer("s", 0);
    std::vector<EngineChunk> delivered;
    for (const uint64_t position : order) {
        sequencer.accept(chunkAt(position, last, "other"), delivered);
        sequencer.accept(chunkAt(position, last), delivered);
    }
    RC_ASSERT(sequencer.ended());
    RC_ASSERT(delivered.size() == last + 1);
    for (uint64_t position = 0; position <= last; ++position) {
        RC_ASSERT(delivered[position].position == position);
        RC_ASSERT(delivered[position].streamId == "s");
    }
}

TEST(ChunkSequencer, AsksForAMissingChunkBeforeItHoldsTooMany)
{
    ChunkSequencer sequencer("s", 0);
    std::vector<EngineChunk> delivered;
    ChunkFate fate = ChunkFate::Held;
    uint64_t position = 1;
    for (; fate == ChunkFate::Held; ++position) {
        fate = sequencer.accept(chunkAt(position, 1000), delivered);
    }
    EXPECT_EQ(fate, ChunkFate::Overflow);
    EXPECT_EQ(position - 1, ChunkSequencer::MaximumHeld + 1);
    EXPECT_TRUE(delivered.empty());
    sequencer.restart();
    EXPECT_EQ(sequencer.next(), 0U);
    EXPECT_EQ(sequencer.accept(chunkAt(0, 1000), delivered), ChunkFate::Delivered);
}

} // namespace
