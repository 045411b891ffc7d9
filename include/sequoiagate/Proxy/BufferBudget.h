#ifndef SEQUOIAGATE_PROXY_BUFFERBUDGET_H
#define SEQUOIAGATE_PROXY_BUFFERBUDGET_H

/// Bounds what all connections of the process buffer, and decides which endpoints are read no
/// further, which request bodies have to wait and which callers are cut off.
///
/// The limit is divided, so that slow-reading callers can't keep others from sending requests:
/// - Responses that callers haven't read. From `pauseShare` to `shortestShare` the queue that each
///   stream may have becomes shorter, so that the longest ones are paused first. Above
///   `cutOffShare` the slowest caller is cut off.
/// - Request bodies, which are kept until the response, with the copy that is being sent. Room for
///   the whole body is reserved before it is read, since several that are read in part could all
///   wait for each other. Large ones are admitted up to `bodyShare`, small ones up to
///   `smallBodyShare`, so that few large ones don't keep all others waiting.
/// - Everything else: buffered plain responses, pipelined requests and partial events. The less
///   room is left, the less of it a connection may have.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// The bytes that a connection buffers.
struct BufferUse
{
    std::size_t unread = 0; ///< of responses, not yet taken by the caller's socket
    std::size_t body = 0;   ///< of the request's body and its copy, received or reserved
    std::size_t other = 0;

    bool operator==(const BufferUse &) const = default;
};

/// The figures from which a caller was chosen to be cut off.
struct BufferCutOff
{
    std::size_t unread = 0;      ///< by this caller
    std::size_t unreadTotal = 0; ///< by all callers
    std::size_t limit = 0;       ///< of unreadTotal
    std::size_t taken = 0;       ///< by this caller since it has been behind
    Interval behindFor{};        ///< since its queue was last empty
    Interval lastTakenAgo{};     ///< since it last took anything, or has been behind
};

/// A connection that buffers.
class BufferHolder
{
public:
    virtual ~BufferHolder() = default;
    /// A paused stream or a waiting body may go on, if the budget allows it.
    virtual void onBufferRoom() = 0;
    /// The connection is to be closed at once, in such a way that a partial response doesn't look
    /// complete.
    virtual void onCutOff(const BufferCutOff &figures) = 0;
};

struct BufferBudgetSettings
{
    std::size_t limitBytes = 0;
    /// The shares leave 5% for what is received before a decision takes effect.
    double pauseShare = 0.15;
    double shortestShare = 0.25;
    /// Leaves room for one further read of each stream after shortestShare: of 1,200 in 40 MB.
    double cutOffShare = 0.5;
    double bodyShare = 0.25;
    double smallBodyShare = 0.35;
    double otherShare = 0.1;
    /// A stream's queue while there is room: some hundred events.
    std::size_t maxQueueBytes = 128 * 1024;
    /// A stream's queue from shortestShare on: one read of an endpoint, so that callers who read at
    /// the speed of the endpoint aren't paused.
    std::size_t minQueueBytes = 8 * 1024;
    std::size_t maxOtherBytes = 256 * 1024; ///< of a connection, while there is room
    std::size_t minOtherBytes = 8 * 1024;
    /// A caller that has been behind for less counts as slow only after all others.
    Interval minTimeBehind = std::chrono::seconds(1);

    /// The settings for a process that may use \p memoryBytes. \pre memoryBytes > 0
    static BufferBudgetSettings forProcess(std::size_t memoryBytes);
};

/// Pure accounting and decisions. Single-threaded.
class BufferBudget
{
public:
    using Id = uint64_t;

    explicit BufferBudget(BufferBudgetSettings settings) : settings_(settings) {}

    /// \pre \p holder is removed before it is destroyed, or act isn't called after that.
    Id add(BufferHolder &holder);
    /// No effect if \p id was removed already.
    void remove(Id id);
    /// Sets what \p id buffers now. \pre id was added
    void update(Id id, const BufferUse &use, Instant now);
    /// The caller's socket has taken \p bytes. \pre id was added
    void onTaken(Id id, std::size_t bytes, Instant now);

    // ---- responses ----
    /// The length of a queue above which its stream is paused.
    std::size_t queueLimit() const;
    /// Whether the stream of \p id is to be paused; notes that it is. \pre id was added
    bool pauseIfFull(Id id);
    /// Whether the stream of \p id isn't paused or may be resumed; notes that it is. A stream is
    /// resumed at half the length at which it is paused. \pre id was added
    bool resumeIfRoom(Id id);
    /// The stream of \p id has ended. \pre id was added
    void endPause(Id id);

    // ---- requests ----
    /// Whether the body of \p id, of at most \p bytes, may be read, and reserves room for it. Once
    /// admitted, it stays so. If it isn't, onBufferRoom is called later. \pre id was added
    bool admitBody(Id id, std::size_t bytes);
    /// The body of \p id is complete or is no longer read: only what update() says counts.
    void endBody(Id id);
    bool isAdmitted(Id id) const { return entries_.at(id).reserved > 0; }
    bool isWaiting(Id id) const;

    /// What a connection may buffer of plain responses, and of pipelined requests.
    std::size_t otherLimit() const;

    /// Whether act() has something to do.
    bool needsAction() const;
    /// Cuts off callers and notifies the holders that may go on. Not from inside a call of a
    /// holder, since it may call any of them.
    void act(Instant now);

    const BufferUse &total() const { return total_; }
    std::size_t limit() const { return settings_.limitBytes; }
    std::size_t cutOffLimit() const { return shareOf(settings_.cutOffShare); }
    /// Of request bodies of \p bytes each.
    std::size_t bodyLimit(std::size_t bytes) const;
    std::size_t paused() const { return paused_; }
    std::size_t waiting() const;
    /// Whether queues are shorter than usual, since there is little room.
    bool isScarce() const { return queueLimit() < settings_.maxQueueBytes; }

private:
    struct Entry
    {
        BufferHolder *holder = nullptr;
        BufferUse use;
        std::size_t taken = 0; ///< since behindSince
        Instant behindSince{};
        Instant lastTakenAt{};
        bool isPaused = false;
        std::size_t reserved = 0; ///< for the body that is being read
    };

    std::size_t shareOf(double share) const;
    bool mayResume(const Entry &entry) const;
    bool isLarge(std::size_t bodyBytes) const;
    void setUse(Entry &entry, const BufferUse &use);
    std::optional<Id> slowest(Instant now) const;
    bool cutOffSlowest(Instant now);
    /// The streams that may be resumed and the bodies that wait.
    std::vector<Id> takeNotifiable();

    BufferBudgetSettings settings_;
    std::map<Id, Entry> entries_;
    BufferUse total_;
    Id lastId_ = 0;
    std::size_t paused_ = 0;
    /// The lowest queue limit at which one of the paused streams may be resumed although its
    /// caller has read nothing.
    std::size_t resumeLimit_ = SIZE_MAX;
    std::map<bool, std::vector<Id>> waiting_; ///< bodies, by whether they are large; longest first
    bool bodiesShrank_ = false;               ///< since the waiting bodies were last notified
};

} // namespace sequoiagate

#endif
