#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace foxtailrudder::bench {

using Milliseconds = std::chrono::duration<double, std::milli>;

struct WorkloadOptions {
  std::uint64_t seed = 1;
  std::uint32_t slots = 88;
  /// Offered work as a share of the capacity of the slots.
  double load = 0.7;
  Milliseconds duration{25'000};
  /// The arrival rate is multiplied by this within [burst_begin, burst_end).
  double burst_factor = 1;
  Milliseconds burst_begin{0};
  Milliseconds burst_end{0};
};

struct JobArrival {
  /// Intended send time, from the start of the run. Latency is measured from it, so that a late
  /// send counts towards the latency.
  Milliseconds at{0};
  std::vector<Milliseconds> run_times;
  bool urgent = false;

  Milliseconds longest() const;
  Milliseconds work() const;
};

/// Generates Poisson arrivals of jobs of mixed size. The same options give the same arrivals.
std::vector<JobArrival> MakeArrivals(const WorkloadOptions& options);

Milliseconds MeanRunTime();

/// Mean sum of the run times of a job's tasks, from which the arrival rate follows.
Milliseconds MeanJobWork();

}  // namespace foxtailrudder::bench
