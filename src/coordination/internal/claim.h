#pragma once

#include <optional>
#include <vector>

#include "coordination/internal/life_cycles.h"
#include "model/model.h"

namespace foxtailrudder {

/// Identifies a claim within one coordinator; ids are never reused.
using ClaimId = std::uint64_t;

/// Location of a job's first entry relative to its coordinator, for the spread rule.
enum class EntryPlace : std::uint8_t { kOtherZone, kSameZone, kSameRack };

/// One task of a claim.
struct TaskSlot {
  TaskPhase phase = TaskPhase::kQueued;
  /// A former owner of the shard sent the dispatch, so the dispatch book of this coordinator does
  /// not contain it.
  bool dispatched_by_other_owner = false;
  std::uint8_t attempts = 0;
  /// Distinguishes the task's current queue item from stale ones.
  std::uint16_t queue_epoch = 0;
  NodeRef executor;
  std::uint64_t sequence = 0;
  std::optional<TaskOutcome> outcome;
};

/// State of a claimed job key at its coordinator: the job, its tasks and the submissions to answer.
struct Claim {
  ClaimId id = 0;
  ShardId shard = 0;
  /// Position in the list of the shard's claims.
  std::size_t shard_position = 0;
  JobSpec job;
  JobPhase phase = JobPhase::kActive;
  /// If the entry is unknown, it is assumed to be in the same rack.
  EntryPlace place = EntryPlace::kSameRack;
  bool cancelled = false;
  /// For rebuilt claims: true if tasks without a start record are certain never to have started.
  bool unstarted_may_run = true;
  std::vector<SubmissionId> waiting;
  std::vector<SubmissionId> refused;
  /// The error that the refused submissions were answered with.
  Error refusal{ErrorKind::kNotStartedInTime, {}};
  std::vector<TaskSlot> tasks;
  std::uint32_t queued = 0;
  std::uint32_t open = 0;
  std::uint32_t finished = 0;
  /// The reason why the job must fail, once it is known.
  std::optional<Error> failure;
  std::optional<JobAnswer> answer;
  WallTime next_event;

  bool has_ended() const { return answer.has_value(); }

  /// Returns true if a task has or may have started.
  bool MayHaveRun() const {
    for (const TaskSlot& task : tasks) {
      if (task.phase != TaskPhase::kQueued && task.phase != TaskPhase::kDropped) return true;
    }
    return false;
  }
};

}  // namespace foxtailrudder
