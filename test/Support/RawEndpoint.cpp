#include "test/Support/RawEndpoint.h"

#include <array>
#include <vector>

#include <fmt/format.h>

namespace sequoiagate {

using boost::asio::ip::tcp;
using boost::system::error_code;

RawEndpoint::RawEndpoint(const std::string &ip, Answer answer)
    : answer_(std::move(answer)), acceptor_(io_)
{
    const tcp::endpoint address(boost::asio::ip::make_address(ip), 0);
    acceptor_.open(tcp::v4());
    acceptor_.bind(address);
    acceptor_.listen();
    acceptor_.non_blocking(true);
    thread_ = std::thread([this] { accept(); });
}

RawEndpoint::~RawEndpoint()
{
    isStopping_ = true;
    thread_.join();
}

std::string RawEndpoint::address() const
{
    const tcp::endpoint local = acceptor_.local_endpoint();
    return fmt::format("{}:{}", local.address().to_string(), local.port());
}

void RawEndpoint::accept()
{
    std::vector<std::thread> connections;
    while (!isStopping_) {
        error_code error;
        tcp::socket socket(io_);
        acceptor_.accept(socket, error);
        if (error) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            continue;
        }
        connections.emplace_back(
                [this, accepted = std::move(socket)]() mutable { serve(accepted); });
    }
    for (std::thread &connection : connections) {
        connection.join();
    }
}

void RawEndpoint::serve(tcp::socket &socket)
{
    error_code error;
    socket.non_blocking(false);
    std::array<char, 4096> buffer{};
    std::string request;
    while (!error && request.find("\r\n\r\n") == std::string::npos) {
        request.append(buffer.data(), socket.read_some(boost::asio::buffer(buffer), error));
    }
    if (!requestIdLine(request).empty()) {
        answer_(socket, request);
    }
}

std::string requestIdLine(const std::string &request)
{
    const std::size_t at = request.find("Request-Id: ");
    return at == std::string::npos ? "" : request.substr(at, request.find("\r\n", at) - at);
}

} // namespace sequoiagate
