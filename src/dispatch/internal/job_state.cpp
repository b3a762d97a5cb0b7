#include "dispatch/internal/job_state.h"

#include <algorithm>

namespace foxtailrudder {

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
