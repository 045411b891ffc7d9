#ifndef SEQUOIAGATE_PROXY_CONNECTIONPOOL_H
#define SEQUOIAGATE_PROXY_CONNECTIONPOOL_H

/// Pool of keep-alive connections, by address. Opening a connection costs a round trip and
/// work at the server, which accepts a limited number from all its callers together.

#include <map>
#include <memory>
#include <vector>

#include "sequoiagate/Proxy/HttpConnection.h"

namespace sequoiagate {

struct ConnectionPoolSettings
{
    HttpConnectionSettings connection;
    /// Maximum number of idle connections to one address.
    std::size_t maxIdlePerAddress = 32;
    /// Connections that were idle for longer aren't reused. Servers close idle connections
    /// after a time that they announce in whole seconds, and a request that is in flight when
    /// the server closes may or may not have run.
    Interval maxIdleTime = std::chrono::seconds(4);
};

/// Single-threaded.
class ConnectionPool
{
public:
    ConnectionPool(boost::asio::io_context &io, ConnectionPoolSettings settings);

    /// Returns the most recently used idle connection to \p address, or a new one that isn't
    /// connected yet. \param maxIdleTime connections idle for longer than this aren't used
    std::shared_ptr<HttpConnection> take(const boost::asio::ip::tcp::endpoint &address,
                                         Interval maxIdleTime, Instant now);
    std::shared_ptr<HttpConnection> take(const boost::asio::ip::tcp::endpoint &address,
                                         Instant now);
    /// Returns a new connection to \p address through a relay, for one call.
    std::shared_ptr<HttpConnection> connectThrough(const boost::asio::ip::tcp::endpoint &address,
                                                   RelayPath path);
    /// Whether take() would return a connection that is open already.
    bool hasIdle(const boost::asio::ip::tcp::endpoint &address, Interval maxIdleTime,
                 Instant now) const;
    /// Closes the idle connections to \p address.
    void closeIdle(const boost::asio::ip::tcp::endpoint &address);
    /// Closes connections that have been idle for too long.
    void closeExpired(Instant now);
    std::uint64_t opened() const { return opened_; }
    std::size_t idle() const;

private:
    using IdleConnections = std::vector<std::shared_ptr<HttpConnection>>;

    void addIdle(const std::shared_ptr<HttpConnection> &connection);
    void removeIdle(const HttpConnection &connection);

    boost::asio::io_context &io_;
    ConnectionPoolSettings settings_;
    std::map<boost::asio::ip::tcp::endpoint, IdleConnections> idle_;
    std::uint64_t opened_ = 0;
};

} // namespace sequoiagate

#endif
