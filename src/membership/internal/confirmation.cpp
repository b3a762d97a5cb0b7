#include "membership/internal/confirmation.h"

namespace foxtailrudder {

void Confirmation::Ask(const MemberTable& table, Version control_version, NodeId self,
                       bool self_confirms, SteadyTime now, Outbox& out) {
  m_open = true;
  m_asked_at = now;
  m_confirmed_by.clear();
  if (self_confirms) m_confirmed_by.insert(self);
  const ConfirmRequest request{++m_question, control_version, table.version()};
  for (const NodeId id : table.Entries()) {
    if (id != self) out.Send({id, 0}, request);
  }
  CheckMajority(table);
}

void Confirmation::OnReply(NodeRef from, const ConfirmReply& reply, const MemberTable& table) {
  if (!m_open || reply.question != m_question || !reply.confirmed) return;
  const Member* member = table.Find(from.id);
  if (member == nullptr || member->role != NodeRole::kEntry || !table.Lists(from)) return;
  m_confirmed_by.insert(from.id);
  CheckMajority(table);
}

void Confirmation::CheckMajority(const MemberTable& table) {
  const std::size_t entries = table.Entries().size();
  if (entries == 0 || m_confirmed_by.size() < MajorityOf(entries)) return;
  m_confirmed_as_of = m_asked_at;
}

}  // namespace foxtailrudder
