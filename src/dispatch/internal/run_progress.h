#pragma once

#include <chrono>
#include <cstdint>

#include "model/time.h"

namespace foxtailrudder {

/// What a run is measured against when it seems to have stalled.
struct ProgressReference {
  /// What such a task seldom exceeds on this worker; 0 if it is not known.
  std::chrono::milliseconds usual_run{0};
  /// The caller's estimate, which may be off by any factor; 0 if there is none.
  std::chrono::milliseconds estimate{0};
  /// How often the task has been stopped as stalled. Each time allows it more time, because the
  /// task rather than the worker may be slow, and would never complete.
  std::uint32_t earlier_stalls = 0;
};

/// Tells from the listed percentages of a run whether it has stalled. A run that advances steadily
/// has not, however far off its caller's estimate is; only what other runs of its kind have taken
/// makes it slow.
class RunProgress {
 public:
  explicit RunProgress(SteadyTime started_at);

  /// Handles a list of runs. Returns whether stopping the run and starting the task elsewhere is
  /// expected to complete it sooner.
  bool HasStalled(std::uint32_t percent, const ProgressReference& reference, Now now);

  /// The whole run time that the last list makes likely.
  std::chrono::milliseconds projected_run() const { return m_projected_run; }
  /// Whether the run has taken long enough for that to be more than a guess.
  bool is_projection_sound(const ProgressReference& reference, Now now) const;

 private:
  bool StandsStill(const ProgressReference& reference) const;

  SteadyTime m_started_at;
  SteadyTime m_listed_at;
  std::uint32_t m_percent = 0;
  /// When the percentage was first listed.
  SteadyTime m_advanced_at;
  /// Time without an advance, as far as lists have shown it.
  SteadyTime::duration m_still_for{0};
  std::chrono::milliseconds m_projected_run{0};
};

}  // namespace foxtailrudder
