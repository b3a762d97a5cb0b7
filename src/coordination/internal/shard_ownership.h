#pragma once

#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/cluster_view.h"
#include "coordination/internal/claim_rebuilder.h"
#include "coordination/internal/ref_less.h"
#include "model/model.h"

namespace foxtailrudder {

enum class ShardPhase : std::uint8_t {
  kNotOwned,
  /// The presumed former owner has been asked to hand over its claims.
  kAwaitingHandover,
  /// No handover is possible: there is no former owner to ask, or it was not deciding itself. Waits
  /// until no process acts on an older version of the member table.
  kAwaitingOldVersionExpiry,
  /// No process acts on an older version any more; claims are rebuilt from collected evidence.
  kCollectingEvidence,
  /// The claims are complete; this sidecar decides on the shard's jobs while it has a permit.
  kDeciding,
  /// Another sidecar owns the shard and may still ask for the claims.
  kReleased,
};

/// Ownership of one shard. A shard is in doubt while all processes that knew one of its keys may
/// have been lost: until `doubt_until`, keys without a claim are answered outcome_unknown.
struct ShardState {
  ShardPhase phase = ShardPhase::kNotOwned;
  /// Version of the member table in which the shard was gained or lost.
  Version since_version = 0;
  SteadyTime since{};
  /// Owner according to the last table.
  NodeId owner = 0;
  /// Owner before this sidecar, if known.
  PreviousOwner previous;
  /// Sidecar to request the claims from.
  NodeRef handover_source;
  SteadyTime next_request{};
  WallTime doubt_until{};
  /// This process has decided for the shard, in this ownership or an earlier one.
  bool has_decided = false;
  /// For released shards: this sidecar was deciding with a live permit until it learnt of the
  /// release, so its claims are complete.
  bool authoritative = false;
  /// For released shards: the first successor, which has lost the shard too. The claims become
  /// authoritative again if it declines them. 0 if there is none.
  NodeId undecided_successor = 0;
  /// For released shards: the present owner has declined the claims.
  bool is_declined = false;
};

/// Tracks which shards this sidecar owns and the phase of each takeover.
class ShardOwnership {
 public:
  explicit ShardOwnership(bool takeover_evidence);

  struct Changes {
    std::vector<ShardId> gained;
    /// Gained shards whose claims from an earlier ownership must be dropped.
    std::vector<ShardId> discarded;
    std::vector<ShardId> released;
    /// Released shards for which this process has never decided.
    std::vector<ShardId> declined;
  };

  /// The listed sidecar that follows the present handover source in rank and may have owned the
  /// shard before this one: it ranks above this one. A null reference if there is none.
  NodeRef NextHandoverSource(ShardId shard, const ClusterView& view) const;

  /// Handles a successor that has lost a released shard without having decided for it.
  void OnDeclined(ShardId shard, NodeId successor);

  /// Updates the phases by comparing the view with the last table. `permit_end` is the end of the
  /// last decide permit that was granted under that table: until then no other process can have
  /// decided.
  Changes OnView(const ClusterView& view, SteadyTime permit_end, Now now);

  ShardState& operator[](ShardId shard) { return m_shards[shard]; }
  const ShardState& operator[](ShardId shard) const { return m_shards[shard]; }

  bool IsDeciding(ShardId shard) const { return m_shards[shard].phase == ShardPhase::kDeciding; }
  void SetPhase(ShardId shard, ShardPhase phase);

  std::vector<ShardId> InPhase(ShardPhase phase) const;
  std::size_t Count(ShardPhase phase) const { return m_counts[static_cast<std::size_t>(phase)]; }

 private:
  /// Fields of a member in the last table.
  struct LastMember {
    MemberState state = MemberState::kActive;
    Version joined_version = 0;
    WallTime joined_at{};
  };

  void BeginTakeover(ShardId shard, const ClusterView& view, Now now);
  /// Returns true if the member's state, joining version and joining time are as in the last table.
  bool IsUnchanged(const Member& member) const;
  /// Sidecars that may have been active in a version between the last table and this one without
  /// being active in either.
  std::vector<NodeId> TransientSidecars(const MemberTable& table) const;
  void RecordLastTable(const MemberTable& table);

  bool m_takeover_evidence;
  Version m_version = 0;
  std::vector<ShardState> m_shards;
  std::vector<std::size_t> m_counts;
  std::unordered_map<NodeId, LastMember> m_last_members;
  std::set<NodeRef, RefLess> m_last_tombstones;
};

}  // namespace foxtailrudder
