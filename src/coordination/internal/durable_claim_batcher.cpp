#include "coordination/internal/durable_claim_batcher.h"

#include <algorithm>

namespace foxtailrudder {
namespace {

/// A flush of more claims is split into several operations.
constexpr std::size_t kMaxClaimsPerOperation = 500;

}  // namespace

void DurableClaimBatcher::Insert(Item item, Now now, Outbox& out) {
  m_inserts.push_back(std::move(item));
  Flush(now, out);
}

void DurableClaimBatcher::ReadBack(Item item, Now now, Outbox& out) {
  m_reads.push_back(std::move(item));
  Flush(now, out);
}

void DurableClaimBatcher::Release(Item item, Now now, Outbox& out) {
  m_releases.push_back(std::move(item));
  Flush(now, out);
}

template <typename Message, typename Add>
void DurableClaimBatcher::FlushKind(Kind kind, std::vector<Item>& items, Add add, Outbox& out) {
  for (std::size_t first = 0; first < items.size(); first += kMaxClaimsPerOperation) {
    const std::size_t last = std::min(first + kMaxClaimsPerOperation, items.size());
    Message message{++m_last_operation, {}};
    Operation& operation = m_pending_operations[message.operation];
    operation.kind = kind;
    for (std::size_t i = first; i < last; ++i) {
      operation.requests.push_back(items[i].request);
      add(message, std::move(items[i].claim));
    }
    out.Add(std::move(message));
  }
  items.clear();
}

void DurableClaimBatcher::Flush(Now now, Outbox& out) {
  if (m_inserts.empty() && m_reads.empty() && m_releases.empty()) return;
  if (now.steady < m_next_flush) return;
  m_next_flush = now.steady + m_period;
  const auto add_claim = [](auto& message, DurableClaim claim) {
    message.claims.push_back(std::move(claim));
  };
  FlushKind<InsertClaims>(Kind::kInsert, m_inserts, add_claim, out);
  FlushKind<ReadClaims>(
      Kind::kRead, m_reads,
      [](auto& message, DurableClaim claim) { message.keys.push_back(std::move(claim.key)); }, out);
  FlushKind<ReleaseClaims>(Kind::kRelease, m_releases, add_claim, out);
}

std::optional<DurableClaimBatcher::Operation> DurableClaimBatcher::Take(std::uint64_t operation) {
  auto node = m_pending_operations.extract(operation);
  if (node.empty()) return std::nullopt;
  return std::move(node.mapped());
}

}  // namespace foxtailrudder
