#include "dispatch/shared_jobs.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "dispatch/internal/claimant_census.h"
#include "dispatch/internal/job_claims.h"
#include "dispatch/internal/job_state.h"
#include "dispatch/internal/milliseconds.h"
#include "dispatch/internal/run_knowledge.h"
#include "dispatch/timing.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// A request of another entry that has not been repeated for this long is taken as withdrawn.
constexpr milliseconds kAttachmentTimeout{1'000};

/// A job refused for want of memory may come back after this time: jobs take about as long.
constexpr milliseconds kMemoryRetry{1'000};

/// Estimated memory of the parts of a job, here, at the dispatcher and in messages to sidecars.
constexpr std::size_t kJobBytes = 2'048;
constexpr std::size_t kStepBytes = 512;
constexpr std::size_t kTaskBytes = 512;
/// Jobs up to this size may use the last quarter of the memory, so that large jobs do not keep
/// ordinary ones out.
constexpr std::size_t kSmallJobBytes = 64U << 10U;

/// Of the request, while the claim is not decided.
std::size_t RequestBytes(const DispatchJob& job) {
  std::size_t bytes = kJobBytes + 2 * job.payload.size();
  for (const JobStep& step : job.steps) {
    bytes += kStepBytes + 2 * (step.after.size() * sizeof(step.after[0]) +
                               step.required_label.size() + step.preferred_rack.size());
  }
  return bytes;
}

/// Of the request and of its tasks.
std::size_t JobBytes(const DispatchJob& job) {
  std::size_t bytes = RequestBytes(job);
  for (const JobStep& step : job.steps) bytes += step.count * kTaskBytes;
  return bytes;
}

JobOutcome OutcomeOf(JobEnd end) {
  switch (end) {
    case JobEnd::kCompleted:
      return JobOutcome::kCompleted;
    case JobEnd::kFailed:
      return JobOutcome::kFailed;
    case JobEnd::kRefused:
    case JobEnd::kGivenUp:
      break;
  }
  return JobOutcome::kNone;
}

/// `outcome` is that of a job that has ended.
JobAnswered AnswerWith(JobOutcome outcome) {
  const JobEnd end = outcome == JobOutcome::kCompleted ? JobEnd::kCompleted : JobEnd::kFailed;
  return {0, end, ErrorKind::kTaskFailed, std::nullopt};
}

AttachedJobState StateOf(JobEnd end) {
  switch (end) {
    case JobEnd::kCompleted:
      return AttachedJobState::kCompleted;
    case JobEnd::kFailed:
      return AttachedJobState::kFailed;
    case JobEnd::kRefused:
      return AttachedJobState::kRefused;
    case JobEnd::kGivenUp:
      break;
  }
  return AttachedJobState::kGivenUp;
}

std::optional<JobEnd> EndOf(AttachedJobState state) {
  switch (state) {
    case AttachedJobState::kCompleted:
      return JobEnd::kCompleted;
    case AttachedJobState::kFailed:
      return JobEnd::kFailed;
    case AttachedJobState::kRefused:
      return JobEnd::kRefused;
    case AttachedJobState::kGivenUp:
      return JobEnd::kGivenUp;
    case AttachedJobState::kInProgress:
    case AttachedJobState::kUnknown:
      break;
  }
  return std::nullopt;
}

/// A request for a job: of a caller, or of another entry on behalf of its callers.
struct Waiter {
  /// Identifies the waiter at the dispatcher.
  RequestId id = 0;
  /// Of a caller of this entry; not set for another entry.
  std::optional<RequestId> request;
  NodeRef entry;
  SteadyTime deadline;
  /// Until then the other entry has to repeat its request.
  SteadyTime expires_at;
};

enum class JobPhase : std::uint8_t {
  /// Another entry has the claim, or it is not decided.
  kClaiming,
  /// In progress at the dispatcher of this entry.
  kRunning,
  /// The job has ended, but some of its runs may not have.
  kEnding,
};

struct SharedJob {
  JobClaim claim;
  QueuePlan queue;
  DispatchJob job;
  JobPhase phase = JobPhase::kClaiming;
  std::vector<Waiter> waiters;
  /// The entry for whose job the waiters wait.
  std::optional<NodeRef> holder;
  RunKnowledge runs;
  JobOutcome outcome = JobOutcome::kNone;
  std::size_t bytes = 0;
};

}  // namespace

class SharedJobs::Impl {
 public:
  Impl(NodeRef self, EntryDispatcher& dispatcher, DecisionLog& log, std::size_t max_job_bytes)
      : m_dispatcher(dispatcher),
        m_log(log),
        m_census(self),
        m_claims(self, m_witnesses, log),
        m_max_job_bytes(max_job_bytes) {}

  void Submit(RequestId request, const QueuePlan& queue, DispatchJob job, SteadyTime deadline,
              Now now, DispatchOutputs& out) {
    NoteStart(now);
    const JobName name{queue.address(), job.id};
    const std::size_t bytes = RequestBytes(job);
    if (!m_jobs.contains(name) && !HasMemoryFor(bytes)) {
      // Without the claim, nothing tells that the job does not run at another entry.
      RecordWantOfMemory(queue, job, bytes);
      m_replies.push_back({request, JobEnd::kGivenUp, ErrorKind::kQueueFull, std::nullopt});
      return;
    }
    Waiter waiter;
    waiter.id = ++m_last_waiter;
    waiter.request = request;
    waiter.deadline = deadline;
    waiter.expires_at = SteadyTime::max();
    m_waiter_jobs[waiter.id] = name;
    m_request_waiters[request] = waiter.id;
    const auto [found, is_new] = m_jobs.try_emplace(name);
    SharedJob& shared = found->second;
    shared.waiters.push_back(waiter);
    if (!is_new) {
      Join(shared, waiter, now, out);
      return;
    }
    shared.bytes = bytes;
    m_job_bytes += bytes;
    shared.claim = {name, queue.service, false};
    shared.queue = queue;
    shared.job = std::move(job);
    shared.job.received_at = now.steady;
    if (RefuseWithoutContact(shared, now, out)) return;
    ClaimOutputs claims;
    m_claims.Claim(shared.claim, now, claims);
    Apply(claims, now, out);
  }

  void OnCallerDisconnected(RequestId request, Now now, DispatchOutputs& out) {
    const auto found = m_request_waiters.find(request);
    if (found == m_request_waiters.end()) return;
    RemoveWaiter(found->second, now, out);
  }

  bool OnMessage(const Envelope& envelope, Now now, DispatchOutputs& out) {
    if (const auto* answers = std::get_if<ClaimAnswers>(&envelope.message)) {
      ClaimOutputs claims;
      m_claims.OnAnswers(envelope.from, *answers, now, claims);
      Apply(claims, now, out);
    } else if (const auto* attach = std::get_if<AttachToJob>(&envelope.message)) {
      OnAttach(envelope.from, *attach, now, out);
    } else if (const auto* result = std::get_if<AttachedJobResult>(&envelope.message)) {
      OnAttachedJobResult(envelope.from, *result, now, out);
    } else {
      return false;
    }
    return true;
  }

  void OnSidecarReport(NodeRef sidecar, const WorkerReport& report, Now now, DispatchOutputs& out) {
    NoteStart(now);
    const bool is_new = m_witnesses.OnSidecarHeard(sidecar, report.sidecar_zone, now);
    m_census.OnSidecarHeard(report.started_recently);
    if (!is_new && !report.started_recently) return;
    ClaimOutputs claims;
    m_claims.RenewAt(sidecar, now, claims);
    Apply(claims, now, out);
  }

  void OnEntryReport(NodeRef entry, const EntryReport& report, Now now) {
    NoteStart(now);
    m_census.OnEntryHeard(entry, report.started_recently, now);
    if (report.sidecars.empty()) return;
    m_witnesses.OnPeerList(entry.id, report.sidecars, report.sidecars_digest, report.is_settled);
  }

  void SetLiveEntries(const std::vector<NodeId>& entries) { m_witnesses.SetLiveEntries(entries); }

  void AddTo(EntryReport& report, NodeId entry, std::uint64_t digest_held_by_receiver,
             Now now) const {
    m_census.AddTo(report, false, now);
    report.known_sidecars_digest = m_witnesses.DigestOfPeer(entry);
    report.sidecars_digest = m_witnesses.own_digest();
    report.is_settled = m_witnesses.is_settled();
    if (digest_held_by_receiver != report.sidecars_digest) report.sidecars = m_witnesses.own_list();
  }

  void AddTo(EntryReport& reply, const WorkerReport& report, Now now) const {
    m_census.AddTo(reply, report.started_recently, now);
  }

  void BeforeInput(Now now, DispatchOutputs& out) {
    NoteStart(now);
    ClaimOutputs claims;
    m_claims.ExpireClaims(now, claims);
    Apply(claims, now, out);
  }

  void Tick(Now now, DispatchOutputs& out) {
    NoteStart(now);
    const bool was_settled = m_witnesses.is_settled();
    m_witnesses.Tick(now);
    if (!was_settled && m_witnesses.is_settled()) {
      m_log.Record(DecisionClass::kStateChange, "witnesses_known", {},
                   {{"sidecars", static_cast<std::int64_t>(m_witnesses.own_list().size())},
                    {"waiting_jobs", static_cast<std::int64_t>(m_claims.size())}});
      for (const auto& [name, shared] : m_jobs) m_claims.RetrySoon(name, now);
    }
    m_claims.SetAskFrom(m_census.claims_from(now), now);
    ClaimOutputs claims;
    m_claims.Tick(now, claims);
    Apply(claims, now, out);
    std::vector<RequestId> gone;
    std::vector<JobName> late;
    for (auto& [name, shared] : m_jobs) {
      for (const Waiter& waiter : shared.waiters) {
        if (now.steady >= waiter.expires_at) gone.push_back(waiter.id);
      }
      if (shared.phase == JobPhase::kClaiming) late.push_back(name);
    }
    for (const RequestId waiter : gone) RemoveWaiter(waiter, now, out);
    for (const JobName& name : late) {
      const auto found = m_jobs.find(name);
      if (found != m_jobs.end()) EndLateClaim(found->second, now, out);
    }
  }

  void TranslateAnswers(Now now, DispatchOutputs& out) {
    std::vector<JobAnswered> translated;
    // Jobs that are started again may be answered at once.
    while (true) {
      for (const JobAnswered& answer : std::exchange(out.answers, {})) {
        const auto found = m_waiter_jobs.find(answer.request);
        if (found == m_waiter_jobs.end()) continue;
        SharedJob& shared = m_jobs.at(found->second);
        const JobName& name = shared.claim.job;
        if (answer.end != JobEnd::kRefused &&
            (!m_dispatcher.IsInProgress(name) || m_dispatcher.MayHaveRun(name))) {
          shared.runs.OnRun();
        }
        shared.outcome = OutcomeOf(answer.end);
        const auto waiter = std::ranges::find(shared.waiters, answer.request, &Waiter::id);
        Reply(shared, *waiter, answer, out);
        ForgetWaiter(shared, answer.request);
        m_unfinished.insert(shared.claim.job);
      }
      translated.insert(translated.end(), m_replies.begin(), m_replies.end());
      m_replies.clear();
      FinishEndedJobs(now, out);
      if (out.answers.empty() && m_replies.empty()) break;
    }
    out.answers = std::move(translated);
  }

  bool is_settled() const { return m_witnesses.is_settled(); }
  std::size_t open_claims() const { return m_claims.size(); }
  std::size_t job_bytes() const { return m_job_bytes; }
  std::size_t attached_requests() const { return m_waiter_jobs.size() - m_request_waiters.size(); }
  const SharedJobsCounters& counters() const { return m_counters; }

 private:
  void NoteStart(Now now) {
    m_census.OnInput(now);
    if (m_started_at) return;
    m_started_at = now.steady;
    m_claims.SetAskFrom(m_census.claims_from(now), now);
  }

  bool HasMemoryFor(std::size_t bytes) const {
    const std::size_t limit =
        bytes <= kSmallJobBytes ? m_max_job_bytes : m_max_job_bytes - m_max_job_bytes / 4;
    return m_job_bytes + bytes <= limit;
  }

  void RecordWantOfMemory(const QueuePlan& queue, const DispatchJob& job, std::size_t bytes) {
    ++m_counters.refused_for_memory;
    m_log.Record(DecisionClass::kAnomaly, "job_refused", job.id,
                 {{"reason", ErrorAnswerOf(ErrorKind::kQueueFull).name},
                  {"queue", queue.name},
                  {"bytes", static_cast<std::int64_t>(bytes)},
                  {"held_bytes", static_cast<std::int64_t>(m_job_bytes)}});
  }

  /// Reserves the memory for the tasks of a job. Returns false if there is not enough.
  bool ReserveTasks(SharedJob& shared) {
    const std::size_t more = JobBytes(shared.job) - shared.bytes;
    if (!HasMemoryFor(more)) {
      RecordWantOfMemory(shared.queue, shared.job, more);
      return false;
    }
    m_job_bytes += more;
    shared.bytes += more;
    return true;
  }

  /// Handles a further request for a known job.
  void Join(SharedJob& shared, const Waiter& waiter, Now now, DispatchOutputs& out) {
    switch (shared.phase) {
      case JobPhase::kRunning:
        m_dispatcher.Attach(shared.claim.job, waiter.id, waiter.deadline);
        break;
      case JobPhase::kClaiming:
        if (shared.holder) SendAttach(shared, *shared.holder, now, out);
        break;
      case JobPhase::kEnding:
        // Answered or started again when the runs have ended.
        m_unfinished.insert(shared.claim.job);
        break;
    }
  }

  /// Without a single sidecar nothing can be run, claimed or known.
  bool RefuseWithoutContact(SharedJob& shared, Now now, DispatchOutputs& out) {
    if (m_witnesses.has_contact() || shared.runs.is_held_elsewhere() ||
        now.steady - *m_started_at <= kStartupGracePeriod) {
      return false;
    }
    m_log.Record(DecisionClass::kAnomaly, "job_refused", shared.job.id,
                 {{"reason", ErrorAnswerOf(ErrorKind::kNoCapacity).name},
                  {"queue", shared.queue.name},
                  {"sidecars", std::int64_t{0}}});
    // A sidecar that comes back reports within a presence period.
    EndWithoutRun(shared, {0, JobEnd::kRefused, ErrorKind::kNoCapacity, kPresencePeriod}, out);
    return true;
  }

  /// Answers the callers for whom the claim can no longer come in time. A job that may run at
  /// another entry may still end before their deadline; any other one has to start here before
  /// that, and while a caller is left for whom it can, nobody is told that it never runs.
  void EndLateClaim(SharedJob& shared, Now now, DispatchOutputs& out) {
    if (RefuseWithoutContact(shared, now, out)) return;
    const SteadyTime last_deadline =
        std::ranges::max_element(shared.waiters, {}, &Waiter::deadline)->deadline;
    const milliseconds critical_path = m_dispatcher.TrustedRun(
        shared.queue, shared.job, Ms(last_deadline - *shared.job.received_at), now);
    const SteadyTime earliest_start = std::max(now.steady, m_claims.ask_from());
    const bool is_undecided = !shared.runs.is_held_elsewhere() &&
                              std::ranges::all_of(shared.waiters, [&](const Waiter& waiter) {
                                return earliest_start > waiter.deadline - critical_path;
                              });
    // By the time of a retry, the claim of an entry that is gone has lapsed.
    const milliseconds retry_after =
        earliest_start > now.steady ? Ms(earliest_start - now.steady) : kClaimLease;
    bool has_ended = false;
    for (const Waiter& waiter : std::vector<Waiter>(shared.waiters)) {
      if (now.steady >= waiter.deadline) {
        Reply(shared, waiter, {0, JobEnd::kGivenUp, ErrorKind::kDeadlineExceeded, std::nullopt},
              out);
      } else if (is_undecided) {
        Reply(shared, waiter, {0, JobEnd::kRefused, ErrorKind::kNotStartedInTime, retry_after},
              out);
      } else {
        continue;
      }
      ForgetWaiter(shared, waiter.id);
      has_ended = true;
    }
    if (!has_ended) return;
    if (is_undecided) ++m_counters.undecided;
    m_log.Record(DecisionClass::kAnomaly, "claim_given_up", shared.job.id,
                 {{"queue", shared.queue.name},
                  {"waited_ms", Ms(now.steady - *shared.job.received_at).count()},
                  {"expected_ms", critical_path.count()},
                  {"held_elsewhere", static_cast<std::int64_t>(shared.runs.is_held_elsewhere())},
                  {"may_have_run", static_cast<std::int64_t>(shared.runs.may_have_run())}});
    if (shared.waiters.empty()) DropClaim(shared, out);
  }

  void OnAttach(NodeRef entry, const AttachToJob& attach, Now now, DispatchOutputs& out) {
    const JobName& name = attach.claim.job;
    const auto found = m_jobs.find(name);
    const bool is_here = found != m_jobs.end() && !found->second.holder;
    if (!is_here) {
      if (attach.is_detached) return;
      SendState(entry, name, AttachedJobState::kUnknown, out);
      if (found == m_jobs.end()) {
        ClaimOutputs claims;
        m_claims.Disown(name, now, claims);
        Apply(claims, now, out);
      }
      return;
    }
    SharedJob& shared = found->second;
    if (attach.may_have_run) shared.runs.OnRun();
    const auto known = std::ranges::find_if(shared.waiters, [entry](const Waiter& waiter) {
      return !waiter.request && waiter.entry == entry;
    });
    if (attach.is_detached) {
      if (known != shared.waiters.end()) RemoveWaiter(known->id, now, out);
      return;
    }
    Waiter waiter = known != shared.waiters.end() ? *known : Waiter{};
    waiter.deadline = now.steady + attach.time_to_deadline;
    waiter.expires_at = now.steady + kAttachmentTimeout;
    if (known != shared.waiters.end()) {
      *known = waiter;
    } else {
      waiter.id = ++m_last_waiter;
      waiter.entry = entry;
      m_waiter_jobs[waiter.id] = name;
      shared.waiters.push_back(waiter);
      ++m_counters.attached;
      m_log.Record(DecisionClass::kAnomaly, "job_attached", name.id,
                   {{"queue", shared.queue.name},
                    {"from_entry", static_cast<std::int64_t>(entry.id)},
                    {"deadline_ms", attach.time_to_deadline.count()}});
    }
    Join(shared, waiter, now, out);
    if (m_claims.IsHeld(name)) SendState(entry, name, AttachedJobState::kInProgress, out);
  }

  void OnAttachedJobResult(NodeRef from, const AttachedJobResult& result, Now now,
                           DispatchOutputs& out) {
    const auto found = m_jobs.find(result.job);
    if (found == m_jobs.end() || found->second.phase != JobPhase::kClaiming) return;
    SharedJob& shared = found->second;
    if (!shared.holder || *shared.holder != from) return;
    ClaimOutputs claims;
    if (const auto end = EndOf(result.state)) {
      m_log.Record(DecisionClass::kAnomaly, "attached_job_ended", shared.job.id,
                   {{"queue", shared.queue.name},
                    {"at_entry", static_cast<std::int64_t>(from.id)},
                    {"completed", static_cast<std::int64_t>(*end == JobEnd::kCompleted)}});
      JobAnswered answer{0, *end, result.reason, std::nullopt};
      if (result.retry_after > milliseconds(0)) answer.retry_after = result.retry_after;
      EndWithoutRun(shared, answer, out);
    } else if (result.state == AttachedJobState::kInProgress) {
      shared.runs.OnProgressElsewhere();
      m_claims.Yield(result.job, from, now, claims);
    } else {
      shared.holder.reset();
      shared.runs.OnUnknownElsewhere();
      m_claims.RetrySoon(result.job, now);
    }
    Apply(claims, now, out);
  }

  void Apply(ClaimOutputs& claims, Now now, DispatchOutputs& out) {
    for (SendMessage& message : claims.messages) out.messages.push_back(std::move(message));
    for (const ClaimEvent& event : claims.events) {
      const auto found = m_jobs.find(event.job);
      if (found == m_jobs.end()) continue;
      SharedJob& shared = found->second;
      switch (event.kind) {
        case ClaimEventKind::kHeld:
          OnHeld(shared, now, out);
          break;
        case ClaimEventKind::kLapsed:
          ++m_counters.claims_lapsed;
          m_dispatcher.Suspend(event.job, now, out);
          break;
        case ClaimEventKind::kHeldElsewhere:
        case ClaimEventKind::kContested:
          OnHeldElsewhere(shared, event, now, out);
          break;
        case ClaimEventKind::kMayHaveRun:
          shared.runs.OnRun();
          break;
        case ClaimEventKind::kEnded:
          OnEndedBefore(shared, event.outcome, now, out);
          break;
      }
    }
  }

  void OnHeld(SharedJob& shared, Now now, DispatchOutputs& out) {
    shared.holder.reset();
    shared.runs.OnClaimed();
    if (shared.phase == JobPhase::kClaiming) {
      Start(shared, now, out);
    } else if (shared.phase == JobPhase::kRunning) {
      m_dispatcher.Resume(shared.claim.job, now, out);
    }
  }

  void Start(SharedJob& shared, Now now, DispatchOutputs& out) {
    shared.phase = JobPhase::kRunning;
    shared.outcome = JobOutcome::kNone;
    // The one with the most time decides whether the job is taken, so that none of the others is
    // told that it never runs while it does.
    std::ranges::sort(shared.waiters, std::greater<>(), &Waiter::deadline);
    if (!ReserveTasks(shared)) {
      for (const Waiter& waiter : shared.waiters) {
        out.answers.push_back({waiter.id, JobEnd::kRefused, ErrorKind::kQueueFull, kMemoryRetry});
      }
      return;
    }
    const std::size_t answers_before = out.answers.size();
    for (const Waiter& waiter : shared.waiters) {
      if (out.answers.size() > answers_before) {
        JobAnswered answer = out.answers.back();
        answer.request = waiter.id;
        out.answers.push_back(answer);
      } else {
        m_dispatcher.Submit(waiter.id, shared.queue, shared.job, waiter.deadline, now, out);
      }
    }
  }

  void OnHeldElsewhere(SharedJob& shared, const ClaimEvent& event, Now now, DispatchOutputs& out) {
    if (shared.phase == JobPhase::kEnding) return;
    if (shared.phase == JobPhase::kRunning) {
      if (event.kind == ClaimEventKind::kContested) return;
      // The claim lapsed here and has passed on.
      NoteRuns(shared);
      m_dispatcher.Abandon(shared.claim.job, now, out);
      shared.phase = JobPhase::kClaiming;
    }
    // The claim of another job with the same ID only has to be waited for.
    if (event.is_other_job) return;
    shared.runs.OnHeldElsewhere();
    if (shared.holder != event.holder) {
      ++m_counters.held_elsewhere;
      m_log.Record(
          DecisionClass::kAnomaly, "job_held_elsewhere", shared.job.id,
          {{"queue", shared.queue.name},
           {"entry", static_cast<std::int64_t>(event.holder.id)},
           {"contested", static_cast<std::int64_t>(event.kind == ClaimEventKind::kContested)}});
    }
    shared.holder = event.holder;
    DetachOtherEntries(shared, out);
    if (shared.waiters.empty()) {
      DropClaim(shared, out);
    } else {
      SendAttach(shared, event.holder, now, out);
    }
  }

  void OnEndedBefore(SharedJob& shared, JobOutcome outcome, Now now, DispatchOutputs& out) {
    if (shared.phase == JobPhase::kEnding) return;
    if (shared.phase == JobPhase::kRunning) m_dispatcher.Abandon(shared.claim.job, now, out);
    m_counters.answered_ended += shared.waiters.size();
    m_log.Record(DecisionClass::kAnomaly, "job_ended_before", shared.job.id,
                 {{"queue", shared.queue.name},
                  {"completed", static_cast<std::int64_t>(outcome == JobOutcome::kCompleted)}});
    EndWithoutRun(shared, AnswerWith(outcome), out);
  }

  /// Other entries cannot wait here for a job that another one holds.
  void DetachOtherEntries(SharedJob& shared, DispatchOutputs& out) {
    for (const Waiter& waiter : std::vector<Waiter>(shared.waiters)) {
      if (waiter.request) continue;
      SendState(waiter.entry, shared.claim.job, AttachedJobState::kUnknown, out);
      ForgetWaiter(shared, waiter.id);
    }
  }

  void SendAttach(const SharedJob& shared, NodeRef holder, Now now, DispatchOutputs& out) const {
    SteadyTime deadline = now.steady;
    for (const Waiter& waiter : shared.waiters) deadline = std::max(deadline, waiter.deadline);
    out.messages.push_back({holder, AttachToJob{shared.claim, Ms(deadline - now.steady), false,
                                                shared.runs.may_have_run()}});
  }

  static void SendState(NodeRef entry, const JobName& job, AttachedJobState state,
                        DispatchOutputs& out) {
    out.messages.push_back({entry, AttachedJobResult{job, state, ErrorKind::kInternal, {}}});
  }

  /// Every answer to a request for a job passes here.
  void Reply(const SharedJob& shared, const Waiter& waiter, const JobAnswered& decided,
             DispatchOutputs& out) {
    JobAnswered answer = shared.runs.Truthful(decided);
    if (answer.end != decided.end) {
      ++m_counters.refusals_of_run_jobs;
      m_log.Record(DecisionClass::kAnomaly, "refusal_withheld", shared.job.id,
                   {{"queue", shared.queue.name}, {"reason", ErrorAnswerOf(decided.reason).name}});
    }
    if (waiter.request) {
      answer.request = *waiter.request;
      m_replies.push_back(answer);
      return;
    }
    out.messages.push_back(
        {waiter.entry, AttachedJobResult{shared.claim.job, StateOf(answer.end), answer.reason,
                                         answer.retry_after.value_or(milliseconds(0))}});
  }

  void ReplyToAll(SharedJob& shared, const JobAnswered& answer, DispatchOutputs& out) {
    for (const Waiter& waiter : std::vector<Waiter>(shared.waiters)) {
      Reply(shared, waiter, answer, out);
      ForgetWaiter(shared, waiter.id);
    }
  }

  /// Answers all requests for a job that does not run at this entry, and forgets it.
  void EndWithoutRun(SharedJob& shared, const JobAnswered& answer, DispatchOutputs& out) {
    ReplyToAll(shared, answer, out);
    shared.holder.reset();
    DropClaim(shared, out);
  }

  /// Called before the dispatcher may forget the job.
  void NoteRuns(SharedJob& shared) const {
    if (m_dispatcher.MayHaveRun(shared.claim.job)) shared.runs.OnRun();
  }

  /// Handles a request that is no longer waiting for its job.
  void RemoveWaiter(RequestId id, Now now, DispatchOutputs& out) {
    const auto found = m_waiter_jobs.find(id);
    if (found == m_waiter_jobs.end()) return;
    SharedJob& shared = m_jobs.at(found->second);
    ForgetWaiter(shared, id);
    if (shared.phase == JobPhase::kRunning) {
      NoteRuns(shared);
      m_dispatcher.OnCallerDisconnected(id, now, out);
      m_unfinished.insert(shared.claim.job);
    } else if (shared.phase == JobPhase::kClaiming && shared.waiters.empty()) {
      DropClaim(shared, out);
    }
  }

  void ForgetWaiter(SharedJob& shared, RequestId id) {
    const auto waiter = std::ranges::find(shared.waiters, id, &Waiter::id);
    if (waiter->request) m_request_waiters.erase(*waiter->request);
    m_waiter_jobs.erase(id);
    shared.waiters.erase(waiter);
  }

  /// Forgets a job that does not run at this entry and for which nobody waits here any more. If a
  /// run that this entry placed before its claim lapsed may be left, the claim is kept until then.
  void DropClaim(SharedJob& shared, DispatchOutputs& out) {
    if (shared.holder) {
      out.messages.push_back(
          {*shared.holder, AttachToJob{shared.claim, milliseconds(0), true, false}});
    }
    shared.phase = JobPhase::kEnding;
    m_unfinished.insert(shared.claim.job);
  }

  /// Releases the claims of the jobs that have ended and of which no run is left.
  void FinishEndedJobs(Now now, DispatchOutputs& out) {
    for (auto next = m_unfinished.begin(); next != m_unfinished.end();) {
      const auto current = next++;
      const auto found = m_jobs.find(*current);
      if (found == m_jobs.end()) {
        m_unfinished.erase(current);
        continue;
      }
      SharedJob& shared = found->second;
      if (shared.phase == JobPhase::kClaiming || m_dispatcher.IsInProgress(*current)) {
        m_unfinished.erase(current);
        continue;
      }
      shared.phase = JobPhase::kEnding;
      if (m_dispatcher.HasWithdrawnOrders(*current)) continue;
      FinishEnded(shared, now, out);
      m_unfinished.erase(current);
    }
  }

  void FinishEnded(SharedJob& shared, Now now, DispatchOutputs& out) {
    const JobName name = shared.claim.job;
    if (!shared.waiters.empty() && shared.outcome == JobOutcome::kNone) {
      // Requested again while its runs were being stopped.
      if (m_claims.IsHeld(name)) {
        Start(shared, now, out);
      } else {
        shared.phase = JobPhase::kClaiming;
        ClaimOutputs claims;
        m_claims.Claim(shared.claim, now, claims);
        Apply(claims, now, out);
      }
      return;
    }
    ReplyToAll(shared, AnswerWith(shared.outcome), out);
    ClaimOutputs claims;
    const bool may_have_run = shared.outcome == JobOutcome::kNone && shared.runs.may_have_run();
    m_claims.Release(name, shared.outcome, may_have_run, now, claims);
    m_job_bytes -= shared.bytes;
    m_jobs.erase(name);
    Apply(claims, now, out);
  }

  EntryDispatcher& m_dispatcher;
  DecisionLog& m_log;
  WitnessView m_witnesses;
  ClaimantCensus m_census;
  JobClaims m_claims;
  std::map<JobName, SharedJob> m_jobs;
  std::map<RequestId, JobName> m_waiter_jobs;
  /// Waiters of this entry's callers, by request.
  std::map<RequestId, RequestId> m_request_waiters;
  /// Jobs that may have ended but have not been released.
  std::set<JobName> m_unfinished;
  /// Answers to requests of this entry's callers.
  std::vector<JobAnswered> m_replies;
  RequestId m_last_waiter = 0;
  const std::size_t m_max_job_bytes;
  std::size_t m_job_bytes = 0;
  std::optional<SteadyTime> m_started_at;
  SharedJobsCounters m_counters;
};

SharedJobs::SharedJobs(NodeRef self, EntryDispatcher& dispatcher, DecisionLog& log,
                       std::size_t max_job_bytes)
    : m_impl(std::make_unique<Impl>(self, dispatcher, log, max_job_bytes)) {}
SharedJobs::~SharedJobs() = default;

void SharedJobs::Submit(RequestId request, const QueuePlan& queue, DispatchJob job,
                        SteadyTime deadline, Now now, DispatchOutputs& out) {
  m_impl->Submit(request, queue, std::move(job), deadline, now, out);
}
void SharedJobs::OnCallerDisconnected(RequestId request, Now now, DispatchOutputs& out) {
  m_impl->OnCallerDisconnected(request, now, out);
}
bool SharedJobs::OnMessage(const Envelope& envelope, Now now, DispatchOutputs& out) {
  return m_impl->OnMessage(envelope, now, out);
}
void SharedJobs::OnSidecarReport(NodeRef sidecar, const WorkerReport& report, Now now,
                                 DispatchOutputs& out) {
  m_impl->OnSidecarReport(sidecar, report, now, out);
}
void SharedJobs::OnEntryReport(NodeRef entry, const EntryReport& report, Now now) {
  m_impl->OnEntryReport(entry, report, now);
}
void SharedJobs::SetLiveEntries(const std::vector<NodeId>& entries) {
  m_impl->SetLiveEntries(entries);
}
void SharedJobs::AddTo(EntryReport& report, NodeId entry, std::uint64_t digest_held_by_receiver,
                       Now now) const {
  m_impl->AddTo(report, entry, digest_held_by_receiver, now);
}
void SharedJobs::AddTo(EntryReport& reply, const WorkerReport& report, Now now) const {
  m_impl->AddTo(reply, report, now);
}
void SharedJobs::BeforeInput(Now now, DispatchOutputs& out) { m_impl->BeforeInput(now, out); }
void SharedJobs::Tick(Now now, DispatchOutputs& out) { m_impl->Tick(now, out); }
void SharedJobs::TranslateAnswers(Now now, DispatchOutputs& out) {
  m_impl->TranslateAnswers(now, out);
}
bool SharedJobs::is_settled() const { return m_impl->is_settled(); }
std::size_t SharedJobs::attached_requests() const { return m_impl->attached_requests(); }
std::size_t SharedJobs::open_claims() const { return m_impl->open_claims(); }
std::size_t SharedJobs::job_bytes() const { return m_impl->job_bytes(); }
const SharedJobsCounters& SharedJobs::counters() const { return m_impl->counters(); }

}  // namespace foxtailrudder
