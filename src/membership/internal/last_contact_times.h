#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "membership/member_table.h"

namespace foxtailrudder {

/// Last-contact time of each member, here or at a peer, and the row versions that the member
/// acknowledged.
class LastContactTimes {
 public:
  struct Contact {
    Incarnation incarnation = 0;
    SteadyTime at;
    Version control_version = 0;
    Version members_version = 0;
  };

  void OnHeartbeat(NodeRef sidecar, const Heartbeat& heartbeat, SteadyTime now);
  void OnPeerStatus(NodeRef entry, const PeerStatus& status, SteadyTime now);

  /// Sets the last contact of members that joined after `seen_version` to now, because the
  /// heartbeat that made them join may have gone to a peer.
  void OnTable(const MemberTable& table, Version seen_version, SteadyTime now);

  /// Called after a pause of this process, in which it received nothing: sets the last contact of
  /// all members to now.
  void OnPause(const MemberTable& table, SteadyTime now);

  /// Returns null if this incarnation was neither heard from nor listed.
  const Contact* Find(NodeRef node) const;

  bool IsSilent(NodeRef node, std::chrono::milliseconds longer_than, SteadyTime now) const;

  /// Sidecars that recently sent heartbeats to this entry, for the status sent to the peers.
  std::vector<HeardSidecar> RecentDirectContacts(SteadyTime now) const;

 private:
  static void Merge(Contact& known, const Contact& contact);

  std::unordered_map<NodeId, Contact> m_direct;
  std::unordered_map<NodeId, Contact> m_latest;
};

}  // namespace foxtailrudder
