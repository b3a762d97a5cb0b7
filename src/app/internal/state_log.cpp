#include "app/internal/state_log.h"

#include <spdlog/spdlog.h>

namespace foxtailrudder {
namespace {

constexpr std::chrono::milliseconds kStateReportPeriod{500};

}  // namespace

bool StateLog::IsDue(SteadyTime now) {
  if (now < m_next_report) return false;
  m_next_report = now + kStateReportPeriod;
  return true;
}

void StateLog::Report(const std::string& condition, bool holds) {
  const auto [last, is_first] = m_last_values.try_emplace(condition, 0);
  const bool held = last->second != 0;
  last->second = holds ? 1 : 0;
  if (holds == held) return;
  if (holds) {
    spdlog::info("{}: yes", condition);
  } else {
    spdlog::warn("{}: no", condition);
  }
}

void StateLog::Report(const std::string& name, std::uint64_t value) {
  const auto [last, is_first] = m_last_values.try_emplace(name, value);
  if (!is_first && last->second == value) return;
  spdlog::info("{}={}", name, value);
  last->second = value;
}

}  // namespace foxtailrudder
