#include "sequoiagate/Decisions/PlacementCost.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "sequoiagate/Decisions/Estimates.h"

namespace sequoiagate {

namespace {

/// An endpoint isn't taken for faster than this: one that is wrongly believed to be fast gets more
/// requests than it can serve, while one that is faster than believed only has room to spare.
constexpr double MinFactor = 0.7;
/// Factors beyond this come from an error of measurement.
constexpr double MaxFactor = 10.0;
/// Number of samples at which half of a deviation from 1 is believed.
constexpr double HalfTrustSamples = 3.0;
/// A rate is believed in full up to the first age, and not at all from the second on: an endpoint
/// that gets no requests as it was slow is tried again. Endpoints of the design load get six
/// requests per second, and hosts exchange samples within two seconds.
constexpr Interval FullTrustAge = std::chrono::seconds(4);
constexpr Interval NoTrustAge = std::chrono::seconds(12);
/// The factor beyond which an endpoint gets less than the inverse of its factor.
constexpr double TemporaryFactor = 2.0;

double trustOf(const EndpointRate &rate)
{
    const double samples = rate.samples;
    const double byCount = samples / (samples + HalfTrustSamples);
    const double byAge = secondsOf(NoTrustAge - std::max(rate.age, FullTrustAge))
                         / secondsOf(NoTrustAge - FullTrustAge);
    return byCount * std::clamp(byAge, 0.0, 1.0);
}

double trustedFactor(double factor, double trust)
{
    if (!std::isfinite(factor) || factor <= 0.0) {
        return 1.0;
    }
    return 1.0 + (std::clamp(factor, MinFactor, MaxFactor) - 1.0) * trust;
}

Interval scaled(Interval interval, double factor)
{
    return intervalOf(secondsOf(interval) * factor);
}

int64_t millisOf(Interval interval)
{
    return std::chrono::duration_cast<Millis>(interval).count();
}

} // namespace

Interval prefillTime(uint64_t tokens, const PlacementCostSettings &settings)
{
    return settings.prefillBase
           + intervalOf(static_cast<double>(tokens) / settings.prefillTokensPerSecond);
}

PlacementCost placementCost(const PlacementRequest &request, const PlacementState &state,
                            const PlacementCostSettings &settings)
{
    const uint64_t shared = std::min(request.sharedTokens, request.promptTokens);
    const uint64_t cached = state.holdsPrefix ? shared : 0;
    const double overflow = std::max(state.requests + 1.0 - state.slots, 0.0);
    PlacementCost cost;
    // A queue that takes longer than expected is likely to take as long again.
    cost.queue = std::max(scaled(state.queued, state.rate.prefillFactor), state.waited)
                 + scaled(settings.perOverflow, overflow * state.rate.decodeFactor);
    cost.prefill =
            scaled(prefillTime(request.promptTokens - cached, settings), state.rate.prefillFactor);
    cost.path = state.roundTrip;
    const Interval missed =
            intervalOf(static_cast<double>(shared - cached) / settings.prefillTokensPerSecond);
    cost.delay = scaled(missed, (settings.prefixMissWeight - 1.0) * state.rate.prefillFactor)
                 + scaled(settings.perRequest, state.requests * state.rate.decodeFactor);
    return cost;
}

EndpointRate trustedRate(const EndpointRate &rate)
{
    const double trust = trustOf(rate);
    EndpointRate trusted = rate;
    trusted.prefillFactor = trustedFactor(rate.prefillFactor, trust);
    trusted.decodeFactor = trustedFactor(rate.decodeFactor, trust);
    return trusted;
}

double shareOfRequests(const EndpointRate &rate)
{
    const double factor = (rate.prefillFactor + rate.decodeFactor) / 2.0;
    return std::min(1.0, TemporaryFactor / factor) / factor;
}

void SteppedFactor::update(double factor, Instant now)
{
    // The endpoints of a deployment differ by a factor of 1.3 or more, which must remain visible.
    constexpr double StepFactor = 1.35;
    constexpr double MaxDistance = 0.75;
    constexpr double ImmediateDistance = 2.0;
    constexpr Interval ChangeDelay = std::chrono::seconds(2);
    if (settledAt_ == Never && factor != 1.0) {
        settledAt_ = now + ChangeDelay;
    }
    static const double MaxRatio = std::pow(StepFactor, MaxDistance);
    if (factor <= value_ * MaxRatio && factor * MaxRatio >= value_) {
        changeAt_ = Never;
        return;
    }
    if (changeAt_ == Never) {
        changeAt_ = now + ChangeDelay;
    }
    const double step = std::log(factor) / std::log(StepFactor);
    const double distance = std::abs(step - std::log(value_) / std::log(StepFactor));
    if (distance > ImmediateDistance || now >= changeAt_ || now < settledAt_) {
        value_ = std::pow(StepFactor, std::round(step));
        changeAt_ = Never;
    }
}

std::string describe(const PlacementCost &cost, const EndpointRate &rate)
{
    return fmt::format("{} ms: queue {}, prefill {}, path {}, others {}; rate {:.2f}/{:.2f} of {},"
                       " {} ms old",
                       millisOf(cost.firstEvent()), millisOf(cost.queue), millisOf(cost.prefill),
                       millisOf(cost.path), millisOf(cost.delay), rate.prefillFactor,
                       rate.decodeFactor, rate.samples, millisOf(rate.age));
}

} // namespace sequoiagate
