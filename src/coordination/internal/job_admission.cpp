#include "coordination/internal/job_admission.h"

#include <string>
#include <unordered_set>

namespace foxtailrudder {

std::optional<Error> CheckTeam(std::string_view team, const Bundle& bundle,
                               std::string_view region) {
  const TeamConfig* config = bundle.FindTeam(team);
  if (config == nullptr) return Error{ErrorKind::kUnknownTeam, std::string(team)};
  if (!config->home_region.empty() && config->home_region != region) {
    return Error{ErrorKind::kRegionUnreachable, "home region " + config->home_region};
  }
  return std::nullopt;
}

std::optional<Error> CheckRequest(const JobSpec& job, const Bundle& bundle, Now now) {
  const ServiceConfig* service = bundle.FindService(job.service);
  if (service == nullptr) return Error{ErrorKind::kUnknownService, job.service};
  if (job.tasks.empty() || job.tasks.size() > kMaxTasksPerJob) {
    return Error{ErrorKind::kMalformedRequest, "tasks: " + std::to_string(job.tasks.size()) +
                                                   " given, 1 to " +
                                                   std::to_string(kMaxTasksPerJob) + " allowed"};
  }
  std::unordered_set<std::string_view> ids;
  for (const TaskSpec& task : job.tasks) {
    if (!ids.insert(task.id).second) {
      return Error{ErrorKind::kMalformedRequest, "tasks: duplicate id " + task.id};
    }
  }
  if (job.deadline <= now.wall) return Error{ErrorKind::kDeadlinePassed, "deadline"};
  if (job.deadline > now.wall + bundle.limits.max_deadline) {
    return Error{ErrorKind::kMalformedRequest, "deadline: later than the maximum allowed"};
  }
  if (service->max_task_size == 0) return std::nullopt;
  for (const TaskSpec& task : job.tasks) {
    if (task.size.value_or(0) > service->max_task_size) {
      return Error{ErrorKind::kCanNeverRun,
                   "task " + task.id + " exceeds the size limit of " + job.service};
    }
  }
  return std::nullopt;
}

}  // namespace foxtailrudder
