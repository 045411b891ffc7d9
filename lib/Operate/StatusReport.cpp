#include "Operate/StatusReport.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

std::optional<Seconds> ageOf(int64_t wallMicros, WallTime now)
{
    if (wallMicros == 0) {
        return std::nullopt;
    }
    const WallTime then{std::chrono::microseconds(wallMicros)};
    return std::max(Seconds(0), std::chrono::duration_cast<Seconds>(now - then));
}

std::string stateOf(const KeeperStatus &keeper)
{
    if (!keeper.heard) {
        return fmt::format("not heard: {}", keeper.fault);
    }
    if (keeper.reply.self().draining()) {
        return "draining";
    }
    return keeper.reply.serving()
                   ? "serving"
                   : fmt::format("not serving: {}", keeper.reply.not_serving_reason());
}

HostRow hostRow(const KeeperStatus &keeper, WallTime now)
{
    HostRow row;
    row.host = keeper.host.empty() ? "?" : keeper.host;
    row.domain = keeper.reply.self().domain();
    row.address = keeper.address;
    row.heard = keeper.heard;
    row.state = stateOf(keeper);
    row.configVersion = keeper.reply.config_version();
    row.ledgerOffset = keeper.reply.ledger_offset();
    row.grants = static_cast<std::size_t>(keeper.reply.grants_size());
    row.openReservations = keeper.reply.open_reservations();
    row.pendingBills = keeper.reply.pending_bills();
    row.logAge = ageOf(keeper.reply.log_heard_wall_us(), now);
    return row;
}

/// The newest observation of \p endpoint by any keeper; nullptr: none.
const wire::EndpointObservation *newestOf(const std::string &endpoint,
                                          const std::vector<KeeperStatus> &keepers)
{
    const wire::EndpointObservation *newest = nullptr;
    for (const KeeperStatus &keeper : keepers) {
        for (const wire::EndpointObservation &observation : keeper.reply.endpoints()) {
            const bool better = observation.endpoint() == endpoint
                                && (newest == nullptr
                                    || observation.observed_wall_us() > newest->observed_wall_us());
            if (better) {
                newest = &observation;
            }
        }
    }
    return newest;
}

/// Why \p endpoint gets no work; nullopt: it is served.
std::optional<UnservedRow> unservedEndpoint(const wire::EndpointChange &endpoint,
                                            const std::vector<KeeperStatus> &keepers, WallTime now)
{
    UnservedRow row;
    row.name = endpoint.endpoint();
    if (endpoint.leaving()) {
        row.reason = "leaving, by the configuration";
        return row;
    }
    const wire::EndpointObservation *seen = newestOf(endpoint.endpoint(), keepers);
    if (seen == nullptr) {
        row.reason = "not observed by any host that was heard";
        return row;
    }
    row.age = ageOf(seen->observed_wall_us(), now);
    if (!seen->reachable()) {
        row.reason = "unreachable";
        return row;
    }
    if (seen->leaving()) {
        row.reason = "leaving, by its own report";
        return row;
    }
    return std::nullopt;
}

std::set<std::string> servicesOf(const wire::ConfigState &config)
{
    std::set<std::string> services;
    for (const wire::WorkspaceConfig &workspace : config.workspaces()) {
        services.insert(workspace.settings().services().begin(),
                        workspace.settings().services().end());
    }
    for (const wire::EndpointChange &endpoint : config.endpoints()) {
        services.insert(endpoint.services().begin(), endpoint.services().end());
    }
    return services;
}

bool offers(const wire::EndpointChange &endpoint, const std::string &service)
{
    return std::find(endpoint.services().begin(), endpoint.services().end(), service)
           != endpoint.services().end();
}

bool isUnserved(const std::string &endpoint, const std::vector<UnservedRow> &unserved)
{
    return std::any_of(unserved.begin(), unserved.end(),
                       [&](const UnservedRow &row) { return row.name == endpoint; });
}

std::optional<UnservedRow> unservedService(const std::string &service,
                                           const wire::ConfigState &config,
                                           const std::vector<UnservedRow> &unserved)
{
    std::size_t offering = 0;
    for (const wire::EndpointChange &endpoint : config.endpoints()) {
        if (!offers(endpoint, service)) {
            continue;
        }
        if (!isUnserved(endpoint.endpoint(), unserved)) {
            return std::nullopt;
        }
        ++offering;
    }
    if (offering == 0) {
        return UnservedRow{service, "no endpoint offers it", std::nullopt};
    }
    return UnservedRow{service, fmt::format("none of its {} endpoints is served", offering),
                       std::nullopt};
}

} // namespace

StatusReport makeStatusReport(const std::vector<KeeperStatus> &keepers,
                              const wire::ConfigState &config, WallTime now)
{
    StatusReport report;
    for (const KeeperStatus &keeper : keepers) {
        report.hosts.push_back(hostRow(keeper, now));
    }
    std::sort(report.hosts.begin(), report.hosts.end(),
              [](const HostRow &a, const HostRow &b) { return a.host < b.host; });
    for (const wire::EndpointChange &endpoint : config.endpoints()) {
        if (std::optional<UnservedRow> row = unservedEndpoint(endpoint, keepers, now)) {
            report.endpoints.push_back(std::move(*row));
        }
    }
    for (const std::string &service : servicesOf(config)) {
        if (std::optional<UnservedRow> row = unservedService(service, config, report.endpoints)) {
            report.services.push_back(std::move(*row));
        }
    }
    return report;
}

} // namespace sequoiagate
