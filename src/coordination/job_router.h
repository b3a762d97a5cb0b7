#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/cluster_view.h"
#include "model/model.h"

namespace foxtailrudder {

struct JobRouterConfig {
  NodeRef self;
  /// Region of this entry; teams with another home region are refused.
  std::string region;
  /// If false, keys of non-idempotent jobs are not claimed in the store, which violates invariant 6
  /// once the retention period has ended.
  bool durable_claims = true;
  /// Interval between two batches of durable claim writes.
  std::chrono::milliseconds claim_batch_period{20};
  std::uint64_t seed = 1;
};

/// Handles the jobs submitted to an entry: admits and records each job, forwards it to the
/// coordinator of its key, forwards it again when the key gets a new owner, and answers the caller.
/// Does no I/O and reads no clock.
class JobRouter {
 public:
  JobRouter(JobRouterConfig config, Counters* counters);
  JobRouter(JobRouter&&) noexcept;
  JobRouter& operator=(JobRouter&&) noexcept;
  ~JobRouter();

  /// Outputs exactly one AnswerCaller per request, in this call or a later one, unless the request
  /// is abandoned.
  void Submit(RequestId request, JobSpec job, const ClusterView& view, Now now, Outbox& out);
  /// Outputs the state of the job as AnswerStatus, in this call or a later one.
  void Query(RequestId request, const JobKey& key, const ClusterView& view, Now now, Outbox& out);
  /// Cancels the job and outputs its state as AnswerStatus, in this call or a later one.
  void Cancel(RequestId request, const JobKey& key, const ClusterView& view, Now now, Outbox& out);
  /// The caller has disconnected: the request gets no answer. The job continues.
  void Abandon(RequestId request);

  /// Handles JobReply and JobStatus, and answers EvidenceRequest with the forward records. Returns
  /// false for other messages.
  bool OnMessage(const Envelope& envelope, const ClusterView& view, Now now, Outbox& out);
  bool OnStoreResult(const StoreResult& result, const ClusterView& view, Now now, Outbox& out);
  void OnViewChanged(const ClusterView& view, Now now, Outbox& out);
  void OnPeerDisconnected(NodeId peer, const ClusterView& view, Now now, Outbox& out);
  void Tick(const ClusterView& view, Now now, Outbox& out);

  /// Sets this entry's fraction of each team's quota (1.0 is the whole quota).
  void SetQuotaShares(std::vector<std::pair<std::string, double>> shares);
  /// Recent demand of each team at this entry, in tasks per second.
  std::vector<TeamDemand> Demands(Now now) const;

  /// Refuses new submissions; pending ones are still answered.
  void BeginDrain();
  std::size_t waiting() const;
  std::size_t forward_records() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
