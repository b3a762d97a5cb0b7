#include "coordination/internal/coordinator_impl.h"

namespace foxtailrudder {
namespace {

// Time after the job's deadline at which executors of unanswered dispatches are queried.
constexpr std::chrono::milliseconds kQueryDelayAfterDeadline{2'000};
// Delay before a timer event that needs a decide permit is handled again.
constexpr std::chrono::milliseconds kNoPermitRetryDelay{50};

}  // namespace

void Coordinator::Impl::EndJobIfDone(Claim& claim, Input& in) {
  if (claim.phase != JobPhase::kActive) return;
  const bool all_finished = !claim.tasks.empty() && claim.finished == claim.tasks.size();
  if (!claim.failure && !claim.cancelled && !all_finished) return;
  if (!m_ownership.IsDeciding(claim.shard)) return;
  if (!in.may_decide) {
    m_jobs_awaiting_permit.push_back(claim.id);
    return;
  }
  if (all_finished) {
    JobComplete complete;
    complete.results.reserve(claim.tasks.size());
    for (TaskSlot& task : claim.tasks) {
      complete.results.push_back(std::get<TaskResult>(std::move(*task.outcome)));
    }
    EndJob(claim, JobEvent::kComplete, std::move(complete), in);
  } else if (claim.failure) {
    FailJob(claim, *claim.failure, in);
  } else if (claim.MayHaveRun()) {
    FailJob(claim, {ErrorKind::kCancelled, {}}, in);
  } else {
    EndJob(claim, JobEvent::kRefuse, Error{ErrorKind::kCancelledBeforeStart, {}}, in);
  }
}

void Coordinator::Impl::FailJob(Claim& claim, Error error, Input& in) {
  EndJob(claim, JobEvent::kFail, std::move(error), in);
}

void Coordinator::Impl::EndJob(Claim& claim, JobEvent event, JobAnswer answer, Input& in) {
  if (!FireJob(claim.phase, event)) return CountIgnored();
  m_counters->Add(event == JobEvent::kComplete ? CounterId::kJobsComplete : CounterId::kJobsFailed);
  DropQueued(claim);
  for (std::uint32_t index = 0; index < claim.tasks.size(); ++index) {
    TaskSlot& task = claim.tasks[index];
    task.outcome.reset();
    if (IsOpen(task.phase)) {
      in.out.Send(task.executor, CancelTask{{claim.job.key, index}, task.sequence});
    }
  }
  for (TaskSpec& task : claim.job.tasks) {
    task.payload.clear();
    task.payload.shrink_to_fit();
  }
  claim.answer = std::move(answer);
  for (const SubmissionId& submission : claim.waiting) {
    if (!in.view.table.Lists(submission.entry)) continue;
    Reply(submission.entry, claim.job.key, submission, *claim.answer, in);
  }
  if (event == JobEvent::kRefuse) {
    claim.refusal = std::get<Error>(*claim.answer);
    claim.refused.insert(claim.refused.end(), claim.waiting.begin(), claim.waiting.end());
  }
  claim.waiting.clear();
  const WallTime keep_until = claim.job.deadline + in.view.bundle.limits.retention;
  const WallTime query_at = claim.job.deadline + kQueryDelayAfterDeadline;
  m_claims.SetNextEvent(claim, claim.open > 0 ? query_at : keep_until);
}

void Coordinator::Impl::OnClaimEvent(Claim& claim, Input& in) {
  const WallTime keep_until = claim.job.deadline + in.view.bundle.limits.retention;
  if (in.now.wall >= keep_until &&
      (claim.answer || claim.phase == JobPhase::kDormant || !m_ownership.IsDeciding(claim.shard))) {
    DropQueued(claim);
    m_claims.Erase(claim);
    return;
  }
  if (claim.phase == JobPhase::kActive) {
    if (!m_ownership.IsDeciding(claim.shard) || !in.may_decide) {
      m_claims.SetNextEvent(claim, in.now.wall + kNoPermitRetryDelay);
    } else if (claim.MayHaveRun()) {
      FailJob(claim, {ErrorKind::kDeadlineExceeded, {}}, in);
    } else {
      EndJob(claim, JobEvent::kRefuse, Error{ErrorKind::kNotStartedInTime, {}}, in);
    }
    return;
  }
  m_claims.SetNextEvent(claim, keep_until);
  for (std::uint32_t index = 0; index < claim.tasks.size(); ++index) {
    if (claim.tasks[index].phase == TaskPhase::kDispatched) Query(claim, index, in);
  }
}

}  // namespace foxtailrudder
