#ifndef SEQUOIAGATE_CONFIG_SERVINGCONFIG_H
#define SEQUOIAGATE_CONFIG_SERVINGCONFIG_H

/// What operators have put in force for the edge: routes, services, workspaces, limits.
/// One version is one immutable value; a newer one replaces it whole.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// What may be repeated, and how the answer comes.
enum class RouteKind {
    Idempotent,
    NonIdempotent,
    Stream, ///< an event stream; may be repeated only as Route::resumable says
};

/// A service that a route's requests go to, by its part of them.
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
    Interval timeout = std::chrono::seconds(30);      ///< longest time to the answer's end
    Interval latencyTarget = std::chrono::seconds(1); ///< to the first event, or the answer
    Interval eventGapTarget{};                        ///< longest pause between two events
    uint32_t priority = 5;                            ///< 0 is the most urgent
    uint32_t maxAttempts = 1; ///< to which one attempt of a caller may be sent
    bool requiresApiKey = true;
    bool resumable = false;      ///< a stream that another endpoint may take up
    bool promptAffinity = false; ///< its requests say what their prompts consist of
};

/// What the endpoints of a service have in common.
struct ServiceSpec
{
    ServiceId name;
    std::string healthPath;
    uint32_t maxConnections = 0; ///< one endpoint accepts, from all callers together
    uint32_t tokensPerEvent = 1; ///< 0 for a plain service
    bool isModelEngine = false;
};

struct WorkspaceSpec
{
    WorkspaceId name;
    std::vector<std::string> keys;
    uint32_t priority = 5; ///< goes before the route's; 0 is the most urgent
    bool overridesPriority = false;
    uint64_t prepaidTokens = 0;
    bool isPrepaid = false; ///< false: its spend isn't bounded
};

/// What a caller may send, and how long it may take or stay idle.
struct CallerLimits
{
    uint32_t maxHeaderBytes = 16 * 1024;
    uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Interval headerTimeout = std::chrono::seconds(3);
    Interval idleTimeout = std::chrono::seconds(15);
};

/// Immutable after index(), so thread safe from then on.
class ServingConfig
{
public:
    uint64_t version = 0;
    CallerLimits limits;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::vector<WorkspaceSpec> workspaces;

    /// Builds the look-up tables. Call once, after the fields are filled in.
    void buildIndexes();
    /// The route of \p host with the longest prefix that begins \p path, or nullptr.
    /// \param host as the caller sent it, a port included
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Whose key that is, or nullptr.
    const WorkspaceSpec *findWorkspaceByKey(const std::string &key) const;
    const WorkspaceSpec *findWorkspace(const WorkspaceId &name) const;
    const ServiceSpec *findService(const ServiceId &name) const;

private:
    std::unordered_map<std::string, std::size_t> routeByPlace_; ///< host and prefix joined
    std::unordered_map<std::string, std::size_t> workspaceByKey_;
    std::unordered_map<std::string, std::size_t> workspaceByName_;
    std::unordered_map<std::string, std::size_t> serviceByName_;
};

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

/// What an endpoint says of itself.
struct EndpointEntry
{
    EndpointId id;
    ServiceId service;
    DomainId domain;
    std::string address; ///< IP:port
    uint32_t slots = 1;
    bool draining = false;
    uint64_t startedAtMillis = 0; ///< Unix time of its start: another value, another process
};

} // namespace sequoiagate

#endif
