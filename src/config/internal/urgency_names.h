#pragma once

#include "config/internal/named_value.h"
#include "model/job.h"

namespace foxtailrudder {

inline constexpr std::array<NamedValue<Urgency>, 3> kUrgencyNames = {
    {{"batch", Urgency::kBatch}, {"normal", Urgency::kNormal}, {"urgent", Urgency::kUrgent}}};

inline std::string_view UrgencyName(Urgency urgency) {
  for (const auto& [name, value] : kUrgencyNames) {
    if (value == urgency) return name;
  }
  return "normal";
}

}  // namespace foxtailrudder
