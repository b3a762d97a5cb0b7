#include "membership/internal/promise_round.h"

#include <algorithm>

#include "membership/internal/confirmation.h"

namespace foxtailrudder {

void PromiseRound::Start(const PromiseRequest& request, const MemberTable& table, NodeId self,
                         PromiseBook& book, SteadyTime now, Outbox& out) {
  m_request = request;
  m_self = self;
  m_started_at = now;
  m_asked_at = now;
  m_promised.clear();
  m_refused = !book.Promise(request, now);
  if (m_refused) return;
  if (table.Find(self) != nullptr) m_promised[self] = table.RefOf(self).incarnation;
  for (const NodeId id : table.Entries()) {
    if (id != self) out.Send({id, 0}, request);
  }
}

void PromiseRound::ResendPending(const MemberTable& table, SteadyTime now, Outbox& out) {
  if (!m_request || now - m_asked_at < kRepeatAfter) return;
  m_asked_at = now;
  for (const NodeId id : table.Entries()) {
    if (id != m_self && !HasPromised(table.RefOf(id))) out.Send({id, 0}, *m_request);
  }
}

void PromiseRound::OnReply(NodeRef from, const PromiseReply& reply, const MemberTable& table) {
  if (!m_request || reply.change_id != m_request->change_id) return;
  const Member* member = table.Find(from.id);
  if (member == nullptr || member->role != NodeRole::kEntry) return;
  if (!reply.promised) {
    m_refused = true;
    return;
  }
  // A promise of a restarted entry counts for the listed incarnation, which no longer runs.
  m_promised[from.id] = member->incarnation;
}

bool PromiseRound::HasPromised(NodeRef entry) const {
  const auto found = m_promised.find(entry.id);
  return found != m_promised.end() && found->second == entry.incarnation;
}

bool PromiseRound::MayWrite(const MemberTable& table, SteadyTime now,
                            const std::set<NodeId>& forgotten) const {
  if (!m_request || IsExpired(now)) return false;
  std::vector<NodeId> entries = table.Entries();
  std::erase_if(entries, [&](NodeId id) { return forgotten.contains(id); });
  if (entries.empty()) return true;
  const auto promised =
      std::ranges::count_if(entries, [&](NodeId id) { return HasPromised(table.RefOf(id)); });
  return static_cast<std::size_t>(promised) >= MajorityOf(entries.size());
}

}  // namespace foxtailrudder
