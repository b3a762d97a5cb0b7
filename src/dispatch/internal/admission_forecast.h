#pragma once

#include <chrono>
#include <cstdint>

namespace foxtailrudder {

/// Load that a new job finds: this entry's waiting work ahead of it, and the capacity of the
/// workers.
struct ForecastInput {
  /// Waiting tasks that start earlier, in millicores x milliseconds.
  double ahead_millicore_ms = 0;
  /// Capacity of the workers that accept work.
  double capacity_millicores = 0;
  /// Committed millicores of those workers: by all entries, and by this one.
  double committed_millicores = 0;
  double own_millicores = 0;
};

/// Returns the expected wait until the last task of a new job starts; zero if no work is waiting.
/// In a burst the demand exceeds capacity at every entry at once. Each entry sees only its own
/// queue, and capacity that becomes free goes to the entries in proportion to what they have
/// committed.
std::chrono::milliseconds ForecastWait(const ForecastInput& input);

}  // namespace foxtailrudder
