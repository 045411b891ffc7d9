#include "test/Support/Fleet.h"

#include <csignal>
#include <set>
#include <stdexcept>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <httplib.h>

#include "sequoiagate/Config/ConfigFold.h"
#include "sequoiagate/Config/Sha256.h"
#include "sequoiagate/Operate/FinalState.h"
#include "sequoiagate/Platform/Streams.h"
#include "sequoiagate/Service/Events.h"

namespace sequoiagate {

namespace {

/// When a wait is given up, for a run that has failed already: far beyond what a busy machine
/// needs, so that no verdict depends on its speed.
constexpr Seconds PatienceLimit{120};
constexpr Millis PollPeriod{20};
constexpr Seconds LogDeadline{10};
/// The kernel chooses the port; a restarted process keeps it.
constexpr const char *AnyPort = "127.0.0.1:0";

/// Polls until \p done. The limit is for a run that has failed already.
template <typename Done>
void waitUntil(const std::string &what, const Done &done)
{
    const Instant giveUpAt = std::chrono::steady_clock::now() + PatienceLimit;
    while (!done()) {
        if (std::chrono::steady_clock::now() > giveUpAt) {
            throw std::runtime_error("waited in vain for " + what);
        }
        std::this_thread::sleep_for(PollPeriod);
    }
}

} // namespace

Fleet::Fleet(FleetShape shape) : shape_(std::move(shape)), operator_(randomId<Incarnation>())
{
    caller_ = std::make_unique<Caller>(scratch_.path("caller.log"));
    startStandins();
    publishFirstConfig();
    keepers_.resize(shape_.hosts.size());
    keeperAddresses_.resize(shape_.hosts.size(), AnyPort);
    gossipAddresses_.resize(shape_.hosts.size(), AnyPort);
    for (std::size_t host = 0; host < shape_.hosts.size(); ++host) {
        startKeeper(host);
    }
    if (!shape_.withRouters) {
        return;
    }
    routers_.resize(shape_.hosts.size());
    routerAddresses_.resize(shape_.hosts.size());
    for (std::size_t host = 0; host < shape_.hosts.size(); ++host) {
        startRouter(host);
    }
    for (std::size_t host = 0; host < shape_.hosts.size(); ++host) {
        waitReady(host);
    }
}

Fleet::~Fleet()
{
    // A stopped process must not hold up its neighbours' end.
    for (const auto &group : {&routers_, &keepers_}) {
        for (const std::unique_ptr<Process> &process : *group) {
            if (process && process->running()) {
                process->kill();
            }
        }
    }
}

void Fleet::startStandins()
{
    nlohmann::json settings;
    settings["log"] = shape_.logSettings;
    settings["host_list"] = {{"lag_ms", 30'000}};
    settings["engines"] = nlohmann::json::array();
    settings["services"] = nlohmann::json::array();
    for (const FleetEndpoint &endpoint : shape_.endpoints) {
        if (endpoint.plain) {
            settings["services"].push_back({{"name", endpoint.name}});
            continue;
        }
        settings["engines"].push_back({{"name", endpoint.name},
                                       {"slots", endpoint.slots},
                                       {"token_ms", endpoint.tokenMillis},
                                       {"workers", 512}});
    }
    standins_ = std::make_unique<Process>(scratch_, "sequoia-standins", "standins", settings);
    standins_->waitFor(std::string(events::ProcessStarted));
    logAddress_ = endpointAddress("log");
    log_ = std::make_unique<HttpLogService>(logAddress_, HostId("operator"));
}

std::string Fleet::endpointAddress(const std::string &name) const
{
    const auto isNamed = [&](const Process::Line &line) {
        return line.value("name", "") == name;
    };
    return standins_->waitFor("standin.listening", isNamed).value("address", "");
}

std::string Fleet::apiKey(const std::string &workspace) const
{
    return "key-of-" + workspace;
}

void Fleet::publishFirstConfig()
{
    wire::ConfigChange change;
    change.set_author("test");
    for (const FleetEndpoint &endpoint : shape_.endpoints) {
        wire::EndpointChange *added = change.add_endpoints();
        added->set_endpoint(endpoint.name);
        added->set_address(endpointAddress(endpoint.name));
        added->set_domain(endpoint.domain);
        added->set_kind(endpoint.plain ? wire::PLAIN_SERVICE : wire::MODEL_ENGINE);
        added->add_services(endpoint.service);
        added->set_slots(endpoint.slots);
    }
    for (const FleetWorkspace &workspace : shape_.workspaces) {
        wire::WorkspaceChange *added = change.add_workspaces();
        added->set_workspace(workspace.name);
        added->set_name(workspace.name);
        added->set_budget_tokens(workspace.budget);
        added->add_add_key_hashes(sha256Hex(apiKey(workspace.name)));
        wire::WorkspaceSettings *settings = added->mutable_settings();
        settings->set_weight(1.0);
        for (const FleetEndpoint &endpoint : shape_.endpoints) {
            settings->add_services(endpoint.service);
        }
    }
    publish(std::move(change));
}

uint64_t Fleet::publish(wire::ConfigChange change)
{
    const auto currentState = [this] {
        ConfigFold fold;
        uint64_t offset = 0;
        for (const wire::Record &record : readRecords(*log_, configStream())) {
            fold.apply(record, offset++);
        }
        return fold;
    };
    change.set_base_version(currentState().version());
    wire::Record record;
    record.set_writer(operator_.text());
    record.set_sequence(++operatorSequence_);
    record.set_host("operator");
    *record.mutable_config_change() = std::move(change);
    log_->append(configStream(), {record.SerializeAsString()},
                 std::chrono::steady_clock::now() + LogDeadline);
    const ConfigFold fold = currentState();
    if (fold.outcomeOf(operator_, operatorSequence_) != FoldOutcome::Accepted) {
        throw std::runtime_error("the configuration change was refused");
    }
    return fold.version();
}

uint64_t Fleet::topUp(const std::string &workspace, const std::string &id, uint64_t tokens)
{
    wire::ConfigChange change;
    change.set_author("test");
    wire::WorkspaceChange *changed = change.add_workspaces();
    changed->set_workspace(workspace);
    wire::TopUp *added = changed->add_top_ups();
    added->set_id(id);
    added->set_tokens(tokens);
    return publish(std::move(change));
}

nlohmann::json Fleet::keeperSettings(std::size_t host) const
{
    nlohmann::json settings = {
            {"host", shape_.hosts[host].host},
            {"domain", shape_.hosts[host].domain},
            {"listen", keeperAddresses_[host]},
            {"gossip_listen", gossipAddresses_[host]},
            {"log_service", logAddress_},
            {"test_link_filter", scratch_.path(fmt::format("links-{}.json", host))}};
    settings["seeds"] = nlohmann::json::array();
    for (const std::string &address : gossipAddresses_) {
        if (address != AnyPort) {
            settings["seeds"].push_back(address);
        }
    }
    settings.update(shape_.keeperSettings);
    return settings;
}

nlohmann::json Fleet::routerSettings(std::size_t host) const
{
    nlohmann::json settings = {{"host", shape_.hosts[host].host},
                               {"domain", shape_.hosts[host].domain},
                               {"listen", AnyPort},
                               {"resume_key", "a secret that all routers of the test share"}};
    settings["keepers"] = nlohmann::json::array();
    for (std::size_t other = 0; other < keepers_.size(); ++other) {
        const bool sameDomain = shape_.hosts[other].domain == shape_.hosts[host].domain;
        if (sameDomain && keepers_[other]) {
            settings["keepers"].push_back(keeperAddresses_[other]);
        }
    }
    settings.update(shape_.routerSettings);
    return settings;
}

void Fleet::startKeeper(std::size_t host, const std::vector<std::string> &blockedHosts)
{
    cut(host, blockedHosts);
    const std::string name = fmt::format("keeper-{}-{}", host, ++starts_);
    keepers_[host] =
            std::make_unique<Process>(scratch_, "sequoia-keeper", name, keeperSettings(host));
    const Process::Line started = keepers_[host]->waitFor(std::string(events::ProcessStarted));
    keeperAddresses_[host] = started.value("address", "");
    gossipAddresses_[host] = started.value("gossip_address", "");
}

void Fleet::startRouter(std::size_t host)
{
    const std::string name = fmt::format("router-{}-{}", host, ++starts_);
    routers_[host] =
            std::make_unique<Process>(scratch_, "sequoia-router", name, routerSettings(host));
    routerAddresses_[host] = routers_[host]->address();
}

void Fleet::waitReady(std::size_t host)
{
    waitUntil("a ready router on " + shape_.hosts[host].host, [&] {
        httplib::Client client("http://" + routerAddresses_[host]);
        const httplib::Result result = client.Get("/readyz");
        return result && result->status == 200;
    });
}

void Fleet::restartKeeper(std::size_t host, const std::vector<std::string> &blockedHosts)
{
    replaced_.push_back(std::move(keepers_[host]));
    startKeeper(host, blockedHosts);
}

void Fleet::restartRouter(std::size_t host)
{
    replaced_.push_back(std::move(routers_[host]));
    startRouter(host);
    waitReady(host);
}

void Fleet::cut(std::size_t host, const std::vector<std::string> &blockedHosts)
{
    const nlohmann::json filter = {{"blocked_hosts", blockedHosts}};
    scratch_.write(fmt::format("links-{}.json", host), filter.dump());
}

ChatCall Fleet::chatCall(std::size_t host, const std::string &workspace,
                         const std::string &request) const
{
    ChatCall call;
    call.router = routerAddresses_.at(host);
    call.key = apiKey(workspace);
    call.workspace = WorkspaceId(workspace);
    call.request = RequestId(request);
    return call;
}

PlainCall Fleet::plainCall(std::size_t host, const std::string &workspace,
                           const std::string &service, const std::string &key) const
{
    PlainCall call;
    call.router = routerAddresses_.at(host);
    call.key = apiKey(workspace);
    call.workspace = WorkspaceId(workspace);
    call.service = service;
    call.operation = "commit";
    call.idempotencyKey = key;
    return call;
}

void Fleet::waitInForce(std::size_t host, uint64_t version) const
{
    keepers_.at(host)->waitFor(std::string(events::ConfigInForce),
                               [version](const Process::Line &line) {
                                   return line.value("version", uint64_t{0}) >= version;
                               });
}

std::vector<FinalBill> Fleet::bills()
{
    return readBills(*log_, shape_.keeperSettings.value("ledger_shards", 1U));
}

void Fleet::waitBilled(const std::string &workspace, const std::vector<std::string> &requests)
{
    const std::set<std::string> wanted(requests.begin(), requests.end());
    const Instant giveUpAt = std::chrono::steady_clock::now() + PatienceLimit;
    while (true) {
        std::set<std::string> missing = wanted;
        for (const FinalBill &bill : bills()) {
            if (bill.workspace.text() == workspace) {
                missing.erase(bill.request.text());
            }
        }
        if (missing.empty()) {
            return;
        }
        if (std::chrono::steady_clock::now() > giveUpAt) {
            throw std::runtime_error(fmt::format("{} requests of {} were never billed: {}",
                                                 missing.size(), workspace,
                                                 fmt::join(missing, " ")));
        }
        std::this_thread::sleep_for(PollPeriod);
    }
}

History Fleet::history()
{
    std::vector<std::string> paths = {scratch_.path("caller.log"), standins_->logPath()};
    for (const auto &group : {&keepers_, &routers_, &replaced_}) {
        for (const std::unique_ptr<Process> &process : *group) {
            if (process) {
                paths.push_back(process->logPath());
            }
        }
    }
    History history;
    history.events = readEvents(paths);
    history.bills = bills();
    history.budgets = readBudgets(*log_);
    return history;
}

void expectHolds(const History &history)
{
    const std::vector<Violation> violations = checkHistory(history);
    EXPECT_TRUE(violations.empty()) << describe(violations);
}

} // namespace sequoiagate
