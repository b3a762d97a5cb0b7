#pragma once

#include "membership/timing.h"
#include "model/model.h"

namespace foxtailrudder {

/// The permits held by a sidecar. A permit is a time-limited right, granted by the home entry in a
/// heartbeat reply, either to start tasks or to decide as the coordinator of a shard. Permit
/// deadlines count from the sending of the heartbeat, on the clock of this process.
class PermitHolder {
 public:
  /// Applies the grant of a heartbeat reply. Replies older than the last one applied are ignored.
  void OnReply(const HeartbeatReply& reply);

  /// Drops both permits immediately, for example when this incarnation is no longer listed.
  void Revoke();
  void RevokeStarts();

  bool MayStart(SteadyTime now) const { return now < m_start_deadline; }
  bool MayDecide(SteadyTime now) const { return now < m_decide_deadline; }

  SteadyTime start_deadline() const { return m_start_deadline; }
  SteadyTime decide_deadline() const { return m_decide_deadline; }

 private:
  std::uint64_t m_last_sequence = 0;
  SteadyTime m_start_deadline{};
  SteadyTime m_decide_deadline{};
};

}  // namespace foxtailrudder
