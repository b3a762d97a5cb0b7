#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include "model/time.h"

namespace foxtailrudder {

/// What a refused job would need at its return.
struct ReturningJob {
  /// By how much the job would have started too late.
  std::chrono::milliseconds late_by{0};
  /// Time that the entry's capacity needs for the job's own work.
  std::chrono::milliseconds own_work{0};
};

/// Schedules the return of refused callers: each comes back when the present backlog leaves its job
/// enough time, those refused first come first, and each only when the work of the ones before it
/// fits, so that they do not make the next peak together.
class ReturnSchedule {
 public:
  /// Returns the time after which the caller may retry, and keeps the capacity for it.
  std::chrono::milliseconds Add(std::string_view service, const ReturningJob& job, SteadyTime now);

 private:
  /// By service: from when on the capacity is not yet kept for callers refused before.
  std::map<std::string, SteadyTime, std::less<>> m_free_from;
};

}  // namespace foxtailrudder
