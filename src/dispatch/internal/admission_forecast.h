#pragma once

#include <chrono>
#include <optional>

#include "model/time.h"

namespace foxtailrudder {

/// Load that a new job finds: this entry's waiting work ahead of it, and the capacity of the
/// workers.
struct ForecastInput {
  /// Waiting tasks that start earlier, in millicores x milliseconds.
  double ahead_millicore_ms = 0;
  /// Capacity of the workers that accept work.
  double capacity_millicores = 0;
  /// Share of what is committed there that this entry's orders hold.
  double own_share = 1;
  /// Work that arrives meanwhile and comes first, in millicores x milliseconds a millisecond.
  double arriving_millicores = 0;
};

/// Returns the expected wait until the last task of a new job starts; zero if no work is waiting.
/// In a burst the demand exceeds capacity at every entry at once. Each entry sees only its own
/// queue, and capacity that becomes free goes to the entries in proportion to what they have
/// committed.
std::chrono::milliseconds ForecastWait(const ForecastInput& input);

/// Tracks how much work arrives, as the number of millicores that it keeps busy.
class ArrivalRate {
 public:
  void Add(double millicore_ms, SteadyTime now);
  double millicores(SteadyTime now) const;

 private:
  /// Sum of the work that has arrived, decaying with time.
  double m_millicore_ms = 0;
  SteadyTime m_updated_at;
};

/// Tracks which share of the committed capacity of a service this entry's orders hold. The share at
/// one moment says little about the next second: it follows the ends of single jobs.
class OwnShare {
 public:
  /// Records the present commitments; `committed` includes `own`.
  void Update(double own, double committed, SteadyTime now);
  /// 1 until anything has been committed.
  double value() const { return m_share; }

 private:
  double m_share = 1;
  std::optional<SteadyTime> m_updated_at;
};

}  // namespace foxtailrudder
