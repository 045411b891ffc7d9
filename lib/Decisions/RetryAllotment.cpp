#include "sequoiagate/Decisions/RetryAllotment.h"

namespace sequoiagate {

namespace {

void dropBefore(std::deque<Instant> &times, Instant from)
{
    while (!times.empty() && times.front() < from) {
        times.pop_front();
    }
}

} // namespace

void RetryAllotment::expire(Counts &counts, Instant now) const
{
    dropBefore(counts.requests, now - settings_.window);
    dropBefore(counts.repeats, now - settings_.window);
}

void RetryAllotment::onRequest(const ServiceId &service, Instant now)
{
    Counts &counts = services_[service];
    expire(counts, now);
    counts.requests.push_back(now);
}

bool RetryAllotment::mayRepeat(const ServiceId &service, Instant now)
{
    Counts &counts = services_[service];
    expire(counts, now);
    const double bound = settings_.ratio * static_cast<double>(counts.requests.size())
                         + settings_.slack / processes_;
    if (static_cast<double>(counts.repeats.size() + 1) > settings_.use * bound) {
        return false;
    }
    counts.repeats.push_back(now);
    return true;
}

} // namespace sequoiagate
