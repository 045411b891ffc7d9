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
            fmt::format("{} {}", row.tokens, row.usedAtMost), 0};
}

std::optional<AllotmentRow> decodeBudget(const StoreRow &row)
{
    const std::string_view rest = std::string_view{row.key}.substr(BudgetPrefix.size());
    const std::size_t separator = rest.find(Separator);
    AllotmentRow parsed;
    std::string_view numbers = row.value;
    const bool good = takeNumber(numbers, parsed.tokens) && takeNumber(numbers, parsed.usedAtMost)
                      && numbers.empty();
    if (separator == std::string_view::npos || !good) {
        return std::nullopt;
    }
    parsed.holder = Incarnation(std::string(rest.substr(0, separator)));
    parsed.workspace = WorkspaceId(std::string(rest.substr(separator + 1)));
    return parsed;
}

StoreRow encodeBatch(const BatchMoment &batch)
{
    return {std::string(BatchPrefix) + batch.holder.text(),
            fmt::format("{} {}", batch.moment.sinceBoot.count(), batch.moment.boot), 0};
}

std::optional<BatchMoment> decodeBatch(const StoreRow &row)
{
    std::string_view text = row.value;
    uint64_t millis = 0;
    if (!takeNumber(text, millis)) {
        return std::nullopt;
    }
    return BatchMoment{Incarnation(row.key.substr(BatchPrefix.size())),
                       {std::string(text), Millis(millis)}};
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
