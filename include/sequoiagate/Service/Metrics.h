#ifndef SEQUOIAGATE_SERVICE_METRICS_H
#define SEQUOIAGATE_SERVICE_METRICS_H

/// Counters, gauges and histograms behind a /metrics page in the usual text
/// format. Names end in their unit; no label takes values without bound (a
/// workspace or request id never is one).

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

struct MetricLabel
{
    std::string name;
    std::string value;
};

/// All methods are thread safe. A metric is made on first use. A metric takes a
/// bounded number of label values: what goes past it is counted as dropped.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// Sets the help line of \p name; without one the page has none.
    void describe(std::string_view name, std::string_view help);
    /// Adds to a counter; \p name ends in _total.
    void count(std::string_view name, const std::vector<MetricLabel> &labels = {},
               uint64_t amount = 1);
    void gauge(std::string_view name, double value, const std::vector<MetricLabel> &labels = {});
    /// Records a duration in a histogram; \p name ends in _seconds.
    void observe(std::string_view name, Interval value,
                 const std::vector<MetricLabel> &labels = {});
    /// The page's text.
    std::string render() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace sequoiagate

#endif
