#pragma once

#include <unordered_map>
#include <variant>
#include <vector>

#include "model/model.h"

namespace foxtailrudder {

/// Immutable, indexed copy of one version of the member row.
class MemberTable {
 public:
  /// The empty table, version 0.
  MemberTable() = default;

  static MemberTable Create(MembersRow row);

  /// Applies a delta. Returns an error if the delta starts from a version other than that of
  /// `base`.
  static std::variant<MemberTable, Error> Apply(const MemberTable& base, const MembersDelta& delta);

  /// Computes the delta between two tables.
  static MembersDelta Difference(const MemberTable& from, const MemberTable& to);

  Version version() const { return m_row.version; }
  const MembersRow& row() const { return m_row; }

  /// Returns null if the node is not listed.
  const Member* Find(NodeId id) const;

  /// Returns true if this incarnation of the node is listed.
  bool Lists(NodeRef node) const;

  /// Returns the node with its listed incarnation, or incarnation 0 if it is not listed.
  NodeRef RefOf(NodeId id) const;

  std::vector<NodeId> Entries() const;
  std::vector<NodeId> Sidecars() const;

 private:
  MembersRow m_row;
  std::unordered_map<NodeId, std::size_t> m_index;
};

}  // namespace foxtailrudder
