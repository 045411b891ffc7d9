#include "sequoiagate/Proxy/SocketState.h"

#include <linux/sockios.h>
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
    return error == asio::error::would_block ? error_code() : error;
}

void dropUnsentOnClose(tcp::socket &socket)
{
    int unacknowledged = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0) {
        error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
}

} // namespace sequoiagate
