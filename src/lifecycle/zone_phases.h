#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace foxtailrudder {

// States and events of charts/zone.json. The control row holds only `in` and `out` (ZoneState). A
// zone is `leaving` until its take-out is in force, and `returning` until its ramp has ended.

enum class ZonePhase : std::uint8_t { kIn, kLeaving, kOut, kReturning };
enum class ZoneEvent : std::uint8_t { kTakeOut, kInForce, kReturn, kRampedUp };

inline constexpr std::array<std::string_view, 4> kZonePhaseNames{"in", "leaving", "out",
                                                                 "returning"};
inline constexpr std::array<std::string_view, 4> kZoneEventNames{"take_out", "in_force", "return",
                                                                 "ramped_up"};

}  // namespace foxtailrudder
