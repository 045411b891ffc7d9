#include "sequoiagate/Decisions/EndpointLoad.h"

#include <algorithm>

namespace sequoiagate {

namespace {

void dropUntil(std::deque<Instant> &times, Instant until)
{
    while (!times.empty() && times.front() <= until) {
        times.pop_front();
    }
}

} // namespace

void EndpointLoad::record(std::deque<Instant> &times, Instant now)
{
    // What is older than a report may be is never asked for again.
    dropUntil(times, now - ReportLifetime);
    times.push_back(now);
}

void EndpointLoad::onSent(Instant now)
{
    ++own_;
    record(sentSince_, now);
}

void EndpointLoad::onEnd(Instant now)
{
    if (own_ == 0) {
        return;
    }
    --own_;
    record(endedSince_, now);
}

void EndpointLoad::onReport(const LoadReport &report)
{
    if (reported_ && report.observedAt < report_.observedAt) {
        return;
    }
    report_ = report;
    reported_ = true;
    reportExpiresAt_ = report.observedAt + ReportLifetime;
    dropUntil(sentSince_, report.observedAt);
    dropUntil(endedSince_, report.observedAt);
}

double EndpointLoad::reported(Instant now) const
{
    return fresh(now) ? static_cast<double>(report_.running) + report_.waiting : own_;
}

double EndpointLoad::ownWhenReported(Instant now) const
{
    const double own = own_;
    return fresh(now) ? std::max(own - since(), 0.0) : own;
}

double EndpointLoad::since() const
{
    return static_cast<double>(sentSince_.size()) - static_cast<double>(endedSince_.size());
}

double EndpointLoad::requests(Instant now) const
{
    return fresh(now) ? std::max<double>(own_, reported(now) + since()) : own_;
}

} // namespace sequoiagate
