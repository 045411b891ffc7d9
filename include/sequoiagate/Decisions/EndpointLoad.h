#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTLOAD_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTLOAD_H

/// How many requests an endpoint is believed to have in hand.
///
/// Answers load reports that lag. A router that goes by the last report alone sends
/// everything to the endpoint that was idle when it spoke, for as long as the lag
/// lasts; the next report shows it overrun and another one idle, and the load swings
/// between them. Here what this router sent and what ended since the report was
/// observed is added to it. What other routers sent since isn't known: EndpointChoice
/// spreads its choices so that they needn't be.

#include <algorithm>
#include <cstdint>
#include <deque>

#include "sequoiagate/Decisions/EndpointSpec.h"

namespace sequoiagate {

/// Not thread safe.
class EndpointLoad
{
public:
    /// A report older than this is no news: only what this router sent still counts.
    /// Five times the lag at which engines report.
    static constexpr Interval ReportLifetime = std::chrono::seconds(5);

    void onSent(Instant now);
    void onEnd(Instant now);
    /// A report observed before the last one is ignored.
    void onReport(const LoadReport &report);

    /// Requests running or waiting there, as far as this router can tell.
    double requests(Instant now) const
    {
        return fresh(now) ? std::max<double>(own_, reported(now) + since_) : own_;
    }
    /// Requests of this router that are open there.
    uint32_t own() const { return own_; }
    /// Requests there when the last report was observed, and this router's among them:
    /// its part is told by these two, as they are of one moment. By what it has now, each
    /// router's part of an older whole grew with the load, and in a burst all of them took
    /// more than there was.
    double reported(Instant now) const
    {
        return fresh(now) ? static_cast<double>(report_.running) + report_.waiting : own_;
    }
    double ownWhenReported(Instant now) const
    {
        return fresh(now) ? std::max<double>(static_cast<int>(own_) - since_, 0.0) : own_;
    }
    const LoadReport &report() const { return report_; }
    bool fresh(Instant now) const { return reported_ && now < reportExpiresAt_; }

private:
    /// A request sent or ended since the report.
    struct Change
    {
        Instant at;
        int requests; ///< 1 or -1
    };

    void record(int requests, Instant now);
    void dropUntil(Instant until);

    LoadReport report_;
    bool reported_ = false;
    Instant reportExpiresAt_;
    uint32_t own_ = 0;
    std::deque<Change> changes_;
    int since_ = 0; ///< the sum of the changes
};

} // namespace sequoiagate

#endif
