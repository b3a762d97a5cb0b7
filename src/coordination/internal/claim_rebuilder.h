#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/cluster_view.h"
#include "coordination/internal/evidence_collector.h"
#include "model/model.h"

namespace foxtailrudder {

/// A claim reconstructed from the records of the remaining entries and executors.
struct RebuiltClaim {
  JobKey key;
  std::uint64_t digest = 0;
  WallTime deadline;
  /// Start records of the job's tasks, each with the executor that holds it.
  std::vector<std::pair<NodeRef, StartRecord>> starts;
  /// True if tasks without a start record are certain never to have started and an entry still
  /// waits for the job.
  bool unstarted_may_run = false;
  /// The answer to every submission of the key, if it is already certain.
  std::optional<JobAnswer> answer;
};

/// A lost sidecar that may have held start records of the shard.
struct LostHolder {
  Tombstone record;
  /// The sidecar was in the former owner's zone, so the spread rule kept it from running tasks of
  /// entries in that zone.
  bool excluded_by_spread_rule = false;
};

/// Effect of lost sidecars and entries on the evidence on one shard.
struct LossReport {
  std::vector<LostHolder> holders;
  /// Zone of the former owner; empty if the owner was not lost.
  std::string owner_zone;
  /// An entry of another zone was lost, so the first entry of a key may have been there.
  bool other_entry_lost = false;
  /// Keys without a claim are answered outcome_unknown until this time.
  WallTime doubt_until{};
};

/// The sidecar that owned a shard before this one.
struct PreviousOwner {
  NodeId id = 0;
  /// Version of the member table in which it joined; 0 if unknown.
  Version joined_version = 0;
  WallTime joined_at{};
};

/// Determines which holders of start records of the shard were lost, and until when this leaves
/// keys without a claim in doubt: a job with such a key may have run.
LossReport AssessLosses(const ClusterView& view, ShardId shard, PreviousOwner previous, Now now);

/// Rebuilds the claims of one shard. Omits keys of which no task has run: their entries forward
/// them again.
std::vector<RebuiltClaim> RebuildClaims(const ShardEvidence& evidence, const LossReport& losses,
                                        const ClusterView& view);

}  // namespace foxtailrudder
