#include "sequoiagate/Decisions/EndpointOccupancy.h"

#include <algorithm>
#include <cmath>

#include "sequoiagate/Decisions/Estimates.h"

namespace sequoiagate {

namespace {

/// Time constant of the mean use. A host of the design load sends seven requests per second, which
/// stay for 0.3 to 2 s: over a shorter time the estimate for the other hosts would follow single
/// requests of this one, and over a longer one it would miss a burst.
constexpr Interval MeanTime = std::chrono::seconds(3);
/// Time constant of the flow of new tokens, which is to show how long prefixes stay cached.
constexpr Interval FlowTime = std::chrono::seconds(20);

double decay(Interval elapsed, Interval time)
{
    return std::exp(-secondsOf(std::max(elapsed, Interval::zero())) / secondsOf(time));
}

/// \p left * \p share + \p right * (1 - \p share)
EndpointUse mixed(const EndpointUse &left, const EndpointUse &right, double share)
{
    const auto mix = [share](double a, double b) {
        return a * share + b * (1.0 - share);
    };
    return {mix(left.requests, right.requests), mix(left.tokens, right.tokens),
            intervalOf(mix(secondsOf(left.prefill), secondsOf(right.prefill)))};
}

} // namespace

void EndpointOccupancy::setScale(double share, std::size_t endpoints)
{
    othersPerOwn_ = 1.0 / share - 1.0;
    endpointCount_ = static_cast<double>(std::max<std::size_t>(endpoints, 1));
}

bool EndpointOccupancy::holds(const Endpoint &endpoint, uint64_t prefix)
{
    return prefix != 0
           && std::any_of(endpoint.open.begin(), endpoint.open.end(),
                          [prefix](const Open &open) { return open.use.prefix == prefix; });
}

void EndpointOccupancy::advance(Instant now)
{
    const Interval elapsed = now - changedAt_;
    mean_ = mixed(mean_, total_, decay(elapsed, MeanTime));
    recentTokens_ *= decay(elapsed, FlowTime);
    changedAt_ = std::max(changedAt_, now);
}

void EndpointOccupancy::onSent(uint64_t endpoint, const RequestUse &use, Instant now)
{
    advance(now);
    const double tokens = additionalTokens(endpoint, use);
    Endpoint &found = endpoints_[endpoint];
    found.open.push_back({use, now, false});
    for (EndpointUse *changed : {&found.use, &total_}) {
        changed->requests += 1.0;
        changed->tokens += tokens;
        changed->prefill += use.prefill;
    }
    recentTokens_ += static_cast<double>(use.ownTokens);
}

void EndpointOccupancy::onFirstEvent(uint64_t endpoint, const RequestId &request, Instant now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        return;
    }
    for (Open &open : found->second.open) {
        if (open.use.request == request && !open.isPrefilled) {
            advance(now);
            open.isPrefilled = true;
            found->second.use.prefill -= open.use.prefill;
            total_.prefill -= open.use.prefill;
        }
    }
}

void EndpointOccupancy::remove(Endpoint &endpoint, std::size_t position)
{
    const Open removed = endpoint.open[position];
    endpoint.open.erase(endpoint.open.begin() + static_cast<std::ptrdiff_t>(position));
    const bool isLastOfPrefix = !holds(endpoint, removed.use.prefix);
    const double tokens = static_cast<double>(removed.use.ownTokens)
                          + (isLastOfPrefix ? static_cast<double>(removed.use.sharedTokens) : 0.0);
    for (EndpointUse *changed : {&endpoint.use, &total_}) {
        changed->requests -= 1.0;
        changed->tokens -= tokens;
        changed->prefill -= removed.isPrefilled ? Interval::zero() : removed.use.prefill;
    }
}

void EndpointOccupancy::onEnd(uint64_t endpoint, const RequestId &request, Instant now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        return;
    }
    std::vector<Open> &open = found->second.open;
    const auto ended = std::find_if(open.begin(), open.end(), [&request](const Open &candidate) {
        return candidate.use.request == request;
    });
    if (ended == open.end()) {
        return;
    }
    advance(now);
    remove(found->second, static_cast<std::size_t>(ended - open.begin()));
    if (open.empty()) {
        endpoints_.erase(found);
    }
}

void EndpointOccupancy::keepOnly(const std::vector<uint64_t> &present, Instant now)
{
    advance(now);
    for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
        if (std::find(present.begin(), present.end(), entry->first) != present.end()) {
            ++entry;
            continue;
        }
        std::vector<Open> &open = entry->second.open;
        while (!open.empty()) {
            remove(entry->second, open.size() - 1);
        }
        entry = endpoints_.erase(entry);
    }
}

EndpointUse EndpointOccupancy::own(uint64_t endpoint) const
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? EndpointUse() : found->second.use;
}

Interval EndpointOccupancy::waited(uint64_t endpoint, Instant now) const
{
    const auto found = endpoints_.find(endpoint);
    Interval longest{};
    if (found != endpoints_.end()) {
        for (const Open &open : found->second.open) {
            longest = std::max(longest, open.isPrefilled ? Interval::zero() : now - open.sentAt);
        }
    }
    return longest;
}

EndpointUse EndpointOccupancy::others(Instant now) const
{
    const EndpointUse mean = mixed(mean_, total_, decay(now - changedAt_, MeanTime));
    const double scale = othersPerOwn_ / endpointCount_;
    return {mean.requests * scale, mean.tokens * scale,
            intervalOf(secondsOf(mean.prefill) * scale)};
}

double EndpointOccupancy::additionalTokens(uint64_t endpoint, const RequestUse &use) const
{
    const auto found = endpoints_.find(endpoint);
    const bool isHeld = found != endpoints_.end() && holds(found->second, use.prefix);
    return static_cast<double>(use.ownTokens)
           + (isHeld ? 0.0 : static_cast<double>(use.sharedTokens));
}

Interval EndpointOccupancy::retention(uint64_t kvTokens, Interval limit, Instant now) const
{
    const double recent = recentTokens_ * decay(now - changedAt_, FlowTime);
    const double tokensPerSecond =
            recent / secondsOf(FlowTime) * (othersPerOwn_ + 1.0) / endpointCount_;
    if (kvTokens == 0 || tokensPerSecond <= 0.0) {
        return limit;
    }
    return std::min(limit, intervalOf(static_cast<double>(kvTokens) / tokensPerSecond));
}

} // namespace sequoiagate
