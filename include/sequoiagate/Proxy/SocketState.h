#ifndef SEQUOIAGATE_PROXY_SOCKETSTATE_H
#define SEQUOIAGATE_PROXY_SOCKETSTATE_H

/// What the kernel knows of a connection before its events are handled.

#include <cstddef>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

namespace sequoiagate {

/// Checks without reading whether the peer has closed or reset the connection, also behind bytes
/// that haven't been read.
/// \returns the error that a read would return at the end, or none while the connection is open
/// \pre \p socket is open and non-blocking. Not thread safe.
boost::system::error_code peekCloseError(boost::asio::ip::tcp::socket &socket);

/// \returns whether bytes of the peer have arrived that haven't been read. Not thread safe.
bool hasUnreadBytes(const boost::asio::ip::tcp::socket &socket);

/// \returns the number of bytes that were sent and not yet acknowledged by the peer; nullopt if the
/// kernel can't tell. Not thread safe.
std::optional<std::size_t> unacknowledgedBytes(boost::asio::ip::tcp::socket &socket);

/// Lets a close of \p socket reset the connection if the peer hasn't acknowledged everything that
/// was sent. After an orderly close the kernel goes on sending it, even after a partition.
/// Not thread safe.
void dropUnsentOnClose(boost::asio::ip::tcp::socket &socket);

} // namespace sequoiagate

#endif
