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

double EndpointLoad::requests(Instant now) const
{
    const double own = own_;
    if (!fresh(now)) {
        return own;
    }
    const double reported = static_cast<double>(report_.running) + report_.waiting;
    const double since =
            static_cast<double>(sentSince_.size()) - static_cast<double>(endedSince_.size());
    return std::max(own, reported + since);
}

} // namespace sequoiagate
