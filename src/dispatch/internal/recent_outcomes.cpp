#include "dispatch/internal/recent_outcomes.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxtailrudder {
namespace {

/// A count halves in this time, so that a worker that has recovered is used again after a few
/// seconds although it got no work meanwhile.
constexpr std::chrono::duration<double> kHalfLife{2.0};

std::uint16_t InTenths(double count) {
  return static_cast<std::uint16_t>(std::clamp(std::round(count * 10), 0.0, double{UINT16_MAX}));
}

}  // namespace

double RecentOutcomes::Remaining(Now now) const {
  const std::chrono::duration<double> age = now.steady - m_updated_at;
  return std::exp2(-std::max(age.count(), 0.0) / kHalfLife.count());
}

void RecentOutcomes::OnEnd(bool failed, Now now) {
  const double remaining = Remaining(now);
  m_done = m_done * remaining + (failed ? 0 : 1);
  m_failed = m_failed * remaining + (failed ? 1 : 0);
  m_updated_at = now.steady;
}

std::uint16_t RecentOutcomes::done_tenths(Now now) const {
  return InTenths(m_done * Remaining(now));
}

std::uint16_t RecentOutcomes::failed_tenths(Now now) const {
  return InTenths(m_failed * Remaining(now));
}

}  // namespace foxtailrudder
