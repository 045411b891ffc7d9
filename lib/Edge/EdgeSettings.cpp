#include "sequoiagate/Edge/EdgeSettings.h"

#include "sequoiagate/Service/Settings.h"

namespace sequoiagate {

static EndpointPlacement placementOf(const std::string &name)
{
    if (name == "adaptive") {
        return EndpointPlacement::Adaptive;
    }
    return name == "expected_time" ? EndpointPlacement::ExpectedTime
                                   : EndpointPlacement::PrefixHome;
}

EdgeSettings edgeSettingsFrom(const nlohmann::json &settings)
{
    EdgeSettings edge;
    edge.host = HostId(settings.at("host").get<std::string>());
    edge.domain = DomainId(settings.at("domain").get<std::string>());
    edge.listenCallers = settings.at("listen").get<std::string>();
    edge.listenReady = settings.at("listen_ready").get<std::string>();
    edge.listenPeers = settings.at("listen_peers").get<std::string>();
    edge.advertisePeers = settings.at("announce_peers").get<std::string>();
    edge.listenRelay = settings.at("listen_relay").get<std::string>();
    edge.advertiseRelay = settings.at("announce_relay").get<std::string>();
    edge.listenMetrics = settings.at("listen_metrics").get<std::string>();
    edge.store = settings.at("store").get<std::string>();
    for (const auto &[domain, region] : settings.at("regions").items()) {
        edge.regions[DomainId(domain)] = RegionId(region.get<std::string>());
    }
    edge.stopGrace = millisOf(settings, "stop_grace_ms");
    edge.readyGrace = millisOf(settings, "ready_grace_ms");
    constexpr double BytesPerMegabit = 1e6 / 8;
    edge.linkBytesPerSecond =
            static_cast<uint64_t>(settings.at("link_mbps").get<double>() * BytesPerMegabit);
    constexpr std::size_t BytesPerMegabyte = 1'000'000;
    edge.memoryBytes = settings.at("memory_mb").get<std::size_t>() * BytesPerMegabyte;
    edge.retries.ratio = settings.at("retry_ratio").get<double>();
    edge.retries.baseRetries = settings.at("retry_slack").get<double>();
    edge.retries.window = millisOf(settings, "retry_window_ms");
    const bool isByRank = settings.at("token_allocation").get<std::string>() == "by_rank";
    edge.tokenAllocation =
            isByRank ? TokenAllocationPolicy::ByRank : TokenAllocationPolicy::FirstCome;
    edge.sharesEndpointRates = settings.at("endpoint_rates").get<std::string>() == "shared";
    edge.fleetPoliciesFromHosts = settings.at("fleet_policies_from_hosts").get<uint32_t>();
    edge.tokens.horizon = millisOf(settings, "token_horizon_ms");
    edge.tokens.policy = settings.at("token_reserve").get<std::string>() == "peak_demand"
                                 ? ReservePolicy::PeakDemand
                                 : ReservePolicy::MeanDemand;
    edge.placement = placementOf(settings.at("placement").get<std::string>());
    return edge;
}

} // namespace sequoiagate
