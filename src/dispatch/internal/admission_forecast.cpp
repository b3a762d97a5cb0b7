#include "dispatch/internal/admission_forecast.h"

#include <algorithm>

namespace foxtailrudder {
namespace {

/// Minimum share of freed capacity; an entry that has placed no tasks yet gets some too.
constexpr double kMinShare = 0.1;

}  // namespace

std::chrono::milliseconds ForecastWait(const ForecastInput& input) {
  if (input.ahead_millicore_ms <= 0 || input.capacity_millicores <= 0) {
    return std::chrono::milliseconds(0);
  }
  double share = 1.0;
  if (input.committed_millicores > 0) {
    share = std::clamp(input.own_millicores / input.committed_millicores, kMinShare, 1.0);
  }
  const double wait = input.ahead_millicore_ms / (input.capacity_millicores * share);
  return std::chrono::milliseconds(static_cast<std::int64_t>(wait));
}

}  // namespace foxtailrudder
