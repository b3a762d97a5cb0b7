#pragma once

#include <functional>
#include <string>
#include <vector>

#include "bench/fleet.h"
#include "bench/statistics.h"
#include "bench/workload.h"

namespace foxtailrudder::bench {

/// An action on the system at a given time of the run, such as taking a zone out.
struct TimedAction {
  Milliseconds at{0};
  std::function<void()> action;
};

struct LoadOptions {
  WorkloadOptions workload;
  /// How long to wait for outstanding responses after the end of the arrivals.
  Milliseconds response_timeout{15'000};
  /// Deadline of each non-urgent job, counted from its intended send time.
  Milliseconds deadline{30'000};
  /// Deadline of an urgent job, in addition to its longest run time, so that every deadline can be
  /// met.
  Milliseconds urgent_slack{2000};
  /// One-way delay between caller and entry. This client adds it because loopback has no delay.
  Milliseconds client_delay{0};
  bool wrong_hints = false;
  /// Jobs still unanswered at this time are cancelled; 0 cancels none.
  Milliseconds cancel_at{0};
  std::string key_prefix;
};

/// Outcome of one job.
struct JobRecord {
  Milliseconds latency{0};
  unsigned status = 0;
  std::string error_kind;
  bool not_run = false;
  bool answered = false;
  bool sent = false;
  bool cancelled = false;
};

struct LoadResult {
  std::vector<JobArrival> arrivals;
  std::vector<JobRecord> records;
  FleetCounters counters;
  /// Network round-trip time between caller and entry on the idle system.
  Milliseconds round_trip{0};
  /// Median response time of a one-task job beyond its run time on the idle system: the cost of all
  /// hops and processing.
  Milliseconds idle_overhead{0};
  /// Longest delay of a send after its intended time. A high value means that the load generator
  /// itself did not keep up.
  Milliseconds max_send_delay{0};
};

struct LoadFigures {
  /// Response time of the completed jobs over the ideal: longest run time plus network round trip.
  Summary all;
  Summary single;
  /// Sum of the response times over the sum of the ideal times.
  double ratio_of_means = 0;
  std::size_t complete = 0;
  std::size_t failed = 0;
  std::size_t refused = 0;
  std::size_t cancelled = 0;
  std::size_t unanswered = 0;
  std::size_t urgent_accepted = 0;
  std::size_t urgent_late = 0;
  double wasted_per_task = 0;
  /// Work of the completed jobs over the work of all jobs.
  double work_share = 0;
  /// Number of jobs by error kind.
  std::vector<std::pair<std::string, std::size_t>> error_kinds;
};

/// Measures the idle system, then runs the load and the actions. Blocks until the actions are
/// done and all responses have arrived or the response timeout has passed.
LoadResult RunLoad(Fleet& fleet, const LoadOptions& options,
                   const std::vector<TimedAction>& actions);

LoadFigures Evaluate(const LoadResult& result, const LoadOptions& options);

/// Work of the jobs that completed by `until`.
Milliseconds CompletedWork(const LoadResult& result, Milliseconds until);

}  // namespace foxtailrudder::bench
