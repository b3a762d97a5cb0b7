#include "coordination/internal/start_record_table.h"

namespace foxtailrudder {
namespace {

constexpr std::chrono::seconds kRunningRecheckPeriod{10};

}  // namespace

StartEntry* StartRecordTable::Find(const TaskRef& task) {
  const auto found = m_entries.find(task);
  return found == m_entries.end() ? nullptr : &found->second;
}

void StartRecordTable::Put(const TaskRef& task, StartEntry entry) {
  const WallTime keep_until = entry.keep_until;
  const auto [position, added] = m_entries.insert_or_assign(task, std::move(entry));
  if (!added) return;
  const TaskRef* key = &position->first;
  m_by_shard[ShardOf(task.job)].insert(key);
  m_expiry.Add(keep_until, key);
}

std::vector<StartRecord> StartRecordTable::RecordsOf(std::span<const ShardId> shards) const {
  std::vector<StartRecord> records;
  for (const ShardId shard : shards) {
    const auto found = m_by_shard.find(shard);
    if (found == m_by_shard.end()) continue;
    for (const TaskRef* task : found->second) {
      const StartEntry& entry = m_entries.find(*task)->second;
      records.push_back({*task, entry.digest, entry.job_deadline, entry.state, entry.outcome});
    }
  }
  return records;
}

void StartRecordTable::Expire(WallTime now) {
  for (const TaskRef* task : m_expiry.TakeDue(now)) {
    const auto found = m_entries.find(*task);
    const StartEntry& entry = found->second;
    if (entry.state == StartState::kRunning || entry.keep_until > now) {
      m_expiry.Add(std::max(entry.keep_until, now + kRunningRecheckPeriod), task);
      continue;
    }
    const auto shard = m_by_shard.find(ShardOf(task->job));
    shard->second.erase(task);
    if (shard->second.empty()) m_by_shard.erase(shard);
    m_entries.erase(found);
  }
}

}  // namespace foxtailrudder
