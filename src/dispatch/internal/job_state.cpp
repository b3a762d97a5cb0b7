#include "dispatch/internal/job_state.h"

#include <algorithm>
#include <utility>

namespace foxtailrudder {
namespace {

using DeadlineOfRequest = std::pair<const RequestId, SteadyTime>;

}  // namespace

SteadyTime JobState::LastDeadline() const {
  return std::ranges::max_element(requests, {}, &DeadlineOfRequest::second)->second;
}

void JobState::SetStartTimes() {
  const SteadyTime first_deadline =
      std::ranges::min_element(requests, {}, &DeadlineOfRequest::second)->second;
  const SteadyTime last_deadline = LastDeadline();
  const auto critical_paths = RemainingCriticalPaths(job.steps);
  for (std::size_t i = 0; i < steps.size(); ++i) {
    steps[i].latest_start = first_deadline - critical_paths[i];
    steps[i].last_useful_start = last_deadline - critical_paths[i];
  }
}

std::vector<std::chrono::milliseconds> RemainingCriticalPaths(const std::vector<JobStep>& steps) {
  std::vector<std::chrono::milliseconds> critical_paths(steps.size());
  for (std::size_t i = steps.size(); i-- > 0;) {
    critical_paths[i] += steps[i].expected_run;
    for (const std::uint32_t before : steps[i].after) {
      critical_paths[before] = std::max(critical_paths[before], critical_paths[i]);
    }
  }
  return critical_paths;
}

std::chrono::milliseconds CriticalPath(const std::vector<JobStep>& steps) {
  return std::ranges::max(RemainingCriticalPaths(steps));
}

}  // namespace foxtailrudder
