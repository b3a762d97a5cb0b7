#include <algorithm>

#include "coordination/internal/coordinator_impl.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHandoverRequestPeriod{500};
constexpr std::size_t kMaxClaimsPerHandover = 200;
// A successor that has not requested the claims by then has rebuilt them from evidence.
constexpr milliseconds kReleasedClaimRetention = kStalenessBound * 4;
constexpr std::size_t kMaxEarlyHandoverRequests = 2 * kShardCount;

}  // namespace

std::size_t Coordinator::Impl::pending_shards() const {
  return m_ownership.Count(ShardPhase::kAwaitingHandover) +
         m_ownership.Count(ShardPhase::kAwaitingOldVersionExpiry) +
         m_ownership.Count(ShardPhase::kCollectingEvidence);
}

bool Coordinator::Impl::IsDrained() const {
  return owned_shards() == 0 && pending_shards() == 0 &&
         m_ownership.Count(ShardPhase::kReleased) == 0 && m_book.open() == 0;
}

void Coordinator::Impl::DropClaims(ShardId shard) {
  while (!m_claims.OfShard(shard).empty()) {
    Claim& claim = *m_claims.Find(m_claims.OfShard(shard).back());
    DropQueued(claim);
    // The new owner tracks the open dispatches. If they stayed in the dispatch book, a drain could
    // not complete.
    for (const TaskSlot& task : claim.tasks) {
      if (IsOpen(task.phase)) CloseDispatch(task);
    }
    m_claims.Erase(claim);
  }
}

void Coordinator::Impl::OnViewChanged(Input& in) {
  const SteadyTime permit_end = m_options.decide_permit ? m_decide_deadline : SteadyTime::max();
  const auto changes = m_ownership.OnView(in.view, permit_end, in.now);
  for (const ShardId shard : changes.discarded) {
    DropClaims(shard);
    m_evidence.Cancel(shard);
    m_partial_handovers.erase(shard);
  }
  for (const ShardId shard : changes.released) {
    m_evidence.Cancel(shard);
    m_partial_handovers.erase(shard);
    RefuseHeld(shard, in);
    for (const ClaimId id : m_claims.OfShard(shard)) {
      Claim& claim = *m_claims.Find(id);
      m_queued -= claim.queued;
      claim.queued = 0;
    }
    // If the shard has no new owner, no handover will be requested.
    const ShardState& state = m_ownership[shard];
    if ((state.authoritative || state.undecided_successor != 0) && state.owner != 0) continue;
    DropClaims(shard);
    m_ownership.SetPhase(shard, ShardPhase::kNotOwned);
  }
  for (const ShardId shard : changes.declined) {
    const NodeRef former = m_ownership[shard].handover_source;
    if (!in.view.table.Lists(former)) continue;
    in.out.Send(former, HandoverAck{shard, in.view.table.version(), true});
  }
  m_retry_budget.SetPercent(in.view.bundle.limits.retry_budget_percent);
  m_pool.OnView(in.view, in.now);
  m_queues.OnView(in.view, m_pool, [this](const QueuedTask& task) { return ClaimOf(task); });
  for (const NodeRef executor : m_book.Executors()) {
    if (!in.view.table.Lists(executor)) OnExecutorLost(executor, in);
  }
  m_evidence.OnView(in.view);
  for (const ShardId shard : m_ownership.InPhase(ShardPhase::kAwaitingHandover)) {
    if (in.view.table.Lists(m_ownership[shard].handover_source)) continue;
    m_ownership.SetPhase(shard, ShardPhase::kAwaitingOldVersionExpiry);
  }
  for (const ShardId shard : changes.gained) {
    if (m_ownership.IsDeciding(shard)) ProcessHeld(shard, in);
  }
  AnswerDeferredHandovers(in);
  RequestHandovers(in);
  CountDoubtful(in.now);
  DispatchQueued(in);
}

void Coordinator::Impl::RequestHandovers(Input& in) {
  std::map<NodeRef, std::map<Version, std::vector<ShardId>>, RefLess> requests;
  for (const ShardId shard : m_ownership.InPhase(ShardPhase::kAwaitingHandover)) {
    ShardState& state = m_ownership[shard];
    if (state.next_request > in.now.steady) continue;
    state.next_request = in.now.steady + kHandoverRequestPeriod;
    requests[state.handover_source][state.since_version].push_back(shard);
  }
  for (auto& [former, by_version] : requests) {
    for (auto& [version, shards] : by_version) {
      in.out.Send(former, HandoverRequest{version, std::move(shards)});
    }
  }
}

void Coordinator::Impl::BeginEvidenceCollection(Input& in) {
  std::vector<ShardId> shards;
  for (const ShardPhase phase :
       {ShardPhase::kAwaitingHandover, ShardPhase::kAwaitingOldVersionExpiry}) {
    for (const ShardId shard : m_ownership.InPhase(phase)) {
      if (in.now.steady < m_ownership[shard].since + kStalenessBound) continue;
      m_ownership.SetPhase(shard, ShardPhase::kCollectingEvidence);
      shards.push_back(shard);
    }
  }
  if (!shards.empty()) m_evidence.Start(shards, in.view, in.now);
}

void Coordinator::Impl::OnEvidenceReply(NodeRef from, const EvidenceReply& reply, Input& in) {
  m_evidence.OnReply(from, reply);
  FinishEvidenceCollection(in);
}

void Coordinator::Impl::FinishEvidenceCollection(Input& in) {
  const auto complete = m_evidence.TakeComplete();
  if (complete.empty()) return;
  for (const auto& [shard, evidence] : complete) {
    ShardState& state = m_ownership[shard];
    if (state.phase != ShardPhase::kCollectingEvidence) continue;
    const LossReport losses = AssessLosses(in.view, shard, state.previous, in.now);
    state.doubt_until = losses.doubt_until;
    if (losses.doubt_until > in.now.wall) m_counters->Add(CounterId::kShardsInDoubt);
    for (RebuiltClaim& claim : RebuildClaims(evidence, losses, in.view)) {
      InstallRebuilt(std::move(claim), in);
    }
    m_counters->Add(CounterId::kTakeovers);
    BeginDeciding(shard, in);
  }
  CountDoubtful(in.now);
  DispatchQueued(in);
}

void Coordinator::Impl::InstallRebuilt(RebuiltClaim rebuilt, Input& in) {
  JobSpec job;
  job.key = std::move(rebuilt.key);
  job.digest = rebuilt.digest;
  job.deadline = rebuilt.deadline;
  Claim& claim = m_claims.Add(std::move(job), rebuilt.deadline + in.view.bundle.limits.retention);
  if (rebuilt.answer) {
    const bool complete = std::holds_alternative<JobComplete>(*rebuilt.answer);
    FireJob(claim.phase, complete ? JobEvent::kComplete : JobEvent::kFail);
    claim.answer = std::move(rebuilt.answer);
    return;
  }
  FireJob(claim.phase, JobEvent::kRebuild);
  claim.unstarted_may_run = rebuilt.unstarted_may_run;
  for (const auto& [executor, start] : rebuilt.starts) {
    const std::uint32_t index = start.task.index;
    if (index >= kMaxTasksPerJob) continue;
    if (index >= claim.tasks.size()) claim.tasks.resize(index + 1);
    if (start.outcome) {
      RecordOutcome(claim, index, *start.outcome, in);
    } else if (FireTask(claim.tasks[index].phase, TaskEvent::kDispatch)) {
      claim.tasks[index].executor = executor;
      claim.tasks[index].dispatched_by_other_owner = true;
      ++claim.open;
    }
  }
}

void Coordinator::Impl::BeginDeciding(ShardId shard, Input& in) {
  m_ownership.SetPhase(shard, ShardPhase::kDeciding);
  const std::vector<ClaimId> ids = m_claims.OfShard(shard);
  for (const ClaimId id : ids) {
    Claim& claim = *m_claims.Find(id);
    for (std::uint32_t index = 0; index < claim.tasks.size(); ++index) {
      if (claim.tasks[index].phase == TaskPhase::kDispatched) Query(claim, index, in);
    }
    EndJobIfDone(claim, in);
  }
  ProcessHeld(shard, in);
}

void Coordinator::Impl::OnHandoverRequest(NodeRef from, const HandoverRequest& request, Input& in) {
  for (const ShardId shard : request.shards) {
    if (shard < kShardCount) AnswerHandover({from, request.members_version, shard}, in);
  }
}

void Coordinator::Impl::AnswerHandover(const PendingHandover& request, Input& in) {
  const ShardState& state = m_ownership[request.shard];
  const bool is_successor = state.phase == ShardPhase::kReleased && state.owner == request.from.id;
  // Without authority, the answer depends on whether the first successor declines the claims.
  if (in.view.table.version() < request.version || (is_successor && !state.authoritative)) {
    const bool known =
        std::any_of(m_deferred_handover_requests.begin(), m_deferred_handover_requests.end(),
                    [&](const PendingHandover& other) {
                      return other.shard == request.shard && other.from == request.from;
                    });
    if (!known && m_deferred_handover_requests.size() < kMaxEarlyHandoverRequests)
      m_deferred_handover_requests.push_back(request);
    return;
  }
  Handover handover{request.shard, request.version, false, std::nullopt, true, {}};
  if (!is_successor) {
    in.out.Send(request.from, std::move(handover));
    return;
  }
  m_counters->Add(CounterId::kHandoversSent);
  handover.authoritative = true;
  if (state.doubt_until > in.now.wall) handover.doubt_until = state.doubt_until;
  const std::vector<ClaimId>& ids = m_claims.OfShard(request.shard);
  for (const ClaimId id : ids) {
    if (handover.claims.size() == kMaxClaimsPerHandover) {
      Handover part = handover;
      part.complete = false;
      in.out.Send(request.from, std::move(part));
      handover.claims.clear();
    }
    handover.claims.push_back(Export(*m_claims.Find(id)));
  }
  in.out.Send(request.from, std::move(handover));
}

ClaimRecord Coordinator::Impl::Export(const Claim& claim) const {
  ClaimRecord record{claim.job, claim.waiting, claim.refused, {}, claim.answer, claim.cancelled};
  if (claim.answer) return record;
  record.tasks.reserve(claim.tasks.size());
  for (const TaskSlot& task : claim.tasks) {
    ClaimTask exported;
    exported.outcome = task.outcome;
    if (IsOpen(task.phase) || task.phase == TaskPhase::kUnknown) {
      exported.executor = task.executor;
      exported.sequence = task.sequence;
    }
    record.tasks.push_back(std::move(exported));
  }
  return record;
}

void Coordinator::Impl::OnHandover(NodeRef from, const Handover& handover, Input& in) {
  if (handover.shard >= kShardCount) return;
  ShardState& state = m_ownership[handover.shard];
  const HandoverAck ack{handover.shard, handover.members_version};
  if (state.phase == ShardPhase::kDeciding) {
    if (handover.authoritative && handover.complete) in.out.Send(from, ack);
    return;
  }
  const bool is_awaited = state.phase == ShardPhase::kAwaitingHandover ||
                          state.phase == ShardPhase::kAwaitingOldVersionExpiry ||
                          state.phase == ShardPhase::kCollectingEvidence;
  if (!is_awaited || from != state.handover_source ||
      handover.members_version != state.since_version) {
    return m_counters->Add(CounterId::kMessagesStale);
  }
  if (!handover.authoritative) {
    if (state.phase != ShardPhase::kAwaitingHandover) return;
    // The presumed former owner may have handed the shard to one that is leaving too.
    state.handover_source = m_ownership.NextHandoverSource(handover.shard, in.view);
    state.next_request = in.now.steady;
    if (state.handover_source.incarnation == 0) {
      m_ownership.SetPhase(handover.shard, ShardPhase::kAwaitingOldVersionExpiry);
    }
    return;
  }
  auto& incoming = m_partial_handovers[handover.shard];
  incoming.insert(incoming.end(), handover.claims.begin(), handover.claims.end());
  if (!handover.complete) return;
  const auto records = std::move(incoming);
  m_partial_handovers.erase(handover.shard);
  m_evidence.Cancel(handover.shard);
  for (const ClaimRecord& record : records) InstallHandedOver(record, in);
  state.doubt_until = handover.doubt_until.value_or(WallTime{});
  m_counters->Add(CounterId::kHandoversReceived);
  in.out.Send(from, ack);
  BeginDeciding(handover.shard, in);
  CountDoubtful(in.now);
  DispatchQueued(in);
}

void Coordinator::Impl::InstallHandedOver(const ClaimRecord& record, Input& in) {
  // The claim is already known if a part of the handover was received twice.
  if (Claim* known = m_claims.Find(record.job.key)) {
    DropQueued(*known);
    m_claims.Erase(*known);
  }
  const WallTime keep_until = record.job.deadline + in.view.bundle.limits.retention;
  Claim& claim = m_claims.Add(record.job, record.job.deadline);
  claim.waiting = record.waiting;
  claim.refused = record.refused;
  claim.cancelled = record.cancelled;
  if (!claim.waiting.empty()) SetPlace(claim, claim.waiting.front().entry, in);
  if (record.answer) {
    claim.answer = record.answer;
    m_claims.SetNextEvent(claim, keep_until);
    if (std::holds_alternative<JobComplete>(*record.answer)) {
      FireJob(claim.phase, JobEvent::kComplete);
      return;
    }
    const Error& error = std::get<Error>(*record.answer);
    const bool refused = ErrorAnswerOf(error.kind).not_run;
    FireJob(claim.phase, refused ? JobEvent::kRefuse : JobEvent::kFail);
    if (refused) claim.refusal = error;
    return;
  }
  claim.tasks.resize(record.tasks.size());
  if (claim.job.tasks.empty()) {
    // The former owner rebuilt this claim, and its job has not been forwarded again yet. The record
    // doesn't show whether the other tasks may run.
    FireJob(claim.phase, JobEvent::kRebuild);
    claim.unstarted_may_run = false;
    m_claims.SetNextEvent(claim, keep_until);
  }
  for (std::uint32_t index = 0; index < claim.tasks.size(); ++index) {
    TaskSlot& task = claim.tasks[index];
    const ClaimTask& known = record.tasks[index];
    if (known.outcome) {
      RecordOutcome(claim, index, *known.outcome, in);
    } else if (known.executor.id != 0) {
      FireTask(task.phase, TaskEvent::kDispatch);
      task.executor = known.executor;
      task.sequence = known.sequence;
      task.dispatched_by_other_owner = true;
      ++claim.open;
    } else if (claim.phase == JobPhase::kActive) {
      Enqueue(claim, index, in);
    }
  }
}

void Coordinator::Impl::OnHandoverAck(NodeRef from, const HandoverAck& ack, Input& in) {
  if (ack.shard >= kShardCount) return;
  if (ack.declined) {
    m_ownership.OnDeclined(ack.shard, from.id);
    AnswerDeferredHandovers(in);
    return;
  }
  ShardState& state = m_ownership[ack.shard];
  if (state.phase != ShardPhase::kReleased) return;
  // The first successor has decided and lost the shard again: the second one has to ask it.
  const bool is_late = state.undecided_successor != 0 && state.undecided_successor == from.id;
  if (state.owner != from.id && !is_late) return;
  state.undecided_successor = 0;
  DropClaims(ack.shard);
  m_ownership.SetPhase(ack.shard, ShardPhase::kNotOwned);
  if (is_late) AnswerDeferredHandovers(in);
}

void Coordinator::Impl::AnswerDeferredHandovers(Input& in) {
  const auto deferred = std::exchange(m_deferred_handover_requests, {});
  for (const PendingHandover& request : deferred) AnswerHandover(request, in);
}

void Coordinator::Impl::CountDoubtful(Now now) {
  m_doubtful = 0;
  for (const ShardId shard : m_ownership.InPhase(ShardPhase::kDeciding)) {
    if (m_ownership[shard].doubt_until > now.wall) ++m_doubtful;
  }
}

void Coordinator::Impl::OnPeerDisconnected(NodeId peer, Input& in) {
  m_evidence.OnPeerDisconnected(peer);
  // Parts of a handover may have been lost with the connection.
  std::erase_if(m_partial_handovers, [&](const auto& item) {
    if (m_ownership[item.first].handover_source.id != peer) return false;
    m_ownership[item.first].next_request = in.now.steady;
    return true;
  });
  for (const auto& located : m_book.OpenAt(peer)) {
    Claim* claim = m_claims.Find(located.dispatch.claim);
    if (claim != nullptr) {
      Query(*claim, located.dispatch.index, in);
      continue;
    }
    m_book.Close(located.executor, located.sequence);
    if (PoolMember* member = m_pool.Find(located.executor)) m_pool.OnClosed(*member);
  }
}

void Coordinator::Impl::DropReleased(Input& in) {
  for (const ShardId shard : m_ownership.InPhase(ShardPhase::kReleased)) {
    if (in.now.steady < m_ownership[shard].since + kReleasedClaimRetention) continue;
    DropClaims(shard);
    m_ownership.SetPhase(shard, ShardPhase::kNotOwned);
  }
}

}  // namespace foxtailrudder
