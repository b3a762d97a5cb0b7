#include "coordination/internal/forward_record_table.h"

#include <algorithm>

namespace foxtailrudder {
namespace {

constexpr std::chrono::seconds kWaitingRecheckPeriod{10};

}  // namespace

bool ForwardRecordTable::Contains(const JobSpec& job) const {
  return m_records.contains({job.key, job.digest});
}

ForwardRecordTable::StoredRecord* ForwardRecordTable::Find(const JobSpec& job) {
  const auto found = m_records.find({job.key, job.digest});
  return found == m_records.end() ? nullptr : &found->second;
}

void ForwardRecordTable::OnForward(const JobSpec& job, WallTime keep_until) {
  const auto [position, added] = m_records.try_emplace({job.key, job.digest});
  StoredRecord& stored = position->second;
  ++stored.waiting;
  stored.keep_until = std::max(stored.keep_until, keep_until);
  stored.conflicting = false;
  if (added) {
    stored.record = {job.key,
                     job.digest,
                     static_cast<std::uint32_t>(job.tasks.size()),
                     job.deadline,
                     ForwardState::kPending,
                     std::nullopt};
    m_by_shard[ShardOf(job.key)].insert(&stored);
    m_expiry.Add(keep_until, &position->first);
    return;
  }
  stored.record.deadline = std::max(stored.record.deadline, job.deadline);
  if (stored.record.state == ForwardState::kRefusedNotRun) {
    stored.record.state = ForwardState::kPending;
    stored.record.failure.reset();
  }
}

void ForwardRecordTable::OnAnswer(const JobSpec& job, const JobAnswer& answer) {
  StoredRecord* stored = Find(job);
  if (stored == nullptr) return;
  if (stored->waiting > 0) --stored->waiting;
  ForwardRecord& record = stored->record;
  const auto* error = std::get_if<Error>(&answer);
  if (error == nullptr) {
    record.state = ForwardState::kComplete;
    record.failure.reset();
    return;
  }
  if (record.state != ForwardState::kPending) return;
  if (error->kind == ErrorKind::kKeyConflict) {
    stored->conflicting = true;
    return;
  }
  const bool not_run = ErrorAnswerOf(error->kind).not_run;
  if (not_run && stored->waiting > 0) return;
  record.state = not_run ? ForwardState::kRefusedNotRun : ForwardState::kFailed;
  record.failure = *error;
}

void ForwardRecordTable::OnDropped(const JobSpec& job) {
  StoredRecord* stored = Find(job);
  if (stored != nullptr && stored->waiting > 0) --stored->waiting;
}

std::vector<ForwardRecord> ForwardRecordTable::RecordsOf(std::span<const ShardId> shards) const {
  std::vector<ForwardRecord> records;
  for (const ShardId shard : shards) {
    const auto found = m_by_shard.find(shard);
    if (found == m_by_shard.end()) continue;
    for (const StoredRecord* stored : found->second) {
      if (!stored->conflicting) records.push_back(stored->record);
    }
  }
  return records;
}

void ForwardRecordTable::Expire(WallTime now) {
  for (const RecordKey* key : m_expiry.TakeDue(now)) {
    const auto found = m_records.find(*key);
    const StoredRecord& stored = found->second;
    if (stored.waiting > 0 || stored.keep_until > now) {
      m_expiry.Add(std::max(stored.keep_until, now + kWaitingRecheckPeriod), key);
      continue;
    }
    const auto shard = m_by_shard.find(ShardOf(key->key));
    shard->second.erase(&stored);
    if (shard->second.empty()) m_by_shard.erase(shard);
    m_records.erase(found);
  }
}

}  // namespace foxtailrudder
