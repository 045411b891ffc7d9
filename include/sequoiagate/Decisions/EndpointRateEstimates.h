#ifndef SEQUOIAGATE_DECISIONS_ENDPOINTRATEESTIMATES_H
#define SEQUOIAGATE_DECISIONS_ENDPOINTRATEESTIMATES_H

/// Estimators of EndpointRates. Pure.

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Relative times beyond these bounds are set to them.
inline constexpr double MinRelativeTime = 0.05;
inline constexpr double MaxRelativeTime = 20.0;

/// The median of the newest values. Not thread safe.
class RunningMedian
{
public:
    explicit RunningMedian(std::size_t capacity) : capacity_(capacity) {}

    void add(double value);
    std::size_t count() const { return values_.size(); }
    /// \pre count() isn't 0
    double value() const;

private:
    std::size_t capacity_;
    std::size_t next_ = 0; ///< the place of the oldest value once all places are taken
    std::vector<double> values_;
};

/// Times that one host measures, relative to its usual ones. Not thread safe.
///
/// Work of about the same size is compared with each other, so that no speed of endpoints has to be
/// configured. Each time is also relative to the median of the last few at all endpoints: a slow
/// host, or a burst that all endpoints get, changes none of them. Both medians are of times over
/// the factors of their endpoints, as far as these are known: otherwise they would depend on which
/// endpoints got the last few requests.
class RelativeTimes
{
public:
    /// \param size a class of work of about the same size
    /// \param knownFactor of the endpoint; 1 if it is unknown
    /// \returns \p time over the usual one; nullopt until that is known
    std::optional<double> add(uint32_t size, Interval time, double knownFactor);

private:
    std::map<uint32_t, RunningMedian> bySize_;
    RunningMedian level_{LevelTimes};

    /// Newest times whose median is the level: few, so that it follows a burst within 0.6 s at the
    /// 8 requests a second that a host gets.
    static constexpr std::size_t LevelTimes = 9;
};

/// A quantile of the relative times of an endpoint. Not thread safe.
///
/// It ignores the seventh of an endpoint's times that are twice as long, but follows a change only
/// after many samples. A cumulative sum of the logarithms (Page, "Continuous inspection schemes",
/// 1954) therefore detects changes by more than these variations, after which the samples before
/// the change are dropped.
class RateEstimate
{
public:
    /// Fewer samples have no meaningful quantile.
    static constexpr std::size_t MinSamples = 5;
    static constexpr uint32_t MaxWeight = 32; ///< of one sample

    /// A change must be seen by this many hosts, or by all if there are fewer: times that one host
    /// measures also become longer with its own path and processor.
    static constexpr std::size_t MinSources = 3;

    /// \pre 0 < \p quantile < 1
    explicit RateEstimate(double quantile = 0.5) : quantile_(quantile) {}

    /// \param weight the number of similar times that it stands for
    /// \param source identifies the host that measured it
    /// \param hosts the number of hosts that measure
    /// \returns whether it shows a change
    bool add(double relativeTime, uint32_t weight, Instant observedAt, uint64_t source,
             std::size_t hosts);
    void dropOld(Instant now);
    /// The quantile; 1 if it isn't known.
    double factor() const;
    bool isKnown() const { return samples_.size() >= MinSamples; }
    /// The number of times that the samples stand for.
    uint32_t samples() const;
    bool isEmpty() const { return samples_.empty(); }

private:
    struct Sample
    {
        double relativeTime = 1.0;
        uint32_t weight = 1;
        Instant observedAt{};
    };

    /// Evidence that the times are longer, or shorter, than the quantile.
    struct Drift
    {
        double sum = 0.0;
        std::size_t samples = 0;                    ///< since the sum was 0
        std::array<uint64_t, MinSources> sources{}; ///< that differ, of samples that add to the sum
        std::size_t sourceCount = 0;
    };

    static bool advance(Drift &drift, double logRatio, uint32_t weight, uint64_t source,
                        std::size_t hosts);

    double quantile_;
    std::deque<Sample> samples_; ///< in the order of arrival
    Drift slower_;
    Drift faster_;
};

} // namespace sequoiagate

#endif
