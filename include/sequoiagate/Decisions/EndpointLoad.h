#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTLOAD_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTLOAD_H

/// Estimates how many requests an endpoint has.
///
/// Guards against load reports that lag. A router that relies on the last report alone
/// sends everything to the endpoint that was idle in it, for as long as the lag lasts;
/// the next report shows that endpoint overloaded and another one idle, and the load
/// oscillates between them. Instead, the number of requests that this router sent since
/// the report was observed, less those that finished, is added to the reported number. What
/// other routers sent since is unknown: EndpointSelector spreads its selections so that it
/// needn't be known.

#include <algorithm>
#include <cstdint>
#include <deque>

#include "sequoiagate/Decisions/EndpointSpec.h"

namespace sequoiagate {

/// Not thread safe.
class EndpointLoad
{
public:
    /// A report older than this is ignored: only what this router sent still counts.
    /// Five times the lag at which engines report.
    static constexpr Interval ReportLifetime = std::chrono::seconds(5);

    void onSent(Instant now);
    void onEnd(Instant now);
    /// A report observed before the last one is ignored.
    void onReport(const LoadReport &report);

    /// Estimated number of requests running or waiting at the endpoint.
    double requests(Instant now) const
    {
        return hasFreshReport(now)
                       ? std::max<double>(ownRequests_, reportedRequests(now) + changeSinceReport_)
                       : ownRequests_;
    }
    /// Requests of this router in flight at the endpoint.
    uint32_t ownRequests() const { return ownRequests_; }
    /// Requests at the endpoint when the last report was observed, and this router's among them.
    /// The router's share is computed from these two because they describe one moment. Computed
    /// from its current requests, each router's share of an older total grew with the load,
    /// and in a burst the routers together took more than there was.
    double reportedRequests(Instant now) const
    {
        return hasFreshReport(now) ? static_cast<double>(report_.running) + report_.waiting
                                   : ownRequests_;
    }
    double ownRequestsAtReport(Instant now) const
    {
        return hasFreshReport(now)
                       ? std::max<double>(static_cast<int>(ownRequests_) - changeSinceReport_, 0.0)
                       : ownRequests_;
    }
    const LoadReport &report() const { return report_; }
    bool hasFreshReport(Instant now) const { return hasReport_ && now < reportExpiresAt_; }

private:
    /// A request sent or ended since the report.
    struct Change
    {
        Instant at;
        int requests; ///< 1 or -1
    };

    void recordChange(int requests, Instant now);
    void dropChangesUntil(Instant until);

    LoadReport report_;
    bool hasReport_ = false;
    Instant reportExpiresAt_;
    uint32_t ownRequests_ = 0;
    std::deque<Change> changes_;
    int changeSinceReport_ = 0; ///< the sum of the changes
};

} // namespace sequoiagate

#endif
