#pragma once

#include "model/ids.h"
#include "model/time.h"

namespace foxtailrudder {

/// Reads the steady clock and the wall clock.
inline Now ReadClocks() {
  return {std::chrono::time_point_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now()),
          std::chrono::time_point_cast<std::chrono::nanoseconds>(std::chrono::system_clock::now())};
}

/// Returns an incarnation number from the wall clock: larger than that of any earlier run on this
/// machine.
inline Incarnation NewIncarnation() {
  return static_cast<Incarnation>(ReadClocks().wall.time_since_epoch().count());
}

}  // namespace foxtailrudder
