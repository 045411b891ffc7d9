#include "sequoiagate/Decisions/DistributedRetryBudget.h"

namespace sequoiagate {

namespace {

void dropBefore(std::deque<Instant> &times, Instant from)
{
    while (!times.empty() && times.front() < from) {
        times.pop_front();
    }
}

} // namespace

void DistributedRetryBudget::expire(Counts &counts, Instant now) const
{
    dropBefore(counts.requests, now - settings_.window);
    dropBefore(counts.retries, now - settings_.window);
}

void DistributedRetryBudget::onRequest(const ServiceId &service, Instant now)
{
    Counts &counts = services_[service];
    expire(counts, now);
    counts.requests.push_back(now);
}

bool DistributedRetryBudget::mayRetry(const ServiceId &service, Instant now)
{
    Counts &counts = services_[service];
    expire(counts, now);
    const double bound = settings_.ratio * static_cast<double>(counts.requests.size())
                         + settings_.baseRetries / processCount_;
    if (static_cast<double>(counts.retries.size() + 1) > settings_.usableFraction * bound) {
        return false;
    }
    counts.retries.push_back(now);
    return true;
}

} // namespace sequoiagate
