#pragma once

#include <optional>
#include <set>

#include "membership/member_table.h"

namespace foxtailrudder {

/// Asks the listed entries to confirm that the rows held here are current, for use while the store
/// is unreachable. An entry confirms if it knows no newer row and has no outstanding promise.
class Confirmation {
 public:
  /// Sends a request to all other listed entries. `self_confirms` is this entry's own answer.
  void Ask(const MemberTable& table, Version control_version, NodeId self, bool self_confirms,
           SteadyTime now, Outbox& out);

  /// Counts a reply if the sender's incarnation is listed.
  void OnReply(NodeRef from, const ConfirmReply& reply, const MemberTable& table);

  /// When the last request confirmed by a majority was sent.
  std::optional<SteadyTime> ConfirmedAsOf() const { return m_confirmed_as_of; }
  std::optional<SteadyTime> AskedAt() const { return m_asked_at; }

 private:
  void CheckMajority(const MemberTable& table);

  bool m_open = false;
  std::uint64_t m_question = 0;
  std::optional<SteadyTime> m_asked_at;
  std::optional<SteadyTime> m_confirmed_as_of;
  std::set<NodeId> m_confirmed_by;
};

/// Smallest group size for which any two groups share an entry.
constexpr std::size_t MajorityOf(std::size_t entries) { return entries / 2 + 1; }

}  // namespace foxtailrudder
