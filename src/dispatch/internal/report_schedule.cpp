#include "dispatch/report_schedule.h"

#include "dispatch/timing.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// Covers the start of all processes of a deployment, which takes some hundred milliseconds.
constexpr milliseconds kNewEntryTime{3'000};

constexpr double kPresenceJitter = 0.2;

}  // namespace

bool ReportSchedule::SetWanted(NodeId entry, bool wanted) {
  EntryState& state = m_entries[entry];
  const bool begins = wanted && !state.is_wanted;
  state.is_wanted = wanted;
  if (begins) state.last_sent_at = {};
  return begins;
}

bool ReportSchedule::TakeDue(NodeId entry, bool has_work, Now now) {
  const auto [found, is_new] = m_entries.try_emplace(entry);
  EntryState& state = found->second;
  if (is_new) state.new_until = now.steady + kNewEntryTime;
  state.has_work = has_work;
  if (state.last_sent_at != SteadyTime()) {
    const SteadyTime due =
        IsFrequent(state, now) ? state.last_sent_at + kReportPeriod : state.presence_due_at;
    if (now.steady < due) return false;
  }
  state.last_sent_at = now.steady;
  const double factor = 1.0 - kPresenceJitter * m_random.Unit();
  state.presence_due_at = now.steady + milliseconds(static_cast<std::int64_t>(
                                           factor * static_cast<double>(kPresencePeriod.count())));
  return true;
}

void ReportSchedule::MakeAllDue() {
  for (auto& [id, entry] : m_entries) entry.last_sent_at = {};
}

milliseconds ReportSchedule::PeriodOf(NodeId entry, Now now) const {
  const auto found = m_entries.find(entry);
  const bool is_frequent = found == m_entries.end() || IsFrequent(found->second, now);
  return is_frequent ? kReportPeriod : kPresencePeriod;
}

bool ReportSchedule::IsFrequent(const EntryState& entry, Now now) {
  return entry.is_wanted || entry.has_work || now.steady < entry.new_until;
}

}  // namespace foxtailrudder
