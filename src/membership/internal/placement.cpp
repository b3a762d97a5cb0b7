#include "membership/placement.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace foxtailrudder {
namespace {

struct Ranked {
  std::uint64_t score = 0;
  const Member* member = nullptr;
};

std::uint64_t ScoreOffset(ShardId shard) {
  return (std::uint64_t{shard} + 1) * 0x9E3779B97F4A7C15ULL;
}

/// The splitmix64 finalizer. 2,100 sidecars x 4,096 shards need 8.6 million scores, for which a
/// full hash is too slow; the node id already is a hash.
std::uint64_t Finalize(std::uint64_t z) {
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31);
}

bool IsOwnerCandidate(const Member* member) {
  return member != nullptr && member->role == NodeRole::kSidecar &&
         member->state == MemberState::kActive;
}

bool HasHigherScore(ShardId shard, NodeId left, NodeId right) {
  if (right == 0) return true;
  return std::pair(Placement::Score(shard, left), left) >
         std::pair(Placement::Score(shard, right), right);
}

std::vector<NodeId> OwnerCandidates(const MemberTable& table) {
  std::vector<NodeId> ids;
  for (const Member& member : table.row().members) {
    if (IsOwnerCandidate(&member)) ids.push_back(member.id);
  }
  return ids;
}

NodeId BestOf(const std::vector<NodeId>& candidates, ShardId shard) {
  const std::uint64_t offset = ScoreOffset(shard);
  NodeId best = 0;
  std::uint64_t best_score = 0;
  for (const NodeId id : candidates) {
    const std::uint64_t score = Finalize(id + offset);
    const bool worse = score < best_score || (score == best_score && id < best);
    if (best != 0 && worse) continue;
    best = id;
    best_score = score;
  }
  return best;
}

/// Sidecars of one service, highest score first.
std::vector<Ranked> RankService(const MemberTable& table, ShardId shard, std::string_view service) {
  std::vector<Ranked> ranked;
  for (const Member& member : table.row().members) {
    if (member.role != NodeRole::kSidecar || member.service != service) continue;
    ranked.push_back({Placement::Score(shard, member.id), &member});
  }
  std::ranges::sort(ranked, [](const Ranked& left, const Ranked& right) {
    return std::pair(left.score, left.member->id) > std::pair(right.score, right.member->id);
  });
  return ranked;
}

/// Interleaves the members round-robin by group; groups are in order of first appearance.
std::vector<const Member*> Interleave(const std::vector<const Member*>& members,
                                      std::string Member::*field) {
  std::vector<std::vector<const Member*>> groups;
  std::map<std::string_view, std::size_t> index;
  for (const Member* member : members) {
    const auto [place, added] = index.emplace(member->*field, groups.size());
    if (added) groups.emplace_back();
    groups[place->second].push_back(member);
  }
  std::vector<const Member*> ordered;
  for (std::size_t turn = 0; ordered.size() < members.size(); ++turn) {
    for (const auto& group : groups) {
      if (turn < group.size()) ordered.push_back(group[turn]);
    }
  }
  return ordered;
}

}  // namespace

std::uint64_t Placement::Score(ShardId shard, NodeId sidecar) {
  return Finalize(sidecar + ScoreOffset(shard));
}

Placement Placement::Create(const MemberTable& table) {
  Placement placement;
  placement.m_owners.resize(kShardCount);
  const std::vector<NodeId> candidates = OwnerCandidates(table);
  for (ShardId shard = 0; shard < kShardCount; ++shard) {
    placement.m_owners[shard] = BestOf(candidates, shard);
  }
  return placement;
}

Placement Placement::Update(const Placement& previous, const MemberTable& from,
                            const MemberTable& to) {
  if (previous.m_owners.empty()) return Create(to);
  std::vector<NodeId> added;
  for (const NodeId id : OwnerCandidates(to)) {
    if (!IsOwnerCandidate(from.Find(id))) added.push_back(id);
  }
  Placement placement = previous;
  const std::vector<NodeId> candidates = OwnerCandidates(to);
  for (ShardId shard = 0; shard < kShardCount; ++shard) {
    NodeId& owner = placement.m_owners[shard];
    if (owner == 0 || !IsOwnerCandidate(to.Find(owner))) {
      owner = BestOf(candidates, shard);
      continue;
    }
    for (const NodeId id : added) {
      if (HasHigherScore(shard, id, owner)) owner = id;
    }
  }
  return placement;
}

std::vector<ShardId> Placement::ShardsOf(NodeId sidecar) const {
  std::vector<ShardId> shards;
  for (std::size_t shard = 0; shard < m_owners.size(); ++shard) {
    if (m_owners[shard] == sidecar) shards.push_back(static_cast<ShardId>(shard));
  }
  return shards;
}

NodeId Placement::NextInRank(const MemberTable& table, ShardId shard, NodeId self) {
  NodeId best = 0;
  for (const Member& member : table.row().members) {
    if (member.role != NodeRole::kSidecar || member.id == self) continue;
    if (HasHigherScore(shard, member.id, best)) best = member.id;
  }
  return best;
}

std::vector<NodeId> Placement::ExecutorSubset(const MemberTable& table, ShardId shard,
                                              std::string_view service) {
  std::vector<const Member*> chosen;
  for (const Ranked& ranked : RankService(table, shard, service)) {
    if (ranked.member->state != MemberState::kActive) continue;
    if (chosen.size() == kExecutorSubsetSize) break;
    chosen.push_back(ranked.member);
  }
  // Interleaving by rack first makes the racks alternate within each zone after interleaving by
  // zone.
  std::vector<NodeId> ids;
  for (const Member* member : Interleave(Interleave(chosen, &Member::rack), &Member::zone)) {
    ids.push_back(member->id);
  }
  return ids;
}

std::vector<NodeId> Placement::EvidenceHolders(const MemberTable& table, ShardId shard,
                                               WallTime since) {
  std::map<std::string_view, bool> services;
  for (const Member& member : table.row().members) {
    if (member.role == NodeRole::kSidecar) services.emplace(member.service, true);
  }
  std::vector<NodeId> holders;
  for (const auto& [service, unused] : services) {
    std::size_t always_active = 0;
    for (const Ranked& ranked : RankService(table, shard, service)) {
      // A sidecar without an endpoint may hold records of a service that it announced earlier.
      if (always_active >= kExecutorSubsetSize && !service.empty()) break;
      holders.push_back(ranked.member->id);
      // Only a member that was active for the whole period kept lower-scored members out of the
      // subset.
      const bool active = ranked.member->state == MemberState::kActive;
      if (active && ranked.member->joined_at <= since) ++always_active;
    }
  }
  return holders;
}

std::vector<Tombstone> Placement::LostEvidenceHolders(const MemberTable& table, ShardId shard,
                                                      WallTime now) {
  std::vector<Tombstone> lost;
  for (const Tombstone& tombstone : table.row().tombstones) {
    if (tombstone.role != NodeRole::kSidecar || tombstone.keep_until <= now) continue;
    const WallTime since = tombstone.lost_at - (tombstone.keep_until - tombstone.lost_at);
    const auto outranks = [&](const Member& member) {
      return IsOwnerCandidate(&member) && member.service == tombstone.service &&
             member.joined_at <= since && HasHigherScore(shard, member.id, tombstone.id);
    };
    const auto better = std::ranges::count_if(table.row().members, outranks);
    const bool excluded = static_cast<std::size_t>(better) >= kExecutorSubsetSize;
    if (tombstone.service.empty() || !excluded) lost.push_back(tombstone);
  }
  return lost;
}

std::vector<NodeId> Placement::HomeRanking(const MemberTable& table, NodeId sidecar) {
  std::vector<std::pair<std::pair<bool, std::uint64_t>, NodeId>> ranked;
  for (const Member& member : table.row().members) {
    if (member.role != NodeRole::kEntry) continue;
    const bool active = member.state == MemberState::kActive;
    ranked.push_back({{active, MixHash(sidecar, member.id)}, member.id});
  }
  std::ranges::sort(ranked, std::greater<>());
  std::vector<NodeId> ids;
  ids.reserve(ranked.size());
  for (const auto& [rank, id] : ranked) ids.push_back(id);
  return ids;
}

}  // namespace foxtailrudder
