#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "dispatch/dispatch_plan.h"
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
  /// Until then the last attempt waits for a worker with recent successes; set when none was free.
  std::optional<SteadyTime> wait_for_proven_until;
};

struct StepState {
  std::vector<TaskProgress> tasks;
  std::uint32_t done = 0;
  bool released = false;
  /// By which the step must start to meet the objective; the order of waiting steps.
  SteadyTime latest_start;
  /// After this time the job is no longer expected to complete before its callers stop waiting.
  SteadyTime last_useful_start;
  /// Number of the step's tasks placed on each worker.
  std::map<NodeId, std::uint32_t> tasks_per_worker;
};

struct JobState {
  JobName name;
  std::uint64_t sequence = 0;
  DispatchJob job;
  QueuePlan queue;
  std::vector<RequestId> requests;
  SteadyTime submitted_at;
  SteadyTime due;
  /// Until when the caller waits for the answer.
  SteadyTime deadline;
  std::vector<StepState> steps;
  /// A placement has ended with a result other than "not run".
  bool ran = false;
  /// No task is placed until the entry holds the claim again.
  bool is_suspended = false;
  std::uint32_t open_orders = 0;

  /// True also for an open placement, which its worker may have started.
  bool may_have_run() const { return ran || open_orders > 0; }
};

/// How long a job waits behind others of the next more urgent priority: about the shortest
/// objective, so that an urgent job does not wait behind less urgent ones that came before it. The
/// delay bounds the wait, so no priority starves.
inline constexpr std::chrono::milliseconds kPriorityDelay{150};
/// Priorities above this are as urgent as this one.
inline constexpr std::uint32_t kLeastUrgentPriority = 10;

/// Time by which steps are ordered: the latest start (the time by which the step must start to meet
/// the objective), delayed by the priority of the queue.
inline SteadyTime OrderTime(const QueuePlan& queue, SteadyTime latest_start) {
  return latest_start + kPriorityDelay * std::min(queue.priority, kLeastUrgentPriority);
}

/// Order of waiting steps: order time, sequence number of the job, index of the step.
using WaitKey = std::tuple<SteadyTime, std::uint64_t, std::uint32_t>;

inline WaitKey KeyOf(const JobState& job, std::uint32_t step) {
  return {OrderTime(job.queue, job.steps[step].latest_start), job.sequence, step};
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
};

/// Returns for each step the length of the critical path from its start to the end of the job.
std::vector<std::chrono::milliseconds> RemainingCriticalPaths(const std::vector<JobStep>& steps);

}  // namespace foxtailrudder
