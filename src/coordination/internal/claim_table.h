#pragma once

#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/internal/claim.h"

namespace foxtailrudder {

/// Claims of a coordinator, indexed by id, key, shard and time of the next timed event. The limit
/// on the number of claims applies to new submissions; claims taken over from another coordinator
/// are always kept.
class ClaimTable {
 public:
  ClaimTable();

  Claim* Find(const JobKey& key);
  Claim* Find(ClaimId id);

  /// Adds a claim for the job's key. An earlier claim of the key remains accessible only by id.
  Claim& Add(JobSpec job, WallTime next_event);
  void Erase(Claim& claim);

  void SetNextEvent(Claim& claim, WallTime at);
  /// Returns the claim with the earliest due event, or null if none is due.
  Claim* NextDue(WallTime now);

  const std::vector<ClaimId>& OfShard(ShardId shard) const { return m_by_shard[shard]; }
  std::size_t size() const { return m_claims.size(); }

 private:
  ClaimId m_next_id = 1;
  std::unordered_map<ClaimId, std::unique_ptr<Claim>> m_claims;
  std::unordered_map<JobKey, ClaimId> m_by_key;
  std::vector<std::vector<ClaimId>> m_by_shard;
  std::set<std::pair<WallTime, ClaimId>> m_events;
};

}  // namespace foxtailrudder
