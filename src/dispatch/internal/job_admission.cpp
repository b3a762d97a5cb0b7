#include "dispatch/internal/job_admission.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "dispatch/internal/admission_forecast.h"
#include "dispatch/internal/milliseconds.h"
#include "dispatch/timing.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// Period of Tick; a decision may be late by this much.
constexpr milliseconds kTickPeriod{20};

double MillicoreMsOf(const WaitingStep& waiting) {
  const JobStep& step = waiting.job->job.steps[waiting.step];
  // Suspects do not compete for the workers that others use.
  const std::vector<TaskProgress>& slots = waiting.job->steps[waiting.step].tasks;
  const auto count = std::ranges::count_if(
      waiting.tasks, [&](std::uint32_t index) { return !slots[index].is_suspect; });
  return static_cast<double>(count) * step.demand.cpu_millicores *
         static_cast<double>(step.expected_run.count());
}

/// Work of the waiting tasks of a service that come before a new job, in millicores x milliseconds.
double MillicoreMsAhead(const WaitingSteps& steps, std::string_view service, const WaitKey& job) {
  double ahead = 0;
  for (const auto& [key, waiting] : steps) {
    if (key > job) break;
    if (waiting.job->queue.service == service) ahead += MillicoreMsOf(waiting);
  }
  return ahead;
}

}  // namespace

void JobAdmission::OnStarted(Now now) {
  if (m_started_at == SteadyTime()) m_started_at = now.steady;
}

std::vector<JobState*> JobAdmission::Review(const WaitingSteps& waiting_steps, Now now) {
  std::map<std::string, Backlog, std::less<>> backlogs;
  std::vector<JobState*> refused;
  for (const auto& [key, waiting] : waiting_steps) {
    JobState& job = *waiting.job;
    auto [found, is_new] = backlogs.try_emplace(job.queue.service);
    Backlog& backlog = found->second;
    if (is_new) {
      backlog = BacklogOf(job.queue.service, now);
      m_own_shares[job.queue.service].Update(static_cast<double>(backlog.capacity.own),
                                             static_cast<double>(backlog.capacity.committed),
                                             now.steady);
    }
    // Several steps of one job may be waiting.
    if (std::ranges::find(refused, &job) != refused.end()) continue;
    const SteadyTime last_useful_start = job.steps[waiting.step].last_useful_start;
    if (!job.may_have_run() && IsHopeless(backlog, last_useful_start, now)) {
      refused.push_back(&job);
      RecordRefusalOfWaiting(job, last_useful_start, backlog, now);
      continue;
    }
    backlog.millicore_ms += MillicoreMsOf(waiting);
  }
  return refused;
}

bool JobAdmission::IsHopeless(const Backlog& backlog, SteadyTime last_useful_start, Now now) const {
  if (now.steady > last_useful_start) return true;
  // The workers known so far say little about the capacity.
  if (IsStarting(now)) return false;
  if (backlog.capacity.workers == 0) return true;
  return now.steady + ForecastWaitBehind(backlog) > last_useful_start;
}

milliseconds JobAdmission::ForecastWaitBehind(const Backlog& backlog) {
  return ForecastWait(
      {backlog.millicore_ms, static_cast<double>(backlog.capacity.total), backlog.own_share});
}

JobAdmission::Backlog JobAdmission::BacklogOf(const std::string& service, Now now) const {
  const auto share = m_own_shares.find(service);
  return {m_workers.CapacityOf(service, now),
          share == m_own_shares.end() ? 1 : share->second.value(), 0};
}

void JobAdmission::RecordRefusalOfWaiting(const JobState& job, SteadyTime last_useful_start,
                                          const Backlog& backlog, Now now) {
  m_log.Record(DecisionClass::kAnomaly, "job_hopeless", job.job.id,
               {{"queue", job.queue.name},
                {"waited_ms", Ms(now.steady - job.submitted_at).count()},
                {"wait_ms", ForecastWaitBehind(backlog).count()},
                {"left_ms", Ms(last_useful_start - now.steady).count()},
                {"deadline_ms", Ms(job.LastDeadline() - now.steady).count()},
                {"workers", static_cast<std::int64_t>(backlog.capacity.workers)},
                {"capacity", static_cast<std::int64_t>(backlog.capacity.total)},
                {"committed", static_cast<std::int64_t>(backlog.capacity.committed)}});
}

std::optional<AdmissionRefusal> JobAdmission::CheckArrival(const QueuePlan& queue,
                                                           const DispatchJob& job,
                                                           const JobTimes& times,
                                                           const WaitingSteps& waiting, Now now) {
  std::optional<ErrorKind> reason;
  milliseconds retry_after = kDefaultRetryAfter;
  const SteadyTime latest_start = times.deadline - times.critical_path;
  const WaitKey key{queue.priority, latest_start, UINT64_MAX, 0};
  Backlog backlog = BacklogOf(queue.service, now);
  backlog.millicore_ms = MillicoreMsAhead(waiting, queue.service, key);
  const milliseconds wait = ForecastWaitBehind(backlog) + ReceiveDelayOfRequests();
  if (IsHopeless(backlog, latest_start - ReceiveDelayOfRequests(), now)) {
    reason = ErrorKind::kDeadlineUnreachable;
    retry_after = std::max(kDefaultRetryAfter, wait);
  }
  if (backlog.capacity.workers > 0) {
    for (const JobStep& step : job.steps) {
      if (!m_workers.CanEverRun(RequirementsOf(queue, step, {}), now))
        reason = ErrorKind::kCanNeverRun;
    }
  } else if (!IsStarting(now)) {
    reason = ErrorKind::kNoCapacity;
  }
  if (!reason) return std::nullopt;
  m_log.Record(DecisionClass::kAnomaly, "job_refused", job.id,
               {{"reason", ErrorAnswerOf(*reason).name},
                {"queue", queue.name},
                {"plan", static_cast<std::int64_t>(m_plan_version)},
                {"wait_ms", wait.count()},
                {"receive_delay_ms", m_receive_delay.estimate().count()},
                {"expected_ms", times.critical_path.count()},
                {"deadline_ms", Ms(times.deadline - now.steady).count()},
                {"workers", static_cast<std::int64_t>(backlog.capacity.workers)},
                {"capacity", static_cast<std::int64_t>(backlog.capacity.total)},
                {"committed", static_cast<std::int64_t>(backlog.capacity.committed)}});
  return AdmissionRefusal{*reason, retry_after};
}

/// How long a request has waited before it was handled, and how long the messages about it will:
/// about as long as other messages. Differences within a tick are not taken for a queue.
milliseconds JobAdmission::ReceiveDelayOfRequests() const {
  return std::max(milliseconds(0), m_receive_delay.estimate() - kTickPeriod);
}

TaskRequirements RequirementsOf(const QueuePlan& queue, const JobStep& step, NodeId avoid) {
  TaskRequirements requirements;
  requirements.service = queue.service;
  requirements.required_label = step.required_label;
  requirements.preferred_rack = step.preferred_rack;
  requirements.demand = step.demand;
  requirements.expected_run = step.expected_run;
  requirements.avoid = avoid;
  return requirements;
}

}  // namespace foxtailrudder
