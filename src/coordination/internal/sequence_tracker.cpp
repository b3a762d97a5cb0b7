#include "coordination/internal/sequence_tracker.h"

namespace foxtailrudder {

bool SequenceTracker::Advance(NodeRef coordinator, std::uint64_t sequence, SteadyTime now) {
  CoordinatorState& state = m_coordinators[coordinator];
  state.last_contact = now;
  if (sequence <= state.highest_sequence) return false;
  state.highest_sequence = sequence;
  return true;
}

void SequenceTracker::Prune(const MemberTable& table, SteadyTime since) {
  std::erase_if(m_coordinators, [&](const auto& entry) {
    return entry.second.last_contact < since && !table.Lists(entry.first);
  });
}

}  // namespace foxtailrudder
