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

double MillicoreMsOf(const JobStep& step, std::uint32_t tasks) {
  return static_cast<double>(tasks) * step.demand.cpu_millicores *
         static_cast<double>(step.expected_run.count());
}

double MillicoreMsOf(const DispatchJob& job) {
  double work = 0;
  for (const JobStep& step : job.steps) work += MillicoreMsOf(step, step.count);
  return work;
}

double MillicoreMsOf(const WaitingStep& waiting) {
  const JobStep& step = waiting.job->job.steps[waiting.step];
  // Suspects do not compete for the workers that others use.
  const std::vector<TaskProgress>& slots = waiting.job->steps[waiting.step].tasks;
  const auto count = std::ranges::count_if(
      waiting.tasks, [&](std::uint32_t index) { return !slots[index].is_suspect; });
  return MillicoreMsOf(step, static_cast<std::uint32_t>(count));
}

/// Work of the waiting tasks of a service that come before a new job, in millicores x milliseconds.
double MillicoreMsAhead(const WaitingSteps& steps, std::string_view service, const WaitKey& job) {
  double ahead = 0;
  for (const auto& [key, waiting] : steps) {
    if (job < key) break;
    if (waiting.job->queue.service == service) ahead += MillicoreMsOf(waiting);
  }
  return ahead;
}

}  // namespace

void JobAdmission::OnStarted(Now now) {
  if (m_capacity_known_from == SteadyTime()) {
    m_capacity_known_from = now.steady + kStartupGracePeriod;
  }
}

void JobAdmission::NotePause(Now now) {
  if (m_pauses.OnInput(now) == SteadyTime::duration::zero()) return;
  m_capacity_known_from = std::max(m_capacity_known_from, now.steady + kWorkerReportTimeout);
}

std::vector<RefusedJob> JobAdmission::Review(const WaitingSteps& waiting_steps, Now now) {
  NotePause(now);
  std::map<std::string, Backlog, std::less<>> backlogs;
  std::vector<RefusedJob> refused;
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
    backlog.arriving_millicores = MoreUrgentArrivals(job.queue, now);
    // Several steps of one job may be waiting.
    if (std::ranges::find(refused, &job, &RefusedJob::job) != refused.end()) continue;
    const SteadyTime last_useful_start = job.steps[waiting.step].last_useful_start;
    const auto reason = job.may_have_run()
                            ? std::nullopt
                            : ReasonToRefuse(job.queue, job.job, backlog, last_useful_start, now);
    if (reason) {
      refused.push_back(
          {&job, Refuse(*reason, job.queue, job.job, backlog, last_useful_start, now)});
      RecordRefusalOfWaiting(job, refused.back().refusal, last_useful_start, backlog, now);
      continue;
    }
    backlog.millicore_ms += MillicoreMsOf(waiting);
  }
  return refused;
}

std::optional<ErrorKind> JobAdmission::ReasonToRefuse(const QueuePlan& queue,
                                                      const DispatchJob& job,
                                                      const Backlog& backlog,
                                                      SteadyTime last_useful_start, Now now) const {
  if (now.steady > last_useful_start) return ErrorKind::kDeadlineUnreachable;
  // The workers known so far say little about the capacity.
  if (now.steady < m_capacity_known_from) return std::nullopt;
  if (backlog.capacity.workers == 0) return ErrorKind::kNoCapacity;
  const bool can_run = std::ranges::all_of(job.steps, [&](const JobStep& step) {
    return m_workers.CanEverRun(RequirementsOf(queue, step, {}), now);
  });
  if (!can_run) return ErrorKind::kCanNeverRun;
  if (now.steady + ForecastWaitBehind(backlog) > last_useful_start) {
    return ErrorKind::kDeadlineUnreachable;
  }
  return std::nullopt;
}

AdmissionRefusal JobAdmission::Refuse(ErrorKind reason, const QueuePlan& queue,
                                      const DispatchJob& job, const Backlog& backlog,
                                      SteadyTime last_useful_start, Now now) {
  // Nothing tells when it could run.
  if (reason == ErrorKind::kCanNeverRun) return {reason, std::nullopt};
  ReturningJob returning;
  Backlog own = backlog;
  own.millicore_ms = MillicoreMsOf(job);
  returning.own_work = ForecastWaitBehind(own);
  // A worker that comes back reports within a presence period.
  returning.late_by = reason == ErrorKind::kNoCapacity
                          ? kPresencePeriod
                          : ForecastWaitBehind(backlog) + Ms(now.steady - last_useful_start);
  return {reason, m_returns.Add(queue.service, returning, now.steady)};
}

milliseconds JobAdmission::ForecastWaitBehind(const Backlog& backlog) {
  return ForecastWait({backlog.millicore_ms, static_cast<double>(backlog.capacity.total),
                       backlog.own_share, backlog.arriving_millicores});
}

JobAdmission::Backlog JobAdmission::BacklogOf(const std::string& service, Now now) const {
  const auto share = m_own_shares.find(service);
  return {m_workers.CapacityOf(service, now),
          share == m_own_shares.end() ? 1 : share->second.value(), 0, 0};
}

double JobAdmission::MoreUrgentArrivals(const QueuePlan& queue, Now now) const {
  const auto rates = m_arrivals.find(queue.service);
  if (rates == m_arrivals.end()) return 0;
  double millicores = 0;
  for (const auto& [priority, rate] : rates->second) {
    if (priority >= queue.priority) break;
    millicores += rate.millicores(now.steady);
  }
  return millicores;
}

void JobAdmission::OnTaken(const QueuePlan& queue, const DispatchJob& job, Now now) {
  m_arrivals[queue.service][queue.priority].Add(MillicoreMsOf(job), now.steady);
}

void JobAdmission::RecordRefusalOfWaiting(const JobState& job, const AdmissionRefusal& refusal,
                                          SteadyTime last_useful_start, const Backlog& backlog,
                                          Now now) {
  m_log.Record(DecisionClass::kAnomaly, "job_hopeless", job.job.id,
               {{"reason", ErrorAnswerOf(refusal.reason).name},
                {"queue", job.queue.name},
                {"waited_ms", Ms(now.steady - job.submitted_at).count()},
                {"wait_ms", ForecastWaitBehind(backlog).count()},
                {"ahead_core_ms", static_cast<std::int64_t>(backlog.millicore_ms / 1'000)},
                {"left_ms", Ms(last_useful_start - now.steady).count()},
                {"deadline_ms", Ms(job.LastDeadline() - now.steady).count()},
                {"retry_after_ms", refusal.retry_after.value_or(milliseconds(0)).count()},
                {"workers", static_cast<std::int64_t>(backlog.capacity.workers)},
                {"capacity", static_cast<std::int64_t>(backlog.capacity.total)},
                {"committed", static_cast<std::int64_t>(backlog.capacity.committed)}});
}

std::optional<AdmissionRefusal> JobAdmission::CheckArrival(const QueuePlan& queue,
                                                           const DispatchJob& job,
                                                           const JobTimes& times,
                                                           const WaitingSteps& waiting, Now now) {
  NotePause(now);
  const SteadyTime useful_until = times.deadline - ReceiveDelayOfRequests();
  const SteadyTime latest_start = useful_until - times.critical_path;
  const SteadyTime last_useful_start = useful_until - times.trusted_critical_path;
  const WaitKey key{queue.priority, latest_start, UINT64_MAX, 0};
  Backlog backlog = BacklogOf(queue.service, now);
  backlog.millicore_ms = MillicoreMsAhead(waiting, queue.service, key);
  backlog.arriving_millicores = MoreUrgentArrivals(queue, now);
  const auto reason = ReasonToRefuse(queue, job, backlog, last_useful_start, now);
  if (!reason) return std::nullopt;
  const AdmissionRefusal refusal = Refuse(*reason, queue, job, backlog, last_useful_start, now);
  m_log.Record(DecisionClass::kAnomaly, "job_refused", job.id,
               {{"reason", ErrorAnswerOf(*reason).name},
                {"queue", queue.name},
                {"plan", static_cast<std::int64_t>(m_plan_version)},
                {"wait_ms", ForecastWaitBehind(backlog).count()},
                {"ahead_core_ms", static_cast<std::int64_t>(backlog.millicore_ms / 1'000)},
                {"receive_delay_ms", m_receive_delay.estimate().count()},
                {"expected_ms", times.critical_path.count()},
                {"trusted_ms", times.trusted_critical_path.count()},
                {"deadline_ms", Ms(times.deadline - now.steady).count()},
                {"retry_after_ms", refusal.retry_after.value_or(milliseconds(0)).count()},
                {"workers", static_cast<std::int64_t>(backlog.capacity.workers)},
                {"capacity", static_cast<std::int64_t>(backlog.capacity.total)},
                {"committed", static_cast<std::int64_t>(backlog.capacity.committed)}});
  return refusal;
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
