#pragma once

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>

namespace foxtailrudder::http_internal {

/// Limits of one HTTP message. Together they cover every byte that the peer chooses.
struct MessageLimits {
  /// Of the start line with the header fields; also of the header of each chunk, and of the
  /// trailer.
  std::size_t max_header_bytes = 0;
  std::size_t max_header_fields = 0;
  /// Of the data of the body, and of all that surrounds the data of its chunks.
  std::size_t max_body_bytes = 0;
};

enum class MessageStatus : std::uint8_t {
  /// More bytes are needed.
  kIncomplete,
  /// The header has just been read; the body has not.
  kHeaderComplete,
  kComplete,
  kHeaderTooLarge,
  kTooManyFields,
  kBodyTooLarge,
  kMalformed,
};

/// Reads one HTTP message from the buffer of its connection and holds no more of it than its limits
/// allow.
template <bool kIsRequest>
class MessageReader {
 public:
  using Message = boost::beast::http::message<kIsRequest, boost::beast::http::string_body>;

  explicit MessageReader(const MessageLimits& limits) : m_limits(limits) {
    m_parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    m_parser.body_limit(limits.max_body_bytes);
  }

  /// The message is a response to a HEAD request, which has no body.
  void SkipBody() { m_parser.skip(true); }

  /// Number of bytes that the next read should ask for. Little is read beyond the end of the
  /// message, because it stays in the buffer while the message is handled.
  std::size_t NextReadSize() const {
    if (!m_parser.is_header_done() || m_parser.chunked()) return kSmallReadBytes;
    // The body has room for the rest of it.
    const std::string& body = m_parser.get().body();
    return std::clamp(body.capacity() - body.size(), kSmallReadBytes, kLargeReadBytes);
  }

  /// Reads what the buffer holds and consumes it.
  MessageStatus Parse(boost::beast::flat_buffer& buffer) {
    while (buffer.size() >= MinParseBytes()) {
      const bool had_header = m_parser.is_header_done();
      boost::system::error_code error;
      const std::size_t used = m_parser.put(buffer.data(), error);
      buffer.consume(used);
      if (had_header) m_bytes_after_header += used;
      if (error == boost::beast::http::error::need_more) break;
      if (error) return StatusOf(error);
      if (!had_header && m_parser.is_header_done()) {
        const std::size_t fields = CountFields();
        if (fields > m_limits.max_header_fields) return MessageStatus::kTooManyFields;
        m_header_cost = used + fields * kFieldOverheadBytes;
        if (!m_parser.is_done()) return MessageStatus::kHeaderComplete;
      }
      if (m_parser.is_done()) {
        return CountFields() > m_limits.max_header_fields ? MessageStatus::kTooManyFields
                                                          : MessageStatus::kComplete;
      }
      if (IsFramingTooLarge(0)) return MessageStatus::kBodyTooLarge;
    }
    // Beast limits neither the header of a chunk nor the trailer.
    if (m_parser.is_header_done() && buffer.size() > m_limits.max_header_bytes) {
      return MessageStatus::kHeaderTooLarge;
    }
    return IsFramingTooLarge(buffer.size()) ? MessageStatus::kBodyTooLarge
                                            : MessageStatus::kIncomplete;
  }

  /// Tells that the peer has ended the stream. Returns whether that completes the message.
  bool ParseEnd() {
    if (!has_started()) return false;
    boost::system::error_code error;
    m_parser.put_eof(error);
    return !error && m_parser.is_done();
  }

  /// Whether any byte of the message has been read.
  bool has_started() const { return m_parser.got_some(); }

  /// Memory that the parts read so far take, apart from the buffer.
  std::size_t held_bytes() const { return m_header_cost + m_parser.get().body().capacity(); }

  const Message& message() const { return m_parser.get(); }
  Message Release() { return m_parser.release(); }

 private:
  static constexpr std::size_t kSmallReadBytes = 2U << 10U;
  static constexpr std::size_t kLargeReadBytes = 16U << 10U;
  /// Memory for a header field beside its name and value.
  static constexpr std::size_t kFieldOverheadBytes = 96;
  /// Size of the shortest last chunk with an empty trailer. Every message with chunks ends with at
  /// least as many bytes, so waiting for them never takes too long.
  static constexpr std::size_t kMinLastChunkBytes = 5;

  /// Beast asserts that a last chunk which it has seen in part continues with this many bytes.
  std::size_t MinParseBytes() const {
    return m_parser.is_header_done() && m_parser.chunked() ? kMinLastChunkBytes : 1;
  }

  std::size_t CountFields() const {
    const auto& fields = m_parser.get().base();
    return static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
  }

  /// `unread` bytes of the body are still in the buffer.
  bool IsFramingTooLarge(std::size_t unread) const {
    return m_bytes_after_header + unread >
           m_parser.get().body().size() + m_limits.max_body_bytes + m_limits.max_header_bytes;
  }

  static MessageStatus StatusOf(boost::system::error_code error) {
    if (error == boost::beast::http::error::body_limit) return MessageStatus::kBodyTooLarge;
    if (error == boost::beast::http::error::header_limit) return MessageStatus::kHeaderTooLarge;
    return MessageStatus::kMalformed;
  }

  const MessageLimits m_limits;
  boost::beast::http::parser<kIsRequest, boost::beast::http::string_body> m_parser;
  std::size_t m_bytes_after_header = 0;
  std::size_t m_header_cost = 0;
};

}  // namespace foxtailrudder::http_internal
