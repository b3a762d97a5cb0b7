#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/tests/dispatch_world.h"

namespace foxtailrudder::bench {

/// Simulated load on the decision modules of direct dispatch, in virtual time. The defaults are the
/// dimensions of the users' smaller site.
struct DispatchLoadOptions {
  std::uint32_t entries = 3;
  std::uint32_t workers = 11;
  double worker_cores = 64;
  double task_cores = 6.2;
  /// Offered work as a share of the workers' capacity, outside and within the burst.
  double offered = 0.65;
  double burst = 1.3;
  std::chrono::milliseconds burst_from{3'000};
  std::chrono::milliseconds burst_until{7'000};
  std::chrono::milliseconds length{10'000};
  std::uint32_t slow_workers = 0;
  /// Number of runs; they use the seeds 1 to this number.
  std::uint32_t seeds = 3;
};

/// Totals of one kind of job, or of all kinds, over all seeds.
struct DispatchLoadRow {
  std::string kind;
  std::uint32_t submitted = 0;
  /// Answered before the callers' deadlines, and those of them within the objective.
  double completed = 0;
  double within_objective = 0;
  double refused = 0;
};

struct DispatchLoadResult {
  std::vector<DispatchLoadRow> rows;
  /// Longest time for which a refused caller was held.
  std::chrono::milliseconds longest_refusal{0};
  /// Messages a second to one entry and to one sidecar, on average.
  double entry_messages_per_second = 0;
  double sidecar_messages_per_second = 0;
  /// Completed jobs as a share of what the best schedule completes before the deadlines.
  double of_ideal = 0;
};

DispatchLoadResult SimulateDispatchLoad(const DispatchLoadOptions& options);

std::string ToTable(const DispatchLoadResult& result);

}  // namespace foxtailrudder::bench
