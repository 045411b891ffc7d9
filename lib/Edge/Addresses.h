#ifndef SEQUOIAGATE_LIB_EDGE_ADDRESSES_H
#define SEQUOIAGATE_LIB_EDGE_ADDRESSES_H

/// Parses and formats IPv4 addresses as "IP:port".

#include <optional>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace sequoiagate {

std::optional<boost::asio::ip::tcp::endpoint> parseTcpAddress(const std::string &text);
std::optional<boost::asio::ip::udp::endpoint> parseUdpAddress(const std::string &text);

std::string addressText(const boost::asio::ip::udp::endpoint &address);
std::string addressText(const boost::asio::ip::tcp::endpoint &address);

} // namespace sequoiagate

#endif
