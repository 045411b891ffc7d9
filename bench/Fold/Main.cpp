/// What the folds cost: bytes and microseconds a log record, memory an entry, size and
/// time of a checkpoint, at several sizes. docs/Escrow.md holds the figures.

#include <malloc.h>

#include <chrono>
#include <functional>
#include <vector>

#include <fmt/format.h>

#include "sequoiagate/Config/ConfigFold.h"
#include "sequoiagate/Ledger/LedgerFold.h"
#include "unittests/Support/LedgerRecords.h"

using namespace sequoiagate;

namespace {

constexpr std::size_t Sizes[] = {10'000, 100'000, 390'000};
constexpr std::size_t Writers = 370;

using Clock = std::chrono::steady_clock;
using Body = std::function<wire::Record(std::size_t)>;

std::string hex(const char *prefix, std::size_t index)
{
    return fmt::format("{}{:030x}", prefix, index);
}

std::string workspaceOf(std::size_t index)
{
    return fmt::format("workspace-{:06}", index);
}

std::string writerOf(std::size_t index)
{
    return hex("aa", index % Writers);
}

std::size_t memoryInUse()
{
    return mallinfo2().uordblks;
}

double microsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

/// What one kind of record costs the fold.
struct Kind
{
    const char *name;
    bool needsBudgets;
    Body body;
};

std::vector<std::string> serialized(std::size_t count, uint64_t firstSequence, const Body &body)
{
    std::vector<std::string> records;
    for (std::size_t index = 0; index < count; ++index) {
        wire::Record record =
                records::from(writerOf(index), firstSequence + index / Writers, body(index));
        record.set_host("host-01");
        record.set_wall_us(1'796'000'000'000'000);
        records.push_back(record.SerializeAsString());
    }
    return records;
}

void foldAll(LedgerFold &fold, const std::vector<std::string> &log)
{
    for (const std::string &data : log) {
        wire::Record record;
        record.ParseFromString(data);
        fold.apply(record, fold.nextOffset());
    }
}

wire::Record budgetBody(std::size_t index)
{
    return records::funding(workspaceOf(index), 1, 1'000'000);
}

void measure(const Kind &kind, std::size_t count)
{
    constexpr uint64_t LaterSequence = 1'000'000;
    LedgerFold fold;
    if (kind.needsBudgets) {
        foldAll(fold, serialized(count, 1, budgetBody));
    }
    const std::vector<std::string> log = serialized(count, LaterSequence, kind.body);
    std::size_t bytes = 0;
    for (const std::string &data : log) {
        bytes += data.size();
    }
    const std::size_t before = memoryInUse();
    const Clock::time_point start = Clock::now();
    foldAll(fold, log);
    const double micros = microsSince(start);
    const std::size_t memory = memoryInUse() - before;
    const Clock::time_point checkpointStart = Clock::now();
    const std::size_t checkpointBytes = fold.checkpoint().SerializeAsString().size();
    const auto each = [count](double whole) {
        return whole / static_cast<double>(count);
    };
    fmt::print("| {} | {} | {:.0f} | {:.2f} | {:.0f} | {:.0f} | {:.0f} |\n", kind.name, count,
               each(static_cast<double>(bytes)), each(micros), each(static_cast<double>(memory)),
               each(static_cast<double>(checkpointBytes)), microsSince(checkpointStart) / 1000);
}

void measureConfig(std::size_t count)
{
    ConfigFold fold;
    wire::Record all;
    all.mutable_config_change();
    for (std::size_t index = 0; index < count; ++index) {
        wire::WorkspaceChange *change = all.mutable_config_change()->add_workspaces();
        change->set_workspace(workspaceOf(index));
        change->set_name("A workspace");
        change->set_budget_tokens(1'000'000);
        change->mutable_settings()->add_services("chat");
        change->add_add_key_hashes(hex("bb", index) + hex("cc", index));
    }
    const std::size_t before = memoryInUse();
    fold.apply(records::from("op", 1, all), 0);
    const std::size_t memory = memoryInUse() - before;
    wire::Record one;
    one.mutable_config_change()->set_base_version(1);
    one.mutable_config_change()->add_workspaces()->set_workspace(workspaceOf(count / 2));
    const Clock::time_point start = Clock::now();
    fold.apply(records::from("op", 2, one), 1);
    const double micros = microsSince(start);
    fmt::print("| {} | {:.0f} | {:.0f} | {:.3f} |\n", count,
               static_cast<double>(memory) / static_cast<double>(count),
               static_cast<double>(fold.state().ByteSizeLong()) / static_cast<double>(count),
               micros / 1000);
}

} // namespace

int main()
{
    const Kind kinds[] = {
            {"budget", false, budgetBody},
            {"grant claim", true,
             [](std::size_t index) {
                 return records::claim(hex("dd", index), workspaceOf(index), 1'000, writerOf(index),
                                       writerOf(index + 1));
             }},
            {"run claim", false,
             [](std::size_t index) {
                 return records::runClaim(workspaceOf(index % 210), hex("01", index),
                                          hex("ee", index));
             }},
            {"bill", false,
             [](std::size_t index) {
                 return records::bill(workspaceOf(index % 210), hex("ff", index), 700);
             }},
    };
    fmt::print("| record | count | bytes each | us each, parsed and folded | memory each | "
               "checkpoint bytes each | checkpoint ms |\n|---|---|---|---|---|---|---|\n");
    for (const Kind &kind : kinds) {
        for (const std::size_t size : Sizes) {
            measure(kind, size);
        }
    }
    fmt::print("\n| workspaces configured | memory each | state bytes each | ms for a change of "
               "one |\n|---|---|---|---|\n");
    for (const std::size_t size : Sizes) {
        measureConfig(size);
    }
    return 0;
}
