#pragma once

#include <cstdlib>
#include <span>
#include <string_view>
#include <utility>
#include <variant>

#include "lifecycle/chart_machine.h"

namespace foxtailrudder {

/// Creates the state machine of a chart that is built into the binary. Aborts if the chart is
/// invalid, because that is a build defect.
template <typename Machine>
Machine CreateBuiltInMachine(std::string_view chart_name, std::span<const std::string_view> states,
                             std::span<const std::string_view> events,
                             const typename Machine::Bindings& bindings = {}) {
  auto chart = Chart::Parse(BuiltInChart(chart_name), states, events);
  if (!std::holds_alternative<Chart>(chart)) std::abort();
  auto machine = Machine::Create(std::get<Chart>(chart), bindings);
  if (!std::holds_alternative<Machine>(machine)) std::abort();
  return std::get<Machine>(std::move(machine));
}

}  // namespace foxtailrudder
