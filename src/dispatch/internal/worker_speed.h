#pragma once

#include <cstdint>

#include "model/time.h"

namespace foxtailrudder {

/// Learns how long the runs of a worker take relative to their expected run times. Below, slowness
/// is that ratio.
class WorkerSpeed {
 public:
  /// Records the slowness of a run that has ended.
  void OnRun(double slowness, Now now);

  /// Records the slowness that a run shows while it takes longer than expected. It says nothing
  /// about the baseline: the same run may be seen many times.
  void OnProgress(double slowness, Now now);

  /// Slowness of the latest runs. Without new runs it returns to the baseline within some seconds,
  /// so that a worker that has recovered is used again.
  double present(Now now) const;

  /// Slowness in the long run. A disturbance of some seconds moves it only a little, and a worker
  /// without work keeps it.
  double baseline() const { return m_baseline; }

 private:
  void UpdatePresent(double slowness, Now now);
  void UpdateBaseline(double slowness, Now now);

  double m_present = 1.0;
  double m_baseline = 1.0;
  /// Number of runs, up to the number after which the baseline changes at a rate by time.
  std::uint32_t m_runs = 0;
  SteadyTime m_present_updated_at;
  SteadyTime m_baseline_updated_at;
};

}  // namespace foxtailrudder
