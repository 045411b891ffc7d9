#ifndef SEQUOIAGATE_ROUTER_CHATRUN_H
#define SEQUOIAGATE_ROUTER_CHATRUN_H

/// A chat request while it is open at this router: one writer, which reads the
/// engine, and any number of readers, which are callers. Chunks are kept to the
/// end, so that the same request coming again reads the answer from its start.

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Decisions/Admission.h"
#include "sequoiagate/Router/ChunkSequencer.h"
#include "sequoiagate/Router/ResumeToken.h"

namespace sequoiagate {

/// What a caller asked for, as the router understood it.
struct ChatOrder
{
    WorkspaceId workspace;
    RequestId request;
    ServiceId model;
    WorkClass workClass = WorkClass::Interactive;
    std::string bodyHash;
    std::string engineBody;     ///< always asks for a stream, and names the ceiling
    uint64_t promptBound = 0;   ///< tokens the prompt can't exceed
    uint64_t outputCeiling = 0; ///< tokens the answer can't exceed
    uint64_t prefixHash = 0;
    double weight = 1.0;
};

/// A chunk as callers get it. A run keeps all of its chunks while it is open, so they
/// hold nothing else.
struct RunChunk
{
    uint64_t position = 0;
    std::string json;
};

/// How a run ended.
struct RunEnd
{
    std::optional<Verdict> failure; ///< why the answer isn't whole
    std::string content;            ///< the whole answer's text
    std::string finishReason;
};

/// What a reader finds.
struct RunSlice
{
    std::vector<const RunChunk *> chunks; ///< live as long as the run
    const RunEnd *end = nullptr;          ///< not nullptr: nothing comes after these chunks
};

/// Thread safe.
class ChatRun
{
public:
    explicit ChatRun(ChatOrder order) : order_(std::move(order)) {}

    const ChatOrder &order() const { return order_; }

    // ---- the writer's side ----
    /// Where it runs; position 0. Before the first chunk.
    void setSource(ResumePoint source);
    void append(std::vector<EngineChunk> chunks);
    void end(RunEnd end);
    /// Whether nobody has read for the grace given with the last detach. From the
    /// first true on no reader can attach.
    bool abandoned(Instant now);

    // ---- the readers' side ----
    /// \returns false when the run is being cancelled.
    [[nodiscard]] bool attach();
    void detach(Instant abandonAt);
    /// Its caller reads the same engine stream through another router: the run goes
    /// on to its end without readers. \returns false when it is being cancelled.
    [[nodiscard]] bool keepGoing();
    /// The chunks from index \p from on; waits for the first one, or the end, until
    /// \p until.
    RunSlice read(std::size_t from, Instant until) const;
    ResumePoint source() const;

private:
    const ChatOrder order_;
    mutable absl::Mutex mutex_;
    mutable absl::CondVar changed_;
    ResumePoint source_;
    std::deque<RunChunk> chunks_; ///< a deque: readers hold pointers into it
    std::optional<RunEnd> end_;
    uint32_t readers_ = 0;
    Instant abandonAt_ = Never;
    bool closing_ = false;
    bool readElsewhere_ = false;
};

/// The runs open at this router. Thread safe.
class OpenRuns
{
public:
    struct Found
    {
        std::shared_ptr<ChatRun> run; ///< attached
        bool isNew = false;           ///< the caller of find starts it
    };

    /// Attaches to the run of the order's (workspace, request), or makes it.
    /// \throws VerdictError with BodyMismatch or AlreadyRunning.
    Found findOrMake(const ChatOrder &order);
    /// Attaches to an open run; nullptr: there is none.
    std::shared_ptr<ChatRun> find(const ChatOrder &order);
    /// The open run that reads the point's engine stream, not attached; nullptr: none.
    std::shared_ptr<ChatRun> findStream(const ResumePoint &point);
    void remove(const ChatRun &run);
    std::size_t size() const;

private:
    std::shared_ptr<ChatRun> findLocked(const ChatOrder &order);

    mutable absl::Mutex mutex_;
    std::unordered_map<std::string, std::shared_ptr<ChatRun>> runs_;
};

} // namespace sequoiagate

#endif
