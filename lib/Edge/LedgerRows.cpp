#include "LedgerRows.h"

#include <charconv>
#include <stdexcept>

#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Addresses.h"

namespace sequoiagate {

namespace {

constexpr char Separator = '/';
constexpr std::string_view BudgetPrefix = "budget/";
constexpr std::string_view BatchPrefix = "batch/";
constexpr std::string_view HostPrefix = "host/";

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

/// Reads a number and the space behind it, if any, off the front of \p text.
bool takeNumber(std::string_view &text, uint64_t &number)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc()) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    if (text.empty()) {
        return true;
    }
    const bool ended = text.front() == ' ';
    text.remove_prefix(1);
    return ended;
}

/// The second number was a time of day in earlier builds, which believe none that is 0.
std::string clockText(Millis sinceBoot)
{
    return fmt::format("{} 0", sinceBoot.count());
}

/// Reads what clockText wrote, and the space behind it, off the front of \p text.
bool takeClock(std::string_view &text, Millis &sinceBoot)
{
    uint64_t millis = 0;
    uint64_t unused = 0;
    if (!takeNumber(text, millis) || !takeNumber(text, unused)) {
        return false;
    }
    sinceBoot = Millis(millis);
    return true;
}

} // namespace

std::string processMark(const Incarnation &process)
{
    // The first of 32 random digits: enough to tell a host's processes apart.
    constexpr std::size_t Digits = 8;
    return process.text().substr(0, Digits);
}

LedgerRow ledgerRowOf(const std::string &key)
{
    struct Kind
    {
        std::string_view prefix;
        LedgerRow row;
    };
    constexpr Kind Kinds[] = {{BudgetPrefix, LedgerRow::Budget},
                              {BatchPrefix, LedgerRow::Batch},
                              {HostPrefix, LedgerRow::Host}};
    for (const Kind &kind : Kinds) {
        if (startsWith(key, kind.prefix)) {
            return kind.row;
        }
    }
    return LedgerRow::Unknown;
}

StoreRow encodeBudget(const AllotmentRow &row)
{
    return {fmt::format("{}{}/{}", BudgetPrefix, row.holder.text(), row.workspace.text()),
            fmt::format("{} {} {}", row.allotment.tokens, row.allotment.maxUsed,
                        row.allotment.usePerSecond),
            0};
}

std::optional<AllotmentRow> decodeBudget(const StoreRow &row)
{
    const std::string_view rest = std::string_view{row.key}.substr(BudgetPrefix.size());
    const std::size_t separator = rest.find(Separator);
    AllotmentRow parsed;
    std::string_view numbers = row.value;
    Allotment &allotment = parsed.allotment;
    bool good = takeNumber(numbers, allotment.tokens) && takeNumber(numbers, allotment.maxUsed);
    if (good && numbers.empty()) {
        // Of an earlier build, whose holder kept to no pace: what it used can't be told.
        allotment.maxUsed = allotment.tokens;
    } else {
        good = good && takeNumber(numbers, allotment.usePerSecond) && numbers.empty();
    }
    if (separator == std::string_view::npos || !good) {
        return std::nullopt;
    }
    parsed.holder = Incarnation(std::string(rest.substr(0, separator)));
    parsed.workspace = WorkspaceId(std::string(rest.substr(separator + 1)));
    return parsed;
}

StoreRow encodeBatch(const BatchMoment &batch)
{
    // Each host reads all others' some times a second: as short as it can be.
    std::string value = clockText(batch.sinceBoot);
    for (const PeerClock &peer : batch.peers) {
        value += fmt::format("|{} {} {}", clockText(peer.sinceBoot), processMark(peer.process),
                             addressText(peer.address));
    }
    return {std::string(BatchPrefix) + batch.holder.text(), std::move(value), 0};
}

Incarnation batchHolder(const StoreRow &row)
{
    return Incarnation(row.key.substr(BatchPrefix.size()));
}

std::optional<BatchMoment> decodeBatch(const StoreRow &row)
{
    const std::vector<std::string> parts = absl::StrSplit(row.value, '|');
    BatchMoment batch;
    batch.holder = batchHolder(row);
    std::string_view own = parts.front();
    // Earlier builds name the boot behind it.
    if (!takeClock(own, batch.sinceBoot)) {
        return std::nullopt;
    }
    for (std::size_t i = 1; i < parts.size(); ++i) {
        std::string_view text = parts[i];
        PeerClock peer;
        const bool good = takeClock(text, peer.sinceBoot);
        const std::size_t space = text.find(' ');
        if (!good || space == std::string_view::npos) {
            return std::nullopt;
        }
        const auto address = parseUdpAddress(std::string(text.substr(space + 1)));
        if (!address) {
            return std::nullopt;
        }
        peer.process = Incarnation(std::string(text.substr(0, space)));
        peer.address = *address;
        batch.peers.push_back(std::move(peer));
    }
    return batch;
}

StoreRow encodeHost(const Peer &peer)
{
    const nlohmann::json value = {{"address", addressText(peer.address)},
                                  {"listens", addressText(peer.listens)},
                                  {"domain", peer.domain.text()},
                                  {"incarnation", peer.incarnation.text()}};
    return {std::string(HostPrefix) + peer.host.text(), value.dump(), 0};
}

StoreRow encodeFarewell(const HostId &host)
{
    return {std::string(HostPrefix) + host.text(), "", 0};
}

HostId hostOf(const StoreRow &row)
{
    return HostId(row.key.substr(HostPrefix.size()));
}

Peer decodeHost(const StoreRow &row)
{
    const nlohmann::json value = nlohmann::json::parse(row.value);
    const auto reached = value.at("address").get<std::string>();
    const auto address = parseUdpAddress(reached);
    // Processes of an earlier build say only where they are reached, and listen there.
    const auto listens = parseUdpAddress(value.value("listens", reached));
    if (!address || !listens) {
        throw std::invalid_argument("an address isn't IP:port");
    }
    return {hostOf(row), DomainId(value.at("domain").get<std::string>()),
            Incarnation(value.at("incarnation").get<std::string>()), *address, *listens};
}

} // namespace sequoiagate
