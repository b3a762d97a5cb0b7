#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/tests/dispatch_world.h"

namespace foxtailrudder::bench {

/// Load on the decision modules of direct dispatch, in virtual time. Defaults are the users'
/// smaller site.
struct DispatchLoadOptions {
  std::uint32_t entries = 3;
  std::uint32_t workers = 11;
  double worker_cores = 64;
  double task_cores = 6.2;
  /// Work that arrives as a share of the workers' room, and the same within the burst.
  double offered = 0.65;
  double burst = 1.3;
  std::chrono::milliseconds burst_from{3'000};
  std::chrono::milliseconds burst_until{7'000};
  std::chrono::milliseconds length{10'000};
  std::uint32_t slow_workers = 0;
  /// Seeds 1 to this number.
  std::uint32_t seeds = 3;
};

/// One kind of job, or all of them, over all seeds.
struct DispatchLoadRow {
  std::string kind;
  std::uint32_t asked = 0;
  double within_objective = 0;
  double late = 0;
  double refused = 0;
};

struct DispatchLoadResult {
  std::vector<DispatchLoadRow> rows;
  std::uint32_t refused_late = 0;
  /// Worth earned, as a share of all that was offered and of the offline ideal.
  double worth = 0;
  double of_ideal = 0;
};

DispatchLoadResult PlayDispatchLoad(const DispatchLoadOptions& options);

std::string ToTable(const DispatchLoadResult& result);

}  // namespace foxtailrudder::bench
