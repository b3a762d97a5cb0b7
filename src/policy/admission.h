#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "model/bundle.h"
#include "model/error_kind.h"
#include "model/job.h"
#include "model/time.h"

namespace foxtailrudder {

/// Load on the executors and the queue at the time a job is submitted.
struct AdmissionLoad {
  /// Queued tasks that will start before the tasks of the job.
  std::uint32_t queued_tasks = 0;
  std::uint32_t max_queued_tasks = 0;
  /// Total slots of the executors that may be used.
  std::uint32_t slots = 0;
  /// Slots without a task.
  std::uint32_t free_slots = 0;
  /// Estimated mean run time; determines how fast occupied slots become free.
  std::chrono::milliseconds mean_run_time{0};
  /// Estimated quantile of the run time, used for the last task of the job.
  std::chrono::milliseconds last_run_time{0};
};

/// Admission control: rejects a job on submission if it can never run or cannot meet its deadline.
class Admission {
 public:
  /// Validates a job against the bundle alone: team, service, task sizes and deadline.
  static std::optional<ErrorKind> CheckJob(const JobSpec& job, const Bundle& bundle, Now now);

  /// Checks whether a job with this many tasks fits in the queue and can finish before its deadline
  /// under the load.
  static std::optional<ErrorKind> Check(std::uint32_t tasks, WallTime deadline,
                                        const AdmissionLoad& load, Now now);

  /// Expected time until the last task of the job has finished.
  static std::chrono::milliseconds ExpectedDuration(std::uint32_t tasks, const AdmissionLoad& load);
};

}  // namespace foxtailrudder
