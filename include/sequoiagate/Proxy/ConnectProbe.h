#ifndef SEQUOIAGATE_PROXY_CONNECTPROBE_H
#define SEQUOIAGATE_PROXY_CONNECTPROBE_H

/// Finds out whether a program accepts connections.

#include <functional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

enum class ProbeOutcome {
    Connected,
    Refused, ///< by a host that runs, on which nobody listens there
    Unknown, ///< no response until the deadline, or another error
};

/// Tries a connection to \p address until \p deadline and closes it. Calls \p handler once, not
/// from inside this call. Single-threaded. \pre \p io outlives the probe.
void probeConnection(const boost::asio::any_io_executor &io,
                     const boost::asio::ip::tcp::endpoint &address, Instant deadline,
                     std::function<void(ProbeOutcome)> handler);

} // namespace sequoiagate

#endif
