#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "membership/member_table.h"

namespace foxtailrudder {

/// What a sidecar requested from its home entry in its last heartbeat.
struct MemberRequest {
  Incarnation incarnation = 0;
  std::optional<Member> announcement;
  bool drain = false;
  bool leave = false;
  SteadyTime at;
};

/// Computes the next version of the member row from the members' requests and the operators'
/// settings.
class MemberPlan {
 public:
  MemberPlan(const MemberTable& table, const ControlRow& control, Now now,
             std::chrono::milliseconds retention);

  void ApplyRequest(NodeId sidecar, const MemberRequest& request);
  /// Applies this entry's own record.
  void ApplySelf(const Member& self, bool draining, bool leaving);
  void ApplyLoss(NodeId lost);

  /// Returns the next row, or nullopt if nothing changes.
  std::optional<MembersRow> Finish();

 private:
  void Put(Member wanted);
  /// Removes the member and adds a tombstone for it.
  void RemoveWithTombstone(const Member& member);
  void AddTombstone(const Member& member);
  bool HasTombstone(NodeRef node) const;
  MemberState StateOf(const Member& member, bool drain) const;
  /// Reserves the single entry change of this version; returns false if it is already taken.
  /// Entries are listed, replaced and removed one per version, so that the majorities of
  /// consecutive versions overlap.
  bool TryReserveEntryChange();

  const MemberTable* m_table;
  const ControlRow* m_control;
  Now m_now;
  std::chrono::milliseconds m_retention;
  std::unordered_map<NodeId, Member> m_members;
  std::vector<Tombstone> m_tombstones;
  bool m_changed = false;
  bool m_entry_change_reserved = false;
};

}  // namespace foxtailrudder
