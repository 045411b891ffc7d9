#include "sequoiagate/Service/Metrics.h"

namespace sequoiagate {

struct Metrics::State
{};

Metrics::Metrics() : state_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::count(std::string_view /*name*/, const std::vector<MetricLabel> & /*labels*/,
                    uint64_t /*amount*/)
{}

void Metrics::gauge(std::string_view /*name*/, double /*value*/,
                    const std::vector<MetricLabel> & /*labels*/)
{}

void Metrics::observe(std::string_view /*name*/, Interval /*value*/,
                      const std::vector<MetricLabel> & /*labels*/)
{}

std::string Metrics::render() const
{
    return "";
}

} // namespace sequoiagate
