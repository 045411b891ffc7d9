#include "sequoiagate/Keeper/KeeperSettings.h"

#include "sequoiagate/Service/Settings.h"

namespace sequoiagate {

static GrantSettings grantSettingsFrom(const nlohmann::json &settings)
{
    GrantSettings grants;
    grants.grantHorizon = millisOf(settings, "grant_horizon_ms");
    grants.windowHorizon = millisOf(settings, "window_horizon_ms");
    grants.logSilentAfter = millisOf(settings, "window_open_after_ms");
    grants.openFullAfter = millisOf(settings, "window_open_full_after_ms");
    grants.minimumGrant = settings.at("minimum_grant_tokens").get<uint64_t>();
    grants.maxReserveWait = millisOf(settings, "reserve_wait_ms");
    grants.shareOfRemainder = settings.at("grant_share_of_remainder").get<double>();
    return grants;
}

static KeeperCoreSettings coreSettingsFrom(const nlohmann::json &settings)
{
    KeeperCoreSettings core;
    core.grants = grantSettingsFrom(settings);
    core.ledgerShards = settings.at("ledger_shards").get<uint32_t>();
    core.reserveWait = millisOf(settings, "reserve_wait_ms");
    core.claimWait = millisOf(settings, "claim_wait_ms");
    core.billFlush = millisOf(settings, "bill_flush_ms");
    core.appendRetry = millisOf(settings, "append_retry_ms");
    core.logSilent = millisOf(settings, "log_silent_ms");
    core.routerSilent = millisOf(settings, "router_silent_ms");
    core.fundingFallback = millisOf(settings, "funding_fallback_ms");
    core.configPeerGrace = millisOf(settings, "config_peer_grace_ms");
    core.claimsRetention = millisOf(settings, "claims_retention_ms");
    core.checkpointEvery = millisOf(settings, "checkpoint_every_ms");
    core.checkpointRecords = settings.at("checkpoint_records").get<uint64_t>();
    core.suspectGrace = millisOf(settings, "suspect_grace_ms");
    return core;
}

KeeperSettings keeperSettingsFrom(const nlohmann::json &settings)
{
    KeeperSettings keeper;
    keeper.listen = settings.at("listen").get<std::string>();
    keeper.gossipListen = settings.at("gossip_listen").get<std::string>();
    keeper.seeds = settings.at("seeds").get<std::vector<std::string>>();
    keeper.logService = settings.at("log_service").get<std::string>();
    keeper.hostList = settings.at("host_list").get<std::string>();
    keeper.testLinkFilter = settings.at("test_link_filter").get<std::string>();
    keeper.core = coreSettingsFrom(settings);
    keeper.tailWait = millisOf(settings, "tail_wait_ms");
    keeper.appendTimeout = millisOf(settings, "append_timeout_ms");
    keeper.tick = millisOf(settings, "tick_ms");
    keeper.configPeerPeriod = millisOf(settings, "config_peer_period_ms");
    keeper.endpointProbe = millisOf(settings, "endpoint_probe_ms");
    keeper.hostListPeriod = millisOf(settings, "host_list_period_ms");
    keeper.drainLimit = millisOf(settings, "drain_limit_ms");
    return keeper;
}

} // namespace sequoiagate
