#include "dispatch/internal/job_state.h"

#include <algorithm>
#include <utility>

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;
using DeadlineOfRequest = std::pair<const RequestId, SteadyTime>;

std::vector<milliseconds> TrustedRunTimes(const std::vector<StepState>& steps) {
  std::vector<milliseconds> run_times;
  run_times.reserve(steps.size());
  for (const StepState& step : steps) run_times.push_back(step.trusted_run);
  return run_times;
}

}  // namespace

SteadyTime JobState::LastDeadline() const {
  return std::ranges::max_element(requests, {}, &DeadlineOfRequest::second)->second;
}

void JobState::SetStartTimes() {
  const SteadyTime first_deadline =
      std::ranges::min_element(requests, {}, &DeadlineOfRequest::second)->second;
  const SteadyTime last_deadline = LastDeadline();
  const auto expected_paths = RemainingCriticalPaths(job.steps);
  const auto trusted_paths = RemainingCriticalPaths(job.steps, TrustedRunTimes(steps));
  for (std::size_t i = 0; i < steps.size(); ++i) {
    steps[i].latest_start = first_deadline - expected_paths[i];
    steps[i].last_useful_start = last_deadline - trusted_paths[i];
  }
}

std::vector<milliseconds> RemainingCriticalPaths(const std::vector<JobStep>& steps,
                                                 const std::vector<milliseconds>& run_times) {
  std::vector<milliseconds> critical_paths(steps.size());
  for (std::size_t i = steps.size(); i-- > 0;) {
    critical_paths[i] += run_times[i];
    for (const std::uint32_t before : steps[i].after) {
      critical_paths[before] = std::max(critical_paths[before], critical_paths[i]);
    }
  }
  return critical_paths;
}

std::vector<milliseconds> RemainingCriticalPaths(const std::vector<JobStep>& steps) {
  std::vector<milliseconds> run_times;
  run_times.reserve(steps.size());
  for (const JobStep& step : steps) run_times.push_back(step.expected_run);
  return RemainingCriticalPaths(steps, run_times);
}

milliseconds CriticalPath(const std::vector<JobStep>& steps) {
  return std::ranges::max(RemainingCriticalPaths(steps));
}

milliseconds TrustedCriticalPath(const std::vector<JobStep>& steps,
                                 const std::vector<StepState>& states) {
  return std::ranges::max(RemainingCriticalPaths(steps, TrustedRunTimes(states)));
}

}  // namespace foxtailrudder
