#include "coordination/internal/claim_rebuilder.h"

#include <algorithm>
#include <map>
#include <ranges>

namespace foxtailrudder {
namespace {

struct KeyEvidence {
  std::vector<ForwardRecord> forwards;
  /// The entries that hold the forward records, in the same order.
  std::vector<NodeRef> entries;
  std::vector<std::pair<NodeRef, StartRecord>> starts;
};

/// Returns the earliest time at which a still relevant record can have been made. A tombstone is
/// kept for the latest deadline plus the retention, and a process may act on an older table for
/// kStalenessBound.
WallTime RecordsSince(const Tombstone& lost) {
  return lost.lost_at - (lost.keep_until - lost.lost_at) - kStalenessBound;
}

/// Returns true if the zone has been in service since `since`.
bool WasZoneInService(const ControlRow& control, const std::string& name, WallTime since) {
  const auto zone = std::ranges::find(control.zones, name, &ZoneRecord::zone);
  if (zone == control.zones.end()) return true;
  return zone->state == ZoneState::kIn && zone->returned_at <= since;
}

/// Returns true if the former owner could choose another executor of its service during every still
/// relevant job, and no other sidecar owned the shard since the former owner joined. Then it ran no
/// tasks of the shard itself, so no start records were lost with it.
bool HadAlternativeExecutor(const ClusterView& view, ShardId shard, const Tombstone& owner,
                            PreviousOwner previous, Now now) {
  // A sidecar with a higher score owned the shard while it was active and may have dispatched tasks
  // to the former owner.
  const std::uint64_t score = Placement::Score(shard, owner.id);
  const auto outranks = [&](const auto& other) {
    return other.role == NodeRole::kSidecar && other.id != owner.id &&
           Placement::Score(shard, other.id) >= score;
  };
  if (std::ranges::any_of(view.table.row().members, outranks) ||
      std::ranges::any_of(view.table.row().tombstones, outranks)) {
    return false;
  }
  const WallTime records_since = RecordsSince(owner);
  const WallTime since = now.wall - view.bundle.limits.retention;
  for (const NodeId id : Placement::EvidenceHolders(view.table, shard, since)) {
    const Member* member = view.table.Find(id);
    if (member == nullptr || member->service != owner.service) continue;
    const bool older = member->joined_version <= previous.joined_version &&
                       member->joined_at <= previous.joined_at;
    if (!older && member->joined_at > records_since) continue;
    if (WasZoneInService(view.control, member->zone, records_since)) return true;
  }
  return false;
}

/// Returns true if the member must have been in the shard's executor subset: fewer than
/// kExecutorSubsetSize present or lost sidecars of its service rank above it.
bool WasInExecutorSubset(const MemberTable& table, ShardId shard, const Member& member) {
  const std::uint64_t score = Placement::Score(shard, member.id);
  const auto outranks = [&](const auto& other) {
    return other.role == NodeRole::kSidecar && other.service == member.service &&
           Placement::Score(shard, other.id) > score;
  };
  const auto better = std::ranges::count_if(table.row().members, outranks) +
                      std::ranges::count_if(table.row().tombstones, outranks);
  return static_cast<std::size_t>(better) < kExecutorSubsetSize;
}

/// Returns true if no sidecar outside the former owner's zone, including this one, can have decided
/// on a still relevant job of the shard.
bool DecidedInOneZone(const ClusterView& view, ShardId shard, const Tombstone& owner,
                      PreviousOwner previous) {
  const WallTime since = RecordsSince(owner);
  const Member* self = view.table.Find(view.self.id);
  if (self == nullptr || self->joined_at > since) return false;
  if (previous.joined_version == 0 || previous.joined_at > since) return false;
  // A sidecar that ranks below this one did not own the shard while this one was listed as active.
  const std::uint64_t score = Placement::Score(shard, self->id);
  const auto may_have_decided = [&](const auto& other) {
    return other.role == NodeRole::kSidecar && other.id != self->id && other.zone != owner.zone &&
           Placement::Score(shard, other.id) >= score;
  };
  return std::ranges::none_of(view.table.row().members, may_have_decided) &&
         std::ranges::none_of(view.table.row().tombstones, may_have_decided);
}

/// Returns true if the spread rule kept tasks of entries in the former owner's zone from running on
/// this holder: the holder was in that zone too, and another zone had an executor of its service
/// throughout.
bool WasExcludedBySpreadRule(const ClusterView& view, ShardId shard, const Tombstone& owner,
                             const Tombstone& holder) {
  if (holder.zone != owner.zone || holder.service.empty()) return false;
  const WallTime since = std::min(RecordsSince(owner), RecordsSince(holder));
  return std::ranges::any_of(view.table.row().members, [&](const Member& member) {
    return member.role == NodeRole::kSidecar && member.service == holder.service &&
           member.zone != owner.zone && member.state == MemberState::kActive &&
           member.joined_at <= since && WasZoneInService(view.control, member.zone, since) &&
           WasInExecutorSubset(view.table, shard, member);
  });
}

/// Returns the digest that the key was claimed with, or nullopt if no record shows a claim.
std::optional<std::uint64_t> ClaimedDigest(const KeyEvidence& key_evidence) {
  if (!key_evidence.starts.empty()) return key_evidence.starts.front().second.digest;
  for (const ForwardRecord& forward : key_evidence.forwards) {
    if (forward.state == ForwardState::kComplete) return forward.digest;
  }
  for (const ForwardRecord& forward : key_evidence.forwards) {
    if (forward.state == ForwardState::kFailed) return forward.digest;
  }
  for (const ForwardRecord& forward : key_evidence.forwards) {
    if (forward.state == ForwardState::kPending) return forward.digest;
  }
  return std::nullopt;
}

std::optional<JobAnswer> CompleteAnswer(const RebuiltClaim& claim, std::uint32_t task_count) {
  JobComplete complete;
  for (std::uint32_t index = 0; index < task_count; ++index) {
    const auto found =
        std::find_if(claim.starts.begin(), claim.starts.end(), [&](const auto& start) {
          return start.second.task.index == index && start.second.outcome &&
                 std::holds_alternative<TaskResult>(*start.second.outcome);
        });
    if (found == claim.starts.end()) return std::nullopt;
    complete.results.push_back(std::get<TaskResult>(*found->second.outcome));
  }
  return complete;
}

}  // namespace

LossReport AssessLosses(const ClusterView& view, ShardId shard, PreviousOwner previous, Now now) {
  LossReport report;
  const auto& tombstones = view.table.row().tombstones;
  const Tombstone* owner = nullptr;
  for (const Tombstone& tombstone : tombstones) {
    if (tombstone.id == previous.id && tombstone.keep_until > now.wall) owner = &tombstone;
  }
  const bool one_zone = owner != nullptr && !view.table.Find(previous.id) &&
                        DecidedInOneZone(view, shard, *owner, previous);
  if (owner != nullptr) report.owner_zone = owner->zone;
  for (Tombstone& holder : Placement::LostEvidenceHolders(view.table, shard, now.wall)) {
    if (holder.id == previous.id && HadAlternativeExecutor(view, shard, holder, previous, now))
      continue;
    const bool excluded_by_spread_rule =
        one_zone && WasExcludedBySpreadRule(view, shard, *owner, holder);
    report.holders.push_back({std::move(holder), excluded_by_spread_rule});
  }
  // A shard is in doubt only if a lost entry and a lost holder may have had the same task.
  for (const Tombstone& entry : tombstones) {
    if (entry.role != NodeRole::kEntry || entry.keep_until <= now.wall) continue;
    const bool in_owner_zone = entry.zone == report.owner_zone;
    if (!in_owner_zone) report.other_entry_lost = true;
    for (const LostHolder& holder : report.holders) {
      if (holder.excluded_by_spread_rule && in_owner_zone) continue;
      report.doubt_until =
          std::max({report.doubt_until, entry.keep_until, holder.record.keep_until});
    }
  }
  return report;
}

std::vector<RebuiltClaim> RebuildClaims(const ShardEvidence& evidence, const LossReport& losses,
                                        const ClusterView& view) {
  std::map<JobKey, KeyEvidence, RefLess> by_key;
  for (const auto& [node, start] : evidence.starts) {
    if (start.state == StartState::kNeverStarted) continue;
    by_key[start.task.job].starts.emplace_back(node, start);
  }
  for (const auto& [node, forward] : evidence.forwards) {
    by_key[forward.key].forwards.push_back(forward);
    by_key[forward.key].entries.push_back(node);
  }

  std::vector<RebuiltClaim> claims;
  for (auto& [key, key_evidence] : by_key) {
    const auto digest = ClaimedDigest(key_evidence);
    if (!digest) continue;
    RebuiltClaim claim{key, *digest, {}, std::move(key_evidence.starts), false, std::nullopt};
    for (const auto& [node, start] : claim.starts) {
      claim.deadline = std::max(claim.deadline, start.job_deadline);
    }
    bool pending = false;
    std::uint32_t complete_tasks = 0;
    for (const ForwardRecord& forward : key_evidence.forwards) {
      if (forward.digest != *digest) continue;
      claim.deadline = std::max(claim.deadline, forward.deadline);
      if (forward.state == ForwardState::kPending) pending = true;
      if (forward.state == ForwardState::kComplete) complete_tasks = forward.task_count;
      if (forward.state == ForwardState::kFailed && forward.failure)
        claim.answer = *forward.failure;
    }
    // The spread rule depends on the zone of the job's first entry, which can be any entry with a
    // record of the key.
    const bool entries_in_owner_zone =
        !losses.other_entry_lost && std::ranges::all_of(key_evidence.entries, [&](NodeRef entry) {
          const Member* member = view.table.Find(entry.id);
          return member != nullptr && member->zone == losses.owner_zone;
        });
    // A task cannot start before its job is submitted, so earlier losses are irrelevant.
    const WallTime submitted = claim.deadline - view.bundle.limits.max_deadline;
    const bool start_lost = std::ranges::any_of(losses.holders, [&](const LostHolder& holder) {
      if (holder.excluded_by_spread_rule && entries_in_owner_zone) return false;
      return holder.record.lost_at >= submitted;
    });
    const Error unknown{ErrorKind::kOutcomeUnknown, "the executor or the answer was lost"};
    if (complete_tasks > 0) {
      const auto complete = CompleteAnswer(claim, complete_tasks);
      claim.answer = complete ? *complete : JobAnswer(unknown);
    }
    claim.unstarted_may_run = pending && !start_lost;
    if (!claim.answer && claim.starts.empty()) {
      if (claim.unstarted_may_run) continue;
      claim.answer = unknown;
    }
    claims.push_back(std::move(claim));
  }
  return claims;
}

}  // namespace foxtailrudder
