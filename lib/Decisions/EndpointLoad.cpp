#include "sequoiagate/Decisions/EndpointLoad.h"

namespace sequoiagate {

void EndpointLoad::dropChangesUntil(Instant until)
{
    while (!changes_.empty() && changes_.front().at <= until) {
        changeSinceReport_ -= changes_.front().requests;
        changes_.pop_front();
    }
}

void EndpointLoad::recordChange(int requests, Instant now)
{
    // Changes older than ReportLifetime precede any report that is still used.
    dropChangesUntil(now - ReportLifetime);
    changes_.push_back({now, requests});
    changeSinceReport_ += requests;
}

void EndpointLoad::onSent(Instant now)
{
    ++ownRequests_;
    recordChange(1, now);
}

void EndpointLoad::onEnd(Instant now)
{
    if (ownRequests_ == 0) {
        return;
    }
    --ownRequests_;
    recordChange(-1, now);
}

void EndpointLoad::onReport(const LoadReport &report)
{
    if (hasReport_ && report.observedAt < report_.observedAt) {
        return;
    }
    report_ = report;
    hasReport_ = true;
    reportExpiresAt_ = report.observedAt + ReportLifetime;
    dropChangesUntil(report.observedAt);
}

} // namespace sequoiagate
