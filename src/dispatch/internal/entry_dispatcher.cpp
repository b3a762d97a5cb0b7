#include "dispatch/entry_dispatcher.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "dispatch/internal/crash_ledger.h"
#include "dispatch/internal/job_admission.h"
#include "dispatch/internal/job_state.h"
#include "dispatch/internal/milliseconds.h"
#include "dispatch/internal/receive_delay.h"
#include "dispatch/internal/run_time_history.h"
#include "dispatch/internal/worker_table.h"
#include "dispatch/timing.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// A placement whose capacity was taken by another entry's placement is returned after this time,
/// about a round trip, so that the task can go to another worker.
constexpr milliseconds kPlacementExpiry{5};

/// A placement younger than this may still be in transit or queued at its worker.
constexpr milliseconds kMaxQueuedOrderAge{40};

/// A worker is removed after this long without contact.
constexpr milliseconds kWorkerRetention{30'000};

std::string_view NameOf(TaskEnd end) {
  switch (end) {
    case TaskEnd::kDone:
      return "done";
    case TaskEnd::kFailed:
      return "failed";
    case TaskEnd::kStopped:
      return "stopped";
    case TaskEnd::kLost:
      return "lost";
    case TaskEnd::kStalled:
      return "stalled";
    case TaskEnd::kCrashed:
      return "crashed";
    case TaskEnd::kNotRun:
      break;
  }
  return "not_run";
}

}  // namespace

class EntryDispatcher::Impl {
 public:
  Impl(NodeRef self, DecisionLog& log, double remote_rack_factor)
      : m_log(log),
        m_workers(self, remote_rack_factor),
        m_admission(m_workers, m_receive_delay, log) {}

  void Submit(RequestId request, const QueuePlan& queue, DispatchJob job, SteadyTime deadline,
              Now now, DispatchOutputs& out) {
    m_admission.OnStarted(now);
    ++m_counters.submitted;
    const JobName name{queue.address(), job.id};
    if (Attach(name, request, deadline)) return;
    std::vector<StepState> steps = PlanSteps(queue, job, Ms(deadline - now.steady), now);
    const milliseconds critical_path = CriticalPath(job.steps);
    const milliseconds objective =
        milliseconds(
            static_cast<std::int64_t>(queue.stretch * static_cast<double>(critical_path.count()))) +
        queue.target_latency;
    if (const auto guilty = FindGuilty(name, job)) {
      ++m_counters.submitted_guilty;
      ++m_counters.failed;
      RecordGivenUp(*guilty);
      out.answers.push_back({request, JobEnd::kFailed, ErrorKind::kTaskFailed, std::nullopt});
      return;
    }
    const SteadyTime received_at = job.received_at.value_or(now.steady);
    const JobTimes times{critical_path, TrustedCriticalPath(job.steps, steps), deadline};
    if (const auto refusal = m_admission.CheckArrival(queue, job, times, m_waiting, now)) {
      ++m_counters.refused;
      out.answers.push_back({request, JobEnd::kRefused, refusal->reason, refusal->retry_after});
      return;
    }

    m_admission.OnTaken(queue, job, now);
    JobState& state = m_jobs[name];
    state.name = name;
    state.sequence = ++m_last_sequence;
    state.queue = queue;
    state.requests.emplace(request, deadline);
    state.submitted_at = received_at;
    state.objective_end = received_at + objective;
    state.job = std::move(job);
    state.steps = std::move(steps);
    state.SetStartTimes();
    m_request_jobs[request] = name;
    MarkSuspects(state);
    m_log.Record(DecisionClass::kRoutine, "job_taken", state.job.id,
                 {{"queue", state.queue.name},
                  {"priority", static_cast<std::int64_t>(state.queue.priority)},
                  {"plan", static_cast<std::int64_t>(m_plan_version)},
                  {"tasks", static_cast<std::int64_t>(state.job.steps[0].count)},
                  {"expected_ms", critical_path.count()},
                  {"deadline_ms", Ms(deadline - now.steady).count()}});
    ReleaseSteps(state);
    Dispatch(now, out);
  }

  void OnCallerDisconnected(RequestId request, Now now, DispatchOutputs& out) {
    const auto found = m_request_jobs.find(request);
    if (found == m_request_jobs.end()) return;
    const JobName name = found->second;
    m_request_jobs.erase(found);
    JobState& job = m_jobs.at(name);
    job.requests.erase(request);
    if (!job.requests.empty()) {
      UpdateStartTimes(job);
      return;
    }
    ++m_counters.callers_gone;
    m_log.Record(
        DecisionClass::kAnomaly, "caller_gone", job.job.id,
        {{"queue", job.queue.name}, {"after_ms", Ms(now.steady - job.submitted_at).count()}});
    EndJob(job, now, out);
    Dispatch(now, out);
  }

  bool Attach(const JobName& name, RequestId request, SteadyTime deadline) {
    const auto found = m_jobs.find(name);
    if (found == m_jobs.end()) return false;
    JobState& job = found->second;
    const auto [waiting, is_new] = job.requests.insert_or_assign(request, deadline);
    UpdateStartTimes(job);
    if (!is_new) return true;
    ++m_counters.joined;
    m_request_jobs[request] = name;
    m_log.Record(DecisionClass::kAnomaly, "job_joined", name.id, {{"queue", job.queue.name}});
    return true;
  }

  bool IsInProgress(const JobName& name) const { return m_jobs.contains(name); }
  bool MayHaveRun(const JobName& name) const {
    const auto found = m_jobs.find(name);
    return found != m_jobs.end() && found->second.may_have_run();
  }

  milliseconds TrustedRun(const QueuePlan& queue, DispatchJob job, milliseconds time_budget,
                          Now now) const {
    const std::vector<StepState> steps = PlanSteps(queue, job, time_budget, now);
    const milliseconds path = TrustedCriticalPath(job.steps, steps);
    const bool is_known = std::ranges::all_of(
        steps, [](const StepState& step) { return step.known_run_time.has_value(); });
    return is_known || path < time_budget ? path : milliseconds(0);
  }

  bool HasWithdrawnOrders(const JobName& name) const { return m_withdrawn_orders.contains(name); }

  void Suspend(const JobName& name, Now now, DispatchOutputs& out) {
    const auto found = m_jobs.find(name);
    if (found == m_jobs.end() || std::exchange(found->second.is_suspended, true)) return;
    JobState& job = found->second;
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
      m_waiting.erase(KeyOf(job, i));
      for (TaskProgress& task : job.steps[i].tasks) {
        if (task.state == SlotState::kWaiting) task.state = SlotState::kBlocked;
      }
    }
    WithdrawPlaced(job, now, out);
  }

  void Resume(const JobName& name, Now now, DispatchOutputs& out) {
    const auto found = m_jobs.find(name);
    if (found == m_jobs.end() || !std::exchange(found->second.is_suspended, false)) return;
    JobState& job = found->second;
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
      if (!job.steps[i].released) continue;
      for (std::uint32_t index = 0; index < job.steps[i].tasks.size(); ++index) {
        if (job.steps[i].tasks[index].state == SlotState::kBlocked) AddToWaiting(job, i, index);
      }
    }
    Dispatch(now, out);
  }

  void Abandon(const JobName& name, Now now, DispatchOutputs& out) {
    const auto found = m_jobs.find(name);
    if (found == m_jobs.end()) return;
    for (const auto& [request, deadline] : found->second.requests) m_request_jobs.erase(request);
    EndJob(found->second, now, out);
  }

  void SetPlan(const DispatchPlan& plan, Now now, DispatchOutputs& out) {
    m_plan_version = plan.version;
    m_admission.SetPlanVersion(plan.version);
    m_workers.SetEvacuated(plan.evacuated_zones);
    // Tasks that are queued at a worker of an evacuated zone are placed elsewhere.
    for (auto& [id, worker] : m_workers.workers()) {
      if (m_workers.IsEvacuated(worker.report.zone)) WithdrawQueued(worker, now, out);
    }
    Dispatch(now, out);
  }

  void SetEntries(std::vector<NodeId> entries) {
    const auto count = static_cast<std::int64_t>(entries.size());
    if (!m_workers.SetEntries(std::move(entries))) return;
    m_log.Record(DecisionClass::kStateChange, "workers_shared", {}, {{"entries", count}});
  }

  void OnWorkerReport(NodeRef sidecar, const WorkerReport& report, Now now, DispatchOutputs& out) {
    m_admission.OnStarted(now);
    WorkerRecord* known = m_workers.Find(sidecar.id);
    if (known != nullptr && known->sidecar != sidecar) {
      // A new incarnation of the sidecar. It reports when all runs of the previous incarnation have
      // ended.
      if (!report.earlier_runs_ended) return;
      LoseOrders(*known, "sidecar_restarted", now);
      m_workers.Remove(sidecar.id);
      known = nullptr;
    }
    // Overtaken on a later connection: it lists neither the orders nor the state since then.
    if (known != nullptr && report.sent_at < known->report.sent_at) return;
    if (known == nullptr) {
      if (!report.earlier_runs_ended) return;
      m_log.Record(DecisionClass::kStateChange, "worker_found", {},
                   {{"worker", report.worker},
                    {"zone", report.zone},
                    {"cpu", static_cast<std::int64_t>(report.capacity.cpu_millicores)}});
    }
    WorkerRecord& worker = known != nullptr ? *known : m_workers.Open(sidecar);
    if (known != nullptr && worker.report.accepting != report.accepting) {
      m_log.Record(DecisionClass::kStateChange,
                   report.accepting ? "worker_accepts" : "worker_leaves", {},
                   {{"worker", report.worker}, {"zone", report.zone}});
    }
    m_receive_delay.OnMessage(sidecar, report.sent_at, now);
    m_workers.UpdateReport(worker, report, now);
    Reconcile(worker, report.held, now, out);
    m_workers.Refresh(now);
    RequestReports(out);
    Dispatch(now, out);
  }

  void OnTaskReports(NodeRef sidecar, const TaskReports& reports, Now now, DispatchOutputs& out) {
    WorkerRecord* worker = m_workers.Find(sidecar.id);
    if (worker == nullptr || worker->sidecar != sidecar) return;
    m_workers.UpdateLoad(*worker, reports.load, now);
    worker->received_ends.SkipTo(reports.acknowledged);
    for (const TaskReport& report : reports.reports) {
      ++m_counters.task_reports;
      if (!worker->received_ends.Receive(report.sequence)) ++m_counters.task_reports_repeated;
      OnTaskEnded(*worker, report, now, out);
    }
    Dispatch(now, out);
  }

  void OnEndpointCrash(const EndpointCrash& crash, Now now, DispatchOutputs& out) {
    if (const std::size_t left_out = m_crashes.Add(crash, now); left_out > 0) {
      m_log.Record(DecisionClass::kStateChange, "suspects_left_out", {},
                   {{"suspects", static_cast<std::int64_t>(left_out)},
                    {"remembered", static_cast<std::int64_t>(m_crashes.size())}});
    }
    std::vector<JobName> guilty;
    for (auto& [key, job] : m_jobs) {
      if (!IsNamed(crash, job.name)) continue;
      if (const auto task = FindGuilty(job.name, job.job)) {
        RecordGivenUp(*task);
        guilty.push_back(key);
      } else {
        MarkSuspects(job);
      }
    }
    for (const JobName& key : guilty) {
      Answer(m_jobs.at(key), JobEnd::kFailed, ErrorKind::kTaskFailed, now, out);
    }
    Dispatch(now, out);
  }

  void Tick(Now now, DispatchOutputs& out) {
    m_crashes.Expire(now);
    m_run_times.Expire(now);
    m_receive_delay.Refresh(now);
    for (auto worker = m_workers.workers().begin(); worker != m_workers.workers().end();) {
      WorkerRecord& record = worker->second;
      const auto silence = now.steady - record.last_contact_at;
      if (silence > kRunsEndedAfterSilence && !record.orders.empty()) {
        LoseOrders(record, "worker_silent", now);
      }
      ++worker;
      if (silence > kWorkerRetention) {
        m_log.Record(DecisionClass::kStateChange, "worker_forgotten", {},
                     {{"worker", record.report.worker}});
        m_receive_delay.Forget(record.sidecar.id);
        m_workers.Remove(record.sidecar.id);
      }
    }
    m_workers.Refresh(now);
    RequestReports(out);
    for (const auto& [job, refusal] : m_admission.Review(m_waiting, now)) {
      Answer(*job, JobEnd::kRefused, refusal.reason, now, out, refusal.retry_after);
    }
    std::vector<JobName> ended;
    for (auto& [key, job] : m_jobs) {
      if (now.steady >= job.LastDeadline()) {
        ended.push_back(key);
      } else {
        AnswerExpiredRequests(job, now, out);
      }
    }
    for (const JobName& key : ended) EndLateJob(m_jobs.at(key), now, out);
    Dispatch(now, out);
  }

  bool WantsReports(NodeRef sidecar) const {
    const WorkerRecord* worker = m_workers.Find(sidecar.id);
    return worker != nullptr && worker->sidecar == sidecar &&
           (worker->is_wanted || !worker->orders.empty());
  }

  std::uint64_t ReportsSeen(NodeRef sidecar) const {
    const WorkerRecord* worker = m_workers.Find(sidecar.id);
    return worker != nullptr && worker->sidecar == sidecar ? worker->received_ends.acknowledged()
                                                           : 0;
  }

  milliseconds receive_delay() const { return m_receive_delay.estimate(); }

  /// While messages wait here, load updates wait too, and most of them are outdated when they are
  /// handled.
  milliseconds load_interval() const { return std::min(kReportPeriod, 2 * receive_delay()); }

  std::uint32_t usable_workers(Now now) const { return m_workers.usable_workers(now); }
  std::uint32_t present_workers(Now now) const { return m_workers.present_workers(now); }
  std::size_t open_jobs() const { return m_jobs.size(); }
  std::size_t waiting_tasks() const {
    std::size_t count = 0;
    for (const auto& [key, waiting] : m_waiting) count += waiting.tasks.size();
    return count;
  }
  std::size_t waiting_jobs(std::string_view queue) const {
    return static_cast<std::size_t>(std::ranges::count_if(m_jobs, [queue](const auto& job) {
      return job.first.queue == queue && !job.second.may_have_run();
    }));
  }
  const EntryDispatcherCounters& counters() const { return m_counters; }

 private:
  static bool IsNamed(const EndpointCrash& crash, const JobName& job) {
    return std::ranges::any_of(crash.suspects,
                               [&job](const TaskName& task) { return task.job == job; });
  }

  /// A task of the job that crashes the endpoints that start it, if one is known.
  std::optional<TaskName> FindGuilty(const JobName& name, const DispatchJob& job) const {
    if (m_crashes.size() == 0) return std::nullopt;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
      for (std::uint32_t index = 0; index < job.steps[step].count; ++index) {
        TaskName task{name, step, index};
        if (m_crashes.VerdictOn(task) == CrashVerdict::kGuilty) return task;
      }
    }
    return std::nullopt;
  }

  void RecordGivenUp(const TaskName& task) {
    ++m_counters.tasks_given_up;
    m_log.Record(DecisionClass::kStateChange, "task_given_up", task.job.id,
                 {{"queue", task.job.queue},
                  {"step", static_cast<std::int64_t>(task.step)},
                  {"index", static_cast<std::int64_t>(task.index)},
                  {"crashes", static_cast<std::int64_t>(m_crashes.CrashesOf(task))}});
  }

  void MarkSuspects(JobState& job) const {
    if (m_crashes.size() == 0) return;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
      std::vector<TaskProgress>& tasks = job.steps[step].tasks;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        tasks[index].is_suspect |=
            m_crashes.VerdictOn({job.name, step, index}) != CrashVerdict::kClear;
      }
    }
  }

  void ClearSuspect(const TaskName& task) {
    if (!m_crashes.Clear(task)) return;
    ++m_counters.suspects_cleared;
    m_log.Record(DecisionClass::kStateChange, "suspect_cleared", task.job.id,
                 {{"queue", task.job.queue},
                  {"step", static_cast<std::int64_t>(task.step)},
                  {"index", static_cast<std::int64_t>(task.index)}});
  }

  /// Creates the states of a job's steps, and corrects its expected run times by what is known of
  /// such tasks. The caller waits for the job for `time_budget`.
  std::vector<StepState> PlanSteps(const QueuePlan& queue, DispatchJob& job,
                                   milliseconds time_budget, Now now) const {
    std::vector<StepState> steps(job.steps.size());
    for (std::uint32_t i = 0; i < steps.size(); ++i) {
      JobStep& planned = job.steps[i];
      StepState& step = steps[i];
      step.tasks.resize(planned.count);
      step.estimate = planned.expected_run;
      step.known_run_time = m_run_times.Find(queue.address(), i, step.estimate, now);
      if (step.known_run_time) planned.expected_run = step.known_run_time->expected;
    }
    // The caller would not wait for less than its own estimate, so one that is not confirmed by
    // other runs makes no job hopeless. The job starts at once, or not at all.
    const milliseconds expected_path = CriticalPath(job.steps);
    const double share =
        expected_path > time_budget
            ? static_cast<double>(time_budget.count()) / static_cast<double>(expected_path.count())
            : 1.0;
    for (std::uint32_t i = 0; i < steps.size(); ++i) {
      const milliseconds expected = job.steps[i].expected_run;
      steps[i].trusted_run = steps[i].known_run_time ? expected : Scaled(expected, share);
    }
    return steps;
  }

  void ReleaseSteps(JobState& job) {
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
      StepState& step = job.steps[i];
      if (step.released) continue;
      const auto& after = job.job.steps[i].after;
      const bool ready = std::ranges::all_of(after, [&](std::uint32_t before) {
        return job.steps[before].done == job.steps[before].tasks.size();
      });
      if (!ready) continue;
      step.released = true;
      for (std::uint32_t index = 0; index < step.tasks.size(); ++index) AddToWaiting(job, i, index);
    }
  }

  void AddToWaiting(JobState& job, std::uint32_t step, std::uint32_t index) {
    if (job.is_suspended) {
      job.steps[step].tasks[index].state = SlotState::kBlocked;
      return;
    }
    job.steps[step].tasks[index].state = SlotState::kWaiting;
    WaitingStep& waiting = m_waiting[KeyOf(job, step)];
    waiting.job = &job;
    waiting.step = step;
    waiting.tasks.push_back(index);
  }

  /// Places waiting tasks in their order while there is free capacity.
  void Dispatch(Now now, DispatchOutputs& out) {
    /// Service and required label for which there is none.
    std::set<std::pair<std::string, std::string>> full_kinds;
    for (auto next = m_waiting.begin(); next != m_waiting.end();) {
      WaitingStep& waiting = next->second;
      const JobStep& step = waiting.job->job.steps[waiting.step];
      std::pair<std::string, std::string> kind(waiting.job->queue.service, step.required_label);
      if (!full_kinds.contains(kind) && !Place(waiting, now, out))
        full_kinds.insert(std::move(kind));
      next = waiting.tasks.empty() ? m_waiting.erase(next) : std::next(next);
    }
  }

  void RequestReports(DispatchOutputs& out) {
    for (const NodeRef sidecar : m_workers.TakeNewlyWanted())
      out.report_requests.push_back(sidecar);
  }

  /// Called when no wanted worker has free capacity for a task: asks some that may have for their
  /// reports, after which they can be used.
  void BorrowWorkers(const TaskRequirements& requirements, Now now, DispatchOutputs& out) {
    const std::uint32_t borrowed = m_workers.Borrow(requirements, now);
    if (borrowed == 0) return;
    m_counters.workers_borrowed += borrowed;
    m_log.Record(DecisionClass::kStateChange, "workers_borrowed", {},
                 {{"workers", static_cast<std::int64_t>(borrowed)},
                  {"present", static_cast<std::int64_t>(m_workers.present_workers(now))},
                  {"usable", static_cast<std::int64_t>(m_workers.usable_workers(now))}});
    RequestReports(out);
  }

  /// Called when the callers of a job have changed.
  void UpdateStartTimes(JobState& job) {
    std::vector<WaitingSteps::node_type> waiting;
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
      if (auto step = m_waiting.extract(KeyOf(job, i))) waiting.push_back(std::move(step));
    }
    job.SetStartTimes();
    for (WaitingSteps::node_type& step : waiting) {
      step.key() = KeyOf(job, step.mapped().step);
      m_waiting.insert(std::move(step));
    }
  }

  /// Answers the callers of a job whose deadline has passed while others still wait. The job may
  /// run for those, so it cannot be reported as not run.
  void AnswerExpiredRequests(JobState& job, Now now, DispatchOutputs& out) {
    const std::size_t expired = std::erase_if(job.requests, [&](const auto& entry) {
      const auto& [request, deadline] = entry;
      if (now.steady < deadline) return false;
      out.answers.push_back(
          {request, JobEnd::kGivenUp, ErrorKind::kDeadlineExceeded, std::nullopt});
      m_request_jobs.erase(request);
      return true;
    });
    if (expired == 0) return;
    m_log.Record(DecisionClass::kAnomaly, "callers_out_of_time", job.job.id,
                 {{"queue", job.queue.name},
                  {"callers", static_cast<std::int64_t>(expired)},
                  {"waiting", static_cast<std::int64_t>(job.requests.size())}});
    UpdateStartTimes(job);
  }

  /// Whether the job fails if the next attempt of the task does, although an earlier one failed
  /// where another worker may not.
  static bool NeedsProvenWorker(const JobState& job, const TaskProgress& task) {
    return task.failures > 0 && task.failures + 1 >= job.queue.max_attempts;
  }

  std::optional<NodeId> ChooseWorker(JobState& job, std::uint32_t step, TaskProgress& task,
                                     TaskRequirements requirements, Now now) {
    const StepState& state = job.steps[step];
    const std::uint32_t max_per_worker = job.job.steps[step].max_per_worker;
    const auto chosen = m_workers.Choose(requirements, max_per_worker, state.tasks_per_worker, now);
    if (chosen || !requirements.needs_proven_worker) return chosen;
    if (!std::exchange(task.waited_for_proven_worker, true)) ++m_counters.last_attempts_waited;
    // The job would fail for good with this attempt, so it waits as long as its callers have time.
    if (now.steady < state.latest_start && m_workers.HasProvenWorker(requirements, now))
      return std::nullopt;
    requirements.needs_proven_worker = false;
    const auto any = m_workers.Choose(requirements, max_per_worker, state.tasks_per_worker, now);
    if (!any) return any;
    ++m_counters.last_attempts_forced;
    m_log.Record(DecisionClass::kAnomaly, "last_attempt_forced", job.job.id,
                 {{"queue", job.queue.name},
                  {"worker", m_workers.Find(*any)->report.worker},
                  {"failures", static_cast<std::int64_t>(task.failures)}});
    return any;
  }

  /// Returns false if no worker was found for one of the tasks that may run on any worker.
  bool Place(WaitingStep& waiting, Now now, DispatchOutputs& out) {
    JobState& job = *waiting.job;
    const JobStep& step = job.job.steps[waiting.step];
    StepState& state = job.steps[waiting.step];
    /// By worker, and whether the tasks run alone there.
    std::map<std::pair<NodeId, bool>, PlaceTasks> placements;
    std::vector<std::uint32_t> unplaced;
    bool is_full = false;
    for (const std::uint32_t index : waiting.tasks) {
      TaskProgress& task = state.tasks[index];
      TaskRequirements requirements = RequirementsOf(job.queue, step, task.avoid);
      requirements.needs_proven_worker = NeedsProvenWorker(job, task);
      requirements.deadline = job.LastDeadline();
      std::optional<NodeId> chosen;
      if (task.is_suspect) {
        chosen = m_workers.ChooseQuarantined(requirements, step.max_per_worker,
                                             state.tasks_per_worker, now);
      } else if (!is_full) {
        chosen = ChooseWorker(job, waiting.step, task, requirements, now);
        // A last attempt that finds no proven worker says nothing about the others.
        is_full = !chosen && !requirements.needs_proven_worker;
        if (is_full) BorrowWorkers(requirements, now, out);
      }
      if (!chosen) {
        unplaced.push_back(index);
        continue;
      }
      const bool alone = task.is_suspect && m_crashes.VerdictOn({job.name, waiting.step, index}) ==
                                                CrashVerdict::kStrongSuspect;
      task.state = SlotState::kPlaced;
      task.order = ++m_last_order;
      ++task.attempt;
      ++state.tasks_per_worker[*chosen];
      ++job.open_orders;
      m_orders[task.order] = {*chosen, job.name, job.sequence, waiting.step, index, state.estimate};
      WorkerRecord& worker = *m_workers.Find(*chosen);
      m_workers.AddOrder(worker, {task.order, step.demand, now.steady, false});
      PlaceTasks& placement = placements[{*chosen, alone}];
      placement.alone = alone;
      placement.earlier_stalls = std::max(placement.earlier_stalls, task.stalls);
      placement.tasks.push_back({task.order, index, task.attempt});
    }
    waiting.tasks = std::move(unplaced);
    for (auto& [target, placement] : placements) {
      placement.job = job.name;
      placement.step = waiting.step;
      placement.payload = job.job.payload;
      placement.demand = step.demand;
      placement.expected_run = step.expected_run;
      placement.is_estimated = state.estimate.count() > 0;
      placement.usual_run = state.known_run_time ? state.known_run_time->usual : milliseconds(0);
      placement.service = job.queue.service;
      placement.required_label = step.required_label;
      placement.priority = job.queue.priority;
      placement.latest_start = Ms(state.latest_start - now.steady);
      // A task that runs alone waits until its worker is empty; later than its last useful start
      // it would be of no use.
      placement.expires = placement.alone
                              ? std::max(kPlacementExpiry, Ms(state.last_useful_start - now.steady))
                              : kPlacementExpiry;
      placement.expires = std::min(placement.expires, Ms(job.LastDeadline() - now.steady));
      const WorkerRecord& worker = *m_workers.Find(target.first);
      m_counters.tasks_placed += placement.tasks.size();
      m_log.Record(DecisionClass::kRoutine, "tasks_placed", job.job.id,
                   {{"queue", job.queue.name},
                    {"worker", worker.report.worker},
                    {"tasks", static_cast<std::int64_t>(placement.tasks.size())},
                    {"attempt", static_cast<std::int64_t>(placement.tasks.front().attempt)},
                    {"view_age_ms", Ms(now.steady - worker.last_contact_at).count()},
                    {"free_cpu", static_cast<std::int64_t>(worker.report.load.free.cpu_millicores)},
                    {"waited_ms", Ms(now.steady - job.submitted_at).count()}});
      out.messages.push_back({worker.sidecar, std::move(placement)});
    }
    return !is_full;
  }

  void OnTaskEnded(WorkerRecord& worker, const TaskReport& report, Now now, DispatchOutputs& out) {
    const auto found = m_orders.find(report.order);
    if (found == m_orders.end()) return;
    const OrderAssignment assignment = found->second;
    m_orders.erase(found);
    m_workers.RemoveOrder(worker, report.order);
    switch (report.end) {
      case TaskEnd::kDone:
        m_workers.OnOutcome(worker.sidecar.id, false, now);
        m_run_times.OnDone(assignment.job.queue, assignment.step, assignment.estimate,
                           report.run_time, now);
        break;
      case TaskEnd::kFailed:
        ++m_counters.tasks_failed;
        m_workers.OnOutcome(worker.sidecar.id, true, now);
        break;
      case TaskEnd::kStalled:
        ++m_counters.tasks_stalled;
        m_workers.OnOutcome(worker.sidecar.id, true, now);
        break;
      case TaskEnd::kLost:
        ++m_counters.tasks_lost;
        break;
      case TaskEnd::kCrashed:
        ++m_counters.tasks_crashed;
        break;
      case TaskEnd::kNotRun:
        ++m_counters.tasks_not_run;
        break;
      case TaskEnd::kStopped:
        break;
    }
    const auto job = FindJob(assignment);
    if (job == m_jobs.end()) return;
    const bool succeeded = report.end == TaskEnd::kDone;
    m_log.Record(succeeded ? DecisionClass::kRoutine : DecisionClass::kAnomaly, "task_ended",
                 job->second.job.id,
                 {{"queue", job->second.queue.name},
                  {"end", NameOf(report.end)},
                  {"index", static_cast<std::int64_t>(assignment.index)},
                  {"worker", worker.report.worker},
                  {"queue_ms", report.queue_time.count()},
                  {"run_ms", report.run_time.count()}});
    ApplyTaskEnd(job->second, assignment, report.end, now, out);
  }

  /// The job of an order that has ended; the end of the map if the job has ended before.
  std::map<JobName, JobState>::iterator FindJob(const OrderAssignment& assignment) {
    const auto job = m_jobs.find(assignment.job);
    if (job != m_jobs.end() && job->second.sequence == assignment.job_sequence) return job;
    const auto withdrawn = m_withdrawn_orders.find(assignment.job);
    if (withdrawn != m_withdrawn_orders.end() && --withdrawn->second == 0) {
      m_withdrawn_orders.erase(withdrawn);
    }
    return m_jobs.end();
  }

  void ApplyTaskEnd(JobState& job, const OrderAssignment& assignment, TaskEnd end, Now now,
                    DispatchOutputs& out) {
    StepState& step = job.steps[assignment.step];
    TaskProgress& task = step.tasks[assignment.index];
    --job.open_orders;
    job.ran |= end != TaskEnd::kNotRun;
    --step.tasks_per_worker[assignment.worker];
    if (end == TaskEnd::kDone) {
      task.state = SlotState::kDone;
      if (task.is_suspect) ClearSuspect({job.name, assignment.step, assignment.index});
      if (++step.done == step.tasks.size()) OnStepDone(job, now, out);
      return;
    }
    task.state = SlotState::kBlocked;
    task.avoid = assignment.worker;
    if (end == TaskEnd::kStalled) ++task.stalls;
    if (end == TaskEnd::kFailed && ++task.failures >= job.queue.max_attempts) {
      Answer(job, JobEnd::kFailed, ErrorKind::kTaskFailed, now, out);
      return;
    }
    AddToWaiting(job, assignment.step, assignment.index);
  }

  void OnStepDone(JobState& job, Now now, DispatchOutputs& out) {
    const bool all = std::ranges::all_of(
        job.steps, [](const StepState& step) { return step.done == step.tasks.size(); });
    if (all) {
      Answer(job, JobEnd::kCompleted, ErrorKind::kInternal, now, out);
    } else {
      ReleaseSteps(job);
    }
  }

  /// Ends a job whose callers wait no longer. One that has not run was suspended for want of its
  /// claim, which another entry can have when the lease has passed.
  void EndLateJob(JobState& job, Now now, DispatchOutputs& out) {
    LearnFromUnfinished(job, now);
    if (job.may_have_run()) {
      Answer(job, JobEnd::kGivenUp, ErrorKind::kDeadlineExceeded, now, out);
    } else {
      Answer(job, JobEnd::kRefused, ErrorKind::kNotStartedInTime, now, out, kClaimLease);
    }
  }

  void LearnFromUnfinished(const JobState& job, Now now) {
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
      const StepState& step = job.steps[i];
      for (const TaskProgress& task : step.tasks) {
        if (task.state != SlotState::kPlaced) continue;
        const NodeId worker = m_orders.at(task.order).worker;
        const SteadyTime placed_at = m_workers.Find(worker)->orders.at(task.order).sent_at;
        m_run_times.OnUnfinished(job.name.queue, i, step.estimate, Ms(now.steady - placed_at), now);
      }
    }
  }

  void Answer(JobState& job, JobEnd end, ErrorKind reason, Now now, DispatchOutputs& out,
              std::optional<milliseconds> retry_after = std::nullopt) {
    switch (end) {
      case JobEnd::kCompleted:
        ++m_counters.completed;
        break;
      case JobEnd::kFailed:
        ++m_counters.failed;
        break;
      case JobEnd::kRefused:
        ++m_counters.refused;
        break;
      case JobEnd::kGivenUp:
        ++m_counters.given_up;
        break;
    }
    const bool succeeded = end == JobEnd::kCompleted;
    m_log.Record(
        succeeded ? DecisionClass::kRoutine : DecisionClass::kAnomaly, "job_answered", job.job.id,
        {{"outcome", succeeded ? std::string_view("completed") : ErrorAnswerOf(reason).name},
         {"queue", job.queue.name},
         {"took_ms", Ms(now.steady - job.submitted_at).count()},
         {"deadline_ms", Ms(job.LastDeadline() - now.steady).count()},
         {"objective_ms", Ms(job.objective_end - job.submitted_at).count()}});
    for (const auto& [request, deadline] : job.requests) {
      out.answers.push_back({request, end, reason, retry_after});
      m_request_jobs.erase(request);
    }
    EndJob(job, now, out);
  }

  /// Removes a job and withdraws its open placements.
  void EndJob(JobState& job, Now now, DispatchOutputs& out) {
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) m_waiting.erase(KeyOf(job, i));
    WithdrawPlaced(job, now, out);
    if (job.open_orders > 0) m_withdrawn_orders[job.name] += job.open_orders;
    m_jobs.erase(JobName(job.name));
  }

  void WithdrawPlaced(JobState& job, Now now, DispatchOutputs& out) {
    std::map<NodeId, WithdrawTasks> withdrawals;
    for (const StepState& step : job.steps) {
      for (const TaskProgress& task : step.tasks) {
        if (task.state != SlotState::kPlaced) continue;
        const NodeId id = m_orders.at(task.order).worker;
        OpenOrder& order = m_workers.Find(id)->orders.at(task.order);
        if (std::exchange(order.withdrawn, true)) continue;
        order.withdraw_again_at = now.steady + ConfirmationTimeout();
        withdrawals[id].orders.push_back(task.order);
      }
    }
    for (auto& [id, withdrawal] : withdrawals) {
      out.messages.push_back({m_workers.Find(id)->sidecar, std::move(withdrawal)});
    }
  }

  /// Time within which a worker's answer to an order is handled here, unless one of them is lost.
  milliseconds ConfirmationTimeout() const { return kOrderConfirmationTimeout + receive_delay(); }

  /// Withdraws orders that the worker does not list as held although their end has not been
  /// reported here: the order or the report was lost with a connection. The worker reports the end
  /// of each. Repeats the withdrawals that have not been answered in time.
  void Reconcile(WorkerRecord& worker, const std::vector<OrderId>& held, Now now,
                 DispatchOutputs& out) {
    const milliseconds timeout = ConfirmationTimeout();
    WithdrawTasks withdrawal;
    for (auto& [order, open] : worker.orders) {
      if (now.steady - open.sent_at < timeout) break;
      if (now.steady < open.withdraw_again_at) continue;
      const bool confirmed = std::ranges::find(held, order) != held.end();
      if (confirmed && !open.withdrawn) continue;
      withdrawal.orders.push_back(order);
      open.withdraw_again_at = now.steady + timeout;
    }
    if (!withdrawal.orders.empty()) {
      out.messages.push_back({worker.sidecar, std::move(withdrawal)});
    }
  }

  /// Withdraws the placements of a worker that are too recent to have been started.
  static void WithdrawQueued(WorkerRecord& worker, Now now, DispatchOutputs& out) {
    if (worker.report.load.queued_millicores == 0 && worker.unreported_millicores == 0) return;
    WithdrawTasks withdrawal;
    for (const auto& [order, open] : worker.orders) {
      if (now.steady - open.sent_at < kMaxQueuedOrderAge) withdrawal.orders.push_back(order);
    }
    if (!withdrawal.orders.empty()) {
      out.messages.push_back({worker.sidecar, std::move(withdrawal)});
    }
  }

  /// Treats the orders of a worker as lost. Called only when none of them can still be running.
  void LoseOrders(WorkerRecord& worker, std::string_view cause, Now now) {
    if (worker.orders.empty()) return;
    m_log.Record(DecisionClass::kStateChange, cause, {},
                 {{"worker", worker.report.worker},
                  {"lost_orders", static_cast<std::int64_t>(worker.orders.size())},
                  {"silent_ms", Ms(now.steady - worker.last_contact_at).count()}});
    DispatchOutputs none;
    for (const auto& [order, open] : worker.orders) {
      const auto found = m_orders.find(order);
      if (found == m_orders.end()) continue;
      const OrderAssignment assignment = found->second;
      m_orders.erase(found);
      ++m_counters.tasks_lost;
      const auto job = FindJob(assignment);
      if (job == m_jobs.end()) continue;
      m_log.Record(DecisionClass::kAnomaly, "task_ended", job->second.job.id,
                   {{"queue", job->second.queue.name},
                    {"end", "lost"},
                    {"index", static_cast<std::int64_t>(assignment.index)},
                    {"worker", worker.report.worker},
                    {"cause", cause}});
      // A lost task is queued again, so it produces no output.
      ApplyTaskEnd(job->second, assignment, TaskEnd::kLost, now, none);
    }
    worker.orders.clear();
    worker.unreported_millicores = 0;
  }

  DecisionLog& m_log;
  WorkerTable m_workers;
  /// For the log: which configuration decided on a request.
  Version m_plan_version = 0;
  CrashLedger m_crashes;
  RunTimeHistory m_run_times;
  ReceiveDelay m_receive_delay;
  JobAdmission m_admission;
  EntryDispatcherCounters m_counters;
  std::map<JobName, JobState> m_jobs;
  std::map<RequestId, JobName> m_request_jobs;
  std::map<OrderId, OrderAssignment> m_orders;
  /// Number of withdrawn orders of each ended job whose end is not known.
  std::map<JobName, std::uint32_t> m_withdrawn_orders;
  WaitingSteps m_waiting;
  OrderId m_last_order = 0;
  std::uint64_t m_last_sequence = 0;
};

EntryDispatcher::EntryDispatcher(NodeRef self, DecisionLog& log, double remote_rack_factor)
    : m_impl(std::make_unique<Impl>(self, log, remote_rack_factor)) {}
EntryDispatcher::~EntryDispatcher() = default;

void EntryDispatcher::Submit(RequestId request, const QueuePlan& queue, DispatchJob job,
                             SteadyTime deadline, Now now, DispatchOutputs& out) {
  m_impl->Submit(request, queue, std::move(job), deadline, now, out);
}

void EntryDispatcher::OnCallerDisconnected(RequestId request, Now now, DispatchOutputs& out) {
  m_impl->OnCallerDisconnected(request, now, out);
}

bool EntryDispatcher::Attach(const JobName& job, RequestId request, SteadyTime deadline) {
  return m_impl->Attach(job, request, deadline);
}
bool EntryDispatcher::IsInProgress(const JobName& job) const { return m_impl->IsInProgress(job); }
bool EntryDispatcher::MayHaveRun(const JobName& job) const { return m_impl->MayHaveRun(job); }
milliseconds EntryDispatcher::TrustedRun(const QueuePlan& queue, const DispatchJob& job,
                                         milliseconds time_budget, Now now) const {
  return m_impl->TrustedRun(queue, job, time_budget, now);
}
bool EntryDispatcher::HasWithdrawnOrders(const JobName& job) const {
  return m_impl->HasWithdrawnOrders(job);
}
void EntryDispatcher::Suspend(const JobName& job, Now now, DispatchOutputs& out) {
  m_impl->Suspend(job, now, out);
}
void EntryDispatcher::Resume(const JobName& job, Now now, DispatchOutputs& out) {
  m_impl->Resume(job, now, out);
}
void EntryDispatcher::Abandon(const JobName& job, Now now, DispatchOutputs& out) {
  m_impl->Abandon(job, now, out);
}

void EntryDispatcher::SetPlan(const DispatchPlan& plan, Now now, DispatchOutputs& out) {
  m_impl->SetPlan(plan, now, out);
}

void EntryDispatcher::SetEntries(std::vector<NodeId> entries) {
  m_impl->SetEntries(std::move(entries));
}

void EntryDispatcher::OnWorkerReport(NodeRef sidecar, const WorkerReport& report, Now now,
                                     DispatchOutputs& out) {
  m_impl->OnWorkerReport(sidecar, report, now, out);
}

void EntryDispatcher::OnTaskReports(NodeRef sidecar, const TaskReports& reports, Now now,
                                    DispatchOutputs& out) {
  m_impl->OnTaskReports(sidecar, reports, now, out);
}

void EntryDispatcher::OnEndpointCrash(const EndpointCrash& crash, Now now, DispatchOutputs& out) {
  m_impl->OnEndpointCrash(crash, now, out);
}

void EntryDispatcher::Tick(Now now, DispatchOutputs& out) { m_impl->Tick(now, out); }

std::uint64_t EntryDispatcher::ReportsSeen(NodeRef sidecar) const {
  return m_impl->ReportsSeen(sidecar);
}
bool EntryDispatcher::WantsReports(NodeRef sidecar) const { return m_impl->WantsReports(sidecar); }
std::uint32_t EntryDispatcher::usable_workers(Now now) const { return m_impl->usable_workers(now); }
std::uint32_t EntryDispatcher::present_workers(Now now) const {
  return m_impl->present_workers(now);
}
milliseconds EntryDispatcher::receive_delay() const { return m_impl->receive_delay(); }
milliseconds EntryDispatcher::load_interval() const { return m_impl->load_interval(); }
std::size_t EntryDispatcher::open_jobs() const { return m_impl->open_jobs(); }
std::size_t EntryDispatcher::waiting_tasks() const { return m_impl->waiting_tasks(); }
std::size_t EntryDispatcher::waiting_jobs(std::string_view queue) const {
  return m_impl->waiting_jobs(queue);
}
const EntryDispatcherCounters& EntryDispatcher::counters() const { return m_impl->counters(); }

}  // namespace foxtailrudder
