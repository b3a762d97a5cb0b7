#include "coordination/internal/refusal_log.h"

namespace foxtailrudder {
namespace {

// About 10 MB of memory. When full, the entry with the earliest deadline is evicted.
constexpr std::size_t kMaxRefusals = 100'000;

}  // namespace

void RefusalLog::Add(const SubmissionId& submission, ErrorKind kind, WallTime deadline) {
  if (!m_kinds.emplace(submission, kind).second) return;
  m_deadlines.emplace(deadline, submission);
  if (m_kinds.size() <= kMaxRefusals) return;
  m_kinds.erase(m_deadlines.begin()->second);
  m_deadlines.erase(m_deadlines.begin());
}

std::optional<ErrorKind> RefusalLog::Find(const SubmissionId& submission) const {
  const auto found = m_kinds.find(submission);
  if (found == m_kinds.end()) return std::nullopt;
  return found->second;
}

void RefusalLog::DropExpired(WallTime now) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first < now) {
    m_kinds.erase(m_deadlines.begin()->second);
    m_deadlines.erase(m_deadlines.begin());
  }
}

}  // namespace foxtailrudder
