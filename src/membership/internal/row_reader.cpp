#include "membership/internal/row_reader.h"

#include <algorithm>

namespace foxtailrudder {

void RowReader::SendRound(Version control_version, Version members_version,
                          std::uint64_t first_operation, SteadyTime now, Outbox& out) {
  std::erase_if(m_pending, [&](const auto& read) {
    return now - read.second.sent_at > kPendingReadRetention;
  });
  m_pending.emplace(first_operation, SentRead{RowKind::kControl, now});
  m_pending.emplace(first_operation + 1, SentRead{RowKind::kMembers, now});
  out.Add(ReadRow{RowKind::kControl, control_version, first_operation});
  out.Add(ReadRow{RowKind::kMembers, members_version, first_operation + 1});
}

std::optional<RowReader::SentRead> RowReader::OnResult(std::uint64_t operation,
                                                       StoreStatus status) {
  const auto found = m_pending.find(operation);
  if (found == m_pending.end()) return std::nullopt;
  const SentRead finished = found->second;
  m_pending.erase(found);
  const bool succeeded = status == StoreStatus::kOk || status == StoreStatus::kNotModified;
  auto& latest =
      (succeeded ? m_last_success : m_last_failure)[static_cast<std::size_t>(finished.row)];
  latest = std::max(latest.value_or(finished.sent_at), finished.sent_at);
  return finished;
}

bool RowReader::IsStoreReachable(SteadyTime now) const {
  for (std::size_t row = 0; row < m_last_success.size(); ++row) {
    if (!m_last_success[row]) return false;
    if (m_last_failure[row] && *m_last_failure[row] > *m_last_success[row]) return false;
  }
  return std::ranges::none_of(m_pending, [&](const auto& read) {
    const auto success = m_last_success[static_cast<std::size_t>(read.second.row)];
    return read.second.sent_at > *success && now - read.second.sent_at > kReadTimeout;
  });
}

std::optional<SteadyTime> RowReader::ConfirmedAsOf() const {
  if (!HasReadBoth()) return std::nullopt;
  return std::min(*m_last_success[0], *m_last_success[1]);
}

}  // namespace foxtailrudder
