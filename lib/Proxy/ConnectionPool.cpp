#include "sequoiagate/Proxy/ConnectionPool.h"

#include <algorithm>

namespace sequoiagate {

using boost::asio::ip::tcp;

ConnectionPool::ConnectionPool(boost::asio::io_context &io, ConnectionPoolSettings settings)
    : io_(io), settings_(settings)
{}

std::shared_ptr<HttpConnection> ConnectionPool::take(const tcp::endpoint &address, Instant now)
{
    return take(address, settings_.maxIdleTime, now);
}

std::shared_ptr<HttpConnection> ConnectionPool::take(const tcp::endpoint &address,
                                                     Interval maxIdleTime, Instant now)
{
    const auto found = idle_.find(address);
    while (found != idle_.end() && !found->second.empty()) {
        const std::shared_ptr<HttpConnection> connection = found->second.back();
        const bool isFresh = now - connection->idleSince() <= maxIdleTime;
        if (!isFresh) {
            // The remaining ones have been idle for even longer.
            break;
        }
        found->second.pop_back();
        if (connection->usable() && now < connection->reusableUntil()) {
            return connection;
        }
        connection->cancel();
    }
    auto connection = std::make_shared<HttpConnection>(io_, address, settings_.connection);
    connection->onIdle = [this](const std::shared_ptr<HttpConnection> &idle) {
        addIdle(idle);
    };
    connection->onIdleLost = [this](const HttpConnection &lost) {
        removeIdle(lost);
    };
    ++opened_;
    return connection;
}

std::shared_ptr<HttpConnection> ConnectionPool::connectThrough(const tcp::endpoint &address,
                                                               RelayPath path)
{
    ++opened_;
    return std::make_shared<HttpConnection>(io_, address, settings_.connection, std::move(path));
}

bool ConnectionPool::hasIdle(const tcp::endpoint &address, Interval maxIdleTime, Instant now) const
{
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(),
                       [maxIdleTime, now](const std::shared_ptr<HttpConnection> &connection) {
                           return connection->usable() && now < connection->reusableUntil()
                                  && now - connection->idleSince() <= maxIdleTime;
                       });
}

void ConnectionPool::addIdle(const std::shared_ptr<HttpConnection> &connection)
{
    IdleConnections &idle = idle_[connection->address()];
    idle.push_back(connection);
    if (idle.size() > settings_.maxIdlePerAddress) {
        idle.front()->cancel();
        idle.erase(idle.begin());
    }
}

void ConnectionPool::removeIdle(const HttpConnection &connection)
{
    const auto found = idle_.find(connection.address());
    if (found == idle_.end()) {
        return;
    }
    std::erase_if(found->second, [&connection](const std::shared_ptr<HttpConnection> &kept) {
        return kept.get() == &connection;
    });
}

void ConnectionPool::closeIdle(const tcp::endpoint &address)
{
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return;
    }
    for (const std::shared_ptr<HttpConnection> &connection : found->second) {
        connection->cancel();
    }
    idle_.erase(found);
}

void ConnectionPool::closeExpired(Instant now)
{
    for (auto &[address, idle] : idle_) {
        std::erase_if(idle, [this, now](const std::shared_ptr<HttpConnection> &connection) {
            const bool expired = now - connection->idleSince() > settings_.maxIdleTime
                                 || now >= connection->reusableUntil();
            if (expired) {
                connection->cancel();
            }
            return expired;
        });
    }
    std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
}

std::size_t ConnectionPool::idle() const
{
    std::size_t count = 0;
    for (const auto &[address, idle] : idle_) {
        count += idle.size();
    }
    return count;
}

} // namespace sequoiagate
