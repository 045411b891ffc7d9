#include "LedgerRows.h"

#include <charconv>
#include <stdexcept>

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
    if (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    return true;
}

} // namespace

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
            fmt::format("{} {} {}", row.allotment.tokens, row.allotment.usedAtMost,
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
    const bool good = takeNumber(numbers, allotment.tokens)
                      && takeNumber(numbers, allotment.usedAtMost)
                      && takeNumber(numbers, allotment.usePerSecond) && numbers.empty();
    if (separator == std::string_view::npos || !good) {
        return std::nullopt;
    }
    parsed.holder = Incarnation(std::string(rest.substr(0, separator)));
    parsed.workspace = WorkspaceId(std::string(rest.substr(separator + 1)));
    return parsed;
}

StoreRow encodeBatch(const BatchMoment &batch)
{
    nlohmann::json peers = nlohmann::json::array();
    for (const PeerClock &peer : batch.peers) {
        peers.push_back({peer.host.text(), peer.process.text(),
                         peer.clocks.sinceBoot.sinceBoot.count(), peer.clocks.timeOfDay.count()});
    }
    const nlohmann::json value = {{"host", batch.host.text()},
                                  {"boot", batch.clocks.sinceBoot.boot},
                                  {"since_boot_ms", batch.clocks.sinceBoot.sinceBoot.count()},
                                  {"time_ms", batch.clocks.timeOfDay.count()},
                                  {"peers", std::move(peers)}};
    return {std::string(BatchPrefix) + batch.holder.text(), value.dump(), 0};
}

std::optional<BatchMoment> decodeBatch(const StoreRow &row)
{
    const nlohmann::json value = nlohmann::json::parse(row.value, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        BatchMoment batch;
        batch.holder = Incarnation(row.key.substr(BatchPrefix.size()));
        batch.host = HostId(value.at("host").get<std::string>());
        batch.clocks = {{value.at("boot").get<std::string>(),
                         Millis(value.at("since_boot_ms").get<int64_t>())},
                        Millis(value.at("time_ms").get<int64_t>())};
        for (const nlohmann::json &peer : value.at("peers")) {
            // Its boot's name is left out: only the process that lives on is believed by it.
            batch.peers.push_back({HostId(peer.at(0).get<std::string>()),
                                   Incarnation(peer.at(1).get<std::string>()),
                                   {{std::string(), Millis(peer.at(2).get<int64_t>())},
                                    Millis(peer.at(3).get<int64_t>())}});
        }
        return batch;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt; // the caller logs it as malformed
    }
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
