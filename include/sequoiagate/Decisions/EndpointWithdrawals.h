#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTWITHDRAWALS_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTWITHDRAWALS_H

/// Decides to which endpoints this host sends nothing new because they said so in their responses.
/// Pure.
///
/// Leaving: an endpoint that says so in a response gets no new requests from this host, whatever
/// its entry says.
///
/// Backoff: an endpoint that turns a request away may ask this host to send nothing for some time.
/// A request that was sent before the end of that time says nothing about it. The first request
/// after it is a trial: until it is answered, the endpoint is avoided where another one can be
/// used, since an endpoint that is still overloaded would turn away all requests that waited for
/// it.
///
/// What an endpoint says holds for its process and ends with it: one that starts again under its id
/// is told from the one before by the time of its start. It doesn't end with the endpoint's entry,
/// which may expire while the process lives on.

#include <cstdint>
#include <map>
#include <string>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/EndpointNotice.h"

namespace sequoiagate {

/// Not thread safe.
class EndpointWithdrawals
{
public:
    /// The longest backoff that is kept, whatever the endpoint asks for.
    static constexpr Interval MaxBackoff = std::chrono::hours(1);
    /// Time for the response to a trial; after it there may be another one.
    static constexpr Interval TrialTimeout = std::chrono::seconds(1);

    /// How long what an endpoint said is kept without an entry. Longer than endpoints take to end.
    static constexpr Interval DelistedLifetime = std::chrono::minutes(10);

    /// Sets the process that listens as \p endpoint. What the one before said is kept for a time in
    /// case that its row is read again.
    void setEndpoint(const EndpointId &endpoint, uint64_t startedAtMillis);
    /// Records that \p endpoint isn't listed any more.
    void removeEndpoint(const EndpointId &endpoint, Instant now);
    /// Drops what was kept for long enough. To be called now and then.
    void dropExpired(Instant now);

    /// Records a response by which the endpoint says that it is leaving. One of an earlier process
    /// than the listed one is ignored. \returns whether that is new
    bool onLeaving(const NoticeSource &source, Instant now);
    bool isLeaving(const EndpointId &endpoint) const;
    /// Records a response that asks for \p duration without requests. A time that ends later than
    /// an earlier one replaces it. \returns whether the endpoint took requests before
    bool onBackoff(const NoticeSource &source, Interval duration, Instant now);
    /// Records a response without such a demand.
    void onAccepted(const NoticeSource &source);
    /// Records that a request was sent to \p endpoint.
    void onSent(const EndpointId &endpoint, Instant now);
    /// Whether \p endpoint must get no requests now.
    bool isBackingOff(const EndpointId &endpoint, Instant now) const
    {
        return now < quietFrom_ && now < backoffEnd(endpoint);
    }
    /// Whether no endpoint is backing off or on trial.
    bool isQuiet(Instant now) const { return now >= quietFrom_; }
    /// The end of the last backoff; in the past if it is over or there was none.
    Instant backoffEnd(const EndpointId &endpoint) const;
    /// Whether a trial after a backoff is open.
    bool isOnTrial(const EndpointId &endpoint, Instant now) const;
    /// When an open trial counts as lost; in the past if there is none.
    Instant trialEnd(const EndpointId &endpoint) const;
    std::size_t backingOffCount(Instant now) const;
    /// What \p endpoint said, in which response and how long ago, for logs; empty if nothing holds.
    std::string describe(const EndpointId &endpoint, Instant now) const;
    /// The number of endpoints that said that they are leaving and are listed.
    std::size_t leavingCount() const;

private:
    /// What a response said.
    struct Statement
    {
        RequestId request;
        Instant saidAt{};
    };

    struct Endpoint
    {
        uint64_t startedAtMillis = 0;
        Instant dropAt = Never; ///< set while it isn't listed
        std::optional<Statement> leaving;
        std::optional<Statement> backoff; ///< until a trial has been accepted
        Instant backoffUntil{};
        Instant trialUntil{}; ///< an open trial counts as lost then
    };

    /// Puts the process that started at \p startedAtMillis in the place of \p known.
    void replace(Endpoint &known, const EndpointId &endpoint, uint64_t startedAtMillis);
    const Endpoint *find(const EndpointId &endpoint) const;
    /// What is known of the process that \p source names; nullptr if a later one is listed.
    Endpoint *findProcess(const NoticeSource &source, Instant now);

    std::map<EndpointId, Endpoint> endpoints_;
    std::map<EndpointId, Endpoint> replaced_; ///< the last process that said something, before
    Instant quietFrom_{}; ///< no backoff or trial ends later, so that none needs to be looked up
};

} // namespace sequoiagate

#endif
