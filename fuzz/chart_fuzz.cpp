// Parses the input as a state chart. An accepted chart must only have transitions between known
// states, and parsing the same text twice must give the same chart.
#include "fuzz/require.h"
#include "lifecycle/lifecycle.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using foxtailrudder::Chart;
  using foxtailrudder::fuzzing::Require;
  const std::string_view text = foxtailrudder::fuzzing::InputText(data, size);
  const auto parse = [&text] {
    return Chart::Parse(text, foxtailrudder::kEndpointStateNames,
                        foxtailrudder::kEndpointEventNames);
  };
  const auto parsed = parse();
  const auto* chart = std::get_if<Chart>(&parsed);
  if (chart == nullptr) {
    Require(!std::get<1>(parsed).empty(), "a rejected input has at least one fault");
    return 0;
  }
  const auto reparse_result = parse();
  const auto* reparsed = std::get_if<Chart>(&reparse_result);
  Require(reparsed != nullptr && reparsed->name() == chart->name(),
          "parsing the same text twice gives the same chart name");
  Require(chart->initial() < chart->state_count(), "the initial state is a known state");
  for (std::size_t state = 0; state < chart->state_count(); ++state) {
    for (std::size_t event = 0; event < chart->event_count(); ++event) {
      const auto source = static_cast<std::uint8_t>(state);
      const auto trigger = static_cast<std::uint8_t>(event);
      const auto transitions = chart->Find(source, trigger);
      Require(transitions.size() == reparsed->Find(source, trigger).size(),
              "parsing the same text twice gives the same number of transitions");
      for (const auto& transition : transitions) {
        Require(transition.to < chart->state_count(), "a transition leads to a known state");
      }
    }
  }
  return 0;
}
