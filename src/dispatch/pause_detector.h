#pragma once

#include <chrono>
#include <optional>
#include <utility>

#include "model/time.h"

namespace foxtailrudder {

/// Detects that this process did not run for some time, from the times of its inputs, of which
/// there is at least one in each tick.
class PauseDetector {
 public:
  /// Called with each input. Returns the length of the pause before it, 0 if there was none.
  SteadyTime::duration OnInput(Now now) {
    const SteadyTime last = std::exchange(m_last_input_at, now.steady).value_or(now.steady);
    const SteadyTime::duration gap = now.steady - last;
    return gap < kThreshold ? SteadyTime::duration::zero() : gap;
  }

 private:
  static constexpr std::chrono::milliseconds kThreshold{200};

  std::optional<SteadyTime> m_last_input_at;
};

}  // namespace foxtailrudder
