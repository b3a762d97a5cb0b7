#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtailrudder {

/// An error in a chart file, with the JSON path of the invalid member.
struct ChartError {
  std::string path;
  std::string message;
};

/// A transition of a chart, with its guard and action by name (empty if there is none).
struct ChartTransition {
  std::uint8_t to = 0;
  std::string guard;
  std::string action;
};

/// A state chart parsed from a JSON file in charts/. States and events are numbered like the enums
/// of the code that uses the chart; a missing or unknown name is an error.
class Chart {
 public:
  static std::variant<Chart, std::vector<ChartError>> Parse(
      std::string_view json, std::span<const std::string_view> states,
      std::span<const std::string_view> events);

  const std::string& name() const { return m_name; }
  std::uint8_t initial() const { return m_initial; }
  bool IsFinal(std::uint8_t state) const { return m_final[state]; }

  /// Returns the transitions of a state on an event in file order. The first one whose guard holds
  /// is taken.
  std::span<const ChartTransition> Find(std::uint8_t state, std::uint8_t event) const;

  std::size_t state_count() const { return m_final.size(); }
  std::size_t event_count() const { return m_event_count; }

 private:
  std::string m_name;
  std::uint8_t m_initial = 0;
  std::size_t m_event_count = 0;
  std::vector<bool> m_final;
  std::vector<std::vector<ChartTransition>> m_transitions;
};

/// Returns the JSON text of a chart in charts/ that is built into the binary ("task", "job",
/// "endpoint" or "zone"), or an empty text for an unknown name.
std::string_view BuiltInChart(std::string_view name);

}  // namespace foxtailrudder
