#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bench/load_runner.h"

namespace foxtailrudder::bench {

struct ScenarioOptions {
  std::uint64_t seed = 1;
  Milliseconds duration{25'000};
  Milliseconds client_delay{0};
  double load = 0.7;
};

struct ScenarioResult {
  std::string name;
  ScenarioOptions options;
  LoadResult load;
  LoadFigures figures;
  /// Work completed by the end of the arrivals over the possible work (see PossibleWork).
  double work_of_possible = 0;
};

std::vector<std::string> ScenarioNames();

/// Runs one scenario against a running fleet. Returns nullopt if the name is unknown.
std::optional<ScenarioResult> RunScenario(Fleet& fleet, const std::string& name,
                                          const ScenarioOptions& options);

}  // namespace foxtailrudder::bench
