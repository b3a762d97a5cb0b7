#pragma once

#include <algorithm>
#include <chrono>

#include "model/time.h"

namespace foxtailrudder {

/// Share of its slots that a zone may use after its return, rising linearly from 0 to 1 over the
/// ramp. `returned_at` has its default value if the zone was never set out.
inline double ZoneRampWeight(WallTime returned_at, std::chrono::milliseconds ramp, WallTime now) {
  if (returned_at == WallTime() || ramp.count() <= 0) return 1.0;
  const std::chrono::duration<double> passed = now - returned_at;
  return std::clamp(passed / std::chrono::duration<double>(ramp), 0.0, 1.0);
}

}  // namespace foxtailrudder
