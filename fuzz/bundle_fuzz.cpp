// Parses the input as a bundle. An accepted bundle must stay the same after FormatBundle and
// ParseBundle.
#include "config/config.h"
#include "fuzz/require.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using foxtailrudder::fuzzing::Require;
  const auto parsed = foxtailrudder::ParseBundle(foxtailrudder::fuzzing::InputText(data, size));
  const auto* bundle = std::get_if<foxtailrudder::Bundle>(&parsed);
  if (bundle == nullptr) {
    const auto& faults = std::get<foxtailrudder::Faults>(parsed);
    Require(!faults.empty(), "a rejected input has at least one fault");
    Require(faults.size() <= foxtailrudder::kMaxFaults,
            "the number of faults is at most kMaxFaults");
    return 0;
  }
  const auto reparse_result = foxtailrudder::ParseBundle(foxtailrudder::FormatBundle(*bundle));
  const auto* reparsed = std::get_if<foxtailrudder::Bundle>(&reparse_result);
  Require(reparsed != nullptr && *reparsed == *bundle,
          "formatting and parsing a bundle keeps it unchanged");
  return 0;
}
