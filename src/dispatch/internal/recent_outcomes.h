#pragma once

#include <cstdint>

#include "model/time.h"

namespace foxtailrudder {

/// Counts the runs of a worker that ended well and that failed lately. All entries that use the
/// worker are told the counts, so that none of them has to lose tasks of its own to a faulty worker
/// before it avoids it.
class RecentOutcomes {
 public:
  void OnEnd(bool failed, Now now);

  /// Weighted numbers of runs in tenths, at most UINT16_MAX.
  std::uint16_t done_tenths(Now now) const;
  std::uint16_t failed_tenths(Now now) const;

 private:
  /// Share of a count's weight that is left since the last end.
  double Remaining(Now now) const;

  double m_done = 0;
  double m_failed = 0;
  SteadyTime m_updated_at;
};

}  // namespace foxtailrudder
