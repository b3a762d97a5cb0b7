#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "model/time.h"

namespace foxtailrudder {

/// Logs changes of process state. States are sampled at most once per period, so that a state that
/// changes rapidly does not flood the log.
class StateLog {
 public:
  /// Returns true once per period; the caller then reports every state.
  bool IsDue(SteadyTime now);

  /// Logs changes of a condition that holds in normal operation: a warning when it becomes false,
  /// info when it becomes true. The first report is logged only if it is true.
  void Report(const std::string& condition, bool holds);
  /// Logs a number when it changes.
  void Report(const std::string& name, std::uint64_t value);

 private:
  SteadyTime m_next_report{};
  std::map<std::string, std::uint64_t> m_last_values;
};

}  // namespace foxtailrudder
