#ifndef SEQUOIAGATE_LIB_EDGE_STATUSSERVER_H
#define SEQUOIAGATE_LIB_EDGE_STATUSSERVER_H

/// A small HTTP server for monitoring: serves readiness or metrics.

#include <functional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "sequoiagate/Edge/AcceptRetry.h"

namespace sequoiagate {

struct StatusPage
{
    int status = 200;
    std::string type = "text/plain";
    std::string body;
};

/// Single-threaded.
class StatusServer
{
public:
    using Page = std::function<StatusPage()>;

    /// Calls \p page for every request and sends its result.
    /// \throws boost::system::system_error if the address can't be bound
    StatusServer(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &listen,
                 Page page);

private:
    void accept();

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    AcceptRetry acceptRetry_;
    Page page_;
};

} // namespace sequoiagate

#endif
