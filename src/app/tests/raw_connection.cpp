#include "app/tests/raw_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace foxtailrudder::app_test {
namespace {

constexpr int kSendTimeoutMs = 10'000;

}  // namespace

RawConnection::RawConnection(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
  m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(m_socket, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0) return;
  close(m_socket);
  m_socket = -1;
}

RawConnection::~RawConnection() {
  if (m_socket >= 0) close(m_socket);
}

bool RawConnection::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    pollfd ready{m_socket, POLLOUT, 0};
    if (poll(&ready, 1, kSendTimeoutMs) != 1) return false;
    const ssize_t sent = send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool RawConnection::Send(std::span<const std::uint8_t> bytes) {
  return Send(std::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

void RawConnection::ShutdownSend() { shutdown(m_socket, SHUT_WR); }

void RawConnection::Reset() {
  if (m_socket < 0) return;
  const linger discard{1, 0};
  setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
  close(m_socket);
  m_socket = -1;
}

std::string RawConnection::ReadUntilClosed(std::chrono::milliseconds timeout) {
  std::string received;
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    pollfd ready{m_socket, POLLIN, 0};
    if (left.count() <= 0 || poll(&ready, 1, static_cast<int>(left.count())) != 1) break;
    std::array<char, 4096> buffer{};
    const ssize_t size = recv(m_socket, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      m_was_closed = true;
      break;
    }
    received.append(buffer.data(), static_cast<std::size_t>(size));
  }
  return received;
}

}  // namespace foxtailrudder::app_test
