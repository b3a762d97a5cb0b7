#pragma once

#include "membership/internal/entry_state.h"
#include "membership/internal/freshness_tracker.h"

namespace foxtailrudder {

/// Answers the heartbeats of the sidecars that use this entry as their home, with permits and newer
/// rows.
class HeartbeatService {
 public:
  HeartbeatService(EntryState* state, const FreshnessTracker* freshness)
      : m_state(state), m_freshness(freshness) {}

  HeartbeatReply Answer(NodeRef sidecar, const Heartbeat& heartbeat, SteadyTime now) const;

 private:
  PermitRefusal RefusalFor(NodeRef sidecar, const Heartbeat& heartbeat, SteadyTime now) const;
  void AddRows(const Heartbeat& heartbeat, HeartbeatReply& reply) const;
  MembersDelta DeltaFrom(Version version) const;

  EntryState* m_state;
  const FreshnessTracker* m_freshness;
};

}  // namespace foxtailrudder
