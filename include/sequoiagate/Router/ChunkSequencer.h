#ifndef SEQUOIAGATE_ROUTER_CHUNKSEQUENCER_H
#define SEQUOIAGATE_ROUTER_CHUNKSEQUENCER_H

/// Puts an engine stream's chunks into their order: chunks may come late,
/// swapped, twice, or belong to another stream. Pure.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiagate {

/// One chunk as the engine sent it.
struct EngineChunk
{
    std::string streamId;
    uint64_t position = 0;
    std::string content;                      ///< the text it adds
    std::string finishReason;                 ///< empty unless it ends the stream
    std::optional<uint64_t> promptTokens;     ///< of the usage, at the end only
    std::optional<uint64_t> completionTokens; ///< of the usage, at the end only
    std::string json;                         ///< the whole chunk

    bool ends() const { return !finishReason.empty(); }
};

/// Reads the data of one event. nullopt: not a chunk ("[DONE]", damaged).
std::optional<EngineChunk> parseEngineChunk(const std::string &data);

enum class ChunkFate {
    Delivered, ///< it, and maybe held ones after it, is next
    Held,      ///< it came early and waits for those before it
    Doubled,   ///< its position was delivered already
    Foreign,   ///< it belongs to another stream
    Overflow,  ///< too many wait: the missing one isn't coming, take the stream up again
};

/// Not thread safe.
class ChunkSequencer
{
public:
    /// Early chunks that may wait. Swaps on one connection are near each other;
    /// when this many wait, the missing one is lost and must be asked for.
    static constexpr std::size_t MaximumHeld = 64;

    ChunkSequencer() = default;
    ChunkSequencer(std::string streamId, uint64_t next)
        : streamId_(std::move(streamId)), next_(next)
    {}

    /// Takes a chunk; appends what is now in order to \p ready.
    ChunkFate accept(EngineChunk chunk, std::vector<EngineChunk> &ready);
    /// The stream is taken up again from next(): held chunks come again.
    void restart() { held_.clear(); }

    uint64_t next() const { return next_; }
    /// Whether the end chunk was delivered in its order.
    bool ended() const { return ended_; }
    const std::string &streamId() const { return streamId_; }

private:
    std::string streamId_;
    uint64_t next_ = 0;
    bool ended_ = false;
    std::map<uint64_t, EngineChunk> held_;
};

} // namespace sequoiagate

#endif
