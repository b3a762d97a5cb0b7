// Decodes the input as each kind of row of the table service. An accepted row must stay the same
// after encoding and decoding.
#include "config/config.h"
#include "fuzz/require.h"

namespace {

template <typename Row>
void CheckRow(std::variant<Row, foxtailrudder::Faults> (*decode)(std::string_view),
              std::string (*encode)(const Row&), std::string_view text) {
  using foxtailrudder::fuzzing::Require;
  const auto decoded = decode(text);
  const Row* row = std::get_if<Row>(&decoded);
  if (row == nullptr) {
    Require(!std::get<foxtailrudder::Faults>(decoded).empty(),
            "a rejected row has at least one fault");
    return;
  }
  const auto redecode_result = decode(encode(*row));
  const Row* redecoded = std::get_if<Row>(&redecode_result);
  Require(redecoded != nullptr && *redecoded == *row,
          "encoding and decoding a row keeps it unchanged");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = foxtailrudder::fuzzing::InputText(data, size);
  CheckRow(foxtailrudder::DecodeControlRow, foxtailrudder::EncodeControlRow, text);
  CheckRow(foxtailrudder::DecodeMembersRow, foxtailrudder::EncodeMembersRow, text);
  CheckRow(foxtailrudder::DecodeDurableClaim, foxtailrudder::EncodeDurableClaim, text);
  return 0;
}
