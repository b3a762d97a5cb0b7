#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "dispatch/pause_detector.h"
#include "model/messages.h"
#include "model/time.h"

namespace foxtailrudder {

/// Sidecars a majority of which decides on the claim to a job.
struct WitnessSet {
  std::vector<NodeId> sidecars;

  std::size_t majority() const { return sidecars.size() / 2 + 1; }

  friend bool operator==(const WitnessSet&, const WitnessSet&) = default;
};

/// An entry's view of the sidecars of the deployment, from which it chooses the witnesses of each
/// job. All entries have to choose the same ones, so the view is the union of the sidecars that the
/// live entries are in contact with, and for some time after a change the former witnesses count
/// too.
class WitnessView {
 public:
  /// Handles a report of a sidecar. Returns whether it comes from another incarnation than the
  /// last one.
  bool OnSidecarHeard(NodeRef sidecar, const std::string& zone, Now now);

  /// Handles the list that a live entry has sent of its sidecars.
  void OnPeerList(NodeId entry, std::vector<WitnessInfo> sidecars, std::uint64_t digest,
                  bool is_settled);
  /// Drops the lists of entries that are not live.
  void SetLiveEntries(const std::vector<NodeId>& entries);

  /// Removes silent sidecars and brings the view up to date.
  void Tick(Now now);

  /// Whether this entry knows the deployment well enough to choose witnesses: it has the list of a
  /// peer that does, or has heard of no new sidecar for some time.
  bool is_settled() const { return m_settled; }
  /// Whether this entry hears any sidecar.
  bool has_contact() const { return !m_own.empty(); }

  /// The witnesses of a job: a majority of each set has to grant a claim. Empty unless settled.
  std::vector<WitnessSet> SetsFor(std::string_view job_id, Now now) const;

  /// The last incarnation heard of a sidecar; not set if this entry has not heard it.
  std::optional<NodeRef> Find(NodeId sidecar) const;

  /// The sidecars that this entry itself is in contact with, for its peers.
  const std::vector<WitnessInfo>& own_list() const { return m_own_list; }
  std::uint64_t own_digest() const { return m_own_digest; }
  /// Digest of the last list of a peer; 0 if there is none.
  std::uint64_t DigestOfPeer(NodeId entry) const;

 private:
  struct Sidecar {
    NodeRef ref;
    std::string zone;
    SteadyTime last_heard_at;
  };
  struct PeerList {
    std::vector<WitnessInfo> sidecars;
    std::uint64_t digest = 0;
  };
  struct FormerMembers {
    std::vector<WitnessInfo> members;
    SteadyTime valid_until;
  };

  void ExtendAfterPause(Now now);
  void Rebuild(Now now);
  void Settle(Now now);

  std::map<NodeId, Sidecar> m_own;
  std::map<NodeId, PeerList> m_peers;
  std::vector<WitnessInfo> m_own_list;
  std::uint64_t m_own_digest = 0;
  std::vector<WitnessInfo> m_members;
  std::deque<FormerMembers> m_former;
  bool m_settled = false;
  bool m_knows_settled_peer = false;
  SteadyTime m_last_member_change_at;
  PauseDetector m_pauses;
  bool m_has_changed = false;
  SteadyTime m_next_rebuild;
};

}  // namespace foxtailrudder
