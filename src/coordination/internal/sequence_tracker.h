#pragma once

#include <unordered_map>

#include "membership/member_table.h"
#include "model/model.h"

namespace foxtailrudder {

/// Tracks the highest dispatch sequence received from each coordinator incarnation.
class SequenceTracker {
 public:
  /// Returns true and stores the sequence if it is above the highest one received so far.
  bool Advance(NodeRef coordinator, std::uint64_t sequence, SteadyTime now);

  /// Removes incarnations that the table does not list and whose last contact was before `since`.
  /// Listed incarnations are kept, because otherwise a late duplicate of a refused dispatch could
  /// start.
  void Prune(const MemberTable& table, SteadyTime since);

 private:
  struct CoordinatorState {
    std::uint64_t highest_sequence = 0;
    SteadyTime last_contact;
  };

  struct NodeRefHash {
    std::size_t operator()(const NodeRef& node) const noexcept {
      return MixHash(node.id, node.incarnation);
    }
  };

  std::unordered_map<NodeRef, CoordinatorState, NodeRefHash> m_coordinators;
};

}  // namespace foxtailrudder
