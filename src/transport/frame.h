#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "model/error_kind.h"

namespace foxtailrudder {

/// With up to 1,300 tasks in a job, 16 MiB allows about 12 KiB of payload for each task.
inline constexpr std::size_t kMaxFrameBytes = 16U << 20U;

/// Size of the little-endian length prefix.
inline constexpr std::size_t kFramePrefixBytes = 4;

/// Prepends the length prefix to a payload. Fails with kBodyTooLarge if the payload is longer than
/// kMaxFrameBytes.
std::variant<std::vector<std::uint8_t>, Error> MakeFrame(std::span<const std::uint8_t> payload);

/// Splits a byte stream into frame payloads.
class FrameDecoder {
 public:
  explicit FrameDecoder(std::size_t max_frame_bytes = kMaxFrameBytes)
      : m_max_frame_bytes(max_frame_bytes) {}

  /// Changes the limit for all frames that Next has not returned yet.
  void set_max_frame_bytes(std::size_t bytes) { m_max_frame_bytes = bytes; }

  /// Appends received bytes.
  void Feed(std::span<const std::uint8_t> bytes);

  /// Returns the next complete payload, nullopt if more bytes are needed, or kMalformedFrame if the
  /// frame is empty or too long. After an error, every further call returns the same error.
  std::variant<std::optional<std::vector<std::uint8_t>>, Error> Next();

  std::size_t buffered_bytes() const { return m_buffer.size() - m_begin; }

 private:
  std::size_t m_max_frame_bytes;
  std::vector<std::uint8_t> m_buffer;
  std::size_t m_begin = 0;
  std::optional<Error> m_error;
};

}  // namespace foxtailrudder
