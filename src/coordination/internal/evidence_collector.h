#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "coordination/cluster_view.h"
#include "coordination/internal/ref_less.h"
#include "model/model.h"

namespace foxtailrudder {

/// Evidence on a shard: the records from which its claims are rebuilt if no former owner hands them
/// over. Forward records come from entries and start records from executors, each with the node
/// that holds it.
struct ShardEvidence {
  std::vector<std::pair<NodeRef, ForwardRecord>> forwards;
  std::vector<std::pair<NodeRef, StartRecord>> starts;
};

/// Requests evidence on shards from all listed entries and all possible executors, and repeats the
/// requests until each node has answered or is no longer listed.
class EvidenceCollector {
 public:
  /// Starts collecting for shards whose former owner can no longer decide.
  void Start(const std::vector<ShardId>& shards, const ClusterView& view, Now now);
  void Cancel(ShardId shard);

  void OnView(const ClusterView& view);
  /// Discards the peer's pending requests, because parts of its replies may have been lost with the
  /// connection.
  void OnPeerDisconnected(NodeId peer);
  void OnReply(NodeRef from, EvidenceReply reply);
  void Tick(const ClusterView& view, Now now, Outbox& out);

  /// Removes and returns the shards for which all nodes have answered.
  std::vector<std::pair<ShardId, ShardEvidence>> TakeComplete();

 private:
  struct Collection {
    std::set<NodeRef, RefLess> unanswered;
    ShardEvidence evidence;
  };
  struct PendingRequest {
    NodeRef node;
    std::vector<ShardId> shards;
    EvidenceReply received;
  };

  std::uint64_t m_next_request_id = 1;
  std::map<ShardId, Collection> m_collections;
  std::map<std::uint64_t, PendingRequest> m_requests;
  SteadyTime m_next_request_at{};
};

}  // namespace foxtailrudder
