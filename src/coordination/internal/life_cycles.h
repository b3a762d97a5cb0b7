#pragma once

#include <cstdint>

namespace foxtailrudder {

// States and events of the statecharts charts/task.json and charts/job.json. The order matches the
// arrays of their names in life_cycles.cpp.

enum class TaskPhase : std::uint8_t {
  kQueued,
  kDispatched,
  kResolving,
  kFinished,
  kFailed,
  kUnknown,
  kDropped,
};

enum class TaskEvent : std::uint8_t {
  kDispatch,
  kRefuse,
  kQuery,
  kRunning,
  kFinish,
  kFail,
  kLose,
  kDrop,
};

enum class JobPhase : std::uint8_t { kActive, kDormant, kRefused, kComplete, kFailed };

enum class JobEvent : std::uint8_t { kComplete, kFail, kRefuse, kRebuild, kAdopt, kReopen };

/// Applies the transition of the statechart for the event. Returns false and leaves the state
/// unchanged if there is none.
bool FireTask(TaskPhase& phase, TaskEvent event);
bool FireJob(JobPhase& phase, JobEvent event);

/// True while an executor may be running the task or may still start it.
constexpr bool IsOpen(TaskPhase phase) {
  return phase == TaskPhase::kDispatched || phase == TaskPhase::kResolving;
}

}  // namespace foxtailrudder
