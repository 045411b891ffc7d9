#include "sequoiagate/Router/EndpointHttp.h"

#include <algorithm>

#include <absl/strings/ascii.h>

#include "sequoiagate/Router/RouterSettings.h"

namespace sequoiagate {

namespace {

ConnectionEnd endOf(httplib::Error error)
{
    switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return ConnectionEnd::NotSent;
    case httplib::Error::Canceled:
        return ConnectionEnd::Stopped;
    default:
        // Also for Write: part of it left, and the last part may have.
        return ConnectionEnd::Cut;
    }
}

/// Whether \p name is a token (RFC 9110, 5.6.2).
bool isFieldName(std::string_view name)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [Marks](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c))
               || Marks.find(c) != std::string_view::npos;
    });
}

} // namespace

bool isWellFormed(const httplib::Response &response)
{
    constexpr int LowestFinal = 200;
    constexpr int HighestFinal = 599;
    return response.status >= LowestFinal && response.status <= HighestFinal
           && std::all_of(response.headers.begin(), response.headers.end(),
                          [](const auto &field) { return isFieldName(field.first); });
}

ConnectionResult exchange(const std::string &address, const EndpointTimeouts &timeouts,
                          httplib::Request &request, httplib::Response &response)
{
    const SocketAddress target = parseAddress(address);
    httplib::Client client(target.ip, target.port);
    client.set_keep_alive(false);
    client.set_follow_location(false);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(timeouts.connect);
    client.set_read_timeout(timeouts.read);
    client.set_write_timeout(timeouts.read);
    httplib::Error error = httplib::Error::Success;
    ConnectionResult result;
    if (client.send(request, response, error)) {
        if (!isWellFormed(response)) {
            result.end = ConnectionEnd::Cut;
            result.detail = "the response is malformed";
            return result;
        }
        result.end = ConnectionEnd::Closed;
        result.status = response.status;
        return result;
    }
    result.end = endOf(error);
    result.detail = httplib::to_string(error);
    return result;
}

} // namespace sequoiagate
