#pragma once

#include <chrono>

namespace foxtailrudder {

/// Time on the steady clock of one process; not comparable between processes.
using SteadyTime = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/// Wall-clock time, for job deadlines and retention, on which several processes must agree.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::nanoseconds>;

/// Both clocks, read once per input. Decision code receives this value and reads no clock itself.
struct Now {
  SteadyTime steady;
  WallTime wall;
};

}  // namespace foxtailrudder
