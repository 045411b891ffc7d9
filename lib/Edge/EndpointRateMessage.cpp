#include "EndpointRateMessage.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace sequoiagate {

namespace {

constexpr int64_t Version = 1;

/// A record takes at most 32 bytes, and the rest of a datagram some 100 with a long host name.
constexpr std::size_t MaxRecords = 30;

/// The unit of ages.
constexpr Millis AgeUnit{100};

/// The unit of loads is a request in ten seconds.
constexpr double LoadUnitsPerRequest = 10.0;
constexpr int64_t MaxLoadUnits = 10'000'000;

struct Field
{
    const char *name;
    int64_t min;
    int64_t max;
};

constexpr std::array<Field, 5> Fields = {
        {{"process", 0, std::numeric_limits<uint32_t>::max()},
         {"prefill", 0, static_cast<int64_t>(100 * MaxRelativeTime)},
         {"decode", 0, static_cast<int64_t>(100 * MaxRelativeTime)},
         {"samples", 1, 255},
         {"age", 0, MaxRateAge / AgeUnit}}};

int64_t percent(double factor)
{
    return factor > 0.0 ? std::max<int64_t>(std::lround(100.0 * factor), 1) : 0;
}

nlohmann::json encodeRecord(const SharedRate &rate, Instant now)
{
    const auto age = std::chrono::ceil<Millis>(std::max(now - rate.observedAt, Interval::zero()));
    const int64_t units = (std::min(age, MaxRateAge) + AgeUnit - Millis(1)) / AgeUnit;
    return {rate.process, percent(rate.prefillFactor), percent(rate.decodeFactor), rate.samples,
            units};
}

/// \returns the fault of \p value; empty if it is valid and was added to \p rates
std::string decodeRecord(const nlohmann::json &value, Instant now, std::vector<SharedRate> &rates)
{
    if (!value.is_array() || value.size() < Fields.size()) {
        return "not a record";
    }
    std::array<int64_t, Fields.size()> numbers{};
    for (std::size_t i = 0; i < Fields.size(); ++i) {
        if (!value[i].is_number_integer()) {
            return std::string(Fields[i].name) + " isn't an integer";
        }
        // An unsigned number beyond the range of int64_t becomes negative, which is out of range.
        numbers[i] = value[i].get<int64_t>();
        if (numbers[i] < Fields[i].min || numbers[i] > Fields[i].max) {
            return std::string(Fields[i].name) + " is out of range";
        }
    }
    if (numbers[1] == 0 && numbers[2] == 0) {
        return "no factor";
    }
    rates.push_back({static_cast<uint32_t>(numbers[0]), static_cast<double>(numbers[1]) / 100.0,
                     static_cast<double>(numbers[2]) / 100.0, static_cast<uint32_t>(numbers[3]),
                     now - numbers[4] * AgeUnit});
    return {};
}

void decodeRecords(const nlohmann::json &message, const char *key, Instant now,
                   std::vector<SharedRate> &rates, EndpointRateMessage &decoded)
{
    const auto records = message.find(key);
    if (records == message.end()) {
        return;
    }
    if (!records->is_array()) {
        ++decoded.dropped;
        decoded.fault = std::string(key) + " isn't a list";
        return;
    }
    for (const nlohmann::json &value : *records) {
        std::string fault = decodeRecord(value, now, rates);
        if (!fault.empty()) {
            ++decoded.dropped;
            decoded.fault = std::move(fault);
        }
    }
}

void decodeLoad(const nlohmann::json &message, EndpointRateMessage &decoded)
{
    const auto load = message.find("load");
    if (load == message.end()) {
        return;
    }
    const int64_t units = load->is_number_integer() ? load->get<int64_t>() : -1;
    if (units < 0 || units > MaxLoadUnits) {
        ++decoded.dropped;
        decoded.fault = "load is out of range";
        return;
    }
    decoded.requestsPerSecond = static_cast<double>(units) / LoadUnitsPerRequest;
}

void encodeRecords(const EndpointRateMessage &message, const char *key,
                   const std::vector<SharedRate> &rates, Instant now,
                   std::vector<std::string> &datagrams)
{
    for (std::size_t first = 0; first < rates.size(); first += MaxRecords) {
        const std::size_t end = std::min(first + MaxRecords, rates.size());
        nlohmann::json records = nlohmann::json::array();
        for (std::size_t i = first; i < end; ++i) {
            records.push_back(encodeRecord(rates[i], now));
        }
        nlohmann::json datagram = {{"kind", EndpointRateMessageKind},
                                   {"version", Version},
                                   {"from", message.from.text()},
                                   {key, std::move(records)}};
        if (message.requestsPerSecond) {
            datagram["load"] = std::min<int64_t>(
                    std::lround(LoadUnitsPerRequest * *message.requestsPerSecond), MaxLoadUnits);
        }
        datagrams.push_back(
                datagram.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }
}

} // namespace

std::vector<std::string> encodeEndpointRates(const EndpointRateMessage &message, Instant now)
{
    std::vector<std::string> datagrams;
    encodeRecords(message, "own", message.measurements, now, datagrams);
    encodeRecords(message, "rates", message.rates, now, datagrams);
    return datagrams;
}

EndpointRateMessage decodeEndpointRates(const nlohmann::json &message, Instant now)
{
    EndpointRateMessage decoded;
    decoded.from = HostId(message.at("from").get<std::string>());
    const auto version = message.at("version").get<int64_t>();
    if (version != Version) {
        // What its numbers mean isn't known.
        decoded.dropped = 1;
        decoded.fault = "version " + std::to_string(version);
        return decoded;
    }
    decodeLoad(message, decoded);
    decodeRecords(message, "own", now, decoded.measurements, decoded);
    decodeRecords(message, "rates", now, decoded.rates, decoded);
    return decoded;
}

} // namespace sequoiagate
