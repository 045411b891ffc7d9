#ifndef UNITTESTS_OPERATE_OPERATESUPPORT_H
#define UNITTESTS_OPERATE_OPERATESUPPORT_H

/// Fakes and short cuts for the tests of sequoiactl's commands.

#include <functional>
#include <string>
#include <vector>

#include "sequoiagate/Operate/Commands.h"
#include "unittests/Support/FakeLogService.h"

namespace sequoiagate {

/// Keepers that answer what the test says.
class FakeKeepers : public KeeperClient
{
public:
    std::vector<KeeperStatus> readAll(const std::string &workspace, Instant deadline) override;
    wire::DrainReply drain(const std::string &address, const std::string &reason,
                           Instant deadline) override;

    std::vector<KeeperStatus> statuses;
    std::vector<std::string> drained;
};

/// A log on which something happens just before an append.
class InterruptedLog : public FakeLogService
{
public:
    LogOffset append(const std::string &stream, const std::vector<std::string> &batch,
                     Instant deadline) override;

    std::function<void()> beforeAppend; ///< called once
};

/// A fleet's log with one workspace, `w`, and one endpoint, `e1`.
class OperatedFleet
{
public:
    OperatedFleet();

    /// Runs a command line such as "endpoint list".
    CommandResult run(const std::vector<std::string> &words, CommandArguments arguments = {});
    /// A change by another operator, built on what is in force.
    void publishByRival();
    void append(const std::string &stream, wire::Record record);
    uint64_t version();

    InterruptedLog log;
    FakeKeepers keepers;

private:
    uint64_t sequence_ = 0;
};

KeeperStatus keeperStatus(const std::string &host, uint64_t version, bool heard = true);

/// The exit code that the command line ends with; the message goes to \p message.
int exitCodeOf(OperatedFleet &fleet, const std::vector<std::string> &words,
               const CommandArguments &arguments, std::string &message);

} // namespace sequoiagate

#endif
