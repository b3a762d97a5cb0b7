#include "membership/internal/bundle_copy.h"

#include <algorithm>

namespace foxtailrudder {

void BundleCopy::Tick(const ControlRow& row, OperationIds& operations, SteadyTime now,
                      Outbox& out) {
  Accept(row.bundle);
  std::erase_if(m_texts, [&](const auto& held) {
    const bool proposed = std::ranges::find(row.proposals, held.first, &BundleProposal::digest) !=
                          row.proposals.end();
    return !proposed && held.first != row.bundle.digest;
  });
  const std::string* missing = FindMissing(row);
  if (missing == nullptr) return;
  if (m_requested == *missing && now - m_requested_at < kRetryAfter) return;
  m_requested = *missing;
  m_requested_at = now;
  m_operation = operations.Take();
  out.Add(GetObject{m_operation, m_requested});
}

void BundleCopy::Accept(const AcceptedBundle& accepted) {
  if (accepted.bundle_version <= m_version) return;
  const auto held = m_texts.find(accepted.digest);
  if (held == m_texts.end()) return;
  m_text = held->second;
  m_version = accepted.bundle_version;
}

const std::string* BundleCopy::FindMissing(const ControlRow& row) const {
  if (row.bundle.bundle_version > m_version) return &row.bundle.digest;
  const std::size_t count = std::min(kPrefetchedProposals, row.proposals.size());
  for (std::size_t i = row.proposals.size() - count; i < row.proposals.size(); ++i) {
    if (!HasText(row.proposals[i].digest)) return &row.proposals[i].digest;
  }
  return nullptr;
}

bool BundleCopy::OnResult(const ObjectResult& result) {
  if (m_operation == 0 || result.operation != m_operation) return false;
  m_operation = 0;
  if (result.status == StoreStatus::kOk) StoreText(m_requested, result.body);
  return true;
}

}  // namespace foxtailrudder
