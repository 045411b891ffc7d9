#include "LedgerRows.h"

#include <charconv>
#include <stdexcept>

#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "sequoiagate/Base/BootClock.h"
#include "sequoiagate/Base/JsonDepth.h"

#include "Addresses.h"
#include "QuarantineRows.h"
#include "VersionRecorder.h"

namespace sequoiagate {

namespace {

constexpr char Separator = '/';
constexpr std::string_view BudgetPrefix = "budget/";
constexpr std::string_view BatchPrefix = "batch/";
constexpr std::string_view HostPrefix = "host/";

/// No budget is larger. Sums of allotments would wrap around beyond it.
constexpr uint64_t MaxAllotment = 1'000'000'000'000'000;

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

/// Parses a number at the front of \p text and removes it, with the space after it if any.
bool consumeNumber(std::string_view &text, uint64_t &number)
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

/// Earlier versions wrote a time of day as the second number, and ignore one that is 0.
std::string formatClock(Millis sinceBoot)
{
    return fmt::format("{} 0", sinceBoot.count());
}

/// Parses the output of formatClock at the front of \p text and removes it, with the space after
/// it.
bool consumeClock(std::string_view &text, Millis &sinceBoot)
{
    uint64_t millis = 0;
    uint64_t unused = 0;
    const bool isRead = consumeNumber(text, millis) && consumeNumber(text, unused);
    if (!isRead || millis > static_cast<uint64_t>(MaxSinceBoot.count())) {
        return false;
    }
    sinceBoot = Millis(millis);
    return true;
}

} // namespace

std::string shortProcessId(const Incarnation &process)
{
    // The first 8 of 32 random digits are enough to distinguish the processes of a host.
    constexpr std::size_t Digits = 8;
    return process.text().substr(0, Digits);
}

LedgerRowKind ledgerRowKind(const std::string &key)
{
    struct Kind
    {
        std::string_view prefix;
        LedgerRowKind row;
    };
    constexpr Kind Kinds[] = {{BudgetPrefix, LedgerRowKind::Budget},
                              {BatchPrefix, LedgerRowKind::Batch},
                              {HostPrefix, LedgerRowKind::Host},
                              {QuarantineRowPrefix, LedgerRowKind::Quarantine},
                              {VersionRowPrefix, LedgerRowKind::Versions}};
    for (const Kind &kind : Kinds) {
        if (startsWith(key, kind.prefix)) {
            return kind.row;
        }
    }
    return LedgerRowKind::Unknown;
}

StoreRow encodeAllotment(const AllotmentRow &row)
{
    return {fmt::format("{}{}/{}", BudgetPrefix, row.holder.text(), row.workspace.text()),
            fmt::format("{} {} {}", row.allotment.tokens, row.allotment.maxUsed,
                        row.allotment.usePerSecond),
            0};
}

std::optional<AllotmentRow> decodeAllotment(const StoreRow &row)
{
    const std::string_view rest = std::string_view{row.key}.substr(BudgetPrefix.size());
    const std::size_t separator = rest.find(Separator);
    AllotmentRow parsed;
    std::string_view numbers = row.value;
    Allotment &allotment = parsed.allotment;
    bool valid =
            consumeNumber(numbers, allotment.tokens) && consumeNumber(numbers, allotment.maxUsed);
    if (valid && numbers.empty()) {
        // Written by an earlier version, which had no rate limit: all of it may have been used.
        allotment.maxUsed = allotment.tokens;
    } else {
        valid = valid && consumeNumber(numbers, allotment.usePerSecond) && numbers.empty();
    }
    const bool isBounded = allotment.tokens <= MaxAllotment && allotment.maxUsed <= MaxAllotment;
    if (separator == std::string_view::npos || !valid || !isBounded) {
        return std::nullopt;
    }
    parsed.holder = Incarnation(std::string(rest.substr(0, separator)));
    parsed.workspace = WorkspaceId(std::string(rest.substr(separator + 1)));
    return parsed;
}

StoreRow encodeBatch(const BatchHeader &batch)
{
    // Kept short, since each host reads the batches of all others several times a second.
    std::string value = formatClock(batch.sinceBoot);
    for (const PeerClock &peer : batch.peers) {
        value += fmt::format("|{} {} {}", formatClock(peer.sinceBoot), shortProcessId(peer.process),
                             addressText(peer.address));
    }
    return {std::string(BatchPrefix) + batch.holder.text(), std::move(value), 0};
}

Incarnation batchHolder(const StoreRow &row)
{
    return Incarnation(row.key.substr(BatchPrefix.size()));
}

std::optional<BatchHeader> decodeBatch(const StoreRow &row)
{
    const std::vector<std::string> parts = absl::StrSplit(row.value, '|');
    BatchHeader batch;
    batch.holder = batchHolder(row);
    std::string_view own = parts.front();
    // Earlier versions add the boot after it, which is ignored.
    if (!consumeClock(own, batch.sinceBoot)) {
        return std::nullopt;
    }
    for (std::size_t i = 1; i < parts.size(); ++i) {
        std::string_view text = parts[i];
        PeerClock peer;
        const bool valid = consumeClock(text, peer.sinceBoot);
        const std::size_t space = text.find(' ');
        if (!valid || space == std::string_view::npos) {
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
    nlohmann::json value = {{"address", addressText(peer.address)},
                            {"listens", addressText(peer.listenAddress)},
                            {"domain", peer.domain.text()},
                            {"incarnation", peer.incarnation.text()}};
    if (peer.relayAddress) {
        value["relay"] = addressText(*peer.relayAddress);
    }
    return {std::string(HostPrefix) + peer.host.text(), value.dump(), 0};
}

StoreRow encodeHostRemoval(const HostId &host)
{
    return {std::string(HostPrefix) + host.text(), "", 0};
}

HostId hostOf(const StoreRow &row)
{
    return HostId(row.key.substr(HostPrefix.size()));
}

Peer decodeHost(const StoreRow &row)
{
    if (isNestedTooDeeply(row.value)) {
        throw std::invalid_argument("nested too deeply");
    }
    const nlohmann::json value = nlohmann::json::parse(row.value);
    const auto addressValue = value.at("address").get<std::string>();
    const auto address = parseUdpAddress(addressValue);
    // Processes of earlier versions write only one address, on which they also listen.
    const auto listenAddress = parseUdpAddress(value.value("listens", addressValue));
    if (!address || !listenAddress) {
        throw std::invalid_argument("malformed address; allowed: IP:port");
    }
    return {hostOf(row),
            DomainId(value.at("domain").get<std::string>()),
            Incarnation(value.at("incarnation").get<std::string>()),
            *address,
            *listenAddress,
            parseTcpAddress(value.value("relay", ""))};
}

} // namespace sequoiagate
