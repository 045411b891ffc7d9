#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTLIMITS_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTLIMITS_H

/// Decides when this host may send to endpoints that limit the requests of all hosts together.
/// Pure.
///
/// Request limit: an endpoint that names one accepts so many requests per second from the fleet.
/// A few hosts, chosen by rendezvous hashing over all of them, may send to it, each at an equal
/// share of the rate and with hardly any burst (the generic cell rate algorithm). With n hosts of
/// which each had a bucket of its own, the fleet could send n requests at once, however low the
/// limit is. Hosts that know different members for a while choose nearly the same
/// holders, so that the sum exceeds the limit by one share for each change of members.
///
/// Rejection limit: an endpoint that names one fails if it must reject more requests per second
/// for lack of capacity, so it must not be sent more than it has room for. The fleet keeps its
/// open requests there within a window, which is the endpoint's slots at first. As many hosts as
/// the endpoint has slots, at most, hold an equal part of the window; a part of less than one
/// request spaces its holder's requests so that they amount to it on average. Hosts tell each
/// other of each rejection; it shrinks the window, which then grows again (additive increase,
/// multiplicative decrease), and all hosts pause until fewer than half of the bearable rejections
/// fall into the last second.
///
/// Known limit: a request limit that holds for a time and that no response names, since it is known
/// in advance, as of endpoints that have just started. It is shared out in the same way, without
/// any burst, because nothing was counted before it began.
///
/// A host that lacks a share, or needs more than it has, requests single slots of the holders. A
/// slot is a time at which one request may be sent; it expires soon, so that few are outstanding.
/// Requests for slots queue in the same bucket as the holder's own requests, and none waits for
/// longer than it said it would.
///
/// What one host observes reaches the others as records. The newest observation of an endpoint
/// counts, by its age, so that no clocks are compared.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/EndpointLimitRecord.h"
#include "sequoiagate/Decisions/EndpointNotice.h"
#include "sequoiagate/Decisions/UnlistedLimits.h"

namespace sequoiagate {

/// A request limit that holds for a time, whatever the endpoint names.
struct KnownLimit
{
    double requestsPerSecond = 0.0;
    Instant until{}; ///< by this host's clock
};

/// A request for one slot of another host's share.
struct SlotRequest
{
    HostId holder;
    uint64_t id = 0;     ///< unique at the requesting host
    Interval maxDelay{}; ///< how long the slot's use may have to wait
    EndpointLimitRecord record;
    std::optional<KnownLimit> known; ///< of the endpoint, if one holds
};

struct SlotResponse
{
    uint64_t id = 0;
    std::optional<Interval> delay; ///< until the slot's time; nullopt: none is given
    Interval retryAfter{};         ///< if none is given
};

/// Not thread safe.
class EndpointLimits
{
public:
    /// How long the limits of an endpoint without an entry are kept. Entries expire while their
    /// endpoints can't reach the store, at the same moment for all hosts.
    static constexpr Interval DelistedLifetime = std::chrono::minutes(2);

    /// How long the end of a limit is told to other hosts.
    static constexpr Interval EndedRecordLifetime = std::chrono::seconds(10);

    /// Pause after a rejection by an endpoint that limits them.
    static constexpr Interval RejectionPause = std::chrono::milliseconds(100);
    /// A slot that isn't used within this time after its start is lost.
    static constexpr Interval SlotLifetime = std::chrono::milliseconds(300);
    /// The same for a slot of a window, which is occupied until its request has ended.
    static constexpr Interval WindowSlotLifetime = std::chrono::milliseconds(30);
    /// Time for a holder to respond; after it another one is asked.
    static constexpr Interval SlotResponseTimeout = std::chrono::milliseconds(60);

    explicit EndpointLimits(HostId self) : self_(std::move(self)) {}

    /// Sets all hosts of the fleet, including this one.
    void setHosts(std::vector<HostId> hosts);
    /// Sets the process that listens as \p endpoint. The limits of the one before are kept for a
    /// time in case that its row is read again.
    void setEndpoint(const EndpointId &endpoint, uint64_t startedAtMillis, uint32_t slots);
    /// Records that \p endpoint isn't listed any more. Its process may live on and be listed again,
    /// so its limits are kept for DelistedLifetime.
    void removeEndpoint(const EndpointId &endpoint, Instant now);
    /// Drops the limits that were kept for long enough, and ends known ones. To be called several
    /// times a second.
    void dropExpired(Instant now);

    /// Sets a limit that holds for \p endpoint until its time, or changes its end.
    void setKnownLimit(const EndpointId &endpoint, const KnownLimit &limit, Instant now);
    bool hasKnownLimit(const EndpointId &endpoint) const;
    /// Records the notice of a response to a request that was sent at \p sentAt.
    /// \returns whether the other hosts should be told at once
    bool onNotice(const EndpointId &endpoint, const EndpointNotice &notice, Instant sentAt,
                  Instant now);
    /// Records what another host observed. Older observations are ignored; those of processes that
    /// aren't listed here are kept until they are.
    /// \returns whether the limits changed
    bool onRecord(const EndpointLimitRecord &record, Instant now);
    /// Records that \p endpoint rejected a request of another host.
    void onPeerRejection(const EndpointId &endpoint, uint64_t startedAtMillis, Instant now);
    void onSent(const EndpointId &endpoint, Instant now);
    void onEnd(const EndpointId &endpoint, Instant now);

    /// When this host may next send to \p endpoint: not after \p now if it may now; Never if its
    /// share is held by other hosts.
    Instant availableAt(const EndpointId &endpoint, Instant now) const;
    bool isAvailable(const EndpointId &endpoint, Instant now) const
    {
        return availableAt(endpoint, now) <= now;
    }
    /// Reserves a slot of this host's own share within \p maxDelay. \returns whether there is one
    bool bookOwnSlot(const EndpointId &endpoint, Interval maxDelay, Instant now);
    /// The request to send for a slot of another host's share; nullopt if none is needed, one is
    /// open, or no holder is known to have one.
    std::optional<SlotRequest> requestSlot(const EndpointId &endpoint, Interval maxDelay,
                                           Instant now);
    /// Gives a slot of this host's share to another host.
    SlotResponse lendSlot(const SlotRequest &request, Instant now);
    void onSlotResponse(const SlotResponse &response, Instant now);
    /// The number of slots that this host has or has requested.
    std::size_t pendingSlots(const EndpointId &endpoint, Instant now) const;
    /// Whether no endpoint has a limit, so that none needs to be checked.
    bool isEmpty() const { return limitedCount_ == 0; }
    std::size_t limitedCount() const { return limitedCount_; }
    /// This host's share of the endpoint's request limit, per second; nullopt without a limit.
    std::optional<double> sharePerSecond(const EndpointId &endpoint) const;
    /// The limits that hold for \p endpoint, their age and this host's share, for logs.
    std::string describe(const EndpointId &endpoint, Instant now) const;
    /// What other hosts need to know, with ended limits for some time after their end.
    std::vector<EndpointLimitRecord> records(Instant now) const;
    std::optional<EndpointLimitRecord> recordOf(const EndpointId &endpoint) const;

    /// The number of hosts that may send to an endpoint with a limit of \p perSecond, in a fleet
    /// of \p hosts. With one request of each holder at once and one holder too many, the fleet
    /// stays within one and a half times the limit over four seconds, and five requests.
    static std::size_t holderCount(double perSecond, std::size_t hosts);

private:
    struct Slot
    {
        Instant usableAt{};
        Instant expiresAt{};
    };

    struct Holder
    {
        HostId host;
        Instant emptyUntil{}; ///< it has no slot before then
    };

    struct OpenSlotRequest
    {
        uint64_t id = 0;
        std::size_t holder = 0; ///< index in Endpoint::otherHolders
        Instant expiresAt{};
    };

    struct Endpoint
    {
        EndpointLimitRecord record;
        std::optional<KnownLimit> known;
        std::optional<double> rate; ///< the lowest request limit that holds
        Instant dropAt = Never;     ///< set while it isn't listed
        Instant lastNamedAt{};      ///< a response that named a limit arrived
        uint32_t slotCount = 1;     ///< requests that it runs at once
        uint32_t open = 0;          ///< requests of this host there
        Instant openChangedAt{};
        double openSeconds = 0.0; ///< of requests of this host, recent ones counting most
        double ends = 0.0;        ///< requests of this host that ended, weighted alike
        Instant lastSentAt{};
        double window = 0.0; ///< of all hosts' open requests, at windowChangedAt
        Instant windowChangedAt{};
        std::deque<Instant> rejections; ///< of all hosts' requests, in the last second
        bool isHolder = false;          ///< of a share of the limits
        std::size_t holders = 1;        ///< of all hosts
        double share = 0.0;             ///< of the rate, per second
        std::vector<Instant> lentUntil; ///< when requests of lent slots have probably ended
        std::vector<Holder> otherHolders;
        std::vector<Slot> slots; ///< that this host may use
        std::optional<OpenSlotRequest> slotRequest;
        Instant nextSendAt{}; ///< by that share
    };

    static bool isLimited(const Endpoint &endpoint)
    {
        return endpoint.rate || endpoint.record.maxRejectionsPerSecond;
    }
    void apply(Endpoint &endpoint, const EndpointLimitRecord &record);
    void applyKnown(Endpoint &endpoint, const std::optional<KnownLimit> &known);
    /// Recomputes what depends on the limits. \param wasLimited before they changed
    void onLimitsChanged(Endpoint &endpoint, bool wasLimited);
    /// The hosts that share the limits of an endpoint.
    std::vector<HostId> holdersOf(const Endpoint &endpoint) const;
    void computeShare(Endpoint &endpoint) const;
    static void addRejection(Endpoint &endpoint, Instant now);
    static void recordOpen(Endpoint &endpoint, Instant now);
    /// The mean time for which this host's requests were open there.
    static std::chrono::duration<double> meanDuration(const Endpoint &endpoint);
    static double windowAt(const Endpoint &endpoint, Instant now);
    static Instant resumesAfterRejections(const Endpoint &endpoint, Instant now);
    static Instant availableByWindow(const Endpoint &endpoint, Instant now);
    /// When this host's own share allows a request; Never if it has none.
    static Instant availableByOwnShare(const Endpoint &endpoint, Instant now);
    static Interval slotLifetime(const Endpoint &endpoint);
    static void advance(Endpoint &endpoint, Instant now);
    static void expire(Endpoint &endpoint, Instant now);
    const Endpoint *find(const EndpointId &id) const;

    HostId self_;
    std::vector<HostId> hosts_;
    std::map<EndpointId, Endpoint> endpoints_;
    UnlistedLimits unlisted_;
    std::size_t limitedCount_ = 0;
    uint64_t lastSlotRequest_ = 0;
};

} // namespace sequoiagate

#endif
