#include "policy/admission.h"

namespace foxtailrudder {

std::optional<ErrorKind> Admission::CheckJob(const JobSpec& job, const Bundle& bundle, Now now) {
  if (bundle.FindTeam(job.key.team) == nullptr) return ErrorKind::kUnknownTeam;
  const ServiceConfig* service = bundle.FindService(job.service);
  if (service == nullptr) return ErrorKind::kUnknownService;
  if (job.deadline <= now.wall) return ErrorKind::kDeadlinePassed;
  if (job.deadline > now.wall + bundle.limits.max_deadline) return ErrorKind::kMalformedRequest;
  if (service->max_task_size == 0) return std::nullopt;
  for (const TaskSpec& task : job.tasks) {
    if (task.size && *task.size > service->max_task_size) return ErrorKind::kCanNeverRun;
  }
  return std::nullopt;
}

std::optional<ErrorKind> Admission::Check(std::uint32_t tasks, WallTime deadline,
                                          const AdmissionLoad& load, Now now) {
  if (deadline <= now.wall) return ErrorKind::kDeadlinePassed;
  if (load.slots == 0) return ErrorKind::kNoCapacity;
  if (std::uint64_t{load.queued_tasks} + tasks > load.max_queued_tasks) {
    return ErrorKind::kQueueFull;
  }
  if (now.wall + ExpectedDuration(tasks, load) > deadline) return ErrorKind::kDeadlineUnreachable;
  return std::nullopt;
}

std::chrono::milliseconds Admission::ExpectedDuration(std::uint32_t tasks,
                                                      const AdmissionLoad& load) {
  if (load.slots == 0 || tasks == 0) return std::chrono::milliseconds(0);
  const std::uint64_t before_last = std::uint64_t{load.queued_tasks} + tasks - 1;
  if (before_last < load.free_slots) return load.last_run_time;
  // Slots in use become free one every mean_run_time / slots.
  const std::uint64_t waits_for = before_last - load.free_slots + 1;
  const auto wait = load.mean_run_time * static_cast<std::int64_t>(waits_for) / load.slots;
  return std::chrono::duration_cast<std::chrono::milliseconds>(wait) + load.last_run_time;
}

}  // namespace foxtailrudder
