#ifndef SEQUOIAGATE_EDGE_EDGEADAPTER_H
#define SEQUOIAGATE_EDGE_EDGEADAPTER_H

/// What a platform supplies to the edge: its dialect, its store, and how what it keeps
/// there is decoded. An adapter translates and decides nothing.

#include <memory>
#include <stdexcept>
#include <string>

#include "sequoiagate/Proxy/ConnectionPool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "sequoiagate/Config/ServingConfig.h"
#include "sequoiagate/Proxy/Dialect.h"
#include "sequoiagate/Store/Store.h"

namespace sequoiagate {

/// A row that can't be read. It harms nothing else: what was known stays.
class DecodeError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Where in the store the platform's own rows are.
struct PlatformTopics
{
    std::string config;
    std::string configKey;
    std::string endpoints; ///< one row an endpoint, its key the endpoint's id
    std::string own;       ///< this program's rows
};

class EdgeAdapter
{
public:
    virtual ~EdgeAdapter() = default;

    virtual const Dialect &dialect() const = 0;
    virtual const PlatformTopics &topics() const = 0;
    /// \pre io and pool outlive the store
    virtual std::unique_ptr<Store> openStore(boost::asio::io_context &io, ConnectionPool &pool,
                                             const boost::asio::ip::tcp::endpoint &address) = 0;
    /// \throws DecodeError
    virtual ServingConfigPtr decodeConfig(const std::string &value) const = 0;
    /// \throws DecodeError
    virtual EndpointEntry decodeEndpoint(const std::string &id, const std::string &value) const = 0;
};

} // namespace sequoiagate

#endif
