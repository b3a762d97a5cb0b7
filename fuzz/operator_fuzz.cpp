// Parses the input as an operator's change. An accepted change must stay the same after
// FormatOperatorChange and ParseOperatorChange, because ctl and the entry exchange it in this form.
#include "app/internal/operator_codec.h"
#include "fuzz/require.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using foxtailrudder::fuzzing::Require;
  const auto parsed =
      foxtailrudder::ParseOperatorChange(foxtailrudder::fuzzing::InputText(data, size));
  const auto* change = std::get_if<foxtailrudder::OperatorChange>(&parsed);
  if (change == nullptr) return 0;
  const std::string text = foxtailrudder::FormatOperatorChange(*change);
  const auto reparse_result = foxtailrudder::ParseOperatorChange(text);
  const auto* reparsed = std::get_if<foxtailrudder::OperatorChange>(&reparse_result);
  Require(reparsed != nullptr, "a formatted change can be parsed");
  Require(reparsed->change.index() == change->change.index(),
          "formatting and parsing keeps the kind of change");
  Require(foxtailrudder::FormatOperatorChange(*reparsed) == text,
          "formatting and parsing a change keeps its text");
  return 0;
}
