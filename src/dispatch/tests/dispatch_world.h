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

/// One kind of job, as on the users' sheets.
struct JobKind {
  std::string name;
  /// Share of all arrivals.
  double share = 0;
  /// Means; jobs differ around them.
  std::uint32_t tasks = 1;
  double run_ms = 100;
  std::uint32_t cpu_millicores = 1'000;
  /// What a job earns if it ends within its objective; a late one earns a fifth.
  double worth = 1;
};

/// The three kinds of the users' sheets: many wide and short, few large, many small.
std::vector<JobKind> SheetKinds(std::uint32_t cpu_millicores);

/// How long the callers of a plan wait for an answer.
inline constexpr std::chrono::milliseconds kPatience{3'000};

struct LoadPlan {
  std::vector<JobKind> kinds;
  std::uint32_t entries = 3;
  std::uint32_t workers = 11;
  std::uint32_t worker_millicores = 64'000;
  /// Work that arrives, as a share of the workers' room; changes with time.
  std::function<double(std::chrono::milliseconds)> offered;
  std::chrono::milliseconds length{10'000};
  /// How much slower each worker is; 1 if not named.
  std::map<std::uint32_t, double> slowness;
  /// How far callers' estimates are off, as one standard deviation; 0.4 on the users' sheets.
  double estimate_spread = 0.4;
  std::uint64_t seed = 1;
};

struct LoadResult {
  struct Kind {
    std::uint32_t asked = 0;
    std::uint32_t in_aim = 0;
    std::uint32_t late = 0;
    std::uint32_t refused = 0;
  };
  std::map<std::string, Kind> kinds;
  std::uint32_t asked = 0;
  std::uint32_t in_aim = 0;
  std::uint32_t refused = 0;
  /// Refusals later than a quarter of the job's objective after its arrival.
  std::uint32_t refused_late = 0;
  /// Longest time until a refusal.
  std::chrono::milliseconds longest_refusal{0};
  /// Earned by the jobs that were served.
  double worth = 0;
  std::vector<ArrivedJob> arrivals;
};

/// Plays arrivals on the real decision modules in virtual time: entries, sidecars, endpoints that
/// run tasks for drawn times, and a delay between the processes.
LoadResult PlayLoad(const LoadPlan& plan);

}  // namespace foxtailrudder::dispatch_test
