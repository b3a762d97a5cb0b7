#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordinator.h"
#include "coordination/internal/claim_rebuilder.h"
#include "coordination/internal/claim_table.h"
#include "coordination/internal/dispatch_book.h"
#include "coordination/internal/evidence_collector.h"
#include "coordination/internal/executor_pool.h"
#include "coordination/internal/refusal_log.h"
#include "coordination/internal/shard_ownership.h"
#include "coordination/internal/task_queues.h"

namespace foxtailrudder {

/// Context in which the coordinator handles one input.
struct CoordinatorInput {
  const ClusterView& view;
  /// The coordinator holds a valid decide permit.
  bool may_decide = false;
  Now now;
  Outbox& out;
};

class Coordinator::Impl {
 public:
  using Input = CoordinatorInput;

  Impl(CoordinatorOptions options, Counters* counters);

  bool MayDecide(const PermitHolder& permit, Now now);

  // Messages of entries (coordinator_entries.cpp).
  void OnForwardJob(NodeRef from, const ForwardJob& forward, Input& in);
  void OnCancelJob(NodeRef from, const CancelJob& cancel, Input& in);
  void OnQueryJob(NodeRef from, const QueryJob& query, Input& in);

  // Messages of executors (coordinator_tasks.cpp).
  void OnTaskRefused(NodeRef from, const TaskRefused& refused, Input& in);
  void OnTaskFinished(NodeRef from, const TaskFinished& finished, Input& in);
  void OnTaskState(NodeRef from, const TaskState& state, Input& in);
  void OnWrongIncarnation(NodeRef from, const WrongIncarnation& wrong, Input& in);

  // Ownership (coordinator_ownership.cpp).
  void OnHandoverRequest(NodeRef from, const HandoverRequest& request, Input& in);
  void OnHandover(NodeRef from, const Handover& handover, Input& in);
  void OnHandoverAck(NodeRef from, const HandoverAck& ack, Input& in);
  void OnEvidenceReply(NodeRef from, const EvidenceReply& reply, Input& in);
  /// Call before MayDecide, which overwrites the expiry of the previous decide permit.
  void OnViewChanged(Input& in);

  void OnPeerDisconnected(NodeId peer, Input& in);
  void Tick(Input& in);

  std::uint32_t queued_tasks() const { return m_queued; }
  std::size_t claims() const { return m_claims.size(); }
  std::size_t owned_shards() const { return m_ownership.Count(ShardPhase::kDeciding); }
  std::size_t pending_shards() const;
  std::size_t doubtful_shards() const { return m_doubtful; }
  bool IsDrained() const;

 private:
  struct HeldForward {
    NodeRef from;
    ForwardJob forward;
  };
  /// A dispatch whose state at the executor is requested by TaskQuery.
  struct UnresolvedDispatch {
    ClaimId claim = 0;
    std::uint32_t index = 0;
    NodeRef executor;
    std::uint64_t sequence = 0;
    std::uint32_t attempt = 0;
    SteadyTime next_at{};
  };
  struct DelayedRetry {
    ClaimId claim = 0;
    std::uint32_t index = 0;
    std::uint16_t epoch = 0;
    std::uint8_t retry_budget_waits = 0;
  };
  struct PendingHandover {
    NodeRef from;
    Version version = 0;
    ShardId shard = 0;
  };

  // Jobs (coordinator_entries.cpp).
  void ProcessForward(NodeRef from, const ForwardJob& forward, Input& in);
  void ProcessKnownKey(NodeRef from, const ForwardJob& forward, Claim& claim, Input& in);
  void CreateClaim(const ForwardJob& forward, Input& in);
  void AdoptClaim(const ForwardJob& forward, Claim& claim, Input& in);
  void ReopenClaim(NodeRef from, const ForwardJob& forward, Claim& claim, Input& in);
  void AttachHeld(Claim& claim, Input& in);
  void HoldAttach(NodeRef from, const ForwardJob& forward, Input& in);
  /// Refuses the submissions that wait for a claim whose only claimant was refused.
  void RefuseHeldAttaches(const JobKey& key, ErrorKind kind, Input& in);
  void ExpireHeldAttaches(Input& in);
  void ProcessHeld(ShardId shard, Input& in);
  void Reply(NodeRef to, const JobKey& key, const SubmissionId& submission, JobAnswer answer,
             Input& in);
  void Refuse(NodeRef to, const ForwardJob& forward, ErrorKind kind, std::string detail, Input& in);
  bool HasQueueRoom(std::size_t tasks, const Input& in) const;

  // The end of a job (coordinator_jobs.cpp).
  /// Ends the job if all tasks have finished, a task has failed or the job was cancelled.
  void EndJobIfDone(Claim& claim, Input& in);
  void EndJob(Claim& claim, JobEvent event, JobAnswer answer, Input& in);
  void FailJob(Claim& claim, Error error, Input& in);
  void OnClaimEvent(Claim& claim, Input& in);
  void CountIgnored() { m_counters->Add(CounterId::kTransitionsIgnored); }

  // Tasks (coordinator_tasks.cpp).
  void Enqueue(Claim& claim, std::uint32_t index, Input& in);
  void Requeue(Claim& claim, std::uint32_t index, ErrorKind reason, Input& in);
  void DropQueued(Claim& claim);
  void DispatchQueued(Input& in);
  void DispatchQueued(TaskGroup& group, Input& in);
  Claim* ClaimOf(const QueuedTask& task);
  void Dispatch(Claim& claim, std::uint32_t index, PoolMember& member, Input& in);
  void Query(Claim& claim, std::uint32_t index, Input& in);
  void RecordOutcome(Claim& claim, std::uint32_t index, const TaskOutcome& outcome, Input& in);
  void OnTaskNeverStarted(Claim& claim, std::uint32_t index, ErrorKind reason, Input& in);
  void OnTaskLost(Claim& claim, std::uint32_t index, Input& in);
  void OnExecutorLost(NodeRef executor, Input& in);
  void DispatchGroupsOf(const PoolMember* member, Input& in);
  /// Removes the dispatch of an open task from m_book, if this coordinator sent it.
  void CloseDispatch(const TaskSlot& task);
  /// Closes the dispatch that a message answers. Also compares the task: the sequence number of a
  /// former owner's dispatch may equal one that this coordinator uses for another task.
  std::optional<OpenDispatch> CloseAnsweredDispatch(NodeRef from, std::uint64_t sequence,
                                                    const TaskRef& task);
  /// Sends the outcome to the current owner of the shard.
  void RelayOutcome(const TaskFinished& finished, Input& in);
  void QueryUnresolvedDispatches(Input& in);
  void QueueDueRetries(Input& in);

  // Ownership (coordinator_ownership.cpp).
  void DropClaims(ShardId shard);
  void RefuseHeld(ShardId shard, Input& in);
  void BeginDeciding(ShardId shard, Input& in);
  void RequestHandovers(Input& in);
  void BeginEvidenceCollection(Input& in);
  void FinishEvidenceCollection(Input& in);
  void InstallRebuilt(RebuiltClaim rebuilt, Input& in);
  void InstallHandedOver(const ClaimRecord& record, Input& in);
  void AnswerHandover(const PendingHandover& request, Input& in);
  /// Answers the requests that had to wait for a newer member table or for a successor.
  void AnswerDeferredHandovers(Input& in);
  ClaimRecord Export(const Claim& claim) const;
  void SetPlace(Claim& claim, NodeRef entry, const Input& in);
  void CountDoubtful(Now now);
  void DropReleased(Input& in);

  CoordinatorOptions m_options;
  Counters* m_counters;
  ClaimTable m_claims;
  RefusalLog m_refusals;
  DispatchBook m_book;
  ExecutorPool m_pool;
  TaskQueues m_queues;
  ShardOwnership m_ownership;
  EvidenceCollector m_evidence;
  RetryBudget m_retry_budget;

  std::uint32_t m_queued = 0;
  std::size_t m_doubtful = 0;
  /// Expiry of the decide permit as of the last input before a view change.
  SteadyTime m_decide_deadline{};
  SteadyTime m_next_refresh{};

  /// Forwarded jobs of owned shards that this sidecar may not decide for yet.
  std::map<ShardId, std::vector<HeldForward>> m_held;
  std::size_t m_held_count = 0;
  /// Attach-only submissions that wait for the claim of another submission.
  std::map<JobKey, std::vector<HeldForward>, RefLess> m_held_attaches;
  /// Jobs that have not ended yet only for lack of a decide permit.
  std::vector<ClaimId> m_jobs_awaiting_permit;
  std::vector<UnresolvedDispatch> m_unresolved_dispatches;
  std::multimap<SteadyTime, DelayedRetry> m_delayed_retries;
  /// Handover requests for a member table version that this sidecar has not received yet.
  std::vector<PendingHandover> m_deferred_handover_requests;
  /// Claims received so far of handovers that are sent in several parts.
  std::map<ShardId, std::vector<ClaimRecord>> m_partial_handovers;
};

}  // namespace foxtailrudder
