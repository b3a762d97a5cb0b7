#include "transport/frame.h"

#include <algorithm>
#include <string>

namespace foxtailrudder {

std::variant<std::vector<std::uint8_t>, Error> MakeFrame(std::span<const std::uint8_t> payload) {
  if (payload.size() > kMaxFrameBytes) {
    return Error{ErrorKind::kBodyTooLarge, "message of " + std::to_string(payload.size()) +
                                               " bytes exceeds the frame size limit"};
  }
  std::vector<std::uint8_t> frame(kFramePrefixBytes + payload.size());
  for (std::size_t i = 0; i < kFramePrefixBytes; ++i) {
    frame[i] = static_cast<std::uint8_t>(payload.size() >> (8 * i));
  }
  std::ranges::copy(payload, frame.begin() + kFramePrefixBytes);
  return frame;
}

void FrameDecoder::Feed(std::span<const std::uint8_t> bytes) {
  if (m_begin > 0) {
    m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_begin));
    m_begin = 0;
  }
  m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

std::variant<std::optional<std::vector<std::uint8_t>>, Error> FrameDecoder::Next() {
  if (m_error) {
    return *m_error;
  }
  if (buffered_bytes() < kFramePrefixBytes) {
    return std::nullopt;
  }
  std::size_t size = 0;
  for (std::size_t i = 0; i < kFramePrefixBytes; ++i) {
    size |= static_cast<std::size_t>(m_buffer[m_begin + i]) << (8 * i);
  }
  if (size == 0 || size > m_max_frame_bytes) {
    m_error = Error{ErrorKind::kMalformedFrame, "invalid frame length " + std::to_string(size)};
    return *m_error;
  }
  if (buffered_bytes() < kFramePrefixBytes + size) {
    return std::nullopt;
  }
  const auto begin =
      m_buffer.begin() + static_cast<std::ptrdiff_t>(m_begin) + std::ptrdiff_t{kFramePrefixBytes};
  std::vector<std::uint8_t> payload(begin, begin + static_cast<std::ptrdiff_t>(size));
  m_begin += kFramePrefixBytes + size;
  return payload;
}

}  // namespace foxtailrudder
