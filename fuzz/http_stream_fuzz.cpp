// Feeds the reader of HTTP messages a stream in arbitrary pieces. The first byte of the input
// chooses requests or responses, each further piece is preceded by its size.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "fuzz/require.h"
#include "http/internal/message_reader.h"

namespace {

using foxtailrudder::http_internal::MessageLimits;
using foxtailrudder::http_internal::MessageReader;
using foxtailrudder::http_internal::MessageStatus;

constexpr MessageLimits kLimits{500, 10, 300};
/// Strings grow by doubling.
constexpr std::size_t kMaxHeldBytes = kLimits.max_header_bytes + 2 * kLimits.max_body_bytes + 2'000;

template <bool kIsRequest>
void ReadStream(std::span<const std::uint8_t> input) {
  boost::beast::flat_buffer buffer;
  std::optional<MessageReader<kIsRequest>> reader(std::in_place, kLimits);
  while (!input.empty()) {
    const std::size_t read_size = reader->NextReadSize();
    foxtailrudder::fuzzing::Require(read_size > 0, "a read of no bytes");
    const std::size_t size =
        std::min({read_size, static_cast<std::size_t>(input[0]), input.size() - 1});
    const auto target = buffer.prepare(size);
    std::copy_n(input.data() + 1, size, static_cast<std::uint8_t*>(target.data()));
    buffer.commit(size);
    input = input.subspan(1 + size);
    const MessageStatus status = reader->Parse(buffer);
    if (status == MessageStatus::kComplete) {
      foxtailrudder::fuzzing::Require(reader->message().body().size() <= kLimits.max_body_bytes,
                                      "body over its limit");
      reader.emplace(kLimits);
    } else if (status != MessageStatus::kIncomplete && status != MessageStatus::kHeaderComplete) {
      return;
    }
    foxtailrudder::fuzzing::Require(reader->held_bytes() <= kMaxHeldBytes,
                                    "parsed parts too large");
    foxtailrudder::fuzzing::Require(buffer.size() <= kLimits.max_header_bytes + 16 * 1'024,
                                    "unparsed bytes too large");
  }
  reader->ParseEnd();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::span input(data + 1, size - 1);
  if (data[0] % 2 == 0) {
    ReadStream<true>(input);
  } else {
    ReadStream<false>(input);
  }
  return 0;
}
