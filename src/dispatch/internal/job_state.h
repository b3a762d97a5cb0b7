#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "dispatch/dispatch_plan.h"
#include "dispatch/internal/run_time_history.h"
#include "dispatch/job.h"
#include "model/messages.h"

namespace foxtailrudder {

enum class SlotState : std::uint8_t { kBlocked, kWaiting, kPlaced, kDone };

/// Scheduling state of one task of a step.
struct TaskProgress {
  SlotState state = SlotState::kBlocked;
  /// Number of the last attempt.
  std::uint32_t attempt = 0;
  std::uint32_t failures = 0;
  std::uint32_t stalls = 0;
  OrderId order = 0;
  NodeId avoid = 0;
  /// Endpoints have crashed under the task; it waits for a quarantined worker.
  bool is_suspect = false;
  /// The last attempt has waited for a worker with recent successes.
  bool waited_for_proven_worker = false;
};

struct StepState {
  std::vector<TaskProgress> tasks;
  /// The caller's estimate of one task's run time; 0 if there is none.
  std::chrono::milliseconds estimate{0};
  /// What is known of such tasks, if enough have run lately.
  std::optional<KnownRunTime> known_run_time;
  /// The run time that decides whether the job is hopeless: the known one; else the estimate,
  /// unless it contradicts the caller, who would not wait for less than that.
  std::chrono::milliseconds trusted_run{0};
  std::uint32_t done = 0;
  bool released = false;
  /// By which the step must start so that the job completes before the first of its callers'
  /// deadlines; the order of waiting steps.
  SteadyTime latest_start;
  /// After this time the job is no longer expected to complete before any of the deadlines.
  SteadyTime last_useful_start;
  /// Number of the step's tasks placed on each worker.
  std::map<NodeId, std::uint32_t> tasks_per_worker;
};

struct JobState {
  JobName name;
  std::uint64_t sequence = 0;
  DispatchJob job;
  QueuePlan queue;
  /// The deadline of each waiting caller's request.
  std::map<RequestId, SteadyTime> requests;
  SteadyTime submitted_at;
  /// End of the queue's objective, a measure for the log only.
  SteadyTime objective_end;
  std::vector<StepState> steps;
  /// A placement has ended with a result other than "not run".
  bool ran = false;
  /// No task is placed until the entry holds the claim again.
  bool is_suspended = false;
  std::uint32_t open_orders = 0;

  /// True also for an open placement, which its worker may have started.
  bool may_have_run() const { return ran || open_orders > 0; }

  /// Until when the last of the callers waits for the answer.
  SteadyTime LastDeadline() const;
  /// Sets the start times of the steps from the deadlines of the requests.
  void SetStartTimes();
};

/// Order of waiting steps: the operators' priority, then whose caller runs out of time first.
struct WaitKey {
  std::uint32_t priority = 0;
  SteadyTime latest_start;
  /// Sequence number of the job; of two jobs with the same times the one that came first.
  std::uint64_t sequence = 0;
  std::uint32_t step = 0;

  friend bool operator<(const WaitKey& left, const WaitKey& right) {
    return std::tie(left.priority, left.latest_start, left.sequence, left.step) <
           std::tie(right.priority, right.latest_start, right.sequence, right.step);
  }
};

inline WaitKey KeyOf(const JobState& job, std::uint32_t step) {
  return {job.queue.priority, job.steps[step].latest_start, job.sequence, step};
}

/// The waiting tasks of one step.
struct WaitingStep {
  JobState* job = nullptr;
  std::uint32_t step = 0;
  std::vector<std::uint32_t> tasks;
};

using WaitingSteps = std::map<WaitKey, WaitingStep>;

/// Worker and task of an order, that is, of the placement of one task on a worker.
struct OrderAssignment {
  NodeId worker = 0;
  JobName job;
  /// Distinguishes the job from a later one with the same name.
  std::uint64_t job_sequence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  /// The caller's estimate of the run time; 0 if there is none.
  std::chrono::milliseconds estimate{0};
};

/// Returns for each step the length of the critical path from its start to the end of the job.
std::vector<std::chrono::milliseconds> RemainingCriticalPaths(
    const std::vector<JobStep>& steps, const std::vector<std::chrono::milliseconds>& run_times);
std::vector<std::chrono::milliseconds> RemainingCriticalPaths(const std::vector<JobStep>& steps);
/// Returns the length of the critical path of the whole job.
std::chrono::milliseconds CriticalPath(const std::vector<JobStep>& steps);
/// The same for the run times that are trusted.
std::chrono::milliseconds TrustedCriticalPath(const std::vector<JobStep>& steps,
                                              const std::vector<StepState>& states);

}  // namespace foxtailrudder
