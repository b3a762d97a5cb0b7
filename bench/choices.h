#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/statistics.h"
#include "coordination/coordinator.h"

namespace foxtailrudder::bench {

struct ChoiceResult {
  std::string choice;
  double load = 0;
  /// Simulated time from the submission of a job to the first start of a task, in ms. About 2 ms of
  /// it is network delay.
  Summary wait_ms;
  double refused_per_task = 0;
  double retried_per_task = 0;
  std::size_t failed = 0;
};

/// Compares the executor selection policies on the same seeded arrivals in the deterministic
/// simulation of src/node/tests (11 sidecars with 8 slots each, tasks of 20 to 199 ms). The jobs
/// come from MakeArrivals, with the arrival times scaled to these run times.
std::vector<ChoiceResult> CompareChoices(std::uint64_t seed, int seconds);

std::string ToTable(const std::vector<ChoiceResult>& results);

}  // namespace foxtailrudder::bench
