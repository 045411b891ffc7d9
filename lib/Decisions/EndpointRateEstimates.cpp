#include "sequoiagate/Decisions/EndpointRateEstimates.h"

#include <algorithm>
#include <cmath>

namespace sequoiagate {

namespace {

/// Newest times of one size whose median is the usual time. Those from before the endpoints'
/// factors were known are to be gone soon: with 41, a factor of 2.4 was still learnt as 1.9 after
/// 20 s.
constexpr std::size_t UsualTimes = 21;

/// Times needed before the usual one is known.
constexpr std::size_t MinUsualTimes = 8;
constexpr std::size_t MinLevelTimes = 5;

/// Newest samples whose median is the factor. Half of 24 independent ones are among the seventh of
/// the times that are twice as long with a probability of 0.00004. More are kept, since samples
/// that agree with the known rate are thinned out.
constexpr std::size_t MaxSamples = 40;
constexpr Interval MaxSampleAge = std::chrono::seconds(15);

/// Times are a change if they differ from the median by more than this factor's logarithm to the
/// base of 2. Times that are twice as long occur without one.
constexpr double VariationLog = 1.05;

/// Bounds of what one sample adds to the evidence, and the evidence that suffices: five samples in
/// succession that are three times as long, or three that are five times as long. Fewer are
/// likely to occur within a moment in which an endpoint's times are twice as long by chance.
constexpr double MaxStep = 0.9;
constexpr double MinStep = -1.0;
constexpr double ChangeEvidence = 2.6;

} // namespace

void RunningMedian::add(double value)
{
    if (values_.size() < capacity_) {
        values_.push_back(value);
        return;
    }
    values_[next_] = value;
    next_ = (next_ + 1) % capacity_;
}

double RunningMedian::value() const
{
    std::vector<double> sorted = values_;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

std::optional<double> RelativeTimes::add(uint32_t size, Interval time, double knownFactor)
{
    const double seconds = std::chrono::duration<double>(time).count() / knownFactor;
    if (seconds <= 0.0) {
        return std::nullopt;
    }
    RunningMedian &usual = bySize_.try_emplace(size, RunningMedian(UsualTimes)).first->second;
    const bool isKnown = usual.count() >= MinUsualTimes;
    const double ratio = isKnown ? seconds / usual.value() : 1.0;
    usual.add(seconds);
    if (!isKnown) {
        return std::nullopt;
    }
    level_.add(ratio);
    const double level = level_.count() >= MinLevelTimes ? level_.value() : 1.0;
    return std::clamp(knownFactor * ratio / level, MinRelativeTime, MaxRelativeTime);
}

bool RateEstimate::advance(Drift &drift, double logRatio, uint32_t weight, uint64_t source,
                           std::size_t hosts)
{
    const double step = std::clamp(logRatio - VariationLog, MinStep, MaxStep);
    // However long a time is, it is the evidence of one sample alone.
    drift.sum += step > 0.0 ? step : step * weight;
    ++drift.samples;
    if (drift.sum <= 0.0) {
        drift = Drift();
    }
    const auto known = drift.sources.begin() + static_cast<std::ptrdiff_t>(drift.sourceCount);
    if (step > 0.0 && drift.sourceCount < MinSources
        && std::find(drift.sources.begin(), known, source) == known) {
        drift.sources[drift.sourceCount++] = source;
    }
    // What one host alone has measured for long isn't more evidence.
    drift.sum = std::min(drift.sum, ChangeEvidence);
    return drift.sum >= ChangeEvidence && drift.sourceCount >= std::min(MinSources, hosts);
}

bool RateEstimate::add(double relativeTime, uint32_t weight, Instant observedAt, uint64_t source,
                       std::size_t hosts)
{
    const uint32_t bounded = std::clamp(weight, 1U, MaxWeight);
    const double logRatio = std::log2(relativeTime / factor());
    samples_.push_back({relativeTime, bounded, observedAt});
    const bool isSlower = advance(slower_, logRatio, bounded, source, hosts);
    const bool isFaster = advance(faster_, -logRatio, bounded, source, hosts);
    const bool isChange = isSlower || isFaster;
    const std::size_t kept = isChange ? (isSlower ? slower_ : faster_).samples : MaxSamples;
    while (samples_.size() > kept) {
        samples_.pop_front();
    }
    if (isChange) {
        slower_ = Drift();
        faster_ = Drift();
    }
    return isChange;
}

void RateEstimate::dropOld(Instant now)
{
    while (!samples_.empty() && samples_.front().observedAt + MaxSampleAge < now) {
        samples_.pop_front();
    }
}

uint32_t RateEstimate::samples() const
{
    uint32_t total = 0;
    for (const Sample &sample : samples_) {
        total += sample.weight;
    }
    return total;
}

double RateEstimate::factor() const
{
    if (!isKnown()) {
        return 1.0;
    }
    const uint32_t total = samples();
    std::vector<std::pair<double, uint32_t>> sorted;
    sorted.reserve(samples_.size());
    for (const Sample &sample : samples_) {
        sorted.emplace_back(sample.relativeTime, sample.weight);
    }
    std::sort(sorted.begin(), sorted.end());
    uint32_t below = 0;
    for (const auto &[relativeTime, weight] : sorted) {
        below += weight;
        if (below >= quantile_ * total) {
            return relativeTime;
        }
    }
    return sorted.back().first;
}

} // namespace sequoiagate
