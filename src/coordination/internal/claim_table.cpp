#include "coordination/internal/claim_table.h"

namespace foxtailrudder {

ClaimTable::ClaimTable() : m_by_shard(kShardCount) {}

Claim* ClaimTable::Find(const JobKey& key) {
  const auto found = m_by_key.find(key);
  return found == m_by_key.end() ? nullptr : Find(found->second);
}

Claim* ClaimTable::Find(ClaimId id) {
  const auto found = m_claims.find(id);
  return found == m_claims.end() ? nullptr : found->second.get();
}

Claim& ClaimTable::Add(JobSpec job, WallTime next_event) {
  auto claim = std::make_unique<Claim>();
  claim->id = m_next_id++;
  claim->shard = ShardOf(job.key);
  claim->job = std::move(job);
  claim->next_event = next_event;
  auto& of_shard = m_by_shard[claim->shard];
  claim->shard_position = of_shard.size();
  of_shard.push_back(claim->id);
  m_by_key[claim->job.key] = claim->id;
  m_events.emplace(next_event, claim->id);
  const ClaimId id = claim->id;
  return *m_claims.emplace(id, std::move(claim)).first->second;
}

void ClaimTable::Erase(Claim& claim) {
  auto& of_shard = m_by_shard[claim.shard];
  of_shard[claim.shard_position] = of_shard.back();
  Find(of_shard.back())->shard_position = claim.shard_position;
  of_shard.pop_back();
  const auto by_key = m_by_key.find(claim.job.key);
  if (by_key != m_by_key.end() && by_key->second == claim.id) m_by_key.erase(by_key);
  m_events.erase({claim.next_event, claim.id});
  m_claims.erase(claim.id);
}

void ClaimTable::SetNextEvent(Claim& claim, WallTime at) {
  auto node = m_events.extract({claim.next_event, claim.id});
  claim.next_event = at;
  node.value() = {at, claim.id};
  m_events.insert(std::move(node));
}

Claim* ClaimTable::NextDue(WallTime now) {
  if (m_events.empty() || m_events.begin()->first > now) return nullptr;
  return Find(m_events.begin()->second);
}

}  // namespace foxtailrudder
