#pragma once

#include <chrono>
#include <cstdint>

#include "model/time.h"

namespace foxtailrudder {

inline std::chrono::milliseconds Ms(SteadyTime::duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

inline std::chrono::milliseconds Scaled(std::chrono::milliseconds time, double factor) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace foxtailrudder
