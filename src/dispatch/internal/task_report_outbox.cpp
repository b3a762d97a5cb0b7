#include "dispatch/internal/task_report_outbox.h"

#include <algorithm>
#include <utility>

namespace foxtailrudder {

void TaskReportOutbox::Add(TaskReport report) {
  report.sequence = ++m_last_sequence;
  m_ends.push_back({report, std::nullopt});
  m_has_unsent = true;
}

void TaskReportOutbox::OnAcknowledged(std::uint64_t sequence, SteadyTime echoed) {
  m_acknowledged = std::max(m_acknowledged, std::min(sequence, m_last_sequence));
  while (!m_ends.empty() && m_ends.front().report.sequence <= m_acknowledged) m_ends.pop_front();
  for (UnacknowledgedEnd& end : m_ends) {
    if (!end.sent_at || *end.sent_at >= echoed) continue;
    end.sent_at.reset();
    m_has_unsent = true;
  }
}

void TaskReportOutbox::OnConnected() {
  for (UnacknowledgedEnd& end : m_ends) end.sent_at.reset();
  m_has_unsent = !m_ends.empty();
}

std::vector<TaskReport> TaskReportOutbox::TakeUnsent(Now now) {
  std::vector<TaskReport> unsent;
  if (!std::exchange(m_has_unsent, false)) return unsent;
  for (UnacknowledgedEnd& end : m_ends) {
    if (end.sent_at) continue;
    end.sent_at = now.steady;
    unsent.push_back(end.report);
  }
  return unsent;
}

bool TaskReportOutbox::Contains(OrderId order) const {
  return std::ranges::any_of(
      m_ends, [order](const UnacknowledgedEnd& end) { return end.report.order == order; });
}

}  // namespace foxtailrudder
