#include "Addresses.h"

#include <charconv>

namespace sequoiagate {

namespace {

template <typename Endpoint>
std::optional<Endpoint> parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    unsigned short port = 0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return Endpoint(ip, port);
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> parseTcpAddress(const std::string &text)
{
    return parse<boost::asio::ip::tcp::endpoint>(text);
}

std::optional<boost::asio::ip::udp::endpoint> parseUdpAddress(const std::string &text)
{
    return parse<boost::asio::ip::udp::endpoint>(text);
}

std::string addressText(const boost::asio::ip::udp::endpoint &address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

std::string addressText(const boost::asio::ip::tcp::endpoint &address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace sequoiagate
