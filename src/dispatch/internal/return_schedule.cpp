#include "dispatch/internal/return_schedule.h"

#include <algorithm>

#include "dispatch/internal/milliseconds.h"
#include "dispatch/timing.h"

namespace foxtailrudder {
namespace {

/// Whether capacity will be free later than this cannot be foreseen; many callers do not return.
constexpr std::chrono::seconds kMaxRetryAfter{30};

}  // namespace

std::chrono::milliseconds ReturnSchedule::Add(std::string_view service, const ReturningJob& job,
                                              SteadyTime now) {
  const auto found = m_free_from.try_emplace(std::string(service), now).first;
  SteadyTime& free_from = found->second;
  const SteadyTime returns_at =
      std::min(std::max(free_from, now + std::max(job.late_by, std::chrono::milliseconds(0))),
               now + kMaxRetryAfter);
  free_from = returns_at + job.own_work;
  return Ms(returns_at - now);
}

}  // namespace foxtailrudder
