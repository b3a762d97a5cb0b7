#include "coordination/executor.h"

#include <algorithm>
#include <deque>

#include "coordination/internal/endpoint_lifecycle.h"
#include "coordination/internal/sequence_tracker.h"
#include "coordination/internal/start_record_table.h"

namespace foxtailrudder {
namespace {

constexpr std::size_t kMaxStartRecordsPerReply = 200;
// Limit of requests deferred until a newer member table arrives. The oldest are dropped beyond it;
// their senders repeat them.
constexpr std::size_t kMaxDeferredRequests = 4096;
constexpr std::chrono::seconds kMaxDeferral{10};
constexpr std::chrono::seconds kPrunePeriod{10};

}  // namespace

class Executor::Impl {
 public:
  explicit Impl(Counters* counters) : m_endpoint(counters), m_counters(counters) {}

  void OnDispatch(NodeRef from, const DispatchTask& dispatch, const ClusterView& view,
                  const PermitHolder& permit, Now now, Outbox& out);
  void OnCancel(NodeRef from, const CancelTask& cancel, const ClusterView& view, Outbox& out);
  void OnQuery(NodeRef from, const TaskQuery& query, const ClusterView& view, Now now, Outbox& out);
  void OnEvidenceRequest(NodeRef from, const EvidenceRequest& request, const ClusterView& view,
                         Now now, Outbox& out);
  void OnTaskDone(const TaskRef& task, TaskOutcome outcome, const ClusterView& view, Now now,
                  Outbox& out);
  void OnTaskNotStarted(const TaskRef& task, ErrorKind reason, const ClusterView& view,
                        Outbox& out);
  void Tick(const ClusterView& view, Now now, Outbox& out);

  EndpointLifecycle& endpoint() { return m_endpoint; }
  std::size_t start_records() const { return m_records.size(); }

 private:
  /// A request that can be answered only after a newer member table has arrived.
  struct DeferredRequest {
    NodeRef from;
    std::variant<TaskQuery, EvidenceRequest> request;
    SteadyTime expires_at;
  };

  static NodeRef OwnerOf(const TaskRef& task, const ClusterView& view) {
    return view.table.RefOf(view.placement.OwnerOf(ShardOf(task.job)));
  }

  /// Why the task may not start now; nullopt if it may.
  std::optional<ErrorKind> RefusalOf(NodeRef from, const DispatchTask& dispatch,
                                     const ClusterView& view, const PermitHolder& permit, Now now);
  void Refuse(NodeRef to, const TaskRef& task, std::uint64_t sequence, ErrorKind reason,
              Outbox& out);
  /// Sends to the recorded coordinator and, after a change of owner, also to the current owner.
  void SendToCoordinators(const StartEntry& entry, const TaskRef& task, const Message& message,
                          const ClusterView& view, Outbox& out);
  void Defer(DeferredRequest deferred);

  EndpointLifecycle m_endpoint;
  StartRecordTable m_records;
  SequenceTracker m_sequences;
  std::deque<DeferredRequest> m_deferred;
  SteadyTime m_next_prune{};
  /// Member table version of the last tick; deferred requests are retried when it changes.
  Version m_deferred_version = 0;
  Counters* m_counters;
};

std::optional<ErrorKind> Executor::Impl::RefusalOf(NodeRef from, const DispatchTask& dispatch,
                                                   const ClusterView& view,
                                                   const PermitHolder& permit, Now now) {
  const StartEntry* record = m_records.Find(dispatch.task);
  if (record != nullptr && record->state != StartState::kNeverStarted) {
    return ErrorKind::kAlreadyStarted;
  }
  if (dispatch.members_version > view.table.version() || OwnerOf(dispatch.task, view) != from) {
    return ErrorKind::kNotOwner;
  }
  if (const auto refusal = m_endpoint.RefusalFor(dispatch.service)) return refusal;
  if (now.wall >= dispatch.start_deadline) return ErrorKind::kStartDeadlinePassed;
  if (record == nullptr && m_records.size() >= view.bundle.limits.max_start_records_per_executor) {
    return ErrorKind::kStartRecordsFull;
  }
  if (m_endpoint.free_slots() == 0) return ErrorKind::kNoFreeSlot;
  if (!permit.MayStart(now.steady)) return ErrorKind::kNoPermit;
  return std::nullopt;
}

void Executor::Impl::Refuse(NodeRef to, const TaskRef& task, std::uint64_t sequence,
                            ErrorKind reason, Outbox& out) {
  m_counters->AddRefusal(reason);
  out.Send(to, TaskRefused{task, sequence, reason, m_endpoint.free_slots()});
}

void Executor::Impl::OnDispatch(NodeRef from, const DispatchTask& dispatch, const ClusterView& view,
                                const PermitHolder& permit, Now now, Outbox& out) {
  if (!m_sequences.Advance(from, dispatch.sequence, now.steady)) {
    const StartEntry* record = m_records.Find(dispatch.task);
    if (record != nullptr && record->dispatcher == from && record->sequence == dispatch.sequence) {
      m_counters->Add(CounterId::kMessagesDuplicate);
      out.Send(from, TaskState{dispatch.task, dispatch.sequence, record->state, record->outcome});
      return;
    }
    m_counters->Add(CounterId::kMessagesStale);
    Refuse(from, dispatch.task, dispatch.sequence, ErrorKind::kStaleDispatch, out);
    return;
  }
  if (const auto refusal = RefusalOf(from, dispatch, view, permit, now)) {
    Refuse(from, dispatch.task, dispatch.sequence, *refusal, out);
    return;
  }
  StartEntry entry;
  entry.digest = dispatch.digest;
  entry.job_deadline = dispatch.job_deadline;
  entry.dispatcher = from;
  entry.sequence = dispatch.sequence;
  entry.reply_to = from;
  entry.started_at = now.steady;
  entry.keep_until = dispatch.job_deadline + view.bundle.limits.retention;
  m_records.Put(dispatch.task, std::move(entry));
  m_endpoint.OnTaskStarted();
  m_counters->Add(CounterId::kTasksStarted);
  out.Add(StartTask{dispatch.task, dispatch.service, dispatch.task_id, dispatch.payload,
                    permit.start_deadline(), dispatch.start_deadline, dispatch.job_deadline});
}

void Executor::Impl::OnCancel(NodeRef from, const CancelTask& cancel, const ClusterView& view,
                              Outbox& out) {
  const StartEntry* record = m_records.Find(cancel.task);
  if (record == nullptr || record->state != StartState::kRunning) return;
  if (record->reply_to != from && OwnerOf(cancel.task, view) != from) {
    m_counters->Add(CounterId::kMessagesStale);
    return;
  }
  out.Add(StopTask{cancel.task});
}

void Executor::Impl::OnQuery(NodeRef from, const TaskQuery& query, const ClusterView& view, Now now,
                             Outbox& out) {
  m_sequences.Advance(from, query.sequence, now.steady);
  StartEntry* record = m_records.Find(query.task);
  if (record != nullptr && record->state != StartState::kNeverStarted) {
    record->reply_to = from;
    out.Send(from, TaskState{query.task, query.sequence, record->state, record->outcome});
    return;
  }
  // "Never started" must remain true. Until the member table makes the sender the owner, a dispatch
  // of the former owner could still start the task, so the answer is deferred.
  if (OwnerOf(query.task, view) != from) {
    Defer({from, query, now.steady + kMaxDeferral});
    return;
  }
  out.Send(from, TaskState{query.task, query.sequence, StartState::kNeverStarted, std::nullopt});
}

void Executor::Impl::OnEvidenceRequest(NodeRef from, const EvidenceRequest& request,
                                       const ClusterView& view, Now now, Outbox& out) {
  if (view.table.version() < request.members_version) {
    Defer({from, request, now.steady + kMaxDeferral});
    return;
  }
  std::vector<StartRecord> records = m_records.RecordsOf(request.shards);
  std::size_t sent = 0;
  do {
    const std::size_t count = std::min(kMaxStartRecordsPerReply, records.size() - sent);
    const auto first = records.begin() + static_cast<std::ptrdiff_t>(sent);
    EvidenceReply part;
    part.question = request.question;
    part.starts.assign(std::make_move_iterator(first),
                       std::make_move_iterator(first + static_cast<std::ptrdiff_t>(count)));
    sent += count;
    part.complete = sent == records.size();
    out.Send(from, std::move(part));
  } while (sent < records.size());
}

void Executor::Impl::Defer(DeferredRequest deferred) {
  if (m_deferred.size() >= kMaxDeferredRequests) m_deferred.pop_front();
  m_deferred.push_back(std::move(deferred));
}

void Executor::Impl::SendToCoordinators(const StartEntry& entry, const TaskRef& task,
                                        const Message& message, const ClusterView& view,
                                        Outbox& out) {
  out.Send(entry.reply_to, message);
  const NodeRef owner = OwnerOf(task, view);
  if (owner.id != 0 && owner != entry.reply_to) out.Send(owner, message);
}

void Executor::Impl::OnTaskDone(const TaskRef& task, TaskOutcome outcome, const ClusterView& view,
                                Now now, Outbox& out) {
  StartEntry* record = m_records.Find(task);
  if (record == nullptr || record->state != StartState::kRunning) {
    m_counters->Add(CounterId::kMessagesStale);
    return;
  }
  record->state = StartState::kFinished;
  record->outcome = std::move(outcome);
  m_endpoint.OnTaskEnded();
  m_counters->Add(CounterId::kTasksFinished);
  const auto run_time =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.steady - record->started_at);
  SendToCoordinators(
      *record, task,
      TaskFinished{task, record->sequence, *record->outcome, run_time, m_endpoint.free_slots()},
      view, out);
}

void Executor::Impl::OnTaskNotStarted(const TaskRef& task, ErrorKind reason,
                                      const ClusterView& view, Outbox& out) {
  StartEntry* record = m_records.Find(task);
  if (record == nullptr || record->state != StartState::kRunning) {
    m_counters->Add(CounterId::kMessagesStale);
    return;
  }
  record->state = StartState::kNeverStarted;
  m_endpoint.OnTaskEnded();
  m_counters->AddRefusal(reason);
  SendToCoordinators(*record, task,
                     TaskRefused{task, record->sequence, reason, m_endpoint.free_slots()}, view,
                     out);
}

void Executor::Impl::Tick(const ClusterView& view, Now now, Outbox& out) {
  m_records.Expire(now.wall);
  if (now.steady >= m_next_prune) {
    m_next_prune = now.steady + kPrunePeriod;
    m_sequences.Prune(view.table, now.steady - view.bundle.limits.retention);
  }
  for (std::size_t left = m_deferred.size(); left > 0; --left) {
    DeferredRequest deferred = std::move(m_deferred.front());
    m_deferred.pop_front();
    if (deferred.expires_at <= now.steady) continue;
    if (view.table.version() == m_deferred_version) {
      m_deferred.push_back(std::move(deferred));
      continue;
    }
    const std::size_t before = m_deferred.size();
    if (const auto* query = std::get_if<TaskQuery>(&deferred.request)) {
      OnQuery(deferred.from, *query, view, now, out);
    } else if (const auto* request = std::get_if<EvidenceRequest>(&deferred.request)) {
      OnEvidenceRequest(deferred.from, *request, view, now, out);
    }
    if (m_deferred.size() > before) m_deferred.back().expires_at = deferred.expires_at;
  }
  m_deferred_version = view.table.version();
}

Executor::Executor(Counters* counters) : m_impl(std::make_unique<Impl>(counters)) {}
Executor::Executor(Executor&&) noexcept = default;
Executor& Executor::operator=(Executor&&) noexcept = default;
Executor::~Executor() = default;

void Executor::SetEndpoint(std::optional<EndpointInfo> endpoint) {
  m_impl->endpoint().SetEndpoint(std::move(endpoint));
}

void Executor::SetLeaving(bool leaving) { m_impl->endpoint().SetLeaving(leaving); }

bool Executor::OnMessage(const Envelope& envelope, const ClusterView& view,
                         const PermitHolder& permit, Now now, Outbox& out) {
  if (const auto* dispatch = std::get_if<DispatchTask>(&envelope.message)) {
    m_impl->OnDispatch(envelope.from, *dispatch, view, permit, now, out);
    return true;
  }
  if (const auto* cancel = std::get_if<CancelTask>(&envelope.message)) {
    m_impl->OnCancel(envelope.from, *cancel, view, out);
    return true;
  }
  if (const auto* query = std::get_if<TaskQuery>(&envelope.message)) {
    m_impl->OnQuery(envelope.from, *query, view, now, out);
    return true;
  }
  if (const auto* request = std::get_if<EvidenceRequest>(&envelope.message)) {
    m_impl->OnEvidenceRequest(envelope.from, *request, view, now, out);
    return true;
  }
  return false;
}

void Executor::OnTaskDone(const TaskRef& task, TaskOutcome outcome, const ClusterView& view,
                          Now now, Outbox& out) {
  m_impl->OnTaskDone(task, std::move(outcome), view, now, out);
}

void Executor::OnTaskNotStarted(const TaskRef& task, ErrorKind reason, const ClusterView& view,
                                Now /*now*/, Outbox& out) {
  m_impl->OnTaskNotStarted(task, reason, view, out);
}

void Executor::Tick(const ClusterView& view, Now now, Outbox& out) { m_impl->Tick(view, now, out); }

std::uint32_t Executor::running() const { return m_impl->endpoint().running(); }
std::uint32_t Executor::free_slots() const { return m_impl->endpoint().free_slots(); }
std::size_t Executor::start_records() const { return m_impl->start_records(); }

}  // namespace foxtailrudder
