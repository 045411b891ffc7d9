#include "sequoiagate/Proxy/RelayHandshake.h"

#include <charconv>

namespace sequoiagate {

namespace {

constexpr std::string_view TargetPrefix = "/relay/v1/";
constexpr const char *ProcessField = "Relay-Process";
constexpr const char *TimeoutField = "Relay-Timeout-Ms";
constexpr const char *FramingField = "Relay-Framing";
constexpr const char *ChunkedFraming = "chunked";

} // namespace

std::string encodeRelayRequest(const RelayRequest &request)
{
    RequestHead head;
    head.method = "POST";
    head.target = std::string(TargetPrefix) + request.endpoint.text();
    head.fields = {{ProcessField, request.process.text()},
                   {TimeoutField, std::to_string(request.timeout.count())}};
    if (request.acceptsFraming) {
        head.fields.push_back({FramingField, ChunkedFraming});
    }
    return writeRequestHead(head, 0);
}

std::optional<RelayRequest> decodeRelayRequest(const RequestHead &head)
{
    const std::string *process = findField(head.fields, ProcessField);
    const std::string *timeout = findField(head.fields, TimeoutField);
    const std::string_view target = head.target;
    if (process == nullptr || timeout == nullptr
        || target.substr(0, TargetPrefix.size()) != TargetPrefix) {
        return std::nullopt;
    }
    int64_t millis = 0;
    const auto parsed = std::from_chars(timeout->data(), timeout->data() + timeout->size(), millis);
    if (parsed.ec != std::errc() || millis <= 0) {
        return std::nullopt;
    }
    const std::string *framing = findField(head.fields, FramingField);
    return RelayRequest{EndpointId(std::string(target.substr(TargetPrefix.size()))),
                        Incarnation(*process), Millis(millis),
                        framing != nullptr && *framing == ChunkedFraming};
}

bool isRelayFramed(const ResponseHead &head)
{
    return findField(head.fields, "Transfer-Encoding") != nullptr;
}

} // namespace sequoiagate
