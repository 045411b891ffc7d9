#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTOCCUPANCY_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTOCCUPANCY_H

/// What the requests of all hosts occupy at the endpoints of one service: slots, KV memory and
/// prefill that is pending. Pure.
///
/// A host knows only its own requests. What the other hosts have at an endpoint is estimated from
/// the mean of this host's own use over the last seconds and its part of the fleet's requests. A
/// host has less than one request per endpoint in flight, so its use of a single endpoint says
/// little of theirs.

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// What a request occupies at an endpoint.
struct RequestUse
{
    RequestId request;
    uint64_t prefix = 0;       ///< 0: it shares no part of its prompt
    uint64_t sharedTokens = 0; ///< of the prefix; requests of the same prefix share them
    uint64_t ownTokens = 0;    ///< the rest of the prompt, and the longest response
    Interval prefill{};        ///< of what isn't cached, at the median endpoint
};

/// What several requests occupy at an endpoint.
struct EndpointUse
{
    double requests = 0.0;
    double tokens = 0.0; ///< of its KV memory
    Interval prefill{};  ///< of prompts without a first event
};

/// Endpoints are identified by a hash of their process. Not thread safe.
class EndpointOccupancy
{
public:
    /// Sets the part of the requests for \p endpoints that this host sends. \pre 0 < share <= 1
    void setScale(double share, std::size_t endpoints);
    void onSent(uint64_t endpoint, const RequestUse &use, Instant now);
    /// The prompt of \p request is prefilled. An unknown request is ignored.
    void onFirstEvent(uint64_t endpoint, const RequestId &request, Instant now);
    void onEnd(uint64_t endpoint, const RequestId &request, Instant now);
    /// Forgets all endpoints but those in \p present: their processes have ended.
    void keepOnly(const std::vector<uint64_t> &present, Instant now);

    /// What this host's requests occupy at \p endpoint.
    EndpointUse own(uint64_t endpoint) const;
    /// How long this host's oldest request at \p endpoint without a first event has waited.
    Interval waited(uint64_t endpoint, Instant now) const;
    /// What the requests of the other hosts are expected to occupy at each endpoint.
    EndpointUse others(Instant now) const;
    /// The memory that \p use would occupy at \p endpoint in addition: a shared prefix counts once.
    double additionalTokens(uint64_t endpoint, const RequestUse &use) const;
    /// How long after its last use an endpoint with a memory of \p kvTokens keeps a prefix, by the
    /// rate at which new tokens take its place; \p limit if the memory is unknown (0).
    Interval retention(uint64_t kvTokens, Interval limit, Instant now) const;

private:
    struct Open
    {
        RequestUse use;
        Instant sentAt;
        bool isPrefilled = false;
    };

    struct Endpoint
    {
        std::vector<Open> open; ///< few: a host has less than one request per endpoint
        EndpointUse use;
    };

    static bool holds(const Endpoint &endpoint, uint64_t prefix);
    /// Adds the time since the last change to the means.
    void advance(Instant now);
    void remove(Endpoint &endpoint, std::size_t position);

    double othersPerOwn_ = 0.0; ///< requests of the other hosts for each of this one
    double endpointCount_ = 1.0;
    std::unordered_map<uint64_t, Endpoint> endpoints_;
    EndpointUse total_;         ///< of this host, at all endpoints
    EndpointUse mean_;          ///< of total_, until changedAt_
    double recentTokens_ = 0.0; ///< new tokens sent, decaying, until changedAt_
    Instant changedAt_{};
};

} // namespace sequoiagate

#endif
