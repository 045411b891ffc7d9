#include "sequoiagate/Router/RouterSettings.h"

#include <charconv>

#include <fmt/format.h>

#include "sequoiagate/Service/Settings.h"

namespace sequoiagate {

RouterSettings routerSettingsFrom(const nlohmann::json &settings)
{
    RouterSettings result;
    result.host = HostId(settings.at("host").get<std::string>());
    result.domain = DomainId(settings.at("domain").get<std::string>());
    result.listen = settings.at("listen").get<std::string>();
    result.keepers = settings.at("keepers").get<std::vector<std::string>>();
    result.resumeKey = settings.at("resume_key").get<std::string>();
    result.connections = settings.at("connections").get<std::size_t>();
    result.slots = settings.at("slots").get<uint32_t>();
    result.queueLimit = settings.at("queue_limit").get<uint32_t>();
    result.defaultOutputTokens = settings.at("default_output_tokens").get<uint64_t>();
    result.maximumOutputTokens = settings.at("maximum_output_tokens").get<uint64_t>();
    result.maximumBodyBytes = settings.at("maximum_body_bytes").get<std::size_t>();
    result.streamResumes = settings.at("stream_resumes").get<uint32_t>();
    result.queueWait = millisOf(settings, "queue_wait_ms");
    result.keeperTimeout = millisOf(settings, "keeper_timeout_ms");
    result.viewWait = millisOf(settings, "view_wait_ms");
    result.connectTimeout = millisOf(settings, "connect_timeout_ms");
    result.stallTimeout = millisOf(settings, "stall_timeout_ms");
    result.callTimeout = millisOf(settings, "call_timeout_ms");
    result.claimTimeout = millisOf(settings, "claim_timeout_ms");
    result.hangUpGrace = millisOf(settings, "hang_up_grace_ms");
    result.settleAgain = millisOf(settings, "settle_again_ms");
    result.callerTimeout = millisOf(settings, "caller_timeout_ms");
    return result;
}

SocketAddress parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    SocketAddress result;
    if (colon == std::string::npos || colon == 0) {
        throw SettingsError(fmt::format("address '{}' is not IP:port", address));
    }
    result.ip = address.substr(0, colon);
    const char *first = address.data() + colon + 1;
    const char *last = address.data() + address.size();
    const auto [end, failure] = std::from_chars(first, last, result.port);
    constexpr int LargestPort = 65535;
    const bool bad = failure != std::errc() || end != last || first == last || result.port < 0
                     || result.port > LargestPort;
    if (bad) {
        throw SettingsError(fmt::format("address '{}' is not IP:port", address));
    }
    return result;
}

} // namespace sequoiagate
