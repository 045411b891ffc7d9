#include "sequoiagate/Router/EngineClient.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "sequoiagate/Router/EndpointHttp.h"
#include "sequoiagate/Router/SseReader.h"

namespace sequoiagate {

namespace {

constexpr int StatusOk = 200;
/// Statuses by which an engine says that it didn't begin: bad or unknown input,
/// too much work, not ready. Any other failure status may come from a begun run.
constexpr std::array NothingRanStatuses = {400, 401, 403, 404, 413, 422, 429, 503};

bool saysNothingRan(int status)
{
    return std::find(NothingRanStatuses.begin(), NothingRanStatuses.end(), status)
           != NothingRanStatuses.end();
}

std::optional<EngineStreamStatus> statusFrom(const nlohmann::json &json)
{
    try {
        EngineStreamStatus status;
        status.streamId = json.at("stream_id").get<std::string>();
        status.generated = json.at("generated").get<uint64_t>();
        status.promptTokens = json.at("prompt_tokens").get<uint64_t>();
        status.finished = json.at("finished").get<bool>();
        status.cancelled = json.at("cancelled").get<bool>();
        return status;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

/// Connects the pieces of an answer's body to a stream's handlers.
ConnectionResult readStream(const std::string &address, const EndpointTimeouts &timeouts,
                            httplib::Request &request, const EngineStreamHandlers &handlers)
{
    SseReader reader;
    int status = 0;
    request.response_handler = [&](const httplib::Response &response) {
        status = isWellFormed(response) ? response.status : 0;
        if (status == StatusOk && response.has_header("X-Stream-Id")) {
            handlers.onStreamId(response.get_header_value("X-Stream-Id"));
        }
        return true;
    };
    request.content_receiver = [&](const char *data, std::size_t size, uint64_t, uint64_t) {
        if (status != StatusOk) {
            return true;
        }
        for (const std::string &event : reader.feed(std::string_view(data, size))) {
            if (!handlers.onEvent(event)) {
                return false;
            }
        }
        return true;
    };
    httplib::Response response;
    ConnectionResult result = exchange(address, timeouts, request, response);
    result.status = status;
    if (result.end == ConnectionEnd::Closed && status != StatusOk) {
        result.end = saysNothingRan(status) ? ConnectionEnd::Refused : ConnectionEnd::Cut;
        result.detail = fmt::format("the engine answered {}", status);
    }
    return result;
}

std::optional<nlohmann::json> askJson(const std::string &address, const EndpointTimeouts &timeouts,
                                      const std::string &method, const std::string &path)
{
    httplib::Request request;
    request.method = method;
    request.path = path;
    httplib::Response response;
    const ConnectionResult result = exchange(address, timeouts, request, response);
    if (result.end != ConnectionEnd::Closed || result.status != StatusOk) {
        return std::nullopt;
    }
    nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
    return answer.is_discarded() ? std::nullopt : std::optional(std::move(answer));
}

} // namespace

EngineClient::EngineClient(std::string address, Millis connectTimeout, Millis stallTimeout)
    : address_(std::move(address)), connectTimeout_(connectTimeout), stallTimeout_(stallTimeout)
{}

ConnectionResult EngineClient::open(const EngineRequest &request,
                                    const EngineStreamHandlers &handlers) const
{
    httplib::Request http;
    http.method = "POST";
    http.path = "/v1/chat/completions";
    http.body = request.body;
    http.headers = {{"Content-Type", "application/json"},
                    {"X-Request-Id", request.request.text()},
                    {"X-Workspace", request.workspace.text()},
                    {"X-Attempt", request.attempt.text()}};
    return readStream(address_, {connectTimeout_, stallTimeout_}, http, handlers);
}

ConnectionResult EngineClient::resume(const std::string &streamId, uint64_t position,
                                      const EngineStreamHandlers &handlers) const
{
    httplib::Request http;
    http.method = "GET";
    http.path = fmt::format("/v1/streams/{}?from={}", streamId, position);
    return readStream(address_, {connectTimeout_, stallTimeout_}, http, handlers);
}

std::optional<EngineStreamStatus> EngineClient::cancel(const std::string &streamId) const
{
    const auto answer = askJson(address_, {connectTimeout_, connectTimeout_}, "DELETE",
                                fmt::format("/v1/streams/{}", streamId));
    return answer ? statusFrom(*answer) : std::nullopt;
}

std::optional<std::vector<EngineStreamStatus>>
EngineClient::streamsOf(const RequestId &request, const WorkspaceId &workspace) const
{
    const httplib::Params params = {{"request", request.text()}, {"workspace", workspace.text()}};
    const auto answer = askJson(address_, {connectTimeout_, connectTimeout_}, "GET",
                                httplib::append_query_params("/v1/streams", params));
    if (!answer || !answer->contains("streams")) {
        return std::nullopt;
    }
    std::vector<EngineStreamStatus> streams;
    for (const nlohmann::json &entry : answer->at("streams")) {
        if (const auto status = statusFrom(entry)) {
            streams.push_back(*status);
        }
    }
    return streams;
}

} // namespace sequoiagate
