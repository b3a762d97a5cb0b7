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
  /// Every task has ended as done.
  kCompleted,
  /// A task has failed as often as its queue allows.
  kFailed,
  /// Nothing of it has run or will run.
  kRefused,
  /// Given up after some of it ran.
  kGivenUp,
};

/// Answers one request of a caller.
struct JobAnswered {
  RequestId request = 0;
  JobEnd end = JobEnd::kRefused;
  /// Why it was refused or given up.
  ErrorKind reason = ErrorKind::kInternal;
  /// When to come back; set for a refusal.
  std::optional<std::chrono::milliseconds> retry_after;
};

struct DispatchOutputs {
  std::vector<SendMessage> messages;
  std::vector<JobAnswered> answers;
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
};

/// Decides for the jobs that one entry has taken: admission, order, choice of worker, repeats.
class EntryDispatcher {
 public:
  EntryDispatcher(NodeRef self, DecisionLog& log);
  EntryDispatcher(const EntryDispatcher&) = delete;
  EntryDispatcher& operator=(const EntryDispatcher&) = delete;
  ~EntryDispatcher();

  /// A caller submits a job to a queue and waits until the deadline. A second request for a job
  /// that is in progress joins it.
  void Submit(RequestId request, const QueuePlan& queue, DispatchJob job, SteadyTime deadline,
              Now now, DispatchOutputs& out);
  /// The caller has closed its connection.
  void OnCallerGone(RequestId request, Now now, DispatchOutputs& out);

  void SetPlan(const DispatchPlan& plan, Now now, DispatchOutputs& out);

  /// The entries that are alive, this one among them: they share the workers, and each places its
  /// tasks at its own ones first.
  void SetEntries(std::vector<NodeId> entries);

  void OnWorkerReport(NodeRef sidecar, const WorkerReport& report, Now now, DispatchOutputs& out);
  void OnTaskReports(NodeRef sidecar, const TaskReports& reports, Now now, DispatchOutputs& out);

  /// Every few milliseconds to tens of milliseconds: deadlines, silent workers.
  void Tick(Now now, DispatchOutputs& out);

  /// What to acknowledge to a sidecar.
  std::uint64_t ReportsSeen(NodeRef sidecar) const;
  std::uint32_t usable_workers(Now now) const;
  std::size_t open_jobs() const;
  std::size_t waiting_tasks() const;
  const EntryDispatcherCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
