#ifndef SEQUOIAGATE_CONFIG_SERVINGCONFIG_H
#define SEQUOIAGATE_CONFIG_SERVINGCONFIG_H

/// The configuration in force at the edge: routes, services, workspaces and limits.
/// Each version is one immutable object, which a newer version replaces as a whole.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/RegionRestriction.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Whether requests may be retried, and how the response arrives.
enum class RouteKind {
    Idempotent,
    NonIdempotent,
    Stream, ///< an event stream; Route::resumable: whether another endpoint may continue it
};

/// A target service of a route and its share of the route's requests.
struct WeightedService
{
    ServiceId service;
    uint32_t weight = 1;
};

struct Route
{
    std::string name;
    std::string host;       ///< lower case
    std::string pathPrefix; ///< begins and ends with a slash
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services;
    Interval timeout = std::chrono::seconds(30);      ///< until the response is complete
    Interval latencyTarget = std::chrono::seconds(1); ///< until the first event or the response
    Interval eventGapTarget{};                        ///< longest gap between two events
    uint32_t priority = 5;                            ///< 0 is the highest
    uint32_t maxAttempts = 1;                         ///< endpoints attempted per request
    bool requiresApiKey = true;
    bool resumable = false; ///< another endpoint may continue an interrupted stream
    /// Callers describe the parts of their prompts, for placement by prompt prefix. Placement
    /// doesn't read this flag: it uses the parts of every request that has them.
    bool promptAffinity = false;
    RegionRestriction regions; ///< of endpoints, and of hosts to which the body is sent
};

/// The properties that all endpoints of a service share.
struct ServiceSpec
{
    ServiceId name;
    std::string healthPath;
    uint32_t maxConnections = 0; ///< that one endpoint accepts from all callers together
    uint32_t tokensPerEvent = 1; ///< 0 for a plain service
    bool isModelEngine = false;
    uint64_t kvTokens = 0; ///< prompt and response tokens an endpoint can hold; 0: unknown
    /// How long an endpoint is cold after its start, and the requests per second that it then bears
    /// from all hosts together; 0: it is never cold.
    Interval coldDuration{};
    double coldRequestsPerSecond = 0.0;
};

struct WorkspaceSpec
{
    WorkspaceId name;
    std::vector<std::string> keys;
    uint32_t priority = 5; ///< takes precedence over the route's; 0 is the highest
    bool overridesPriority = false;
    uint64_t prepaidTokens = 0;
    bool isPrepaid = false;    ///< false: spending is unlimited
    RegionRestriction regions; ///< in addition to the route's
};

/// Limits on what a caller may send, how long that may take and how long it may stay idle.
struct CallerLimits
{
    uint32_t maxHeaderBytes = 16 * 1024;
    uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Interval headerTimeout = std::chrono::seconds(3);
    Interval idleTimeout = std::chrono::seconds(15);
};

/// Immutable and thread safe once buildIndexes() has been called.
class ServingConfig
{
public:
    uint64_t version = 0;
    CallerLimits limits;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::vector<WorkspaceSpec> workspaces;
    std::vector<std::string> warnings; ///< about invalid fields that were read in the safe way

    /// Builds the lookup tables. Call it once, after all fields are set.
    void buildIndexes();
    /// The route of \p host with the longest path prefix that matches \p path, or nullptr.
    /// \param host as the caller sent it, possibly with a port
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// The workspace that has this API key, or nullptr.
    const WorkspaceSpec *findWorkspaceByKey(const std::string &key) const;
    const WorkspaceSpec *findWorkspace(const WorkspaceId &name) const;
    const ServiceSpec *findService(const ServiceId &name) const;

private:
    /// By lower-case host and path prefix.
    std::unordered_map<std::string, std::size_t> routeByKey_;
    std::unordered_map<std::string, std::size_t> workspaceByKey_;
    std::unordered_map<std::string, std::size_t> workspaceByName_;
    std::unordered_map<std::string, std::size_t> serviceByName_;
};

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

/// What an endpoint reports about itself.
struct EndpointEntry
{
    EndpointId id;
    ServiceId service;
    DomainId domain;
    std::string address; ///< IP:port
    SoftwareVersion version;
    uint32_t slots = 1;
    bool draining = false;
    uint64_t startedAtMillis = 0; ///< Unix time of its start; a new value means a new process
    /// Number of the entry among those of its process; 0 if the entry doesn't say.
    uint64_t sequence = 0;
    /// How long it is still cold, as of the entry; nullopt if the entry doesn't say.
    std::optional<Interval> coldLeft;
};

} // namespace sequoiagate

#endif
