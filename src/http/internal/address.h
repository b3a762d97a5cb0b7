#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace foxtailrudder::http_internal {

/// Parses "IP:PORT". Host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(const std::string& address);

std::string AddressText(const boost::asio::ip::tcp::endpoint& endpoint);

enum class PeekResult : unsigned char { kNothing, kData, kClosed };
/// Checks whether the peer has closed the connection or sent bytes, without consuming any.
PeekResult Peek(boost::asio::ip::tcp::socket& socket);
/// Whether the peer has closed or reset the connection, also if unread bytes came before.
bool IsClosedByPeer(boost::asio::ip::tcp::socket& socket);

}  // namespace foxtailrudder::http_internal
