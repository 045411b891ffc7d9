#ifndef SEQUOIAGATE_EDGE_EDGEADAPTER_H
#define SEQUOIAGATE_EDGE_EDGEADAPTER_H

/// The interface between the edge and a platform: its HTTP dialect, its store, and the decoding
/// of the rows in that store. Adapters only translate; they make no decisions.

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "sequoiagate/Proxy/ConnectionPool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "sequoiagate/Config/ServingConfig.h"
#include "sequoiagate/Proxy/Dialect.h"
#include "sequoiagate/Store/Store.h"

namespace sequoiagate {

/// A malformed row. It affects only what the row describes: a malformed configuration leaves the
/// last one in force.
class DecodeError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// The topics of the store that the edge reads and writes.
struct PlatformTopics
{
    std::string config;
    std::string configKey;
    std::string endpoints; ///< one row per endpoint, keyed by the endpoint's id
    std::string ledger;    ///< written by the edge itself, see LedgerRows.h
};

class EdgeAdapter
{
public:
    virtual ~EdgeAdapter() = default;

    virtual const Dialect &dialect() const = 0;
    virtual const PlatformTopics &topics() const = 0;
    /// \pre \p io and \p pool outlive the returned store
    virtual std::unique_ptr<Store> openStore(boost::asio::io_context &io, ConnectionPool &pool,
                                             const boost::asio::ip::tcp::endpoint &address) = 0;
    /// \throws DecodeError
    virtual ServingConfigPtr decodeConfig(const std::string &value) const = 0;
    /// The failure domain that is evacuated while a row of the configuration's topic with this
    /// key stands, whatever its value is; nullopt for other keys.
    virtual std::optional<DomainId> decodeEvacuationKey(const std::string &key) const = 0;
    /// \throws DecodeError
    virtual EndpointEntry decodeEndpoint(const std::string &id, const std::string &value) const = 0;
};

} // namespace sequoiagate

#endif
