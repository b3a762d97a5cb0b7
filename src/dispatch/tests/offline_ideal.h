#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace foxtailrudder::dispatch_test {

/// One job as it arrived, with what nobody knows before it has run.
struct ArrivedJob {
  std::string kind;
  std::chrono::microseconds arrived{0};
  /// End of its objective.
  std::chrono::microseconds due{0};
  /// Millicore seconds of all its tasks.
  double work = 0;
  /// What it earns if it ends within its objective.
  double worth = 1;
};

/// The worth that no order of the jobs can exceed on that room. Work is taken as divisible at will,
/// so that a job may be served in part and earns its share; the result is an upper bound of what
/// can be reached, and is exact for that relaxation: work per unit of room is served by falling
/// worth.
double OfflineIdeal(std::vector<ArrivedJob> jobs, double room_millicores);

}  // namespace foxtailrudder::dispatch_test
