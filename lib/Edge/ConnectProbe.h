#ifndef SEQUOIAGATE_LIB_EDGE_CONNECTPROBE_H
#define SEQUOIAGATE_LIB_EDGE_CONNECTPROBE_H

/// Finds out whether a program accepts connections.

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Tries a connection to \p address until \p deadline and closes it. Calls \p handler once, not
/// from inside this call, with whether it was established. Single-threaded. \pre \p io outlives the
/// probe.
void probeConnection(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address,
                     Instant deadline, std::function<void(bool connected)> handler);

} // namespace sequoiagate

#endif
