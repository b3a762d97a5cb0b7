#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace foxtailrudder {

// States and events of charts/endpoint.json.

enum class EndpointState : std::uint8_t { kAbsent, kAnnounced, kLeaving, kDrained };
enum class EndpointEvent : std::uint8_t { kAnnounce, kLapse, kLeave, kStay, kIdle };

inline constexpr std::array<std::string_view, 4> kEndpointStateNames{"absent", "announced",
                                                                     "leaving", "drained"};
inline constexpr std::array<std::string_view, 5> kEndpointEventNames{"announce", "lapse", "leave",
                                                                     "stay", "idle"};

}  // namespace foxtailrudder
