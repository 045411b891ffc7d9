#include "sequoiagate/Decisions/EndpointLoad.h"

namespace sequoiagate {

void EndpointLoad::dropUntil(Instant until)
{
    while (!changes_.empty() && changes_.front().at <= until) {
        since_ -= changes_.front().requests;
        changes_.pop_front();
    }
}

void EndpointLoad::record(int requests, Instant now)
{
    // What is older than a report may be is never asked for again.
    dropUntil(now - ReportLifetime);
    changes_.push_back({now, requests});
    since_ += requests;
}

void EndpointLoad::onSent(Instant now)
{
    ++own_;
    record(1, now);
}

void EndpointLoad::onEnd(Instant now)
{
    if (own_ == 0) {
        return;
    }
    --own_;
    record(-1, now);
}

void EndpointLoad::onReport(const LoadReport &report)
{
    if (reported_ && report.observedAt < report_.observedAt) {
        return;
    }
    report_ = report;
    reported_ = true;
    reportExpiresAt_ = report.observedAt + ReportLifetime;
    dropUntil(report.observedAt);
}

} // namespace sequoiagate
