#include "StatusServer.h"

#include <array>
#include <memory>
#include <optional>

#include <boost/asio/write.hpp>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Proxy/HttpReader.h"
#include "sequoiagate/Service/DeadlineTimer.h"

namespace sequoiagate {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Bounds on requests for a page, which have no body.
constexpr HttpReaderLimits RequestLimits{8 * 1024, 0};

/// Monitoring clients send a request every few seconds.
constexpr Interval IdleTimeout = std::chrono::seconds(10);

class StatusConnection : public std::enable_shared_from_this<StatusConnection>
{
public:
    StatusConnection(boost::asio::io_context &io, tcp::socket socket,
                     const StatusServer::Page &page)
        : socket_(std::move(socket)), timer_(io), page_(page)
    {}

    void start()
    {
        reader_.emplace(RequestLimits);
        timer_.arm(std::chrono::steady_clock::now() + IdleTimeout, [self = shared_from_this()] {
            error_code ignored;
            self->socket_.close(ignored);
        });
        read();
    }

private:
    void read()
    {
        socket_.async_read_some(
                boost::asio::buffer(buffer_),
                [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                    if (error) {
                        self->timer_.disarm();
                        return;
                    }
                    self->reader_->feed(std::string_view(self->buffer_.data(), bytes));
                    if (self->reader_->done()) {
                        self->respond();
                    } else if (self->reader_->fault() == HttpParseError::None) {
                        self->read();
                    } else {
                        self->timer_.disarm();
                    }
                });
    }

    void respond()
    {
        const StatusPage page = page_();
        ResponseHead head;
        head.status = page.status;
        head.fields = {{"Content-Type", page.type}};
        head.keepAlive = reader_->head().keepAlive;
        const bool keep = head.keepAlive;
        response_ = writeResponseHead(head, BodyFraming::Length, page.body.size()) + page.body;
        boost::asio::async_write(
                socket_, boost::asio::buffer(response_),
                [self = shared_from_this(), keep](const error_code &error, std::size_t) {
                    if (!error && keep) {
                        self->start();
                    } else {
                        self->timer_.disarm();
                    }
                });
    }

    tcp::socket socket_;
    DeadlineTimer timer_;
    const StatusServer::Page &page_;
    std::optional<RequestReader> reader_;
    std::array<char, 1024> buffer_;
    std::string response_;
};

} // namespace

StatusServer::StatusServer(boost::asio::io_context &io, const tcp::endpoint &listen, Page page)
    : io_(io), acceptor_(io, listen), acceptRetry_(io), page_(std::move(page))
{
    accept();
}

void StatusServer::accept()
{
    acceptor_.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            acceptRetry_.arm([this] { accept(); });
            return;
        }
        std::make_shared<StatusConnection>(io_, std::move(socket), page_)->start();
        accept();
    });
}

} // namespace sequoiagate
