#pragma once

#include <compare>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "coordination/internal/expiry_index.h"
#include "model/model.h"

namespace foxtailrudder {

/// Forward records of one entry, indexed by shard and by expiry time. Records are kept per key and
/// digest, so that requests that use one key for different jobs do not overwrite each other.
class ForwardRecordTable {
 public:
  bool Contains(const JobSpec& job) const;

  /// Records a submission before it is forwarded. A job that was refused as not run becomes pending
  /// again.
  void OnForward(const JobSpec& job, WallTime keep_until);

  /// Records the answer of one submission. A refusal as not run is ignored while another submission
  /// of the job is waiting, because a new submission reopens the claim.
  void OnAnswer(const JobSpec& job, const JobAnswer& answer);

  /// Records that a submission ended without a caller to answer.
  void OnDropped(const JobSpec& job);

  std::vector<ForwardRecord> RecordsOf(std::span<const ShardId> shards) const;

  /// Removes the records whose retention period has ended and that no submission is waiting for.
  void Expire(WallTime now);

  std::size_t size() const { return m_records.size(); }

 private:
  struct RecordKey {
    JobKey key;
    std::uint64_t digest = 0;

    friend bool operator==(const RecordKey&, const RecordKey&) = default;
  };
  struct RecordKeyHash {
    std::size_t operator()(const RecordKey& record) const noexcept {
      return MixHash(HashOf(record.key), record.digest);
    }
  };
  struct StoredRecord {
    ForwardRecord record;
    std::uint32_t waiting = 0;
    /// The key was claimed by another job, so this record is not evidence of the key's job.
    bool conflicting = false;
    WallTime keep_until;
  };

  StoredRecord* Find(const JobSpec& job);

  std::unordered_map<RecordKey, StoredRecord, RecordKeyHash> m_records;
  std::unordered_map<ShardId, std::unordered_set<const StoredRecord*>> m_by_shard;
  ExpiryIndex<const RecordKey*> m_expiry;
};

}  // namespace foxtailrudder
