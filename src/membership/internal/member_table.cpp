#include "membership/member_table.h"

#include <algorithm>
#include <string>
#include <utility>

namespace foxtailrudder {

MemberTable MemberTable::Create(MembersRow row) {
  MemberTable table;
  table.m_row = std::move(row);
  std::ranges::sort(table.m_row.members, {}, &Member::id);
  for (std::size_t i = 0; i < table.m_row.members.size(); ++i) {
    table.m_index.emplace(table.m_row.members[i].id, i);
  }
  return table;
}

std::variant<MemberTable, Error> MemberTable::Apply(const MemberTable& base,
                                                    const MembersDelta& delta) {
  const bool full = delta.from_version == 0;
  if (!full && delta.from_version != base.version()) {
    return Error{ErrorKind::kVersionConflict,
                 "delta starts from version " + std::to_string(delta.from_version) +
                     ", but the table has version " + std::to_string(base.version())};
  }
  std::unordered_map<NodeId, Member> members;
  if (!full) {
    for (const Member& member : base.m_row.members) members.emplace(member.id, member);
  }
  for (const NodeId id : delta.removals) members.erase(id);
  for (const Member& member : delta.upserts) members.insert_or_assign(member.id, member);
  MembersRow row;
  row.version = delta.to_version;
  row.tombstones = delta.tombstones;
  for (auto& [id, member] : members) row.members.push_back(std::move(member));
  return Create(std::move(row));
}

MembersDelta MemberTable::Difference(const MemberTable& from, const MemberTable& to) {
  MembersDelta delta;
  delta.from_version = from.version();
  delta.to_version = to.version();
  // Tombstones are few and expire, so the delta contains all of them.
  delta.tombstones = to.m_row.tombstones;
  for (const Member& member : to.m_row.members) {
    const Member* earlier = from.Find(member.id);
    if (earlier == nullptr || *earlier != member) delta.upserts.push_back(member);
  }
  for (const Member& member : from.m_row.members) {
    if (to.Find(member.id) == nullptr) delta.removals.push_back(member.id);
  }
  return delta;
}

const Member* MemberTable::Find(NodeId id) const {
  const auto found = m_index.find(id);
  return found == m_index.end() ? nullptr : &m_row.members[found->second];
}

bool MemberTable::Lists(NodeRef node) const {
  const Member* member = Find(node.id);
  return member != nullptr && member->incarnation == node.incarnation;
}

NodeRef MemberTable::RefOf(NodeId id) const {
  const Member* member = Find(id);
  return {id, member == nullptr ? 0 : member->incarnation};
}

std::vector<NodeId> MemberTable::Entries() const {
  std::vector<NodeId> ids;
  for (const Member& member : m_row.members) {
    if (member.role == NodeRole::kEntry) ids.push_back(member.id);
  }
  return ids;
}

std::vector<NodeId> MemberTable::Sidecars() const {
  std::vector<NodeId> ids;
  for (const Member& member : m_row.members) {
    if (member.role == NodeRole::kSidecar) ids.push_back(member.id);
  }
  return ids;
}

}  // namespace foxtailrudder
