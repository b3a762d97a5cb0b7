#include "coordination/internal/shard_ownership.h"

#include <algorithm>

namespace foxtailrudder {
namespace {

constexpr std::size_t kPhases = static_cast<std::size_t>(ShardPhase::kReleased) + 1;

bool IsOwned(ShardPhase phase) {
  return phase != ShardPhase::kNotOwned && phase != ShardPhase::kReleased;
}

}  // namespace

ShardOwnership::ShardOwnership(bool takeover_evidence)
    : m_takeover_evidence(takeover_evidence), m_shards(kShardCount), m_counts(kPhases) {
  m_counts[static_cast<std::size_t>(ShardPhase::kNotOwned)] = kShardCount;
}

void ShardOwnership::SetPhase(ShardId shard, ShardPhase phase) {
  --m_counts[static_cast<std::size_t>(m_shards[shard].phase)];
  ++m_counts[static_cast<std::size_t>(phase)];
  m_shards[shard].phase = phase;
  m_shards[shard].has_decided |= phase == ShardPhase::kDeciding;
}

NodeRef ShardOwnership::NextHandoverSource(ShardId shard, const ClusterView& view) const {
  const std::uint64_t own = Placement::Score(shard, view.self.id);
  const std::uint64_t bound = Placement::Score(shard, m_shards[shard].handover_source.id);
  NodeRef next;
  std::uint64_t best = own;
  for (const Member& member : view.table.row().members) {
    if (member.role != NodeRole::kSidecar) continue;
    const std::uint64_t score = Placement::Score(shard, member.id);
    if (score <= best || score >= bound) continue;
    best = score;
    next = {member.id, member.incarnation};
  }
  return next;
}

void ShardOwnership::OnDeclined(ShardId shard, NodeId successor) {
  ShardState& state = m_shards[shard];
  if (state.phase != ShardPhase::kReleased) return;
  if (state.undecided_successor == successor) {
    state.undecided_successor = 0;
    state.authoritative = true;
  } else if (state.owner == successor) {
    // This sidecar has not learnt yet that the successor lost the shard.
    state.is_declined = true;
  }
}

std::vector<ShardId> ShardOwnership::InPhase(ShardPhase phase) const {
  std::vector<ShardId> shards;
  if (Count(phase) == 0) return shards;
  for (ShardId shard = 0; shard < kShardCount; ++shard) {
    if (m_shards[shard].phase == phase) shards.push_back(shard);
  }
  return shards;
}

void ShardOwnership::BeginTakeover(ShardId shard, const ClusterView& view, Now now) {
  ShardState& state = m_shards[shard];
  state.previous = {};
  if (state.owner != view.self.id) state.previous.id = state.owner;
  if (const auto last = m_last_members.find(state.previous.id); last != m_last_members.end()) {
    state.previous.joined_version = last->second.joined_version;
    state.previous.joined_at = last->second.joined_at;
  }
  state.since_version = view.table.version();
  state.since = now.steady;
  state.next_request = now.steady;
  state.doubt_until = {};
  state.authoritative = false;
  state.handover_source = view.table.RefOf(Placement::NextInRank(view.table, shard, view.self.id));
  SetPhase(shard, state.handover_source.incarnation != 0 ? ShardPhase::kAwaitingHandover
                                                         : ShardPhase::kAwaitingOldVersionExpiry);
}

bool ShardOwnership::IsUnchanged(const Member& member) const {
  const auto last = m_last_members.find(member.id);
  return last != m_last_members.end() && last->second.state == member.state &&
         last->second.joined_version == member.joined_version &&
         last->second.joined_at == member.joined_at;
}

std::vector<NodeId> ShardOwnership::TransientSidecars(const MemberTable& table) const {
  std::vector<NodeId> transient;
  for (const Tombstone& tombstone : table.row().tombstones) {
    if (tombstone.role != NodeRole::kSidecar) continue;
    if (!m_last_tombstones.contains({tombstone.id, tombstone.incarnation}))
      transient.push_back(tombstone.id);
  }
  // Sidecars that are active now are part of the placement.
  for (const Member& member : table.row().members) {
    if (member.role != NodeRole::kSidecar || member.state == MemberState::kActive) continue;
    if (!IsUnchanged(member)) transient.push_back(member.id);
  }
  return transient;
}

void ShardOwnership::RecordLastTable(const MemberTable& table) {
  m_last_members.clear();
  for (const Member& member : table.row().members) {
    m_last_members[member.id] = {member.state, member.joined_version, member.joined_at};
  }
  m_last_tombstones.clear();
  for (const Tombstone& tombstone : table.row().tombstones) {
    m_last_tombstones.insert({tombstone.id, tombstone.incarnation});
  }
}

ShardOwnership::Changes ShardOwnership::OnView(const ClusterView& view, SteadyTime permit_end,
                                               Now now) {
  Changes changes;
  const Version version = view.table.version();
  if (version <= m_version) return changes;
  const bool first = m_version == 0;
  const Member* self = view.table.Find(view.self.id);
  const bool listed = view.table.Lists(view.self);
  const bool permit_was_live = permit_end > now.steady;
  // This sidecar was removed and listed again, or missed versions without a permit: another sidecar
  // may have owned the shards and decided in between.
  const bool interrupted = !first && ((listed && self->joined_version > m_version) ||
                                      (!permit_was_live && version > m_version + 1));
  // A sidecar that was listed as active throughout can have lost a shard only to one with a higher
  // score. The table still shows that one, because tombstones are kept longer than the retention.
  const bool listed_throughout = interrupted && listed && IsUnchanged(*self) &&
                                 self->state == MemberState::kActive &&
                                 now.steady - permit_end < view.bundle.limits.retention;
  const std::vector<NodeId> transient =
      listed_throughout ? TransientSidecars(view.table) : std::vector<NodeId>();
  const auto owned_throughout = [&](ShardId shard) {
    const std::uint64_t score = Placement::Score(shard, view.self.id);
    return listed_throughout && std::ranges::none_of(transient, [&](NodeId other) {
             return other == view.self.id || Placement::Score(shard, other) >= score;
           });
  };
  const bool is_first_sidecar =
      first && view.table.Sidecars().size() == 1 && view.table.row().tombstones.empty();

  for (ShardId shard = 0; shard < kShardCount; ++shard) {
    ShardState& state = m_shards[shard];
    const NodeId owner = view.placement.OwnerOf(shard);
    const bool owned_by_self = listed && owner == view.self.id;
    const bool was_owned = IsOwned(state.phase);
    if (owned_by_self && (!was_owned || (interrupted && !owned_throughout(shard)))) {
      changes.discarded.push_back(shard);
      BeginTakeover(shard, view, now);
      if (is_first_sidecar || !m_takeover_evidence) SetPhase(shard, ShardPhase::kDeciding);
      changes.gained.push_back(shard);
    } else if (!owned_by_self && was_owned) {
      if (!state.has_decided) changes.declined.push_back(shard);
      state.authoritative = state.phase == ShardPhase::kDeciding && permit_was_live && !interrupted;
      state.undecided_successor = 0;
      state.is_declined = false;
      state.since_version = version;
      state.since = now.steady;
      SetPhase(shard, ShardPhase::kReleased);
      changes.released.push_back(shard);
    } else if (!owned_by_self && state.phase == ShardPhase::kReleased && state.owner != owner) {
      // The first successor may have decided, so these claims are not authoritative for the second
      // unless the first has declined them.
      state.undecided_successor = state.authoritative && !state.is_declined ? state.owner : 0;
      state.authoritative = state.authoritative && state.is_declined;
      state.is_declined = false;
      changes.released.push_back(shard);
    }
    state.owner = owner;
  }
  m_version = version;
  RecordLastTable(view.table);
  return changes;
}

}  // namespace foxtailrudder
