// Feeds the input to the frame decoder and decodes each payload as a message and as a Hello. The
// sanitizers find memory errors; an accepted message must stay the same after Encode and Decode.
#include <cstdint>
#include <cstdlib>
#include <span>

#include "transport/codec.h"
#include "transport/frame.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
  FrameDecoder decoder;
  decoder.Feed({data, size});
  for (;;) {
    const auto next = decoder.Next();
    const auto* payload = std::get_if<0>(&next);
    if (payload == nullptr || !payload->has_value()) {
      break;
    }
    static_cast<void>(DecodeHello(**payload));
    const auto decoded = Decode(**payload);
    if (const auto* envelope = std::get_if<Envelope>(&decoded)) {
      const auto redecoded = Decode(Encode(*envelope));
      if (!std::holds_alternative<Envelope>(redecoded) ||
          std::get<Envelope>(redecoded) != *envelope) {
        std::abort();
      }
    }
  }
  return 0;
}
