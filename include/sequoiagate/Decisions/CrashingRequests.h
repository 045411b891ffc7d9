#ifndef SEQUOIAGATE_DECISIONS_CRASHINGREQUESTS_H
#define SEQUOIAGATE_DECISIONS_CRASHINGREQUESTS_H

/// Counts the endpoints that were lost under one request, and refuses it after a few. Pure:
/// messages and deadlines are the caller's.
///
/// A request that crashes its endpoint reaches further ones by three ways: its host repeats it, its
/// stream is resumed, and its caller sends it again, mostly to another host and under a new id. So
/// a request is identified by what it consists of. Each loss counts at once, without waiting until
/// the crash is confirmed, since repeats follow within milliseconds. A host reports its losses to
/// hosts that rendezvous hashing selects; from the second loss on all hosts are told, so that the
/// host which loses the last allowed endpoint knows it.
///
/// Most lost requests are sound. A whole answer at any host clears the losses before it, and a
/// refused request that turns out to have been answered since is allowed again. One that was lost
/// while endpoints crashed for another reason is refused for a short time. CrashingParts
/// blames shared parts of prompts on more evidence; it asks here whether one request explains it.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/CrashingParts.h"
#include "sequoiagate/Decisions/EndpointProcess.h"
#include "sequoiagate/Decisions/ReplicaPlacement.h"

namespace sequoiagate {

/// Identifies a request by its content, or a session by the last part of its prompts.
using RequestKey = uint64_t;

enum class RequestScope {
    WithPrompt,    ///< a request whose prompt tells it from other requests
    WithoutPrompt, ///< a request that several callers may send alike
    Session,       ///< the requests whose prompts end in the same part
};

/// The request that several client attempts have in common.
struct RequestIdentity
{
    uint64_t service = 0; ///< stable hash of its name
    RequestKey request = 0;
    RequestKey session = 0;           ///< 0 for a request without a prompt
    std::vector<PartKey> sharedParts; ///< of its prompt
};

/// The loss of an endpoint under a request.
struct RequestLoss
{
    Instant sentAt{}; ///< the attempt that was lost
    Instant at{};

    bool operator==(const RequestLoss &) const = default;
};

/// The endpoints that were lost under a request since it was last answered.
struct RequestLosses
{
    RequestKey key = 0;
    uint64_t service = 0;
    RequestScope scope = RequestScope::WithPrompt;
    std::map<EndpointProcess, RequestLoss> losses;
    std::vector<PartKey> sharedParts;
    std::optional<Instant> answeredAt; ///< the last whole answer that is known
    uint32_t refusals = 0;             ///< times that it was refused for a while
    Instant refusedUntil{};
};

/// Not thread safe.
class CrashingRequests
{
public:
    /// A loss longer ago doesn't count, unless the request was refused for it.
    static constexpr Interval LossLifetime = std::chrono::minutes(5);
    /// All hosts are told of requests under which this many endpoints were lost.
    static constexpr std::size_t LossesToBroadcast = 2;
    /// Each refusal lasts four times as long as the one before.
    static constexpr Interval MaxRefusal = std::chrono::hours(24);
    /// The first refusal of a request that was answered before: it is mostly sound.
    static constexpr Interval RefusalOfAnswered = std::chrono::seconds(10);
    /// The first refusal of a request if many endpoints that crashed meanwhile weren't lost under
    /// it: there is another reason for their crashes.
    static constexpr Interval RefusalInHerd = std::chrono::minutes(2);
    /// Refusals of at least this length are kept beyond the hosts that know them.
    static constexpr Interval LongRefusal = std::chrono::minutes(5);
    /// How long responses to a broadcast are collected.
    static constexpr Interval ResponseTime = std::chrono::milliseconds(50);
    /// How long a request whose endpoint was lost isn't sent on: a round trip between hosts, in
    /// which those that know of more losses tell.
    static constexpr Interval RepeatDelay = std::chrono::milliseconds(10);
    /// How far times that travelled as ages may be off.
    static constexpr Interval AgeTolerance = std::chrono::milliseconds(20);
    /// When a broadcast that begins a refusal is repeated, since datagrams may be lost.
    static constexpr Interval ResendDelay = std::chrono::milliseconds(100);
    /// A part is blamed only if at least this many crashes aren't explained by one request.
    static constexpr std::size_t CrashesOfOthers = 2;
    /// Bound memory and the size of a message.
    static constexpr std::size_t MaxRecords = 2'048;
    static constexpr std::size_t MaxLosses = 12;
    static constexpr std::size_t MaxSharedParts = 8;
    static constexpr std::size_t MaxAnswered = 16'384;
    /// Datagrams of broadcasts a second, twice as many with refusals; one broadcast may always be
    /// sent. Beyond that only the hosts that reports go to are told.
    static constexpr std::size_t MaxBroadcastDatagrams = 400;
    /// Requests that a round of gossip names.
    static constexpr std::size_t MaxGossiped = 8;

    /// \returns the number of losses after which requests of \p scope are refused. Thread safe.
    static std::size_t lossesToRefuse(RequestScope scope);
    /// \returns the number of losses towards that. Where several requests may have the same key,
    ///     losses of attempts that were open together count as one: nobody carried a request from
    ///     one endpoint to the next. Thread safe.
    static std::size_t countLosses(const RequestLosses &known);

    explicit CrashingRequests(DomainId domain) : placement_(std::move(domain)) {}

    // Called to send messages. Set before any other call.
    std::function<void(const HostId &to, const RequestLosses &)> sendReport;
    std::function<void(const RequestLosses &)> broadcast;
    /// Called when this host begins to refuse a request.
    std::function<void(const RequestLosses &)> onRefused;
    /// Called when this host decides on a refusal that is to outlive the hosts. May stay empty.
    std::function<void(const RequestLosses &)> onDecided;

    /// Replaces the other hosts. What is known is reported to those that are new.
    void setHosts(const std::vector<HostPlace> &others, Instant now);
    /// When a request whose endpoint was lost at \p lostAt may be sent to another one.
    Instant repeatTime(Instant lostAt) const
    {
        return hosts_.empty() ? lostAt : lostAt + RepeatDelay;
    }

    /// An endpoint's whole response to the request was received.
    void onAnswered(const RequestIdentity &identity, Instant now);
    /// The connection to \p process was lost after the request was sent and before its response was
    /// whole. \pre \p sentAt isn't later than \p now
    void onEndpointLost(const RequestIdentity &identity, const EndpointProcess &process,
                        Instant sentAt, Instant now);
    /// The losses for which the request is refused; nullptr if it may be sent.
    const RequestLosses *findRefused(const RequestIdentity &identity, Instant now) const;
    /// Whether the crashes of \p processes, at which prompts with \p part were open, may be those
    /// of one request.
    bool explains(PartKey part, const std::vector<EndpointProcess> &processes) const;

    // ---- messages of other hosts ----
    /// Takes a report, or the response to a broadcast.
    void onReport(const RequestLosses &report, Instant now);
    /// \returns what this host knows if the sender has to know it: a later answer
    std::optional<RequestLosses> onBroadcast(const RequestLosses &known, Instant now);
    /// Takes a refusal that was kept. The times of its losses aren't known; a request that this or
    /// another host knows to have been answered is allowed.
    void onKept(RequestLosses kept, Instant now);
    /// A few of the requests that are refused, in rotation, for hosts that missed it.
    std::vector<RequestLosses> nextGossiped(Instant now);
    std::size_t countRefused(Instant now) const;

    /// To be called at nextDeadline().
    void tick(Instant now);
    Instant nextDeadline() const;

private:
    /// What another host's record added to the one known here.
    struct Change
    {
        bool hasNewLosses = false;
        bool hasLaterAnswer = false;
    };

    RequestLosses &addLoss(RequestKey key, RequestScope scope, const RequestIdentity &identity,
                           const EndpointProcess &process, const RequestLoss &loss);
    RequestLosses &record(RequestKey key, RequestScope scope, Instant now);
    void dropOldestRecords(Instant now);
    Change merge(RequestLosses &known, const RequestLosses &other, Instant now);
    /// Tells other hosts of losses, as many as have to know them.
    void tell(const RequestLosses &known, Instant now);
    /// Reports it where no more broadcasts may be sent for now.
    void broadcastOrReport(const RequestLosses &known, Instant now);
    /// The hosts that losses under the request are reported to.
    std::vector<HostId> recordHolders(RequestKey key) const;
    void report(const RequestLosses &known);
    void reportToAdded(const std::set<HostId> &added, Instant now);
    void renewBroadcastPeriod(Instant now);
    static void clearAnswered(RequestLosses &known);
    /// Whether many endpoints of its service that were lost since its first loss weren't lost under
    /// it, as far as this host knows.
    bool isInHerd(const RequestLosses &known) const;
    Interval refusalTime(const RequestLosses &known) const;
    void noteLoss(RequestLosses &known, const EndpointProcess &process, const RequestLoss &loss);
    bool isExplainedBy(RequestKey key, PartKey part,
                       const std::vector<EndpointProcess> &processes) const;
    /// Refuses the request if enough endpoints were lost under it.
    void review(RequestLosses &known, Instant now);
    void dropOld(Instant now);
    std::optional<Instant> answeredAt(RequestKey key) const;

    ReplicaPlacement placement_;
    std::map<RequestKey, RequestLosses> records_;
    /// The requests that were lost at each process; may name some that are known no more.
    std::map<EndpointProcess, std::vector<RequestKey>> lostAt_;
    /// When processes were lost last, by service.
    std::map<uint64_t, std::map<EndpointProcess, Instant>> lostProcesses_;
    std::map<RequestKey, Instant> broadcasts_; ///< when they are due
    RequestKey lastGossiped_ = 0;
    std::set<HostId> hosts_; ///< the others
    Instant broadcastPeriodEnd_{};
    std::size_t broadcastDatagrams_ = 0; ///< in this period
    Instant nextDropAt_{};
    // Two generations, so that old entries go without a search.
    std::unordered_map<RequestKey, Instant> answered_;
    std::unordered_map<RequestKey, Instant> answeredBefore_;
};

} // namespace sequoiagate

#endif
