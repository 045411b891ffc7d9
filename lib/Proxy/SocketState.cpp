#include "sequoiagate/Proxy/SocketState.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace sequoiagate {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

error_code peekCloseError(tcp::socket &socket)
{
    char next = 0;
    error_code error;
    socket.receive(asio::buffer(&next, 1), tcp::socket::message_peek, error);
    if (error) {
        return error == asio::error::would_block ? error_code() : error;
    }
    // The close may follow bytes that haven't been read.
    pollfd state{socket.native_handle(), POLLRDHUP, 0};
    constexpr int Closed = POLLRDHUP | POLLHUP | POLLERR;
    const bool isClosed = ::poll(&state, 1, 0) == 1 && (state.revents & Closed) != 0;
    return isClosed ? asio::error::eof : error_code();
}

bool hasUnreadBytes(const tcp::socket &socket)
{
    error_code error;
    return socket.available(error) > 0 && !error;
}

std::optional<std::size_t> unacknowledgedBytes(tcp::socket &socket)
{
    int bytes = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(bytes);
}

void dropUnsentOnClose(tcp::socket &socket)
{
    if (unacknowledgedBytes(socket).value_or(0) > 0) {
        error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
}

} // namespace sequoiagate
