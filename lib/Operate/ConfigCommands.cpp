#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "Operate/CommandBodies.h"

#include "sequoiagate/Config/Sha256.h"

namespace sequoiagate {

namespace {

struct KindName
{
    wire::EndpointKind kind;
    const char *name;
};

constexpr KindName KindNames[] = {{wire::MODEL_ENGINE, "engine"}, {wire::PLAIN_SERVICE, "service"}};

const char *kindName(wire::EndpointKind kind)
{
    for (const KindName &entry : KindNames) {
        if (entry.kind == kind) {
            return entry.name;
        }
    }
    return "unspecified";
}

wire::EndpointKind kindOf(const std::string &name)
{
    for (const KindName &entry : KindNames) {
        if (name == entry.name) {
            return entry.kind;
        }
    }
    throw CommandError(ExitBadInput, fmt::format("--kind is '{}'; allowed: engine, service", name));
}

/// Whether \p text is IPv4:port; names aren't resolved anywhere in the system.
bool isAddress(const std::string &text)
{
    const char *at = text.data();
    const char *const end = text.data() + text.size();
    constexpr int Parts = 5;
    constexpr unsigned MaximumByte = 255;
    constexpr unsigned MaximumPort = 65535;
    for (int part = 0; part < Parts; ++part) {
        const bool isPort = part == Parts - 1;
        unsigned value = 0;
        const std::from_chars_result read = std::from_chars(at, end, value);
        if (read.ec != std::errc() || value > (isPort ? MaximumPort : MaximumByte)) {
            return false;
        }
        at = read.ptr;
        if (isPort) {
            return at == end && value > 0;
        }
        const char separator = part == Parts - 2 ? ':' : '.';
        if (at == end || *at != separator) {
            return false;
        }
        ++at;
    }
    return false;
}

const wire::EndpointChange *findEndpoint(const ConfigView &view, const std::string &name)
{
    for (const wire::EndpointChange &endpoint : view.fold.state().endpoints()) {
        if (endpoint.endpoint() == name) {
            return &endpoint;
        }
    }
    return nullptr;
}

const wire::EndpointChange &requireEndpoint(const ConfigView &view, const std::string &name)
{
    const wire::EndpointChange *endpoint = findEndpoint(view, name);
    if (endpoint == nullptr) {
        throw CommandError(ExitBadInput, fmt::format("there is no endpoint '{}'", name));
    }
    return *endpoint;
}

const wire::WorkspaceConfig &requireWorkspace(const ConfigView &view, const std::string &name)
{
    const wire::WorkspaceConfig *workspace = view.fold.findWorkspace(WorkspaceId(name));
    if (workspace == nullptr) {
        throw CommandError(ExitBadInput, fmt::format("there is no workspace '{}'", name));
    }
    return *workspace;
}

wire::ConfigChange changeOn(const ConfigView &view)
{
    wire::ConfigChange change;
    change.set_base_version(view.fold.version());
    return change;
}

std::vector<std::string> servicesOf(const wire::EndpointChange &endpoint)
{
    return {endpoint.services().begin(), endpoint.services().end()};
}

} // namespace

CommandResult publishChange(const CommandPeers &peers, const CommandArguments &arguments,
                            wire::ConfigChange change)
{
    change.set_author(arguments.author);
    change.set_note(arguments.note);
    Publisher publisher(peers.log, HostId("sequoiactl"), arguments.giveUpAfter);
    const PublishOutcome outcome = publisher.publish(std::move(change));
    if (const LostRace *race = std::get_if<LostRace>(&outcome)) {
        throw CommandError(
                ExitConflict,
                fmt::format("version {} by '{}' came first; nothing of this change is in "
                            "force: look at it and apply again",
                            race->version, race->author));
    }
    if (const RefusedRecord *refused = std::get_if<RefusedRecord>(&outcome)) {
        throw CommandError(ExitBadInput, fmt::format("refused: {}", refused->why));
    }
    const uint64_t version = std::get<Published>(outcome).version;
    CommandResult result;
    result.text = line(fmt::format("accepted as version {}", version));
    result.json = {{"version", version}, {"accepted", true}};
    if (arguments.wait) {
        waitInForce(peers, arguments, version, result);
    }
    return result;
}

CommandResult listEndpoints(const CommandPeers &peers, const CommandArguments & /*arguments*/)
{
    const ConfigView view = readConfig(peers.log);
    CommandResult result;
    result.json = {{"version", view.fold.version()}, {"endpoints", nlohmann::json::array()}};
    for (const wire::EndpointChange &endpoint : view.fold.state().endpoints()) {
        const std::vector<std::string> services = servicesOf(endpoint);
        result.text += line(fmt::format(
                "{} {} {} {} slots={} services={}{}{}", endpoint.endpoint(), endpoint.address(),
                endpoint.domain(), kindName(endpoint.kind()), endpoint.slots(),
                fmt::join(services, ","), endpoint.leaving() ? " leaving" : "",
                endpoint.checks_fencing() ? " checks-fencing" : ""));
        result.json["endpoints"].push_back({{"endpoint", endpoint.endpoint()},
                                            {"address", endpoint.address()},
                                            {"domain", endpoint.domain()},
                                            {"kind", kindName(endpoint.kind())},
                                            {"slots", endpoint.slots()},
                                            {"services", services},
                                            {"leaving", endpoint.leaving()},
                                            {"checks_fencing", endpoint.checks_fencing()}});
    }
    return result;
}

CommandResult addEndpoint(const CommandPeers &peers, const CommandArguments &arguments)
{
    if (!isAddress(arguments.address)) {
        throw CommandError(ExitBadInput,
                           fmt::format("--address is '{}'; allowed: IP:port", arguments.address));
    }
    if (arguments.domain.empty() || arguments.services.empty()) {
        throw CommandError(ExitBadInput, "--domain and --services are needed");
    }
    const ConfigView view = readConfig(peers.log);
    wire::ConfigChange change = changeOn(view);
    wire::EndpointChange *endpoint = change.add_endpoints();
    endpoint->set_endpoint(arguments.words.at(0));
    endpoint->set_address(arguments.address);
    endpoint->set_domain(arguments.domain);
    endpoint->set_kind(kindOf(arguments.kind));
    endpoint->set_slots(arguments.slots);
    endpoint->set_checks_fencing(arguments.checksFencing);
    for (const std::string &service : arguments.services) {
        endpoint->add_services(service);
    }
    return publishChange(peers, arguments, std::move(change));
}

CommandResult leaveEndpoint(const CommandPeers &peers, const CommandArguments &arguments)
{
    const ConfigView view = readConfig(peers.log);
    wire::ConfigChange change = changeOn(view);
    wire::EndpointChange *endpoint = change.add_endpoints();
    *endpoint = requireEndpoint(view, arguments.words.at(0));
    endpoint->set_leaving(true);
    return publishChange(peers, arguments, std::move(change));
}

CommandResult removeEndpoint(const CommandPeers &peers, const CommandArguments &arguments)
{
    const ConfigView view = readConfig(peers.log);
    wire::ConfigChange change = changeOn(view);
    change.add_removed_endpoints(requireEndpoint(view, arguments.words.at(0)).endpoint());
    return publishChange(peers, arguments, std::move(change));
}

CommandResult addKey(const CommandPeers &peers, const CommandArguments &arguments)
{
    const ConfigView view = readConfig(peers.log);
    const std::string workspace = requireWorkspace(view, arguments.words.at(0)).workspace();
    const std::string key = "sg-" + randomHex128() + randomHex128();
    wire::ConfigChange change = changeOn(view);
    wire::WorkspaceChange *changed = change.add_workspaces();
    changed->set_workspace(workspace);
    changed->add_add_key_hashes(sha256Hex(key));
    CommandResult result = publishChange(peers, arguments, std::move(change));
    // Printed only now: a key that was shown but not accepted would be handed out
    // and fail.
    result.text = line(key) + result.text;
    result.json["key"] = key;
    result.json["sha256"] = sha256Hex(key);
    return result;
}

CommandResult removeKey(const CommandPeers &peers, const CommandArguments &arguments)
{
    const ConfigView view = readConfig(peers.log);
    const wire::WorkspaceConfig &workspace = requireWorkspace(view, arguments.words.at(0));
    const std::string &given = arguments.words.at(1);
    const std::string hash = sha256Hex(given);
    const auto stored =
            std::find_if(workspace.key_hashes().begin(), workspace.key_hashes().end(),
                         [&](const std::string &known) { return known == hash || known == given; });
    if (stored == workspace.key_hashes().end()) {
        throw CommandError(ExitBadInput,
                           fmt::format("workspace '{}' has no such key", workspace.workspace()));
    }
    wire::ConfigChange change = changeOn(view);
    wire::WorkspaceChange *changed = change.add_workspaces();
    changed->set_workspace(workspace.workspace());
    changed->add_remove_key_hashes(*stored);
    return publishChange(peers, arguments, std::move(change));
}

CommandResult showHistory(const CommandPeers &peers, const CommandArguments & /*arguments*/)
{
    const ConfigView view = readConfig(peers.log);
    CommandResult result;
    result.json = {{"version", view.fold.version()}, {"history", nlohmann::json::array()}};
    for (const wire::ConfigHistoryEntry &entry : view.fold.state().history()) {
        result.text += line(fmt::format("{} {} {} {}", entry.version(), timeText(entry.wall_us()),
                                        entry.author(), entry.note()));
        result.json["history"].push_back({{"version", entry.version()},
                                          {"time", timeText(entry.wall_us())},
                                          {"author", entry.author()},
                                          {"note", entry.note()}});
    }
    return result;
}

} // namespace sequoiagate
