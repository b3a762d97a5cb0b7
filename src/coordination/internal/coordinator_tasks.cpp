#include <algorithm>

#include "coordination/internal/coordinator_impl.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kFirstFailureStatus = 500;
constexpr milliseconds kMinQueryBackoff{50};
constexpr milliseconds kMaxQueryBackoff{2'000};
// Query period for a running task that a former owner dispatched: its executor may report to the
// former owner only.
constexpr milliseconds kOtherOwnerQueryPeriod{1'000};
// While the retry budget is exhausted, a task waits for this delay at a time. After the maximum
// number of waits it is dispatched anyway, since only new submissions refill the budget.
constexpr milliseconds kRetryBudgetDelay{20};
constexpr std::uint8_t kMaxRetryBudgetWaits = 5;

/// The error with which this task outcome fails its job; nullopt for a successful result.
std::optional<Error> FailureOf(const TaskSpec* task, const TaskOutcome& outcome) {
  const std::string name = task == nullptr ? "a task" : "task " + task->id;
  if (const auto* error = std::get_if<Error>(&outcome)) {
    return Error{ErrorKind::kTaskFailed,
                 name + ": " + std::string(ErrorAnswerOf(error->kind).name)};
  }
  const std::uint16_t status = std::get<TaskResult>(outcome).status;
  if (status < kFirstFailureStatus) return std::nullopt;
  return Error{ErrorKind::kTaskFailed, name + ": status " + std::to_string(status)};
}

bool IsFailure(const TaskOutcome& outcome) {
  const auto* result = std::get_if<TaskResult>(&outcome);
  return result == nullptr || result->status >= kFirstFailureStatus;
}

}  // namespace

void Coordinator::Impl::Enqueue(Claim& claim, std::uint32_t index, Input& in) {
  TaskSlot& task = claim.tasks[index];
  ++task.queue_epoch;
  ++claim.queued;
  ++m_queued;
  m_queues.Push(m_queues.GroupOf(in.view, m_pool, claim),
                {claim.id, index, task.queue_epoch, claim.job.urgency, claim.job.deadline, in.now});
}

void Coordinator::Impl::Requeue(Claim& claim, std::uint32_t index, ErrorKind reason, Input& in) {
  TaskSlot& task = claim.tasks[index];
  m_counters->AddRetry(reason);
  ++task.queue_epoch;
  ++claim.queued;
  ++m_queued;
  // Another executor may have a free slot, so the first such refusal needs no back-off.
  const bool at_once = reason == ErrorKind::kNoFreeSlot && task.attempts == 1;
  const auto wait = at_once ? milliseconds{0} : Backoff::Next(task.attempts, m_pool.random());
  m_delayed_retries.emplace(in.now.steady + wait,
                            DelayedRetry{claim.id, index, task.queue_epoch, 0});
}

void Coordinator::Impl::QueueDueRetries(Input& in) {
  while (!m_delayed_retries.empty() && m_delayed_retries.begin()->first <= in.now.steady) {
    DelayedRetry task = m_delayed_retries.begin()->second;
    m_delayed_retries.erase(m_delayed_retries.begin());
    Claim* claim = ClaimOf({task.claim, task.index, task.epoch, {}, {}, {}});
    if (claim == nullptr) continue;
    if (!m_retry_budget.TryRetry() && task.retry_budget_waits < kMaxRetryBudgetWaits) {
      ++task.retry_budget_waits;
      m_delayed_retries.emplace(in.now.steady + kRetryBudgetDelay, task);
      continue;
    }
    m_queues.Push(
        m_queues.GroupOf(in.view, m_pool, *claim),
        {task.claim, task.index, task.epoch, claim->job.urgency, claim->job.deadline, in.now});
  }
}

void Coordinator::Impl::DropQueued(Claim& claim) {
  if (claim.queued == 0) return;
  m_queued -= claim.queued;
  claim.queued = 0;
  for (TaskSlot& task : claim.tasks) {
    if (task.phase == TaskPhase::kQueued) FireTask(task.phase, TaskEvent::kDrop);
  }
}

Claim* Coordinator::Impl::ClaimOf(const QueuedTask& task) {
  Claim* claim = m_claims.Find(task.claim);
  if (claim == nullptr || claim->phase != JobPhase::kActive) return nullptr;
  if (task.index >= claim->tasks.size() || !m_ownership.IsDeciding(claim->shard)) return nullptr;
  const TaskSlot& slot = claim->tasks[task.index];
  return slot.phase == TaskPhase::kQueued && slot.queue_epoch == task.epoch ? claim : nullptr;
}

void Coordinator::Impl::DispatchQueued(Input& in) {
  QueueDueRetries(in);
  for (const auto& group : m_queues.groups()) DispatchQueued(*group, in);
}

void Coordinator::Impl::DispatchGroupsOf(const PoolMember* member, Input& in) {
  if (member == nullptr) return;
  QueueDueRetries(in);
  for (const auto& group : m_queues.groups()) {
    if (group->queue.empty()) continue;
    const auto& executors = group->executors;
    if (std::find(executors.begin(), executors.end(), member) != executors.end()) {
      DispatchQueued(*group, in);
    }
  }
}

void Coordinator::Impl::DispatchQueued(TaskGroup& group, Input& in) {
  if (!in.may_decide) return;
  while (!group.queue.empty()) {
    if (ClaimOf(*group.queue.Peek()) == nullptr) {
      group.queue.Pop(in.now);
      continue;
    }
    if (!m_pool.CollectCandidates(group.executors, in.now)) return;
    const QueuedTask task = *group.queue.Peek();
    Claim& claim = *ClaimOf(task);
    // OnClaimEvent ends the job.
    if (claim.job.deadline <= in.now.wall) {
      group.queue.Pop(in.now);
      continue;
    }
    PoolMember* member = m_pool.Choose();
    if (member == nullptr) return;
    group.queue.Pop(in.now);
    Dispatch(claim, task.index, *member, in);
  }
}

void Coordinator::Impl::Dispatch(Claim& claim, std::uint32_t index, PoolMember& member, Input& in) {
  TaskSlot& task = claim.tasks[index];
  if (!FireTask(task.phase, TaskEvent::kDispatch)) return CountIgnored();
  --claim.queued;
  --m_queued;
  ++claim.open;
  task.executor = member.ref;
  task.dispatched_by_other_owner = false;
  task.sequence = m_book.Open(member.ref, {claim.id, index});
  if (task.attempts == 0) m_retry_budget.OnFirstAttempt();
  if (task.attempts < UINT8_MAX) ++task.attempts;
  m_pool.OnSent(member);
  m_counters->Add(CounterId::kTasksDispatched);
  const TaskSpec& spec = claim.job.tasks[index];
  in.out.Send(member.ref, DispatchTask{{claim.job.key, index},
                                       claim.job.digest,
                                       claim.job.service,
                                       spec.id,
                                       spec.payload,
                                       claim.job.idempotent,
                                       task.sequence,
                                       in.view.table.version(),
                                       claim.job.deadline,
                                       claim.job.deadline});
}

void Coordinator::Impl::CloseDispatch(const TaskSlot& task) {
  if (task.dispatched_by_other_owner || !m_book.Close(task.executor, task.sequence)) return;
  if (PoolMember* member = m_pool.Find(task.executor)) m_pool.OnClosed(*member);
}

std::optional<OpenDispatch> Coordinator::Impl::CloseAnsweredDispatch(NodeRef from,
                                                                     std::uint64_t sequence,
                                                                     const TaskRef& task) {
  const OpenDispatch* dispatch = m_book.Find(from, sequence);
  if (dispatch == nullptr || dispatch->index != task.index) return std::nullopt;
  const Claim* claim = m_claims.Find(dispatch->claim);
  if (claim != nullptr && claim->job.key != task.job) return std::nullopt;
  return m_book.Close(from, sequence);
}

void Coordinator::Impl::Query(Claim& claim, std::uint32_t index, Input& in) {
  TaskSlot& task = claim.tasks[index];
  if (!FireTask(task.phase, TaskEvent::kQuery)) return CountIgnored();
  in.out.Send(task.executor, TaskQuery{{claim.job.key, index}, task.sequence});
  m_unresolved_dispatches.push_back(
      {claim.id, index, task.executor, task.sequence, 1, in.now.steady + kMinQueryBackoff});
}

void Coordinator::Impl::QueryUnresolvedDispatches(Input& in) {
  for (std::size_t i = 0; i < m_unresolved_dispatches.size();) {
    UnresolvedDispatch& item = m_unresolved_dispatches[i];
    Claim* claim = m_claims.Find(item.claim);
    TaskSlot* task =
        claim != nullptr && item.index < claim->tasks.size() ? &claim->tasks[item.index] : nullptr;
    const bool is_settled =
        task == nullptr || task->executor != item.executor || task->sequence != item.sequence ||
        !IsOpen(task->phase) ||
        (task->phase == TaskPhase::kDispatched && !task->dispatched_by_other_owner);
    const bool is_lost = !is_settled && !in.view.table.Lists(item.executor);
    if (is_settled || is_lost) {
      const std::uint32_t index = item.index;
      m_unresolved_dispatches[i] = m_unresolved_dispatches.back();
      m_unresolved_dispatches.pop_back();
      if (is_lost) OnTaskLost(*claim, index, in);
      continue;
    }
    if (item.next_at <= in.now.steady) {
      in.out.Send(item.executor, TaskQuery{{claim->job.key, item.index}, item.sequence});
      item.next_at =
          in.now.steady +
          (task->phase == TaskPhase::kDispatched
               ? kOtherOwnerQueryPeriod
               : std::max(kMinQueryBackoff, Backoff::Next(item.attempt, m_pool.random(),
                                                          kMinQueryBackoff, kMaxQueryBackoff)));
      if (item.attempt < 16) ++item.attempt;
    }
    ++i;
  }
}

void Coordinator::Impl::RecordOutcome(Claim& claim, std::uint32_t index, const TaskOutcome& outcome,
                                      Input& in) {
  TaskSlot& task = claim.tasks[index];
  const TaskPhase before = task.phase;
  const bool failed = IsFailure(outcome);
  if (!FireTask(task.phase, failed ? TaskEvent::kFail : TaskEvent::kFinish)) {
    return CountIgnored();
  }
  if (IsOpen(before)) --claim.open;
  if (before == TaskPhase::kQueued && claim.queued > 0) {
    --claim.queued;
    --m_queued;
  }
  if (claim.answer) return;
  task.outcome = outcome;
  if (failed) {
    if (!claim.failure) {
      const auto& specs = claim.job.tasks;
      claim.failure = FailureOf(index < specs.size() ? &specs[index] : nullptr, outcome);
    }
  } else {
    ++claim.finished;
  }
  EndJobIfDone(claim, in);
}

void Coordinator::Impl::OnTaskNeverStarted(Claim& claim, std::uint32_t index, ErrorKind reason,
                                           Input& in) {
  TaskSlot& task = claim.tasks[index];
  if (!FireTask(task.phase, TaskEvent::kRefuse)) return CountIgnored();
  --claim.open;
  task.executor = {};
  task.dispatched_by_other_owner = false;
  if (claim.answer) {
    FireTask(task.phase, TaskEvent::kDrop);
  } else if (claim.phase == JobPhase::kActive && m_ownership.IsDeciding(claim.shard)) {
    Requeue(claim, index, reason, in);
  }
}

void Coordinator::Impl::OnTaskLost(Claim& claim, std::uint32_t index, Input& in) {
  TaskSlot& task = claim.tasks[index];
  CloseDispatch(task);
  if (!FireTask(task.phase, TaskEvent::kLose)) return CountIgnored();
  --claim.open;
  if (claim.answer) return;
  if (!m_options.outcome_unknown) {
    task.phase = TaskPhase::kQueued;
    if (claim.phase == JobPhase::kActive) Enqueue(claim, index, in);
    return;
  }
  const auto& specs = claim.job.tasks;
  claim.failure = Error{ErrorKind::kOutcomeUnknown,
                        index < specs.size() ? "task " + specs[index].id : "the executor was lost"};
  EndJobIfDone(claim, in);
}

void Coordinator::Impl::OnExecutorLost(NodeRef executor, Input& in) {
  for (const auto& located : m_book.OpenAt(executor.id)) {
    if (located.executor != executor) continue;
    Claim* claim = m_claims.Find(located.dispatch.claim);
    if (claim != nullptr) OnTaskLost(*claim, located.dispatch.index, in);
    m_book.Close(executor, located.sequence);
  }
  m_book.Forget(executor);
  std::vector<UnresolvedDispatch> lost;
  for (const UnresolvedDispatch& item : m_unresolved_dispatches) {
    if (item.executor == executor) lost.push_back(item);
  }
  for (const UnresolvedDispatch& item : lost) {
    Claim* claim = m_claims.Find(item.claim);
    if (claim == nullptr || item.index >= claim->tasks.size()) continue;
    const TaskSlot& task = claim->tasks[item.index];
    if (task.executor == executor && IsOpen(task.phase)) OnTaskLost(*claim, item.index, in);
  }
}

void Coordinator::Impl::OnTaskRefused(NodeRef from, const TaskRefused& refused, Input& in) {
  const auto dispatch = CloseAnsweredDispatch(from, refused.sequence, refused.task);
  if (!dispatch) return m_counters->Add(CounterId::kMessagesDuplicate);
  PoolMember* member = m_pool.Find(from);
  if (member != nullptr) m_pool.OnRefused(*member, refused.reason, refused.free_slots, in.now);
  Claim* claim = m_claims.Find(dispatch->claim);
  if (claim != nullptr && refused.reason == ErrorKind::kAlreadyStarted) {
    // The start record of that executor provides the outcome.
    claim->tasks[dispatch->index].dispatched_by_other_owner = true;
    Query(*claim, dispatch->index, in);
  } else if (claim != nullptr) {
    OnTaskNeverStarted(*claim, dispatch->index, refused.reason, in);
  }
  DispatchQueued(in);
}

void Coordinator::Impl::OnTaskFinished(NodeRef from, const TaskFinished& finished, Input& in) {
  const auto dispatch = CloseAnsweredDispatch(from, finished.sequence, finished.task);
  PoolMember* member = m_pool.Find(from);
  if (dispatch && member != nullptr) {
    m_pool.OnFinished(*member, finished.free_slots, IsFailure(finished.outcome), in.now);
  }
  const ShardPhase phase = m_ownership[ShardOf(finished.task.job)].phase;
  if (phase == ShardPhase::kNotOwned || phase == ShardPhase::kReleased) RelayOutcome(finished, in);

  Claim* claim = dispatch ? m_claims.Find(dispatch->claim) : m_claims.Find(finished.task.job);
  if (claim != nullptr && finished.task.index < claim->tasks.size()) {
    const TaskSlot& task = claim->tasks[finished.task.index];
    // A result is valid even if another coordinator sent the dispatch.
    if (!dispatch && IsOpen(task.phase)) CloseDispatch(task);
    m_counters->Add(CounterId::kTasksFinished);
    RecordOutcome(*claim, finished.task.index, finished.outcome, in);
  } else if (!dispatch) {
    m_counters->Add(CounterId::kMessagesDuplicate);
  }
  DispatchGroupsOf(member, in);
}

void Coordinator::Impl::RelayOutcome(const TaskFinished& finished, Input& in) {
  const NodeId owner = in.view.placement.OwnerOf(ShardOf(finished.task.job));
  const NodeRef ref = in.view.table.RefOf(owner);
  if (ref.incarnation == 0 || owner == in.view.self.id) return;
  in.out.Send(ref,
              TaskState{finished.task, finished.sequence, StartState::kFinished, finished.outcome});
}

void Coordinator::Impl::OnTaskState(NodeRef from, const TaskState& state, Input& in) {
  Claim* claim = m_claims.Find(state.task.job);
  if (claim == nullptr || state.task.index >= claim->tasks.size()) return;
  TaskSlot& task = claim->tasks[state.task.index];
  if (state.state == StartState::kFinished) {
    if (!state.outcome || !in.view.table.Lists(from)) return;
    if (IsOpen(task.phase)) CloseDispatch(task);
    RecordOutcome(*claim, state.task.index, *state.outcome, in);
    return DispatchQueued(in);
  }
  if (from != task.executor || task.phase != TaskPhase::kResolving) return;
  if (state.state == StartState::kRunning) {
    FireTask(task.phase, TaskEvent::kRunning);
    return;
  }
  if (state.sequence < task.sequence) return;
  // Until this time an executor may still accept a dispatch of the former owner that is in flight.
  const SteadyTime former_dispatches_expire_at = m_ownership[claim->shard].since + kStalenessBound;
  if (task.dispatched_by_other_owner && in.now.steady < former_dispatches_expire_at) return;
  CloseDispatch(task);
  OnTaskNeverStarted(*claim, state.task.index, ErrorKind::kStaleDispatch, in);
  DispatchQueued(in);
}

void Coordinator::Impl::OnWrongIncarnation(NodeRef from, const WrongIncarnation& wrong, Input& in) {
  if (wrong.meant != from.incarnation) OnExecutorLost({from.id, wrong.meant}, in);
}

}  // namespace foxtailrudder
