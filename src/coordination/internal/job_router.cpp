#include "coordination/job_router.h"

#include <algorithm>
#include <deque>
#include <string>
#include <unordered_map>

#include "coordination/internal/durable_claim_batcher.h"
#include "coordination/internal/forward_record_table.h"
#include "coordination/internal/job_admission.h"
#include "coordination/internal/service_index.h"
#include "coordination/internal/team_quotas.h"
#include "coordination/internal/timer_index.h"
#include "policy/policy.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kBackoffBase{100};
constexpr milliseconds kMaxBackoff{1000};
/// Minimum wait before a forward without a reply is repeated; otherwise the wait is half of the
/// time to the deadline. A message can be lost without a broken connection, but that is rare, and a
/// job that is still running must not be forwarded too often.
constexpr seconds kReplyTimeout{2};
/// Time after the deadline for detecting that a coordinator was replaced, in addition to
/// kStalenessBound.
constexpr seconds kAnswerGracePeriod{3};
/// Maximum time a refused caller waits for the release of its durable claim. If the store is down
/// for longer, the row remains.
constexpr seconds kClaimReleaseTimeout{5};
/// A failed release is repeated after this delay plus a backoff. The store takes several
/// milliseconds to reply.
constexpr milliseconds kClaimReleaseRetryDelay{200};
constexpr seconds kStatusTimeout{3};
constexpr seconds kStatusReplyTimeout{1};
constexpr std::size_t kMaxForwardRecordsPerReply = 200;
constexpr std::size_t kMaxDeferredEvidenceRequests = 4096;
constexpr seconds kEvidenceDeferralLimit{30};

/// Returns true if the coordinator refused without claiming the key and another attempt may
/// succeed.
bool IsRetryable(ErrorKind kind) {
  return kind == ErrorKind::kNotOwner || kind == ErrorKind::kNoPermit ||
         kind == ErrorKind::kShardUnavailable || kind == ErrorKind::kInputQueueFull;
}

}  // namespace

class JobRouter::Impl {
 public:
  Impl(JobRouterConfig config, Counters* counters)
      : m_config(std::move(config)),
        m_counters(counters),
        m_claim_batcher(m_config.claim_batch_period),
        m_random(m_config.seed) {}

  void Submit(RequestId request, JobSpec job, const ClusterView& view, Now now, Outbox& out);
  void RequestStatus(RequestId request, const JobKey& key, bool cancel, const ClusterView& view,
                     Now now, Outbox& out);
  void Abandon(RequestId request);
  void OnJobReply(NodeRef from, const JobReply& reply, const ClusterView& view, Now now,
                  Outbox& out);
  void OnJobStatus(NodeRef from, const JobStatus& status, const ClusterView& view, Now now,
                   Outbox& out);
  void OnEvidenceRequest(NodeRef from, const EvidenceRequest& request, const ClusterView& view,
                         Now now, Outbox& out);
  bool OnClaimsResult(const ClaimsResult& result, const ClusterView& view, Now now, Outbox& out);
  void OnViewChanged(const ClusterView& view, Now now, Outbox& out);
  void OnPeerDisconnected(NodeId peer, Now now);
  void Tick(const ClusterView& view, Now now, Outbox& out);

  TeamQuotas& quotas() { return m_quotas; }
  void BeginDrain() { m_draining = true; }
  std::size_t waiting() const { return m_waiting_callers + m_status_requests.size(); }
  std::size_t forward_records() const { return m_records.size(); }

 private:
  /// Progress of a submission's durable claim.
  enum class ClaimStep : std::uint8_t { kNone, kInserting, kReadBackDue, kReading, kReleasing };

  struct Submission {
    JobSpec job;
    bool has_caller = true;
    bool attach_only = false;
    bool ever_sent = false;
    bool awaiting_reply = false;
    ClaimStep claim_step = ClaimStep::kNone;
    /// The row in the store that this submission inserted.
    std::optional<DurableClaim> durable;
    /// While the row is being released: the caller's answer, and the latest time to give it.
    std::optional<JobAnswer> refusal;
    SteadyTime release_deadline;
    /// Coordinator that the last forward was sent to.
    NodeRef owner;
    std::uint32_t attempt = 0;
    SteadyTime deadline;
    SteadyTime timer;
  };

  /// A status request or a cancellation.
  struct StatusRequest {
    JobKey key;
    bool cancel = false;
    bool ever_sent = false;
    NodeRef owner;
    std::uint32_t attempt = 0;
    SteadyTime answer_deadline;
    SteadyTime timer;
  };

  struct DeferredEvidenceRequest {
    NodeRef from;
    EvidenceRequest request;
    SteadyTime until;
  };

  static NodeRef OwnerOf(const JobKey& key, const ClusterView& view) {
    const NodeId owner = view.placement.OwnerOf(ShardOf(key));
    return owner == 0 ? NodeRef{} : view.table.RefOf(owner);
  }

  std::optional<Error> CheckAdmission(const JobSpec& job, const ClusterView& view, Now now);
  SubmissionId IdOf(RequestId request) const { return {m_config.self, request}; }
  milliseconds NextBackoff(std::uint32_t& attempt) {
    return Backoff::Next(attempt++, m_random, kBackoffBase, kMaxBackoff);
  }

  void Refuse(RequestId request, Error error, Outbox& out);
  /// Records the submission and forwards it to the owner of its key.
  void StartForwarding(RequestId request, Submission& submission, const ClusterView& view, Now now,
                       Outbox& out);
  void Forward(RequestId request, Submission& submission, const ClusterView& view, Now now,
               Outbox& out);
  /// Schedules the next attempt, at the latest at the answer deadline.
  void Schedule(RequestId request, Submission& submission, SteadyTime due);
  /// Time at which the submission is answered even without a reply.
  static SteadyTime AnswerDeadline(const Submission& submission);
  /// Calls Finish. If the job was not run, first releases its durable claim, so that the caller's
  /// next attempt is not treated as a duplicate.
  void ReleaseAndFinish(RequestId request, JobAnswer answer, Now now, Outbox& out);
  /// Repeats the release of the claim, or answers the caller once the time for it has passed.
  void ContinueRelease(RequestId request, Submission& submission, Now now, Outbox& out);
  /// Ends a submission: records the answer and sends it to the caller if one is still waiting.
  void Finish(RequestId request, JobAnswer answer, Outbox& out);
  void OnTimer(RequestId request, Submission& submission, const ClusterView& view, Now now,
               Outbox& out);
  void InsertClaim(RequestId request, Submission& submission, const ClusterView& view, Now now,
                   Outbox& out);
  void OnDurableClaim(RequestId request, Submission& submission, const DurableClaim& claim,
                      const ClusterView& view, Now now, Outbox& out);

  void SendStatusRequest(RequestId request, StatusRequest& status_request, const ClusterView& view,
                         Now now, Outbox& out);
  void ScheduleStatusRequest(RequestId request, StatusRequest& status_request, SteadyTime due);
  void AnswerStatusRequest(RequestId request, std::variant<JobProgress, JobComplete, Error> state,
                           Outbox& out);

  JobRouterConfig m_config;
  Counters* m_counters;
  DurableClaimBatcher m_claim_batcher;
  Random m_random;
  ForwardRecordTable m_records;
  TeamQuotas m_quotas;
  ServiceIndex m_services;
  std::unordered_map<RequestId, Submission> m_submissions;
  std::unordered_map<RequestId, StatusRequest> m_status_requests;
  TimerIndex m_submission_timers;
  TimerIndex m_status_timers;
  std::deque<DeferredEvidenceRequest> m_deferred_evidence;
  std::size_t m_waiting_callers = 0;
  /// Submissions whose durable claim is pending. They have no forward record yet but count towards
  /// the limit on forward records.
  std::size_t m_pending_durable_claims = 0;
  bool m_draining = false;
};

std::optional<Error> JobRouter::Impl::CheckAdmission(const JobSpec& job, const ClusterView& view,
                                                     Now now) {
  if (m_draining) return Error{ErrorKind::kEntryDraining, ""};
  if (auto error = CheckTeam(job.key.team, view.bundle, m_config.region)) return error;
  if (auto error = CheckRequest(job, view.bundle, now)) return error;
  if (!m_services.HasEndpoint(view.table, job.service)) {
    return Error{ErrorKind::kNoCapacity, job.service};
  }
  const TeamConfig* team = view.bundle.FindTeam(job.key.team);
  if (!m_quotas.TryTake(*team, static_cast<std::uint32_t>(job.tasks.size()), now)) {
    return Error{ErrorKind::kQuotaExceeded, team->name};
  }
  if (!m_records.Contains(job) && m_records.size() + m_pending_durable_claims >=
                                      view.bundle.limits.max_forward_records_per_entry) {
    return Error{ErrorKind::kClaimTableFull, "limit of forward records reached"};
  }
  return std::nullopt;
}

void JobRouter::Impl::Refuse(RequestId request, Error error, Outbox& out) {
  m_counters->AddRefusal(error.kind);
  out.Add(AnswerCaller{request, std::move(error)});
}

void JobRouter::Impl::Submit(RequestId request, JobSpec job, const ClusterView& view, Now now,
                             Outbox& out) {
  m_counters->Add(CounterId::kJobsSubmitted);
  if (job.digest == 0) job.digest = DigestOf(job);
  if (auto error = CheckAdmission(job, view, now)) {
    Refuse(request, std::move(*error), out);
    return;
  }
  Submission& submission = m_submissions[request];
  submission.deadline = now.steady + (job.deadline - now.wall);
  submission.timer = submission.deadline;
  submission.job = std::move(job);
  ++m_waiting_callers;
  if (!submission.job.idempotent && m_config.durable_claims) {
    ++m_pending_durable_claims;
    Schedule(request, submission, submission.deadline);
    InsertClaim(request, submission, view, now, out);
    return;
  }
  StartForwarding(request, submission, view, now, out);
}

void JobRouter::Impl::InsertClaim(RequestId request, Submission& submission,
                                  const ClusterView& view, Now now, Outbox& out) {
  submission.claim_step = ClaimStep::kInserting;
  m_claim_batcher.Insert({request,
                          {submission.job.key, submission.job.digest, IdOf(request),
                           now.wall + view.bundle.limits.durable_claim_retention}},
                         now, out);
}

bool JobRouter::Impl::OnClaimsResult(const ClaimsResult& result, const ClusterView& view, Now now,
                                     Outbox& out) {
  const auto operation = m_claim_batcher.Take(result.operation);
  if (!operation) return false;
  for (std::size_t i = 0; i < operation->requests.size(); ++i) {
    const RequestId request = operation->requests[i];
    const auto found = m_submissions.find(request);
    if (found == m_submissions.end()) continue;
    Submission& submission = found->second;
    if (operation->kind == DurableClaimBatcher::Kind::kRelease) {
      if (submission.claim_step != ClaimStep::kReleasing) continue;
      // If the reply was lost, the row may already be deleted; deleting it again is harmless.
      if (result.status != StoreStatus::kOk) {
        m_counters->AddRetry(ErrorKind::kStoreUnavailable);
        continue;
      }
      submission.claim_step = ClaimStep::kNone;
      Finish(request, std::move(*submission.refusal), out);
      continue;
    }
    if (result.status == StoreStatus::kUnavailable &&
        operation->kind == DurableClaimBatcher::Kind::kInsert) {
      Finish(request, Error{ErrorKind::kStoreUnavailable, "durable claim was not stored"}, out);
      continue;
    }
    if (result.status != StoreStatus::kOk || i >= result.claims.size()) {
      // The insert may have taken effect, so the claim must be read back from the store.
      m_counters->AddRetry(ErrorKind::kStoreUnavailable);
      submission.claim_step = ClaimStep::kReadBackDue;
      Schedule(request, submission, now.steady + NextBackoff(submission.attempt));
      continue;
    }
    if (!result.claims[i]) {
      // Repeating the insert with the same claimant is safe even if the lost write takes effect
      // later.
      InsertClaim(request, submission, view, now, out);
      continue;
    }
    OnDurableClaim(request, submission, *result.claims[i], view, now, out);
  }
  return true;
}

void JobRouter::Impl::OnDurableClaim(RequestId request, Submission& submission,
                                     const DurableClaim& claim, const ClusterView& view, Now now,
                                     Outbox& out) {
  if (claim.digest != submission.job.digest) {
    Finish(request, Error{ErrorKind::kKeyConflict, submission.job.key.idempotency_key}, out);
    return;
  }
  submission.attach_only = claim.claimant != IdOf(request);
  if (!submission.attach_only) submission.durable = claim;
  submission.claim_step = ClaimStep::kNone;
  submission.attempt = 0;
  --m_pending_durable_claims;
  StartForwarding(request, submission, view, now, out);
}

void JobRouter::Impl::StartForwarding(RequestId request, Submission& submission,
                                      const ClusterView& view, Now now, Outbox& out) {
  m_records.OnForward(submission.job, submission.job.deadline + view.bundle.limits.retention);
  Forward(request, submission, view, now, out);
}

void JobRouter::Impl::Forward(RequestId request, Submission& submission, const ClusterView& view,
                              Now now, Outbox& out) {
  // A takeover collects records only from listed entries, so an unlisted entry must not forward.
  const bool is_listed = view.table.Lists(m_config.self);
  submission.owner = is_listed ? OwnerOf(submission.job.key, view) : NodeRef{};
  submission.awaiting_reply = submission.owner.id != 0;
  if (submission.owner.id == 0) {
    m_counters->AddRetry(ErrorKind::kShardUnavailable);
    Schedule(request, submission, now.steady + NextBackoff(submission.attempt));
    return;
  }
  submission.ever_sent = true;
  out.Send(submission.owner,
           ForwardJob{submission.job, IdOf(request), view.table.version(), submission.attach_only});
  const SteadyTime::duration half = (submission.job.deadline - now.wall) / 2;
  Schedule(request, submission, now.steady + std::max<SteadyTime::duration>(kReplyTimeout, half));
}

SteadyTime JobRouter::Impl::AnswerDeadline(const Submission& submission) {
  if (!submission.ever_sent) return submission.deadline;
  return submission.deadline + kAnswerGracePeriod + kStalenessBound;
}

void JobRouter::Impl::Schedule(RequestId request, Submission& submission, SteadyTime due) {
  due = std::min(due, AnswerDeadline(submission));
  m_submission_timers.Move(request, submission.timer, due);
  submission.timer = due;
}

void JobRouter::Impl::OnTimer(RequestId request, Submission& submission, const ClusterView& view,
                              Now now, Outbox& out) {
  if (submission.claim_step == ClaimStep::kReleasing) {
    ContinueRelease(request, submission, now, out);
    return;
  }
  if (now.steady >= AnswerDeadline(submission)) {
    const bool may_have_effect = submission.ever_sent || submission.claim_step != ClaimStep::kNone;
    const ErrorKind kind =
        may_have_effect ? ErrorKind::kOutcomeUnknown : ErrorKind::kNotStartedInTime;
    ReleaseAndFinish(request, Error{kind, "no answer in time"}, now, out);
    return;
  }
  switch (submission.claim_step) {
    case ClaimStep::kNone:
      if (submission.awaiting_reply) m_counters->AddRetry(ErrorKind::kShardUnavailable);
      Forward(request, submission, view, now, out);
      return;
    case ClaimStep::kReadBackDue:
      submission.claim_step = ClaimStep::kReading;
      Schedule(request, submission, submission.deadline);
      m_claim_batcher.ReadBack({request, {submission.job.key, 0, {}, {}}}, now, out);
      return;
    case ClaimStep::kInserting:
    case ClaimStep::kReading:
    case ClaimStep::kReleasing:
      Schedule(request, submission, submission.deadline);
      return;
  }
}

void JobRouter::Impl::ReleaseAndFinish(RequestId request, JobAnswer answer, Now now, Outbox& out) {
  Submission& submission = m_submissions.find(request)->second;
  const auto* error = std::get_if<Error>(&answer);
  const bool not_run = error != nullptr && ErrorAnswerOf(error->kind).not_run;
  if (!not_run || !submission.durable || submission.claim_step != ClaimStep::kNone) {
    Finish(request, std::move(answer), out);
    return;
  }
  submission.claim_step = ClaimStep::kReleasing;
  submission.refusal = std::move(answer);
  submission.release_deadline = now.steady + kClaimReleaseTimeout;
  submission.attempt = 0;
  ContinueRelease(request, submission, now, out);
}

void JobRouter::Impl::ContinueRelease(RequestId request, Submission& submission, Now now,
                                      Outbox& out) {
  if (now.steady >= submission.release_deadline) {
    submission.claim_step = ClaimStep::kNone;
    Finish(request, std::move(*submission.refusal), out);
    return;
  }
  const SteadyTime due =
      std::min(submission.release_deadline,
               now.steady + kClaimReleaseRetryDelay + NextBackoff(submission.attempt));
  m_submission_timers.Move(request, submission.timer, due);
  submission.timer = due;
  m_claim_batcher.Release({request, *submission.durable}, now, out);
}

void JobRouter::Impl::Finish(RequestId request, JobAnswer answer, Outbox& out) {
  const auto found = m_submissions.find(request);
  Submission& submission = found->second;
  m_submission_timers.Remove(request, submission.timer);
  if (submission.claim_step != ClaimStep::kNone) {
    --m_pending_durable_claims;
  } else if (submission.has_caller) {
    m_records.OnAnswer(submission.job, answer);
  } else {
    m_records.OnDropped(submission.job);
  }
  const auto* error = std::get_if<Error>(&answer);
  m_counters->Add(error == nullptr ? CounterId::kJobsComplete : CounterId::kJobsFailed);
  if (error != nullptr) m_counters->AddRefusal(error->kind);
  if (submission.has_caller) {
    --m_waiting_callers;
    out.Add(AnswerCaller{request, std::move(answer)});
  }
  m_submissions.erase(found);
}

void JobRouter::Impl::Abandon(RequestId request) {
  if (const auto found = m_submissions.find(request); found != m_submissions.end()) {
    if (found->second.has_caller) --m_waiting_callers;
    found->second.has_caller = false;
    return;
  }
  if (const auto found = m_status_requests.find(request); found != m_status_requests.end()) {
    m_status_timers.Remove(request, found->second.timer);
    m_status_requests.erase(found);
  }
}

void JobRouter::Impl::OnJobReply(NodeRef from, const JobReply& reply, const ClusterView& view,
                                 Now now, Outbox& out) {
  const auto found = m_submissions.find(reply.submission.request);
  const bool expected = reply.submission.entry == m_config.self && found != m_submissions.end() &&
                        found->second.job.key == reply.key && found->second.ever_sent &&
                        found->second.claim_step == ClaimStep::kNone;
  if (!expected || from.id == 0 || OwnerOf(reply.key, view) != from) {
    m_counters->Add(CounterId::kMessagesStale);
    return;
  }
  Submission& submission = found->second;
  if (const auto* complete = std::get_if<JobComplete>(&reply.answer)) {
    if (complete->results.size() != submission.job.tasks.size()) {
      m_counters->Add(CounterId::kMessagesStale);
      return;
    }
  } else if (const auto* error = std::get_if<Error>(&reply.answer); IsRetryable(error->kind)) {
    m_counters->AddRetry(error->kind);
    submission.awaiting_reply = false;
    Schedule(found->first, submission, now.steady + NextBackoff(submission.attempt));
    return;
  }
  ReleaseAndFinish(found->first, reply.answer, now, out);
}

void JobRouter::Impl::RequestStatus(RequestId request, const JobKey& key, bool cancel,
                                    const ClusterView& view, Now now, Outbox& out) {
  if (auto error = CheckTeam(key.team, view.bundle, m_config.region)) {
    m_counters->AddRefusal(error->kind);
    out.Add(AnswerStatus{request, std::move(*error)});
    return;
  }
  StatusRequest& status_request = m_status_requests[request];
  status_request.key = key;
  status_request.cancel = cancel;
  status_request.answer_deadline = now.steady + kStatusTimeout;
  status_request.timer = status_request.answer_deadline;
  SendStatusRequest(request, status_request, view, now, out);
}

void JobRouter::Impl::SendStatusRequest(RequestId request, StatusRequest& status_request,
                                        const ClusterView& view, Now now, Outbox& out) {
  status_request.owner = OwnerOf(status_request.key, view);
  if (status_request.owner.id == 0) {
    ScheduleStatusRequest(request, status_request,
                          now.steady + NextBackoff(status_request.attempt));
    return;
  }
  status_request.ever_sent = true;
  if (status_request.cancel) {
    out.Send(status_request.owner, CancelJob{status_request.key, IdOf(request)});
  } else {
    out.Send(status_request.owner, QueryJob{status_request.key, IdOf(request)});
  }
  ScheduleStatusRequest(request, status_request, now.steady + kStatusReplyTimeout);
}

void JobRouter::Impl::ScheduleStatusRequest(RequestId request, StatusRequest& status_request,
                                            SteadyTime due) {
  due = std::min(due, status_request.answer_deadline);
  m_status_timers.Move(request, status_request.timer, due);
  status_request.timer = due;
}

void JobRouter::Impl::AnswerStatusRequest(RequestId request,
                                          std::variant<JobProgress, JobComplete, Error> state,
                                          Outbox& out) {
  const auto found = m_status_requests.find(request);
  m_status_timers.Remove(request, found->second.timer);
  m_status_requests.erase(found);
  out.Add(AnswerStatus{request, std::move(state)});
}

void JobRouter::Impl::OnJobStatus(NodeRef from, const JobStatus& status, const ClusterView& view,
                                  Now now, Outbox& out) {
  const auto found = m_status_requests.find(status.submission.request);
  const bool expected = status.submission.entry == m_config.self &&
                        found != m_status_requests.end() && found->second.key == status.key &&
                        found->second.ever_sent;
  if (!expected || from.id == 0 || OwnerOf(status.key, view) != from) {
    m_counters->Add(CounterId::kMessagesStale);
    return;
  }
  const auto* error = std::get_if<Error>(&status.state);
  if (error != nullptr && IsRetryable(error->kind)) {
    m_counters->AddRetry(error->kind);
    StatusRequest& status_request = found->second;
    ScheduleStatusRequest(found->first, status_request,
                          now.steady + NextBackoff(status_request.attempt));
    return;
  }
  AnswerStatusRequest(found->first, status.state, out);
}

void JobRouter::Impl::OnEvidenceRequest(NodeRef from, const EvidenceRequest& request,
                                        const ClusterView& view, Now now, Outbox& out) {
  if (view.table.version() < request.members_version) {
    if (m_deferred_evidence.size() >= kMaxDeferredEvidenceRequests) m_deferred_evidence.pop_front();
    m_deferred_evidence.push_back({from, request, now.steady + kEvidenceDeferralLimit});
    return;
  }
  std::vector<ForwardRecord> records = m_records.RecordsOf(request.shards);
  std::size_t sent = 0;
  do {
    const std::size_t count = std::min(kMaxForwardRecordsPerReply, records.size() - sent);
    const auto first = records.begin() + static_cast<std::ptrdiff_t>(sent);
    EvidenceReply part;
    part.question = request.question;
    part.forwards.assign(std::make_move_iterator(first),
                         std::make_move_iterator(first + static_cast<std::ptrdiff_t>(count)));
    sent += count;
    part.complete = sent == records.size();
    out.Send(from, std::move(part));
  } while (sent < records.size());
}

void JobRouter::Impl::OnViewChanged(const ClusterView& view, Now now, Outbox& out) {
  for (auto& [request, submission] : m_submissions) {
    if (submission.claim_step != ClaimStep::kNone) continue;
    if (OwnerOf(submission.job.key, view) == submission.owner) continue;
    if (submission.ever_sent) m_counters->AddRetry(ErrorKind::kNotOwner);
    submission.attempt = 0;
    Forward(request, submission, view, now, out);
  }
  for (auto& [request, status_request] : m_status_requests) {
    if (OwnerOf(status_request.key, view) != status_request.owner) {
      SendStatusRequest(request, status_request, view, now, out);
    }
  }
  for (std::size_t left = m_deferred_evidence.size(); left > 0; --left) {
    const DeferredEvidenceRequest deferred = std::move(m_deferred_evidence.front());
    m_deferred_evidence.pop_front();
    if (deferred.until <= now.steady) continue;
    const std::size_t before = m_deferred_evidence.size();
    OnEvidenceRequest(deferred.from, deferred.request, view, now, out);
    if (m_deferred_evidence.size() > before) m_deferred_evidence.back().until = deferred.until;
  }
}

void JobRouter::Impl::OnPeerDisconnected(NodeId peer, Now now) {
  for (auto& [request, submission] : m_submissions) {
    if (submission.claim_step != ClaimStep::kNone || submission.owner.id != peer) continue;
    if (submission.awaiting_reply) m_counters->AddRetry(ErrorKind::kShardUnavailable);
    submission.awaiting_reply = false;
    Schedule(request, submission, now.steady + NextBackoff(submission.attempt));
  }
  for (auto& [request, status_request] : m_status_requests) {
    if (status_request.owner.id != peer) continue;
    ScheduleStatusRequest(request, status_request,
                          now.steady + NextBackoff(status_request.attempt));
  }
}

void JobRouter::Impl::Tick(const ClusterView& view, Now now, Outbox& out) {
  while (const auto request = m_submission_timers.NextDue(now.steady)) {
    OnTimer(*request, m_submissions.find(*request)->second, view, now, out);
  }
  while (const auto request = m_status_timers.NextDue(now.steady)) {
    StatusRequest& status_request = m_status_requests.find(*request)->second;
    if (now.steady < status_request.answer_deadline) {
      SendStatusRequest(*request, status_request, view, now, out);
      continue;
    }
    // A cancellation that was sent may have taken effect, so the answer must not be "not run".
    const ErrorKind kind = status_request.cancel && status_request.ever_sent
                               ? ErrorKind::kOutcomeUnknown
                               : ErrorKind::kShardUnavailable;
    m_counters->AddRefusal(kind);
    AnswerStatusRequest(*request, Error{kind, "no answer in time"}, out);
  }
  m_claim_batcher.Flush(now, out);
  m_records.Expire(now.wall);
}

JobRouter::JobRouter(JobRouterConfig config, Counters* counters)
    : m_impl(std::make_unique<Impl>(std::move(config), counters)) {}
JobRouter::JobRouter(JobRouter&&) noexcept = default;
JobRouter& JobRouter::operator=(JobRouter&&) noexcept = default;
JobRouter::~JobRouter() = default;

void JobRouter::Submit(RequestId request, JobSpec job, const ClusterView& view, Now now,
                       Outbox& out) {
  m_impl->Submit(request, std::move(job), view, now, out);
}

void JobRouter::Query(RequestId request, const JobKey& key, const ClusterView& view, Now now,
                      Outbox& out) {
  m_impl->RequestStatus(request, key, false, view, now, out);
}

void JobRouter::Cancel(RequestId request, const JobKey& key, const ClusterView& view, Now now,
                       Outbox& out) {
  m_impl->RequestStatus(request, key, true, view, now, out);
}

void JobRouter::Abandon(RequestId request) { m_impl->Abandon(request); }

bool JobRouter::OnMessage(const Envelope& envelope, const ClusterView& view, Now now, Outbox& out) {
  if (const auto* reply = std::get_if<JobReply>(&envelope.message)) {
    m_impl->OnJobReply(envelope.from, *reply, view, now, out);
    return true;
  }
  if (const auto* status = std::get_if<JobStatus>(&envelope.message)) {
    m_impl->OnJobStatus(envelope.from, *status, view, now, out);
    return true;
  }
  if (const auto* request = std::get_if<EvidenceRequest>(&envelope.message)) {
    m_impl->OnEvidenceRequest(envelope.from, *request, view, now, out);
    return true;
  }
  return false;
}

bool JobRouter::OnStoreResult(const StoreResult& result, const ClusterView& view, Now now,
                              Outbox& out) {
  const auto* claims = std::get_if<ClaimsResult>(&result);
  return claims != nullptr && m_impl->OnClaimsResult(*claims, view, now, out);
}

void JobRouter::OnViewChanged(const ClusterView& view, Now now, Outbox& out) {
  m_impl->OnViewChanged(view, now, out);
}

void JobRouter::OnPeerDisconnected(NodeId peer, const ClusterView& /*view*/, Now now,
                                   Outbox& /*out*/) {
  m_impl->OnPeerDisconnected(peer, now);
}

void JobRouter::Tick(const ClusterView& view, Now now, Outbox& out) {
  m_impl->Tick(view, now, out);
}

void JobRouter::SetQuotaShares(std::vector<std::pair<std::string, double>> shares) {
  m_impl->quotas().SetShares(std::move(shares));
}

std::vector<TeamDemand> JobRouter::Demands(Now now) const { return m_impl->quotas().Demands(now); }

void JobRouter::BeginDrain() { m_impl->BeginDrain(); }
std::size_t JobRouter::waiting() const { return m_impl->waiting(); }
std::size_t JobRouter::forward_records() const { return m_impl->forward_records(); }

}  // namespace foxtailrudder
