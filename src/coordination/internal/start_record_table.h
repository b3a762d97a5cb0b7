#pragma once

#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "coordination/internal/expiry_index.h"
#include "model/model.h"

namespace foxtailrudder {

/// Start record of a task at its executor.
struct StartEntry {
  std::uint64_t digest = 0;
  WallTime job_deadline;
  StartState state = StartState::kRunning;
  std::optional<TaskOutcome> outcome;
  NodeRef dispatcher;
  std::uint64_t sequence = 0;
  /// Coordinator that receives the outcome: the dispatcher, or the coordinator that queried last.
  NodeRef reply_to;
  SteadyTime started_at;
  WallTime keep_until;
};

/// Start records of one executor by task, indexed by shard and by expiry time.
class StartRecordTable {
 public:
  /// Returns null if the task has no record.
  StartEntry* Find(const TaskRef& task);

  /// Adds a record, or replaces the record of a dispatch that never started.
  void Put(const TaskRef& task, StartEntry entry);

  std::vector<StartRecord> RecordsOf(std::span<const ShardId> shards) const;

  /// Removes the records whose retention period has ended, except those of running tasks.
  void Expire(WallTime now);

  std::size_t size() const { return m_entries.size(); }

 private:
  std::unordered_map<TaskRef, StartEntry> m_entries;
  std::unordered_map<ShardId, std::unordered_set<const TaskRef*>> m_by_shard;
  ExpiryIndex<const TaskRef*> m_expiry;
};

}  // namespace foxtailrudder
