#ifndef TEST_SUPPORT_FLEET_H
#define TEST_SUPPORT_FLEET_H

/// A small fleet of real processes: stand-ins, keepers, routers, and callers,
/// all on loopback, with the history of the run to check at its end.

#include <memory>
#include <string>
#include <vector>

#include "proto/records.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/History/History.h"
#include "sequoiagate/Platform/HttpLogService.h"
#include "test/Support/Caller.h"
#include "test/Support/Process.h"

namespace sequoiagate {

struct FleetHost
{
    std::string host;
    std::string domain;
};

struct FleetEndpoint
{
    std::string name;
    std::string domain;
    std::string service = "chat"; ///< the model, or a plain service's name
    bool plain = false;
    uint32_t slots = 32;
    int tokenMillis = 2;
};

struct FleetWorkspace
{
    std::string name;
    uint64_t budget = 0;
};

struct FleetShape
{
    std::vector<FleetHost> hosts;
    std::vector<FleetEndpoint> endpoints;
    std::vector<FleetWorkspace> workspaces;
    nlohmann::json keeperSettings = nlohmann::json::object(); ///< laid over the defaults
    nlohmann::json routerSettings = nlohmann::json::object();
    nlohmann::json logSettings = nlohmann::json::object();
    bool withRouters = true;
};

/// Not thread safe, but for caller(), whose methods are.
class Fleet
{
public:
    /// Starts all and waits until every router is ready.
    explicit Fleet(FleetShape shape);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    const ScratchFolder &scratch() const { return scratch_; }
    Process &standins() { return *standins_; }
    Process &keeper(std::size_t host) { return *keepers_.at(host); }
    Process &router(std::size_t host) { return *routers_.at(host); }
    Caller &caller() { return *caller_; }
    const std::string &logAddress() const { return logAddress_; }
    std::string endpointAddress(const std::string &name) const;
    std::string apiKey(const std::string &workspace) const;

    /// Starts a host's process anew after a loss. A keeper keeps its address, which
    /// stands in the settings of its domain's routers. It starts cut off from \p blockedHosts.
    void restartKeeper(std::size_t host, const std::vector<std::string> &blockedHosts = {});
    void restartRouter(std::size_t host);
    /// Cuts the traffic between \p host's keeper and the named hosts ("log" is the
    /// log service), both ways; an empty list heals it.
    void cut(std::size_t host, const std::vector<std::string> &blockedHosts);

    /// A chat call of \p workspace by the router of \p host.
    ChatCall chatCall(std::size_t host, const std::string &workspace,
                      const std::string &request) const;
    PlainCall plainCall(std::size_t host, const std::string &workspace, const std::string &service,
                        const std::string &key) const;

    /// Appends a configuration change built on the current version; \returns the
    /// version it made. \throws std::runtime_error if another won.
    uint64_t publish(wire::ConfigChange change);
    uint64_t topUp(const std::string &workspace, const std::string &id, uint64_t tokens);
    /// Waits until the keeper of \p host has \p version in force.
    void waitInForce(std::size_t host, uint64_t version) const;

    /// All events of the run, and what the log holds now.
    History history();
    /// Waits until bills of all these requests stand in the log.
    void waitBilled(const std::string &workspace, const std::vector<std::string> &requests);

private:
    void startStandins();
    void publishFirstConfig();
    nlohmann::json keeperSettings(std::size_t host) const;
    nlohmann::json routerSettings(std::size_t host) const;
    void startKeeper(std::size_t host, const std::vector<std::string> &blockedHosts = {});
    void startRouter(std::size_t host);
    void waitReady(std::size_t host);
    std::vector<FinalBill> bills();

    FleetShape shape_;
    ScratchFolder scratch_;
    std::unique_ptr<Caller> caller_;
    std::unique_ptr<Process> standins_;
    std::string logAddress_;
    std::unique_ptr<HttpLogService> log_;
    std::vector<std::unique_ptr<Process>> keepers_;
    std::vector<std::unique_ptr<Process>> routers_;
    std::vector<std::unique_ptr<Process>> replaced_; ///< their logs still count
    std::vector<std::string> keeperAddresses_;
    std::vector<std::string> gossipAddresses_;
    std::vector<std::string> routerAddresses_;
    Incarnation operator_;
    uint64_t operatorSequence_ = 0;
    int starts_ = 0;
};

/// Fails the running test with the violations, if there are any.
void expectHolds(const History &history);

} // namespace sequoiagate

#endif
