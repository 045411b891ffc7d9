#include "sequoiagate/Decisions/EndpointChoice.h"

#include <algorithm>
#include <string_view>

namespace sequoiagate {

namespace {

constexpr Interval RetryAfterNoEndpoint = std::chrono::seconds(1);

bool offers(const EndpointSpec &spec, const ServiceId &service)
{
    return std::find(spec.services.begin(), spec.services.end(), service) != spec.services.end();
}

/// Why no work may go there; empty: it may.
std::string_view whyUnserved(const EndpointSpec &spec, const LoadReport &report)
{
    if (spec.leaving || report.leaving) {
        return "leaving";
    }
    return report.reachable ? "" : "unreachable";
}

} // namespace

EndpointChoice::EndpointChoice(DomainId self) : self_(std::move(self)) {}

void EndpointChoice::setEndpoints(const std::vector<EndpointSpec> &endpoints, Instant /*now*/)
{
    std::vector<Endpoint> updated;
    updated.reserve(endpoints.size());
    for (const EndpointSpec &spec : endpoints) {
        const Endpoint *known = find(spec.id);
        updated.push_back(known != nullptr ? *known : Endpoint{});
        updated.back().spec = spec;
    }
    endpoints_ = std::move(updated);
}

ChoiceOutcome EndpointChoice::choose(const WorkItem &item, const std::vector<EndpointId> &tried,
                                     Instant now)
{
    const Endpoint *best = nullptr;
    bool known = false;
    for (const Endpoint &endpoint : endpoints_) {
        if (!offers(endpoint.spec, item.service)) {
            continue;
        }
        known = true;
        const bool usable =
                whyUnserved(endpoint.spec, endpoint.report).empty()
                && std::find(tried.begin(), tried.end(), endpoint.spec.id) == tried.end();
        if (usable && (best == nullptr || endpoint.inFlight < best->inFlight)) {
            best = &endpoint;
        }
    }
    if (best != nullptr) {
        return Chosen{best->spec.id, "least_loaded"};
    }
    if (!known) {
        return Verdict{Execution::NotRun, Reason::UnknownService, "no endpoint offers the service",
                       std::nullopt};
    }
    return Verdict{Execution::NotRun, Reason::NoEndpoint, "no endpoint of the service can be used",
                   now + RetryAfterNoEndpoint};
}

void EndpointChoice::onSent(const EndpointId &endpoint, const WorkItem & /*item*/, Instant /*now*/)
{
    if (Endpoint *found = find(endpoint); found != nullptr) {
        ++found->inFlight;
    }
}

void EndpointChoice::onEnd(const TryResult &result, Instant /*now*/)
{
    Endpoint *found = find(result.endpoint);
    if (found != nullptr && found->inFlight > 0) {
        --found->inFlight;
    }
}

void EndpointChoice::onReport(const LoadReport &report, Instant /*now*/)
{
    if (Endpoint *found = find(report.endpoint); found != nullptr) {
        found->report = report;
    }
}

std::vector<UnservedRoute> EndpointChoice::unserved(const ServiceId &service, Instant /*now*/) const
{
    std::vector<UnservedRoute> routes;
    for (const Endpoint &endpoint : endpoints_) {
        const std::string_view why = whyUnserved(endpoint.spec, endpoint.report);
        if (offers(endpoint.spec, service) && !why.empty()) {
            routes.push_back({endpoint.spec.id, std::string(why)});
        }
    }
    return routes;
}

uint32_t EndpointChoice::totalSlots(Instant /*now*/) const
{
    uint32_t total = 0;
    for (const Endpoint &endpoint : endpoints_) {
        total += whyUnserved(endpoint.spec, endpoint.report).empty() ? endpoint.spec.slots : 0;
    }
    return total;
}

EndpointChoice::Endpoint *EndpointChoice::find(const EndpointId &id)
{
    const auto found = std::find_if(endpoints_.begin(), endpoints_.end(),
                                    [&](const Endpoint &e) { return e.spec.id == id; });
    return found == endpoints_.end() ? nullptr : &*found;
}

} // namespace sequoiagate
