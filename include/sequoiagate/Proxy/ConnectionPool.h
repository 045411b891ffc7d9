#ifndef SEQUOIAGATE_PROXY_CONNECTIONPOOL_H
#define SEQUOIAGATE_PROXY_CONNECTIONPOOL_H

/// Kept connections by address. A new connection costs a round trip and work at the
/// server, which accepts a limited number from all callers together.

#include <map>
#include <memory>
#include <vector>

#include "sequoiagate/Proxy/HttpConnection.h"

namespace sequoiagate {

struct ConnectionPoolSettings
{
    HttpConnectionSettings connection;
    /// Idle connections kept to one address.
    std::size_t maxIdlePerAddress = 32;
    /// An idle connection isn't used beyond this; servers close theirs after a while that
    /// they say in whole seconds, and a request that crosses the close may have run.
    Interval maxIdleTime = std::chrono::seconds(4);
};

/// Single-threaded.
class ConnectionPool
{
public:
    ConnectionPool(boost::asio::io_context &io, ConnectionPoolSettings settings);

    /// An idle connection to \p address, the one used last first, or a new one that isn't
    /// connected yet. \param freshest connections idle for longer than this aren't taken
    std::shared_ptr<HttpConnection> take(const boost::asio::ip::tcp::endpoint &address,
                                         Interval freshest, Instant now);
    std::shared_ptr<HttpConnection> take(const boost::asio::ip::tcp::endpoint &address,
                                         Instant now);
    /// Closes the idle connections to \p address.
    void closeIdle(const boost::asio::ip::tcp::endpoint &address);
    /// Closes idle connections that have been idle for too long.
    void closeExpired(Instant now);
    std::uint64_t opened() const { return opened_; }
    std::size_t idle() const;

private:
    using Idle = std::vector<std::shared_ptr<HttpConnection>>;

    void addIdle(const std::shared_ptr<HttpConnection> &connection);
    void removeIdle(const HttpConnection &connection);

    boost::asio::io_context &io_;
    ConnectionPoolSettings settings_;
    std::map<boost::asio::ip::tcp::endpoint, Idle> idle_;
    std::uint64_t opened_ = 0;
};

} // namespace sequoiagate

#endif
