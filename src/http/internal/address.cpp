#include "http/internal/address.h"

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>
#include <cerrno>
#include <charconv>

namespace foxtailrudder::http_internal {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> ParseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

std::string AddressText(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

PeekResult Peek(tcp::socket& socket) {
  char byte = 0;
  const auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) {
    return PeekResult::kData;
  }
  if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    return PeekResult::kNothing;
  }
  return PeekResult::kClosed;
}

bool IsClosedByPeer(tcp::socket& socket) {
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace foxtailrudder::http_internal
