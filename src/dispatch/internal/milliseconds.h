#pragma once

#include <chrono>

#include "model/time.h"

namespace foxtailrudder {

inline std::chrono::milliseconds Ms(SteadyTime::duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace foxtailrudder
