#include "sequoiagate/Router/EndpointHttp.h"

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

} // namespace

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
        result.end = ConnectionEnd::Closed;
        result.status = response.status;
        return result;
    }
    result.end = endOf(error);
    result.detail = httplib::to_string(error);
    return result;
}

} // namespace sequoiagate
