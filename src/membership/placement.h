#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "membership/member_table.h"
#include "model/model.h"

namespace foxtailrudder {

/// K: the maximum number of executors that a shard uses per service.
inline constexpr std::size_t kExecutorSubsetSize = 32;

/// Assigns shard owners and executor subsets by rendezvous hashing over one member table.
class Placement {
 public:
  Placement() = default;

  static Placement Create(const MemberTable& table);

  /// Computes the placement for the next table. Recomputes only the shards affected by joins and
  /// losses.
  static Placement Update(const Placement& previous, const MemberTable& from,
                          const MemberTable& to);

  /// Coordinator of a shard: the active sidecar with the highest score. 0 if there is none.
  NodeId OwnerOf(ShardId shard) const { return m_owners.empty() ? 0 : m_owners[shard]; }

  std::vector<ShardId> ShardsOf(NodeId sidecar) const;

  /// Rendezvous score of a sidecar for a shard; the active sidecar with the highest score owns the
  /// shard.
  static std::uint64_t Score(ShardId shard, NodeId sidecar);

  /// The sidecar with the highest score other than `self`, including draining ones: the owner of
  /// the shard before `self` joined, or the owner without `self`. 0 if there is none.
  static NodeId NextInRank(const MemberTable& table, ShardId shard, NodeId self);

  /// Active sidecars of the service that the shard may use: the K with the highest scores, ordered
  /// so that availability zones and racks alternate.
  static std::vector<NodeId> ExecutorSubset(const MemberTable& table, ShardId shard,
                                            std::string_view service);

  /// Listed sidecars that may hold start records of the shard (the evidence of which tasks have
  /// started): for each service, every sidecar that was in the subset at any time since `since`.
  /// Members that joined later do not displace earlier ones from the result.
  static std::vector<NodeId> EvidenceHolders(const MemberTable& table, ShardId shard,
                                             WallTime since);

  /// Tombstones of removed sidecars that may have held start records of the shard.
  static std::vector<Tombstone> LostEvidenceHolders(const MemberTable& table, ShardId shard,
                                                    WallTime now);

  /// Entries in the order in which a sidecar tries them as its home entry.
  static std::vector<NodeId> HomeRanking(const MemberTable& table, NodeId sidecar);

 private:
  std::vector<NodeId> m_owners;
};

}  // namespace foxtailrudder
