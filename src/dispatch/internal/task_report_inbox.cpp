#include "dispatch/internal/task_report_inbox.h"

namespace foxtailrudder {

void TaskReportInbox::SkipTo(std::uint64_t acknowledged) {
  if (acknowledged <= m_acknowledged) return;
  m_acknowledged = acknowledged;
  m_ahead.erase(m_ahead.begin(), m_ahead.upper_bound(acknowledged));
  Advance();
}

bool TaskReportInbox::Receive(std::uint64_t sequence) {
  if (sequence <= m_acknowledged || !m_ahead.insert(sequence).second) return false;
  Advance();
  return true;
}

void TaskReportInbox::Advance() {
  while (!m_ahead.empty() && *m_ahead.begin() == m_acknowledged + 1) {
    ++m_acknowledged;
    m_ahead.erase(m_ahead.begin());
  }
}

}  // namespace foxtailrudder
