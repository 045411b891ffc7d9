#include "sequoiagate/Service/Metrics.h"

#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <mutex>

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace sequoiagate {

namespace {

namespace histogram = boost::histogram;

using DurationHistogram = histogram::histogram<std::tuple<histogram::axis::variable<>>,
                                               histogram::unlimited_storage<>>;

/// Upper bounds in seconds. They stand closest around 40 ms and 0.63 s, the
/// times between tokens and to the first token that callers are promised.
constexpr std::array BucketBounds = {0.0005, 0.001, 0.0025, 0.005, 0.01, 0.02, 0.03,
                                     0.04,   0.06,  0.1,    0.25,  0.4,  0.63, 1.0,
                                     2.5,    5.0,   10.0,   30.0,  60.0, 300.0};

/// Series a metric may have. A label whose values turn out to be unbounded would
/// grow the page and this process without end; past the limit a series isn't
/// made and the drop is counted instead.
constexpr std::size_t MaximumSeries = 512;

constexpr std::string_view DroppedName = "metrics_dropped_samples_total";

std::string escapeLabel(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            text += '\\';
            text += c;
        } else if (c == '\n') {
            text += "\\n";
        } else {
            text += c;
        }
    }
    return text;
}

std::string labelsText(const std::vector<MetricLabel> &labels)
{
    std::string text;
    for (const MetricLabel &label : labels) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", label.name,
                            escapeLabel(label.value));
    }
    return text;
}

std::string seriesText(std::string_view name, const std::string &labels)
{
    return labels.empty() ? std::string(name) : fmt::format("{}{{{}}}", name, labels);
}

struct Distribution
{
    DurationHistogram buckets{
            histogram::axis::variable<>(BucketBounds.begin(), BucketBounds.end())};
    double sumSeconds = 0.0;

    void add(double seconds)
    {
        // The axis' bins are closed below and open above; the text format's are
        // closed above. A hair less puts a value on a bound where it belongs.
        buckets(std::nextafter(seconds, -std::numeric_limits<double>::infinity()));
        sumSeconds += seconds;
    }
};

using SeriesKey = std::string;

template <typename Value>
using Family = std::map<SeriesKey, Value>;

template <typename Value>
using Families = std::map<std::string, Family<Value>, std::less<>>;

std::string renderDistribution(std::string_view name, const std::string &labels,
                               const Distribution &distribution)
{
    std::string text;
    const std::string before = labels.empty() ? "" : labels + ",";
    // Bin -1 holds what is below the first bound, so it belongs to the first bucket.
    double cumulative = 0.0;
    for (std::size_t i = 0; i < BucketBounds.size(); ++i) {
        cumulative += static_cast<double>(distribution.buckets.at(static_cast<int>(i) - 1));
        text += fmt::format("{}_bucket{{{}le=\"{}\"}} {}\n", name, before, BucketBounds[i],
                            cumulative);
    }
    const int above = static_cast<int>(BucketBounds.size()) - 1;
    cumulative += static_cast<double>(distribution.buckets.at(above));
    text += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", name, before, cumulative);
    text += fmt::format("{} {}\n", seriesText(fmt::format("{}_sum", name), labels),
                        distribution.sumSeconds);
    text += fmt::format("{} {}\n", seriesText(fmt::format("{}_count", name), labels), cumulative);
    return text;
}

} // namespace

struct Metrics::State
{
    mutable std::mutex mutex;
    Families<uint64_t> counters;
    Families<double> gauges;
    Families<Distribution> distributions;
    std::map<std::string, std::string, std::less<>> help;

    /// The series of \p labels, or nullptr if the metric has too many already.
    template <typename Value>
    Value *series(Families<Value> &families, std::string_view name,
                  const std::vector<MetricLabel> &labels)
    {
        Family<Value> &family = families[std::string(name)];
        const std::string key = labelsText(labels);
        if (family.count(key) == 0 && family.size() >= MaximumSeries) {
            ++counters[std::string(DroppedName)][""];
            return nullptr;
        }
        return &family[key];
    }

    std::string header(std::string_view name, std::string_view type) const
    {
        const auto found = help.find(name);
        const std::string line =
                found == help.end() ? "" : fmt::format("# HELP {} {}\n", name, found->second);
        return line + fmt::format("# TYPE {} {}\n", name, type);
    }

    template <typename Value>
    std::string renderScalars(const Families<Value> &families, std::string_view type) const
    {
        std::string text;
        for (const auto &[name, family] : families) {
            text += header(name, type);
            for (const auto &[labels, value] : family) {
                text += fmt::format("{} {}\n", seriesText(name, labels), value);
            }
        }
        return text;
    }
};

Metrics::Metrics() : state_(std::make_unique<State>())
{
    describe(DroppedName, "Samples left out because a metric had too many label values.");
}

Metrics::~Metrics() = default;

void Metrics::describe(std::string_view name, std::string_view help)
{
    std::lock_guard lock(state_->mutex);
    std::string line;
    for (const char c : help) {
        line += c == '\n' ? "\\n" : c == '\\' ? "\\\\" : std::string(1, c);
    }
    state_->help[std::string(name)] = line;
}

void Metrics::count(std::string_view name, const std::vector<MetricLabel> &labels, uint64_t amount)
{
    std::lock_guard lock(state_->mutex);
    if (uint64_t *value = state_->series(state_->counters, name, labels)) {
        *value += amount;
    }
}

void Metrics::gauge(std::string_view name, double value, const std::vector<MetricLabel> &labels)
{
    std::lock_guard lock(state_->mutex);
    if (double *current = state_->series(state_->gauges, name, labels)) {
        *current = value;
    }
}

void Metrics::observe(std::string_view name, Interval value, const std::vector<MetricLabel> &labels)
{
    std::lock_guard lock(state_->mutex);
    if (Distribution *distribution = state_->series(state_->distributions, name, labels)) {
        distribution->add(std::chrono::duration<double>(value).count());
    }
}

std::string Metrics::render() const
{
    std::lock_guard lock(state_->mutex);
    std::string text = state_->renderScalars(state_->counters, "counter");
    text += state_->renderScalars(state_->gauges, "gauge");
    for (const auto &[name, family] : state_->distributions) {
        text += state_->header(name, "histogram");
        for (const auto &[labels, distribution] : family) {
            text += renderDistribution(name, labels, distribution);
        }
    }
    return text;
}

} // namespace sequoiagate
