#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/dispatch.h"
#include "dispatch/tests/offline_ideal.h"
#include "dispatch/tests/recording_log.h"
#include "policy/random.h"

namespace foxtailrudder::dispatch_test {

/// One kind of job, as in the workload that the users specify (the users' sheets).
struct JobKind {
  std::string name;
  /// Share of all arrivals.
  double share = 0;
  /// Mean values; the jobs vary around them.
  std::uint32_t tasks = 1;
  double run_ms = 100;
  std::uint32_t cpu_millicores = 1'000;
};

/// The three kinds of the users' sheets: many short jobs with many tasks, few large jobs, many
/// small jobs.
std::vector<JobKind> SheetKinds(std::uint32_t cpu_millicores);

struct LoadPlan {
  std::vector<JobKind> kinds;
  std::uint32_t entries = 3;
  std::uint32_t workers = 11;
  std::uint32_t worker_millicores = 64'000;
  /// Arriving work as a share of the workers' capacity, as a function of time.
  std::function<double(std::chrono::milliseconds)> offered;
  std::chrono::milliseconds length{10'000};
  /// Run time factor by worker index; 1 for a worker that is not listed.
  std::map<std::uint32_t, double> slowness;
  /// Standard deviation of the callers' estimates relative to the run time; 0.4 on the users'
  /// sheets.
  double estimate_spread = 0.4;
  /// How long each caller waits for an answer.
  std::chrono::milliseconds patience{3'000};
  /// Multiplies the queue's stretch and target latency.
  double objective_factor = 1;
  std::uint64_t seed = 1;
};

struct LoadResult {
  struct Kind {
    std::uint32_t asked = 0;
    /// Completed before the callers' deadlines, and those of them within the objective.
    std::uint32_t completed = 0;
    std::uint32_t within_objective = 0;
    std::uint32_t refused = 0;
  };
  std::map<std::string, Kind> kinds;
  std::uint32_t asked = 0;
  std::uint32_t completed = 0;
  std::uint32_t within_objective = 0;
  std::uint32_t refused = 0;
  /// Given up after a task had started, because the deadline came before the end.
  std::uint32_t given_up = 0;
  /// Refusals later than one review after the last moment at which the job could have started.
  std::uint32_t refused_too_late = 0;
  /// How long each refused caller was held.
  std::vector<std::chrono::milliseconds> held_before_refusal;
  /// Time from the arrival of each job to its completion.
  std::vector<std::chrono::milliseconds> answer_times;
  /// Every placement and every answer, in order of time.
  std::vector<std::string> decisions;
  /// Reports, task ends and load updates to one entry, and orders and replies to one worker: mean
  /// numbers in a second of the load, once the processes know each other.
  double entry_messages_per_second = 0;
  double worker_messages_per_second = 0;
  std::vector<ArrivedJob> arrivals;
};

/// Simulates a load in virtual time with the real dispatchers and executors. Endpoints, which run
/// tasks for random times, and the delay between processes are simulated.
LoadResult SimulateLoad(const LoadPlan& plan);

}  // namespace foxtailrudder::dispatch_test
