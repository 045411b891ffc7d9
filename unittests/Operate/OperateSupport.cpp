#include "unittests/Operate/OperateSupport.h"

#include <utility>

#include "sequoiagate/Operate/LogReader.h"
#include "sequoiagate/Platform/Streams.h"

namespace sequoiagate {

std::vector<KeeperStatus> FakeKeepers::readAll(const std::string & /*workspace*/,
                                               Instant /*deadline*/)
{
    return statuses;
}

wire::DrainReply FakeKeepers::drain(const std::string &address, const std::string & /*reason*/,
                                    Instant /*deadline*/)
{
    drained.push_back(address);
    wire::DrainReply reply;
    reply.set_draining(true);
    reply.set_open_reservations(3);
    return reply;
}

LogOffset InterruptedLog::append(const std::string &stream, const std::vector<std::string> &batch,
                                 Instant deadline)
{
    if (const std::function<void()> happens = std::exchange(beforeAppend, nullptr)) {
        happens();
    }
    return FakeLogService::append(stream, batch, deadline);
}

OperatedFleet::OperatedFleet()
{
    wire::Record record;
    wire::ConfigChange &change = *record.mutable_config_change();
    change.set_author("first");
    wire::WorkspaceChange *workspace = change.add_workspaces();
    workspace->set_workspace("w");
    workspace->set_name("=Works, \"W\"");
    workspace->set_budget_tokens(1000);
    workspace->mutable_settings()->add_services("chat");
    workspace->mutable_settings()->add_services("booking");
    wire::EndpointChange *endpoint = change.add_endpoints();
    endpoint->set_endpoint("e1");
    endpoint->set_address("10.0.0.9:80");
    endpoint->set_domain("d1");
    endpoint->set_kind(wire::MODEL_ENGINE);
    endpoint->add_services("chat");
    append(configStream(), std::move(record));
}

CommandResult OperatedFleet::run(const std::vector<std::string> &words, CommandArguments arguments)
{
    arguments.words = words;
    if (arguments.author.empty()) {
        arguments.author = "anna";
    }
    const Command &command = findCommand(arguments.words);
    return command.body({log, keepers}, arguments);
}

void OperatedFleet::publishByRival()
{
    wire::Record record;
    record.mutable_config_change()->set_base_version(version());
    record.mutable_config_change()->set_author("boris");
    append(configStream(), std::move(record));
}

void OperatedFleet::append(const std::string &stream, wire::Record record)
{
    record.set_writer("rival");
    record.set_sequence(++sequence_);
    log.append(stream, {record.SerializeAsString()}, Never);
}

uint64_t OperatedFleet::version()
{
    return readConfig(log).fold.version();
}

KeeperStatus keeperStatus(const std::string &host, uint64_t version, bool heard)
{
    KeeperStatus status;
    status.address = "address of " + host;
    status.host = host;
    status.heard = heard;
    status.fault = heard ? "" : "no answer";
    status.reply.mutable_self()->set_host(host);
    status.reply.mutable_self()->set_incarnation("incarnation of " + host);
    status.reply.set_config_version(version);
    status.reply.set_serving(true);
    return status;
}

int exitCodeOf(OperatedFleet &fleet, const std::vector<std::string> &words,
               const CommandArguments &arguments, std::string &message)
{
    try {
        const CommandResult result = fleet.run(words, arguments);
        message = result.text;
        return result.exitCode;
    } catch (const CommandError &error) {
        message = error.what();
        return error.exitCode();
    } catch (const VerdictError &error) {
        message = error.what();
        return ExitUnavailable;
    }
}

} // namespace sequoiagate
