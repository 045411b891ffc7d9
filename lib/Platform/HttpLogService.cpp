#include "sequoiagate/Platform/HttpLogService.h"

#include <algorithm>

#include <absl/strings/escaping.h>
#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace sequoiagate {

namespace {

constexpr Millis ConnectTimeout{1000};
constexpr Millis ReadSlack{2000};
constexpr Millis ComeBackAfter{500};

Millis until(Instant deadline, Instant now)
{
    return std::max(Millis{1}, std::chrono::duration_cast<Millis>(deadline - now));
}

/// One connection a call: httplib sends a request again when a kept connection
/// turns out stale, and an append sent twice under one answer would be read as
/// one. The pair (writer, sequence) makes that harmless, but it costs appends.
httplib::Client connect(const std::string &address, const HostId &sender, Millis readTimeout)
{
    httplib::Client client("http://" + address);
    client.set_default_headers({{"X-Sender", sender.text()}});
    client.set_keep_alive(false);
    client.set_connection_timeout(ConnectTimeout);
    client.set_read_timeout(readTimeout);
    client.set_write_timeout(readTimeout);
    return client;
}

[[noreturn]] void fail(Execution execution, std::string detail)
{
    throw LogError(Verdict{execution, Reason::LogUnavailable, std::move(detail),
                           std::chrono::steady_clock::now() + ComeBackAfter});
}

nlohmann::json parseAnswer(const httplib::Result &result, Execution onFailure)
{
    if (!result) {
        const bool neverSent = result.error() == httplib::Error::Connection;
        fail(neverSent ? Execution::NotRun : onFailure,
             fmt::format("log service: {}", httplib::to_string(result.error())));
    }
    if (result->status != 200) {
        fail(result->status == 503 ? Execution::NotRun : onFailure,
             fmt::format("log service answered {}", result->status));
    }
    nlohmann::json answer = nlohmann::json::parse(result->body, nullptr, false);
    if (answer.is_discarded()) {
        fail(onFailure, "log service answered something that is not JSON");
    }
    return answer;
}

} // namespace

HttpLogService::HttpLogService(std::string address, HostId sender)
    : address_(std::move(address)), sender_(std::move(sender))
{}

LogOffset HttpLogService::append(const std::string &stream, const std::vector<std::string> &batch,
                                 Instant deadline)
{
    nlohmann::json body;
    body["records"] = nlohmann::json::array();
    for (const std::string &record : batch) {
        body["records"].push_back(absl::Base64Escape(record));
    }
    httplib::Client client =
            connect(address_, sender_, until(deadline, std::chrono::steady_clock::now()));
    const httplib::Result result = client.Post(fmt::format("/v1/streams/{}/append", stream).c_str(),
                                               body.dump(), "application/json");
    const nlohmann::json answer = parseAnswer(result, Execution::MayHaveRun);
    if (!answer.contains("offset") || !answer["offset"].is_number_unsigned()) {
        fail(Execution::MayHaveRun, "log service answered an append without an offset");
    }
    return answer["offset"].get<LogOffset>();
}

LogSlice HttpLogService::read(const std::string &stream, LogOffset from, std::size_t limit,
                              Instant waitUntil)
{
    const Millis wait = until(waitUntil, std::chrono::steady_clock::now());
    httplib::Client client = connect(address_, sender_, wait + ReadSlack);
    const std::string path = fmt::format("/v1/streams/{}/records?from={}&limit={}&wait_ms={}",
                                         stream, from, limit, wait.count());
    const httplib::Result result = client.Get(path.c_str());
    const nlohmann::json answer = parseAnswer(result, Execution::NotRun);
    LogSlice slice;
    try {
        slice.oldest = answer.at("oldest").get<LogOffset>();
        slice.next = answer.at("next").get<LogOffset>();
        for (const nlohmann::json &record : answer.at("records")) {
            LogEntry entry;
            entry.offset = record.at("offset").get<LogOffset>();
            if (!absl::Base64Unescape(record.at("data").get<std::string>(), &entry.data)) {
                fail(Execution::NotRun, "log service answered a record that is not base64");
            }
            slice.entries.push_back(std::move(entry));
        }
    } catch (const nlohmann::json::exception &error) {
        fail(Execution::NotRun,
             fmt::format("log service answered a malformed read: {}", error.what()));
    }
    return slice;
}

} // namespace sequoiagate
