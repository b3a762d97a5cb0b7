#include "dispatch/internal/admission_forecast.h"

#include <algorithm>
#include <cmath>

namespace foxtailrudder {
namespace {

/// Minimum share of freed capacity; an entry that has placed no tasks yet gets some too.
constexpr double kMinShare = 0.1;

/// Minimum share of the entry's capacity that is expected to be left by work that comes first:
/// arrivals vary.
constexpr double kMinShareLeft = 0.1;

/// Time constant of what is tracked: most tasks last up to a second.
constexpr std::chrono::duration<double> kMemory{1.0};

}  // namespace

std::chrono::milliseconds ForecastWait(const ForecastInput& input) {
  if (input.ahead_millicore_ms <= 0 || input.capacity_millicores <= 0) {
    return std::chrono::milliseconds(0);
  }
  const double share = std::clamp(input.own_share, kMinShare, 1.0);
  const double own = input.capacity_millicores * share;
  const double left = std::max(own - input.arriving_millicores, kMinShareLeft * own);
  const double wait = input.ahead_millicore_ms / left;
  return std::chrono::milliseconds(static_cast<std::int64_t>(wait));
}

void ArrivalRate::Add(double millicore_ms, SteadyTime now) {
  const std::chrono::duration<double> passed = now - m_updated_at;
  m_millicore_ms = m_millicore_ms * std::exp(-passed / kMemory) + millicore_ms;
  m_updated_at = now;
}

double ArrivalRate::millicores(SteadyTime now) const {
  const std::chrono::duration<double> passed = now - m_updated_at;
  const std::chrono::duration<double, std::milli> memory = kMemory;
  return m_millicore_ms * std::exp(-passed / kMemory) / memory.count();
}

void OwnShare::Update(double own, double committed, SteadyTime now) {
  if (committed <= 0) return;
  const double present = std::min(own / committed, 1.0);
  const std::chrono::duration<double> passed = now - m_updated_at.value_or(now);
  const double weight = m_updated_at ? 1 - std::exp(-passed / kMemory) : 1;
  m_share += weight * (present - m_share);
  m_updated_at = now;
}

}  // namespace foxtailrudder
