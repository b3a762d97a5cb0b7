#include "membership/internal/member_plan.h"

#include <algorithm>
#include <utility>

#include "membership/internal/control_change.h"

namespace foxtailrudder {

MemberPlan::MemberPlan(const MemberTable& table, const ControlRow& control, Now now,
                       std::chrono::milliseconds retention)
    : m_table(&table),
      m_control(&control),
      m_now(now),
      m_retention(retention),
      m_tombstones(table.row().tombstones) {
  for (const Member& member : table.row().members) m_members.emplace(member.id, member);
}

void MemberPlan::ApplyRequest(NodeId sidecar, const MemberRequest& request) {
  const auto found = m_members.find(sidecar);
  const bool listed = found != m_members.end();
  const bool same_incarnation = listed && found->second.incarnation == request.incarnation;
  if (request.leave) {
    // The sidecar's start records are lost with it, so a takeover must be able to see that they
    // existed.
    if (same_incarnation) RemoveWithTombstone(found->second);
    return;
  }
  if (listed && !same_incarnation && HasTombstone({sidecar, request.incarnation})) return;
  if (!same_incarnation && !request.announcement) return;
  Member wanted = request.announcement ? *request.announcement : found->second;
  wanted.state = StateOf(wanted, request.drain);
  Put(std::move(wanted));
}

void MemberPlan::ApplySelf(const Member& self, bool draining, bool leaving) {
  const auto found = m_members.find(self.id);
  const bool listed = found != m_members.end();
  const bool same_incarnation = listed && found->second.incarnation == self.incarnation;
  if (leaving) {
    // The entry's forward records are lost with it, as after an unplanned loss.
    if (same_incarnation && TryReserveEntryChange()) RemoveWithTombstone(found->second);
    return;
  }
  if (!same_incarnation && !TryReserveEntryChange()) return;
  Member wanted = self;
  wanted.state = draining ? MemberState::kDraining : MemberState::kActive;
  Put(std::move(wanted));
}

void MemberPlan::ApplyLoss(NodeId lost) {
  const auto found = m_members.find(lost);
  if (found == m_members.end()) return;
  if (found->second.role == NodeRole::kEntry && !TryReserveEntryChange()) return;
  RemoveWithTombstone(found->second);
}

std::optional<MembersRow> MemberPlan::Finish() {
  if (!m_changed) return std::nullopt;
  MembersRow row;
  row.version = m_table->version() + 1;
  row.changes = m_table->row().changes;
  std::erase_if(m_tombstones,
                [&](const Tombstone& tombstone) { return tombstone.keep_until <= m_now.wall; });
  row.tombstones = std::move(m_tombstones);
  for (auto& [id, member] : m_members) row.members.push_back(std::move(member));
  std::ranges::sort(row.members, {}, &Member::id);
  return row;
}

void MemberPlan::Put(Member wanted) {
  const auto found = m_members.find(wanted.id);
  const Member* listed = found == m_members.end() ? nullptr : &found->second;
  const bool same_incarnation = listed != nullptr && listed->incarnation == wanted.incarnation;
  wanted.joined_version = same_incarnation ? listed->joined_version : m_table->version() + 1;
  // joined_at is the time since which the member has been continuously active for its service, as
  // EvidenceHolders requires.
  const bool unbroken = same_incarnation && listed->service == wanted.service &&
                        (listed->state == wanted.state || wanted.state == MemberState::kDraining);
  wanted.joined_at = unbroken ? listed->joined_at : m_now.wall;
  if (same_incarnation && *listed == wanted) return;
  if (listed != nullptr && !same_incarnation) AddTombstone(*listed);
  m_members.insert_or_assign(wanted.id, std::move(wanted));
  m_changed = true;
}

void MemberPlan::RemoveWithTombstone(const Member& member) {
  AddTombstone(member);
  m_members.erase(NodeId{member.id});
  m_changed = true;
}

void MemberPlan::AddTombstone(const Member& member) {
  m_tombstones.push_back({member.id, member.incarnation, member.role, member.service, member.zone,
                          member.rack, m_now.wall, m_now.wall + m_retention});
}

bool MemberPlan::HasTombstone(NodeRef node) const {
  return std::ranges::any_of(m_tombstones, [&](const Tombstone& tombstone) {
    return NodeRef{tombstone.id, tombstone.incarnation} == node;
  });
}

MemberState MemberPlan::StateOf(const Member& member, bool drain) const {
  const bool out = ZoneStateOf(*m_control, member.zone) == ZoneState::kOut;
  const bool draining = drain || out || IsDrainedByOperator(*m_control, member.id);
  return draining ? MemberState::kDraining : MemberState::kActive;
}

bool MemberPlan::TryReserveEntryChange() { return !std::exchange(m_entry_change_reserved, true); }

}  // namespace foxtailrudder
