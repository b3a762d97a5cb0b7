#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatch_plan.h"
#include "dispatch/job.h"
#include "model/decision_log.h"
#include "model/messages.h"
#include "model/outputs.h"

namespace foxtailrudder {

enum class JobEnd : std::uint8_t {
  /// All tasks completed.
  kCompleted,
  /// A task failed as often as its queue allows.
  kFailed,
  /// No task of the job has run or will run.
  kRefused,
  /// Abandoned after a task ran or may have run.
  kGivenUp,
};

/// Answer to one request of a caller.
struct JobAnswered {
  RequestId request = 0;
  JobEnd end = JobEnd::kRefused;
  /// Why the job was refused, failed or was given up.
  ErrorKind reason = ErrorKind::kInternal;
  /// Delay after which the caller may retry; set for a refusal unless nothing tells when the job
  /// could run.
  std::optional<std::chrono::milliseconds> retry_after;
};

struct DispatchOutputs {
  std::vector<SendMessage> messages;
  std::vector<JobAnswered> answers;
  /// Sidecars whose reports the entry wants from now on; each has to be told at once.
  std::vector<NodeRef> report_requests;
};

struct EntryDispatcherCounters {
  std::uint64_t submitted = 0;
  std::uint64_t joined = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;
  std::uint64_t given_up = 0;
  std::uint64_t callers_gone = 0;
  std::uint64_t tasks_placed = 0;
  std::uint64_t tasks_failed = 0;
  std::uint64_t tasks_lost = 0;
  std::uint64_t tasks_stalled = 0;
  std::uint64_t tasks_not_run = 0;
  /// Task reports received, and those of them that had been received before.
  std::uint64_t task_reports = 0;
  std::uint64_t task_reports_repeated = 0;
  std::uint64_t workers_borrowed = 0;
  std::uint64_t tasks_crashed = 0;
  /// Last attempts that waited for a worker with recent successes, and that went to another one.
  std::uint64_t last_attempts_waited = 0;
  std::uint64_t last_attempts_forced = 0;
  /// Tasks given up because endpoints crash under them, at their end or when submitted again.
  std::uint64_t tasks_given_up = 0;
  std::uint64_t submitted_guilty = 0;
  std::uint64_t suspects_cleared = 0;
};

/// Schedules the jobs that one entry has accepted: admission, ordering, choice of workers and
/// retries.
class EntryDispatcher {
 public:
  /// `remote_rack_factor` is the run time of a task whose data is on another rack, relative to the
  /// same rack.
  EntryDispatcher(NodeRef self, DecisionLog& log, double remote_rack_factor = 1.5);
  EntryDispatcher(const EntryDispatcher&) = delete;
  EntryDispatcher& operator=(const EntryDispatcher&) = delete;
  ~EntryDispatcher();

  /// Submits a job to a queue; the caller waits for the answer until the deadline. A second request
  /// for a job in progress is attached to that job.
  void Submit(RequestId request, const QueuePlan& queue, DispatchJob job, SteadyTime deadline,
              Now now, DispatchOutputs& out);
  /// Handles a caller that has closed its connection.
  void OnCallerDisconnected(RequestId request, Now now, DispatchOutputs& out);

  /// Attaches a request to a job in progress, or extends the deadline of one that is attached.
  /// Returns false if the job is not in progress.
  bool Attach(const JobName& job, RequestId request, SteadyTime deadline);
  bool IsInProgress(const JobName& job) const;
  /// Whether a task of a job in progress has run here, or may have.
  bool MayHaveRun(const JobName& job) const;
  /// How long the job runs without waiting, as far as that is known well enough to call it
  /// hopeless; 0 if it rests on an estimate that exceeds `time_budget`, for which its caller waits.
  std::chrono::milliseconds TrustedRun(const QueuePlan& queue, const DispatchJob& job,
                                       std::chrono::milliseconds time_budget, Now now) const;
  /// Whether a worker may still run a task of a job that has ended.
  bool HasWithdrawnOrders(const JobName& job) const;

  /// Withdraws the placed tasks of a job and places none of them until it is resumed.
  void Suspend(const JobName& job, Now now, DispatchOutputs& out);
  void Resume(const JobName& job, Now now, DispatchOutputs& out);
  /// Ends a job without an answer to its requests.
  void Abandon(const JobName& job, Now now, DispatchOutputs& out);

  void SetPlan(const DispatchPlan& plan, Now now, DispatchOutputs& out);

  /// Sets the live entries, including this one. The workers are divided among them, and each entry
  /// prefers the workers of its own share.
  void SetEntries(std::vector<NodeId> entries);

  void OnWorkerReport(NodeRef sidecar, const WorkerReport& report, Now now, DispatchOutputs& out);
  void OnTaskReports(NodeRef sidecar, const TaskReports& reports, Now now, DispatchOutputs& out);

  /// Handles the crash of an endpoint: the tasks that ran there may have caused it.
  void OnEndpointCrash(const EndpointCrash& crash, Now now, DispatchOutputs& out);

  /// Checks deadlines and workers that stopped reporting. Called every few milliseconds to tens of
  /// milliseconds.
  void Tick(Now now, DispatchOutputs& out);

  /// Whether the entry may place tasks at the sidecar or has orders open there.
  bool WantsReports(NodeRef sidecar) const;
  /// Highest report sequence to acknowledge to a sidecar.
  std::uint64_t ReportsSeen(NodeRef sidecar) const;
  /// Number of workers that may be given tasks now.
  std::uint32_t usable_workers(Now now) const;
  /// Number of workers that take work, in this entry's subset or not.
  std::uint32_t present_workers(Now now) const;
  /// How long messages wait before this process handles them.
  std::chrono::milliseconds receive_delay() const;
  /// Shortest time between the load updates that a sidecar should send.
  std::chrono::milliseconds load_interval() const;
  std::size_t open_jobs() const;
  std::size_t waiting_tasks() const;
  /// Number of jobs of a queue, given by its address, of which no task has been placed.
  std::size_t waiting_jobs(std::string_view queue) const;
  const EntryDispatcherCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
