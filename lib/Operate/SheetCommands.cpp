#include <fstream>
#include <iterator>

#include <fmt/format.h>

#include "Operate/CommandBodies.h"
#include "sequoiagate/Config/Sheet.h"

namespace sequoiagate {

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw CommandError(ExitBadInput, fmt::format("'{}' can't be opened", path));
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

CommandResult faultsResult(const std::string &path, const SheetErrors &faults)
{
    CommandResult result;
    result.exitCode = ExitBadInput;
    result.json = {{"file", path}, {"faults", nlohmann::json::array()}};
    for (const SheetError &fault : faults) {
        result.text += line(fmt::format("{}: {}", path, describe(fault)));
        result.json["faults"].push_back(
                {{"line", fault.line}, {"column", fault.column}, {"reason", fault.reason}});
    }
    result.text += line(fmt::format("{} faults; nothing was put into force", faults.size()));
    return result;
}

} // namespace

CommandResult checkSheet(const CommandPeers & /*peers*/, const CommandArguments &arguments)
{
    const std::string &path = arguments.words.at(0);
    const ParseSheetResult outcome = parseSheet(readFile(path));
    if (const SheetErrors *faults = std::get_if<SheetErrors>(&outcome)) {
        return faultsResult(path, *faults);
    }
    const std::size_t count = std::get<Sheet>(outcome).workspaces.size();
    CommandResult result;
    result.text = line(fmt::format("{}: good, {} workspaces", path, count));
    result.json = {{"file", path}, {"faults", nlohmann::json::array()}, {"workspaces", count}};
    return result;
}

CommandResult applySheet(const CommandPeers &peers, const CommandArguments &arguments)
{
    const std::string &path = arguments.words.at(0);
    const ParseSheetResult outcome = parseSheet(readFile(path));
    if (const SheetErrors *faults = std::get_if<SheetErrors>(&outcome)) {
        return faultsResult(path, *faults);
    }
    const ConfigView view = readConfig(peers.log);
    SheetChangeResult change = makeConfigChange(std::get<Sheet>(outcome), view.fold.state(),
                                                arguments.author, arguments.note);
    if (const SheetErrors *faults = std::get_if<SheetErrors>(&change)) {
        return faultsResult(path, *faults);
    }
    auto &wanted = std::get<wire::ConfigChange>(change);
    if (wanted.workspaces_size() > 0) {
        return publishChange(peers, arguments, std::move(wanted));
    }
    CommandResult result;
    result.text = line(fmt::format("version {} holds all of it already", view.fold.version()));
    result.json = {{"version", view.fold.version()}, {"accepted", false}};
    if (arguments.wait) {
        waitInForce(peers, arguments, view.fold.version(), result);
    }
    return result;
}

} // namespace sequoiagate
