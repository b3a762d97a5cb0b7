#include <utility>

#include "lifecycle/chart.h"

namespace foxtailrudder {
namespace {

constexpr std::pair<std::string_view, std::string_view> kCharts[] = {
#include "built_in_charts.inc"
};

}  // namespace

std::string_view BuiltInChart(std::string_view name) {
  for (const auto& [chart_name, text] : kCharts) {
    if (chart_name == name) return text;
  }
  return {};
}

}  // namespace foxtailrudder
