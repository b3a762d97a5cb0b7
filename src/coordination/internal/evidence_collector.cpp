#include "coordination/internal/evidence_collector.h"

#include <iterator>

namespace foxtailrudder {
namespace {

constexpr std::chrono::milliseconds kRequestPeriod{500};

}  // namespace

void EvidenceCollector::Start(const std::vector<ShardId>& shards, const ClusterView& view,
                              Now now) {
  const WallTime since = now.wall - view.bundle.limits.retention;
  const std::vector<NodeId> entries = view.table.Entries();
  for (const ShardId shard : shards) {
    Collection& collection = m_collections[shard];
    collection = {};
    for (const NodeId entry : entries) collection.unanswered.insert(view.table.RefOf(entry));
    for (const NodeId holder : Placement::EvidenceHolders(view.table, shard, since)) {
      collection.unanswered.insert(view.table.RefOf(holder));
    }
  }
  m_next_request_at = now.steady;
}

void EvidenceCollector::Cancel(ShardId shard) { m_collections.erase(shard); }

void EvidenceCollector::OnView(const ClusterView& view) {
  for (auto& [shard, collection] : m_collections) {
    std::erase_if(collection.unanswered, [&](NodeRef node) { return !view.table.Lists(node); });
  }
}

void EvidenceCollector::OnPeerDisconnected(NodeId peer) {
  std::erase_if(m_requests, [&](const auto& item) { return item.second.node.id == peer; });
}

void EvidenceCollector::OnReply(NodeRef from, EvidenceReply reply) {
  const auto found = m_requests.find(reply.question);
  if (found == m_requests.end() || found->second.node != from) return;
  EvidenceReply& received = found->second.received;
  std::move(reply.forwards.begin(), reply.forwards.end(), std::back_inserter(received.forwards));
  std::move(reply.starts.begin(), reply.starts.end(), std::back_inserter(received.starts));
  if (!reply.complete) return;

  const PendingRequest request = std::move(found->second);
  m_requests.erase(found);
  std::set<ShardId> answered;
  for (const ShardId shard : request.shards) {
    const auto collection = m_collections.find(shard);
    if (collection == m_collections.end()) continue;
    if (collection->second.unanswered.erase(from) != 0) answered.insert(shard);
  }
  for (const ForwardRecord& forward : request.received.forwards) {
    const ShardId shard = ShardOf(forward.key);
    if (answered.contains(shard))
      m_collections[shard].evidence.forwards.emplace_back(from, forward);
  }
  for (const StartRecord& start : request.received.starts) {
    const ShardId shard = ShardOf(start.task.job);
    if (answered.contains(shard)) m_collections[shard].evidence.starts.emplace_back(from, start);
  }
}

void EvidenceCollector::Tick(const ClusterView& view, Now now, Outbox& out) {
  if (m_collections.empty()) {
    m_requests.clear();
    return;
  }
  if (now.steady < m_next_request_at) return;
  m_next_request_at = now.steady + kRequestPeriod;
  std::map<NodeRef, std::vector<ShardId>, RefLess> unanswered;
  for (const auto& [shard, collection] : m_collections) {
    for (const NodeRef node : collection.unanswered) unanswered[node].push_back(shard);
  }
  for (auto& [node, shards] : unanswered) {
    const std::uint64_t request_id = m_next_request_id++;
    out.Send(node, EvidenceRequest{request_id, view.table.version(), shards});
    m_requests[request_id] = {node, std::move(shards), {}};
  }
}

std::vector<std::pair<ShardId, ShardEvidence>> EvidenceCollector::TakeComplete() {
  std::vector<std::pair<ShardId, ShardEvidence>> complete;
  for (auto it = m_collections.begin(); it != m_collections.end();) {
    if (!it->second.unanswered.empty()) {
      ++it;
      continue;
    }
    complete.emplace_back(it->first, std::move(it->second.evidence));
    it = m_collections.erase(it);
  }
  return complete;
}

}  // namespace foxtailrudder
