#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace foxtailrudder::dispatch_test {

/// A job that arrived, with the properties that are known only after it has run.
struct ArrivedJob {
  std::string kind;
  std::chrono::microseconds arrived{0};
  /// Until when its caller waits.
  std::chrono::microseconds due{0};
  /// Work of all its tasks, in millicore seconds.
  double work = 0;
  /// Value of the job if it completes by then.
  double worth = 1;
};

/// Returns an upper bound of the value that any schedule of the jobs can earn on the given
/// capacity. Work is relaxed to be arbitrarily divisible, so a job served in part earns that part
/// of its value; the bound is exact for this relaxation, which serves work in order of decreasing
/// value per unit of capacity.
double OfflineIdeal(std::vector<ArrivedJob> jobs, double capacity_millicores);

}  // namespace foxtailrudder::dispatch_test
