#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace foxtailrudder::app_test {

/// A TCP connection that sends arbitrary bytes, including bytes that an HTTP client would not send.
class RawConnection {
 public:
  explicit RawConnection(const std::string& address);
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;
  ~RawConnection();

  bool is_open() const { return m_socket >= 0; }

  /// Returns false if the peer closed the connection or stopped reading before all bytes were sent.
  bool Send(std::string_view bytes);
  bool Send(std::span<const std::uint8_t> bytes);
  /// Ends the sending direction; the peer reads an end of the stream.
  void ShutdownSend();
  /// Closes the connection with a reset, which discards what the peer has not read.
  void Reset();
  /// Returns what the peer sends until it closes the connection or the timeout expires.
  std::string ReadUntilClosed(std::chrono::milliseconds timeout);
  /// Whether ReadUntilClosed ended because the peer closed the connection.
  bool was_closed() const { return m_was_closed; }

 private:
  int m_socket = -1;
  bool m_was_closed = false;
};

}  // namespace foxtailrudder::app_test
