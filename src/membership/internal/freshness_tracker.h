#pragma once

#include "membership/internal/confirmation.h"
#include "membership/internal/entry_state.h"

namespace foxtailrudder {

/// Determines whether this entry's rows are known to be current, from store reads or, while the
/// store is unreachable, from confirmation by a majority of the listed entries.
class FreshnessTracker {
 public:
  explicit FreshnessTracker(EntryState* state) : m_state(state) {}

  /// Requests confirmation from the other entries if the store does not answer.
  void Tick(SteadyTime now, Outbox& out);

  ConfirmReply Answer(const ConfirmRequest& request) const;
  void OnReply(NodeRef from, const ConfirmReply& reply) {
    m_confirmation.OnReply(from, reply, m_state->table);
  }

  bool IsFresh(SteadyTime now) const;

 private:
  /// A restarted entry has lost its promises. It confirms nothing until a store read that was sent
  /// after all writes promised by its previous incarnation had settled.
  bool MayConfirm() const;

  EntryState* m_state;
  Confirmation m_confirmation;
};

}  // namespace foxtailrudder
